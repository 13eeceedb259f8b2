//! The retry budget: a share of requests, so that retries never multiply an overload.

use std::collections::HashMap;

use crate::settings::routing::RoutingSettings;
use crate::types::ServiceId;

/// Retries that are always left to a daemon with few requests.
const RESERVE_COUNT: f64 = 10.0;

/// What is left for retries, by service.
#[derive(Debug)]
pub struct RetryBudget {
    /// Whether retries are counted here, and not by guards.
    enforced: bool,
    share: f64,
    /// From 0 to the reserve. A service without an entry has all of it.
    remaining: HashMap<ServiceId, f64>,
}

impl RetryBudget {
    /// A full budget that grows by the share of the settings with every first attempt.
    pub fn new(settings: &RoutingSettings) -> RetryBudget {
        RetryBudget {
            enforced: !settings.retries_counted_by_guards,
            share: settings.retry_share,
            remaining: HashMap::new(),
        }
    }

    /// Goes on with other settings.
    pub fn update_settings(&mut self, settings: &RoutingSettings) {
        self.enforced = !settings.retries_counted_by_guards;
        self.share = settings.retry_share;
    }

    /// A request for a service was dispatched.
    pub fn record_dispatch(&mut self, service: &ServiceId) {
        if let Some(remaining) = self.remaining.get_mut(service) {
            *remaining = (*remaining + self.share).min(RESERVE_COUNT);
        }
    }

    /// Whether a retry at a service is left.
    pub fn has_retry(&self, service: &ServiceId) -> bool {
        !self.enforced
            || self
                .remaining
                .get(service)
                .is_none_or(|remaining| *remaining >= 1.0)
    }

    /// Takes a retry at a service out of the budget, if one is left.
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
