//! A whole configuration at once, for platforms that keep the newest one instead of its changes.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

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
    pub fn of_document(next: Offset, document: &Document, domains_out: BTreeSet<DomainId>) -> View {
        let mut view = View {
            next,
            domains_out,
            limits: document.limits,
            ..Default::default()
        };
        for service in &document.services {
            view.put_service(Arc::new(service.clone()));
        }
        for contract in &document.organisations {
            let contract = Arc::new(view.with_shared_routes(contract.clone()));
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
