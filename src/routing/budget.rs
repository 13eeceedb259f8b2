//! The retry budget: a share of requests, so that retries never multiply an overload.

use std::collections::HashMap;

use crate::types::ServiceId;

/// Retries that are always left to a daemon with few requests.
const RESERVE_COUNT: f64 = 10.0;

/// What is left for retries, by service.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    /// Retries that a service may hold in reserve; at least 1.
    reserve_count: f64,
    /// From 0 to the reserve. A service without an entry has all of it.
    left: HashMap<ServiceId, f64>,
}

impl RetryBudget {
    /// A full budget that grows by `share` with every first attempt.
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget {
            share,
            reserve_count: RESERVE_COUNT,
            left: HashMap::new(),
        }
    }

    /// Sets this daemon's part of the reserve.
    pub fn set_reserve(&mut self, reserve_count: f64) {
        self.reserve_count = reserve_count.max(1.0);
    }

    /// A request for a service was dispatched.
    pub fn dispatched(&mut self, service: &ServiceId) {
        if let Some(left) = self.left.get_mut(service) {
            *left = (*left + self.share).min(self.reserve_count);
        }
    }

    /// Whether a retry at a service is left.
    pub fn has(&self, service: &ServiceId) -> bool {
        self.left.get(service).is_none_or(|left| *left >= 1.0)
    }

    /// Takes a retry at a service out of the budget, if one is left.
    pub fn take(&mut self, service: &ServiceId) -> bool {
        let reserve_count = self.reserve_count;
        let left = self.left.entry(service.clone()).or_insert(reserve_count);
        if *left < 1.0 {
            return false;
        }
        *left -= 1.0;
        true
    }
}
