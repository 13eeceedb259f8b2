//! Ejection permits in one place, exact: the fake of the allowance's border.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::types::{BackendServerId, ServiceId};

/// How long a permit holds without renewal.
const PERMIT_DURATION: Duration = Duration::from_secs(10);

/// Permits of one service.
#[derive(Debug, Default)]
struct ServicePermits {
    /// Servers whose ejection leaves the service at its floor.
    limit_count: usize,
    held: BTreeSet<BackendServerId>,
}

/// Permits of all services.
#[derive(Debug, Default)]
pub struct FakePermits {
    /// Whether nobody gets an answer.
    pub is_unreachable: bool,
    services: BTreeMap<ServiceId, ServicePermits>,
}

impl FakePermits {
    /// Sets how many servers of a service may be out at once.
    pub fn set_limit(&mut self, service: &ServiceId, limit_count: usize) {
        self.services
            .entry(service.clone())
            .or_default()
            .limit_count = limit_count;
    }

    /// Grants or renews a permit, or refuses it.
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

    /// Takes a permit back.
    pub fn release(&mut self, service: &ServiceId, server: &BackendServerId) {
        if let Some(permits) = self.services.get_mut(service) {
            permits.held.remove(server);
        }
    }

    /// Servers of a service that may be out at once.
    pub fn limit_count(&self, service: &ServiceId) -> usize {
        self.services
            .get(service)
            .map_or(0, |permits| permits.limit_count)
    }
}
