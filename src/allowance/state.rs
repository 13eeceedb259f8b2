//! Decisions of the allowance: one bucket an organisation.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::bucket::Bucket;
use super::message::{AllowanceAction, AllowanceEvent};
use crate::contract::View;
use crate::types::{OrganisationId, RequestId};

/// State of the allowance.
#[derive(Default)]
pub struct AllowanceState {
    view: Arc<View>,
    buckets: HashMap<OrganisationId, Bucket>,
}

impl AllowanceState {
    /// Takes one event and gives what is to be done.
    pub fn handle(&mut self, now: Instant, event: AllowanceEvent) -> Vec<AllowanceAction> {
        match event {
            AllowanceEvent::Take {
                request,
                organisation,
            } => vec![self.take(now, request, organisation)],
            AllowanceEvent::View(view) => {
                self.view = view;
                self.resize(now);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn take(
        &mut self,
        now: Instant,
        request: RequestId,
        organisation: OrganisationId,
    ) -> AllowanceAction {
        let Some(contract) = self.view.organisations.get(&organisation) else {
            return AllowanceAction::Refuse {
                request,
                retry_after: Duration::ZERO,
            };
        };
        let full = || Bucket::full(now, contract.rate_per_s, f64::from(contract.burst_count));
        let bucket = self.buckets.entry(organisation).or_insert_with(full);
        match bucket.take(now, 1.0) {
            Ok(()) => AllowanceAction::Grant { request },
            Err(retry_after) => AllowanceAction::Refuse {
                request,
                retry_after,
            },
        }
    }

    fn resize(&mut self, now: Instant) {
        for (organisation, bucket) in &mut self.buckets {
            let Some(contract) = self.view.organisations.get(organisation) else {
                continue;
            };
            bucket.resize(now, contract.rate_per_s, f64::from(contract.burst_count));
        }
    }
}
