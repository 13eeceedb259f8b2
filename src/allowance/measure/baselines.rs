//! Two simpler policies that the escrow is compared with.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use super::Policy;
use crate::allowance::bucket::Bucket;
use crate::allowance::message::{AllowanceAction, AllowanceEvent};
use crate::allowance::partition::Candidate;
use crate::allowance::state::{AllowanceOptions, AllowanceState};
use crate::allowance::EscrowRecord;
use crate::contract::View;
use crate::settings::allowance::AllowanceSettings;
use crate::types::{OrganisationId, RequestId};

/// Policy that gives every daemon a fixed share of each rate and burst.
pub struct FixedShares {
    /// Index of this daemon, from 0.
    index: u32,
    daemon_count: u32,
    view: Arc<View>,
    buckets: HashMap<OrganisationId, Bucket>,
}

impl FixedShares {
    /// Returns the policy of daemon `index` of `daemon_count`.
    pub fn new(index: u32, daemon_count: u32) -> FixedShares {
        FixedShares {
            index,
            daemon_count,
            view: Arc::default(),
            buckets: HashMap::new(),
        }
    }

    fn take(
        &mut self,
        now: Instant,
        request: RequestId,
        organisation: OrganisationId,
    ) -> AllowanceAction {
        let refused = AllowanceAction::Refuse {
            kind: crate::error::ErrorKind::RateExceeded,
            request,
            retry_after: super::super::bucket::NEVER,
        };
        let Some(contract) = self.view.organisations.get(&organisation) else {
            return refused;
        };
        let parts = self.daemon_count;
        let burst = (contract.burst_count + parts - 1 - self.index) / parts;
        let rate_per_s = contract.rate_per_s / f64::from(parts);
        let make = || Bucket::full(now, rate_per_s, f64::from(burst));
        let bucket = self.buckets.entry(organisation).or_insert_with(make);
        match bucket.take(now, 1.0) {
            Ok(()) => AllowanceAction::Grant { request },
            Err(_) => refused,
        }
    }
}

impl Policy for FixedShares {
    fn handle(&mut self, now: Instant, event: AllowanceEvent) -> Vec<AllowanceAction> {
        match event {
            AllowanceEvent::Take {
                request,
                organisation,
            } => vec![self.take(now, request, organisation)],
            AllowanceEvent::View(view) => {
                self.view = view;
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn next_at(&self) -> Option<Instant> {
        None
    }
}

/// Policy with one home daemon for each organisation, which holds it by a lease in the log alone.
/// Every request asks the home for one token.
///
/// This is the escrow with one shard for each organisation, without grantors and without batches.
pub struct HomeLease {
    /// The escrow state, which sees every organisation with one shard.
    inner: AllowanceState,
}

impl HomeLease {
    /// Returns the policy of one daemon.
    pub fn new(own: Candidate) -> HomeLease {
        let settings = AllowanceSettings {
            batch_ms: 1,
            ..Default::default()
        };
        HomeLease {
            inner: AllowanceState::new(AllowanceOptions::new(own, settings)),
        }
    }
}

impl Policy for HomeLease {
    fn handle(&mut self, now: Instant, event: AllowanceEvent) -> Vec<AllowanceAction> {
        let event = match event {
            AllowanceEvent::View(view) => AllowanceEvent::View(Arc::new(with_one_shard(&view))),
            event => event,
        };
        let mut actions = self.inner.handle(now, event);
        actions.retain_mut(|action| match action {
            AllowanceAction::Append(EscrowRecord::Claim { grantor, .. }) => {
                *grantor = None;
                true
            }
            AllowanceAction::Append(EscrowRecord::Name { .. }) => false,
            _ => true,
        });
        actions
    }

    fn next_at(&self) -> Option<Instant> {
        self.inner.next_at()
    }
}

/// Returns the view with one shard for every organisation.
fn with_one_shard(view: &View) -> View {
    let mut view = view.clone();
    for organisation in view.organisations.keys() {
        view.shard_counts.insert(organisation.clone(), 1);
    }
    view
}
