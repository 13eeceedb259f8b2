//! A whole configuration in one document, for platforms that keep the newest configuration instead
//! of its changes.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::check::{
    BODY_LIMIT_BYTES, BURST_LIMIT_COUNT, DEADLINE_LIMIT_MS, RATE_LIMIT_PER_S, SLOTS_LIMIT_COUNT,
    WEIGHT_LIMIT_SHARE,
};
use super::message::{OrganisationContract, ServiceContract};
use super::state::{KeyState, View};
use crate::types::{DocumentVersion, DomainId, KeyHash, Offset, OrganisationId};

/// Limits on what callers may send; 0 leaves a limit to the routes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Longest body in bytes.
    pub body_limit_bytes: u64,
}

/// Whole configuration that operators have put in force, apart from failure domains.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Version that operators gave the configuration; a later one is greater. 0 without versions.
    #[serde(skip_serializing_if = "is_unversioned")]
    pub version: DocumentVersion,
    /// Contracts of services, with their routes.
    pub services: Vec<ServiceContract>,
    /// Contracts of all organisations.
    pub organisations: Vec<OrganisationContract>,
    /// Hashes of the granted keys with their organisations; all other keys are unknown.
    pub keys: Vec<(KeyHash, OrganisationId)>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

/// Returns whether a document has no version, so that it is written as before there were any.
fn is_unversioned(version: &DocumentVersion) -> bool {
    *version == 0
}

impl View {
    /// Builds the view of a whole configuration that was read up to `next`.
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
                Arc::new(view.with_interned_routes(bounded_organisation(contract.clone())));
            let id = contract.organisation.clone();
            view.organisations.insert(id, contract);
        }
        for (key_hash, organisation) in &document.keys {
            let state = KeyState {
                organisation: view.interned_organisation(organisation),
                version: next,
                withdrawn: false,
            };
            view.keys.insert(*key_hash, state);
        }
        view
    }
}

/// Returns the contract with every number within its bounds. A configuration is in force as a whole
/// or not at all, so one number out of bounds must not void the rest.
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

/// Returns the contract with every number within its bounds.
fn bounded_organisation(mut contract: OrganisationContract) -> OrganisationContract {
    contract.rate_per_s = bounded(contract.rate_per_s, RATE_LIMIT_PER_S);
    contract.burst_count = contract.burst_count.min(BURST_LIMIT_COUNT);
    contract.weight_share = contract.weight_share.min(WEIGHT_LIMIT_SHARE);
    contract
}

/// Returns the number between 0 and its limit; 0 if it is NaN.
fn bounded(figure: f64, limit: f64) -> f64 {
    match figure > 0.0 {
        true => figure.min(limit),
        false => 0.0,
    }
}
