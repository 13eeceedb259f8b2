//! The retry budget: allows retries as a share of requests, so that they never multiply an
//! overload.

use std::collections::HashMap;

use crate::settings::routing::RoutingSettings;
use crate::types::ServiceId;

/// Greatest balance of a service, in retries; a daemon with few requests starts with it.
const RESERVE_COUNT: f64 = 10.0;

/// The retries that remain, by service.
#[derive(Debug)]
pub struct RetryBudget {
    /// Whether the budget applies here; false if guards count retries instead.
    enforced: bool,
    /// Retries that each dispatched request adds.
    share: f64,
    /// Balance in retries, from 0 to `RESERVE_COUNT`. A service without an entry has all of it.
    remaining: HashMap<ServiceId, f64>,
}

impl RetryBudget {
    /// Creates a full budget to which each dispatched request adds the share of the settings.
    pub fn new(settings: &RoutingSettings) -> RetryBudget {
        RetryBudget {
            enforced: !settings.retries_counted_by_guards,
            share: settings.retry_share,
            remaining: HashMap::new(),
        }
    }

    /// Replaces the settings; balances stay.
    pub fn update_settings(&mut self, settings: &RoutingSettings) {
        self.enforced = !settings.retries_counted_by_guards;
        self.share = settings.retry_share;
    }

    /// Adds the share of one dispatched request to its service.
    pub fn record_dispatch(&mut self, service: &ServiceId) {
        if let Some(remaining) = self.remaining.get_mut(service) {
            *remaining = (*remaining + self.share).min(RESERVE_COUNT);
        }
    }

    /// Returns whether a service has a retry left.
    pub fn has_retry(&self, service: &ServiceId) -> bool {
        !self.enforced
            || self
                .remaining
                .get(service)
                .is_none_or(|remaining| *remaining >= 1.0)
    }

    /// Takes a retry out of the budget of a service. Returns false if none is left.
    pub fn take_retry(&mut self, service: &ServiceId) -> bool {
        if !self.enforced {
            return true;
        }
        let remaining = self
            .remaining
            .entry(service.clone())
            .or_insert(RESERVE_COUNT);
        if *remaining < 1.0 {
            return false;
        }
        *remaining -= 1.0;
        true
    }
}
