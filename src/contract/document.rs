//! A whole configuration at once, for platforms that keep the newest one instead of its changes.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::check::{
    BODY_LIMIT_BYTES, BURST_LIMIT_COUNT, DEADLINE_LIMIT_MS, RATE_LIMIT_PER_S, SLOTS_LIMIT_COUNT,
    WEIGHT_LIMIT_SHARE,
};
use super::message::{OrganisationContract, ServiceContract};
use super::state::{KeyState, View};
use crate::types::{DomainId, KeyHash, Offset, OrganisationId};

/// What callers may send; 0 leaves a limit to the routes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Most bytes of a body.
    pub body_limit_bytes: u64,
}

/// Everything that operators have put in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Contracts of services, with their routes.
    pub services: Vec<ServiceContract>,
    /// Contracts of organisations.
    pub organisations: Vec<OrganisationContract>,
    /// Keys that are granted; all others are unknown.
    pub keys: Vec<(KeyHash, OrganisationId)>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl View {
    /// The view of a whole configuration that was read up to `next`.
    pub fn from_document(
        next: Offset,
        document: &Document,
        domains_out: BTreeSet<DomainId>,
    ) -> View {
        let mut view = View {
            next,
            domains_out,
            limits: document.limits,
            ..Default::default()
        };
        for service in &document.services {
            view.put_service(Arc::new(bounded_service(service.clone())));
        }
        for contract in &document.organisations {
            let contract =
                Arc::new(view.with_shared_routes(bounded_organisation(contract.clone())));
            let id = contract.organisation.clone();
            view.organisations.insert(id, contract);
        }
        for (key_hash, organisation) in &document.keys {
            let state = KeyState {
                organisation: view.shared_name(organisation),
                version: next,
                withdrawn: false,
            };
            view.keys.insert(*key_hash, state);
        }
        view
    }
}

/// The contract with every figure at most at its bound. A whole configuration is in force or not, so
/// one odd figure does not void the rest.
fn bounded_service(mut contract: ServiceContract) -> ServiceContract {
    contract.floor_share = bounded(contract.floor_share, 1.0);
    contract.cold_rate_per_s = bounded(contract.cold_rate_per_s, RATE_LIMIT_PER_S);
    contract.slots_count = contract.slots_count.min(SLOTS_LIMIT_COUNT);
    for route in &mut contract.routes {
        route.deadline_ms = route.deadline_ms.min(DEADLINE_LIMIT_MS);
        route.target_ms = route.target_ms.min(DEADLINE_LIMIT_MS);
        route.body_limit_bytes = route.body_limit_bytes.min(BODY_LIMIT_BYTES);
    }
    contract
}

fn bounded_organisation(mut contract: OrganisationContract) -> OrganisationContract {
    contract.rate_per_s = bounded(contract.rate_per_s, RATE_LIMIT_PER_S);
    contract.burst_count = contract.burst_count.min(BURST_LIMIT_COUNT);
    contract.weight_share = contract.weight_share.min(WEIGHT_LIMIT_SHARE);
    contract
}

/// The figure from 0 to its limit; 0 for what is no number.
fn bounded(figure: f64, limit: f64) -> f64 {
    match figure > 0.0 {
        true => figure.min(limit),
        false => 0.0,
    }
}
