//! Determines which services would fall below their floor if a failure domain were taken out of
//! service.

use std::collections::BTreeSet;

use super::message::ServiceStatus;
use crate::contract::View;
use crate::membership::Fleet;
use crate::types::DomainId;

/// Returns the state of every service of the view, as if exactly these failure domains were out of
/// service, in order of their names.
pub fn service_statuses(
    view: &View,
    fleet: &Fleet,
    domains_out: &BTreeSet<DomainId>,
) -> Vec<ServiceStatus> {
    let mut services = Vec::with_capacity(view.services.len());
    for (service, contract) in &view.services {
        services.push(ServiceStatus {
            service: service.clone(),
            server_count: 0,
            serving_count: 0,
            floor_count: 0,
        });
        let status = services.last_mut().expect("just pushed");
        for daemon in fleet.daemons.values() {
            let out = daemon.leaving || domains_out.contains(&daemon.domain);
            for server in &daemon.servers {
                if server.service != *service || !server.rollout_step.counts_for_floor() {
                    continue;
                }
                status.server_count += 1;
                if !out && !server.draining && server.share_permille > 0 {
                    status.serving_count += 1;
                }
            }
        }
        status.floor_count = floor_count(contract.floor_share, status.server_count);
    }
    services.sort_by(|a, b| a.service.cmp(&b.service));
    services
}

/// Returns the services that would be below their floor if one more failure domain were out of
/// service.
pub fn services_below_floor(view: &View, fleet: &Fleet, domain: &DomainId) -> Vec<ServiceStatus> {
    let mut domains_out = view.domains_out.clone();
    domains_out.insert(domain.clone());
    let mut broken = service_statuses(view, fleet, &domains_out);
    broken.retain(|status| status.serving_count < status.floor_count);
    broken
}

/// Returns how many of a service's servers must stay in service, rounded up.
fn floor_count(floor_share: f64, server_count: usize) -> usize {
    (floor_share * server_count as f64).ceil() as usize
}
