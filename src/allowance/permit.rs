//! Ejection permits: counting by the holder, and requesting by other daemons.
//!
//! Only the holder of a service's partition grants its permits. The floor of available servers
//! therefore holds over the fleet without agreement on the number of servers: the holder's own
//! count decides. A server that the holder does not know yet only lowers the number of permits.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::leases::Tenure;
use super::partition;
use super::record::PartitionId;
use crate::contract::View;
use crate::link::{BorrowAnswer, PeerName};
use crate::membership::Fleet;
use crate::types::{BackendServerId, ServiceId};

/// How long a permit lasts after it was requested or renewed.
pub const PERMIT_TIME: Duration = Duration::from_secs(5);
/// Upper bound of the drift between two clocks within `PERMIT_TIME`.
const PERMIT_MARGIN: Duration = Duration::from_millis(100);
/// Retry time after a refusal.
const PERMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the partition whose holder grants the permits of a service.
pub fn partition_of(service: &ServiceId, partition_count: PartitionId) -> PartitionId {
    partition::partitions_of(&format!("service/{service}"), 1, partition_count)[0]
}

/// Returns how many servers of a service may be ejected at once, beyond those that are unavailable
/// because they drain, their daemon leaves or their domain is out of service.
pub fn permit_count(service: &ServiceId, view: &View, fleet: &Fleet) -> u32 {
    let Some(contract) = view.services.get(service) else {
        return 0;
    };
    let mut server_count = 0_u32;
    let mut unavailable_count = 0_u32;
    for daemon in fleet.daemons.values() {
        let away = daemon.leaving || view.domains_out.contains(&daemon.domain);
        for server in &daemon.servers {
            if server.service != *service || !server.rollout_step.counts_for_floor() {
                continue;
            }
            server_count += 1;
            unavailable_count += u32::from(away || server.draining);
        }
    }
    let floor_count =
        (contract.floor_share * f64::from(server_count) - ROUNDING_ERROR_COUNT).ceil() as u32;
    server_count
        .saturating_sub(floor_count)
        .saturating_sub(unavailable_count)
}

/// Rounding error of the product of a share and a count.
const ROUNDING_ERROR_COUNT: f64 = 1e-9;

/// Permits granted to one daemon, as counts with their expiry. The largest that has not expired is
/// in effect.
type Grants = SmallVec<[(u32, Instant); 4]>;

/// Permits that this daemon has granted as a holder.
#[derive(Debug, Default)]
pub struct PermitLender {
    /// Grants by daemon for each service, valid for one tenure of its partition.
    services: HashMap<ServiceId, (Tenure, BTreeMap<PeerName, Grants>)>,
}

impl PermitLender {
    /// Grants a daemon permits for `count` servers in total; a repeated request renews them.
    ///
    /// Permits that an earlier holder granted may last `PERMIT_TIME` into this tenure, so none are
    /// granted before that.
    pub fn grant(
        &mut self,
        now: Instant,
        (service, tenure): (&ServiceId, Tenure),
        from: &PeerName,
        (count, permit_count): (u32, u32),
    ) -> BorrowAnswer {
        if !tenure.starts_full && now < tenure.begins_at + PERMIT_TIME + PERMIT_MARGIN {
            return refused_permits();
        }
        let entry = self
            .services
            .entry(service.clone())
            .or_insert_with(|| (tenure, BTreeMap::new()));
        if entry.0 != tenure {
            *entry = (tenure, BTreeMap::new());
        }
        let daemons = &mut entry.1;
        for grants in daemons.values_mut() {
            grants.retain(|(_, lapses_at)| *lapses_at > now);
        }
        daemons.retain(|_, grants| !grants.is_empty());
        let level = |grants: &Grants| grants.iter().map(|(count, _)| *count).max().unwrap_or(0);
        let others = daemons.iter().filter(|(daemon, _)| *daemon != from);
        let others: u32 = others.map(|(_, grants)| level(grants)).sum();
        let given = count.min(permit_count.saturating_sub(others));
        if given == 0 {
            return refused_permits();
        }
        let grants = daemons.entry(from.clone()).or_default();
        let lapses_at = now + PERMIT_TIME + PERMIT_MARGIN;
        grants.retain(|(count, _)| *count > given);
        grants.push((given, lapses_at));
        BorrowAnswer {
            count: given,
            lapses_after: PERMIT_TIME,
            retry_after: PERMIT_RETRY_AFTER,
        }
    }
}

/// Returns the answer that refuses permits.
fn refused_permits() -> BorrowAnswer {
    BorrowAnswer {
        count: 0,
        lapses_after: PERMIT_TIME,
        retry_after: PERMIT_RETRY_AFTER,
    }
}

/// Permits that this daemon has requested for its servers, by service.
#[derive(Debug, Default)]
pub struct PermitRequests {
    /// For each server that needs a permit, when its permit expires.
    services: BTreeMap<ServiceId, BTreeMap<BackendServerId, Option<Instant>>>,
}

/// A server and until when it has a permit; `None` if refused.
pub type PermitStatus = (BackendServerId, Option<Instant>);

impl PermitRequests {
    /// Adds a server that needs a permit, and returns how many permits to request.
    pub fn request(&mut self, service: &ServiceId, server: &BackendServerId) -> u32 {
        let servers = self.services.entry(service.clone()).or_default();
        servers.entry(server.clone()).or_insert(None);
        servers.len() as u32
    }

    /// Removes a server that needs no permit any more.
    pub fn release(&mut self, service: &ServiceId, server: &BackendServerId) {
        let Some(servers) = self.services.get_mut(service) else {
            return;
        };
        servers.remove(server);
        if servers.is_empty() {
            self.services.remove(service);
        }
    }

    /// Distributes an answer over the servers, those with a permit first. Refused servers are
    /// forgotten until health asks again.
    pub fn answered(
        &mut self,
        now: Instant,
        service: &ServiceId,
        (count, lapses_at): (u32, Instant),
    ) -> Vec<PermitStatus> {
        let Some(servers) = self.services.get_mut(service) else {
            return Vec::new();
        };
        let mut order: Vec<PermitStatus> = servers.clone().into_iter().collect();
        order.sort_by_key(|(_, until)| std::cmp::Reverse(until.filter(|at| *at > now)));
        for (index, (_, until)) in order.iter_mut().enumerate() {
            let given = (index as u32) < count && lapses_at > now;
            *until = if given {
                Some(lapses_at)
            } else {
                until.filter(|at| *at > now)
            };
        }
        for (server, until) in &order {
            match until {
                Some(_) => servers.insert(server.clone(), *until),
                None => servers.remove(server),
            };
        }
        if servers.is_empty() {
            self.services.remove(service);
        }
        order
    }
}
