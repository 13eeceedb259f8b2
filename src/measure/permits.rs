//! Ejection permits from one exact, central register: the fake of the allowance's interface.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::types::{BackendServerId, ServiceId};

/// Time for which a permit holds without renewal.
const PERMIT_DURATION: Duration = Duration::from_secs(10);

/// Limit and holders of the ejection permits of one service.
#[derive(Debug, Default)]
struct ServicePermits {
    /// Number of servers whose ejection still leaves the service at its floor.
    limit_count: usize,
    /// Servers that hold a permit now.
    held: BTreeSet<BackendServerId>,
}

/// Register of the ejection permits of all services.
#[derive(Debug, Default)]
pub struct FakePermits {
    /// Whether every request for a permit goes unanswered.
    pub is_unreachable: bool,
    /// Permits of each service that has a limit.
    services: BTreeMap<ServiceId, ServicePermits>,
}

impl FakePermits {
    /// Sets the number of servers of a service that may be ejected at once.
    pub fn set_limit(&mut self, service: &ServiceId, limit_count: usize) {
        self.services
            .entry(service.clone())
            .or_default()
            .limit_count = limit_count;
    }

    /// Grants or renews a permit and returns the end of its term, or none if it is refused.
    pub fn request(
        &mut self,
        now: Instant,
        service: &ServiceId,
        server: &BackendServerId,
    ) -> Option<Instant> {
        let permits = self.services.get_mut(service)?;
        if !permits.held.contains(server) && permits.held.len() >= permits.limit_count {
            return None;
        }
        permits.held.insert(server.clone());
        Some(now + PERMIT_DURATION)
    }

    /// Releases the permit of a server.
    pub fn release(&mut self, service: &ServiceId, server: &BackendServerId) {
        if let Some(permits) = self.services.get_mut(service) {
            permits.held.remove(server);
        }
    }

    /// Returns the number of servers of a service that may be ejected at once.
    pub fn limit_count(&self, service: &ServiceId) -> usize {
        self.services
            .get(service)
            .map_or(0, |permits| permits.limit_count)
    }
}
