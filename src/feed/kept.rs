//! What operators had put in force before the store returned from a copy, and which it may have lost.
//!
//! Operators write it again, but nobody knows when. Until then a configuration with a later version
//! stays in force, failure domains stay out of service, and orders of roll-outs stand.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::message::{ConfigurationItem, Snapshot};
use crate::contract::Document;
use crate::rollout::RolloutOrder;
use crate::types::{DocumentVersion, DomainId, ServiceId};

/// What was in force in earlier eras. Merging is commutative, so that daemons that saw different ends
/// of an era come to the same.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kept {
    /// The configuration with the latest version.
    pub document: Option<Arc<Document>>,
    /// Failure domains that were out of service and that operators have not named in this era.
    pub domains_out: BTreeSet<DomainId>,
    /// Orders of roll-outs of services that operators have not named in this era.
    pub rollouts: BTreeMap<ServiceId, Arc<RolloutOrder>>,
    /// Failure domains that operators have named in this era. Only grows.
    pub named_domains: BTreeSet<DomainId>,
    /// Services whose roll-outs operators have named in this era. Only grows.
    pub named_services: BTreeSet<ServiceId>,
}

impl Kept {
    /// Returns what is in force with a snapshot.
    pub fn in_force(snapshot: &Snapshot) -> Kept {
        let mut force = Kept {
            document: snapshot.document.clone(),
            domains_out: snapshot.domains_out.clone(),
            rollouts: snapshot.rollouts.clone(),
            ..Default::default()
        };
        let Some(kept) = &snapshot.kept else {
            return force;
        };
        force.take_document(kept.document.as_ref());
        force.domains_out.extend(kept.domains_out.iter().cloned());
        // An order in the copy that nobody knew may have been withdrawn since.
        force
            .rollouts
            .retain(|service, _| kept.named_services.contains(service));
        force.rollouts.extend(kept.rollouts.clone());
        force
    }

    /// Returns whether there is nothing to keep.
    pub fn is_empty(&self) -> bool {
        self.document.is_none() && self.domains_out.is_empty() && self.rollouts.is_empty()
    }

    /// Adds what another daemon keeps in the same era.
    pub fn merge(&mut self, other: &Kept) {
        self.take_document(other.document.as_ref());
        self.domains_out.extend(other.domains_out.iter().cloned());
        for (service, order) in &other.rollouts {
            let present = self.rollouts.get(service);
            // Any order that all daemons choose alike will do until the operator names the service.
            if present.is_none_or(|present| rank(present) < rank(order)) {
                self.rollouts.insert(service.clone(), order.clone());
            }
        }
        self.named_domains
            .extend(other.named_domains.iter().cloned());
        self.named_services
            .extend(other.named_services.iter().cloned());
        let named = &self.named_domains;
        self.domains_out.retain(|domain| !named.contains(domain));
        let named = &self.named_services;
        self.rollouts.retain(|service, _| !named.contains(service));
    }

    /// Records that operators have written an item in this era.
    pub fn record_named(&mut self, item: &ConfigurationItem) {
        match item {
            ConfigurationItem::DomainOut(domain) | ConfigurationItem::DomainIn(domain) => {
                self.domains_out.remove(domain);
                self.named_domains.insert(domain.clone());
            }
            ConfigurationItem::RolloutOrdered(order) => self.record_service(&order.service),
            ConfigurationItem::RolloutWithdrawn(service) => self.record_service(service),
            ConfigurationItem::Document(_) | ConfigurationItem::Unreadable { .. } => {}
        }
    }

    /// Records that operators have named the roll-out of a service in this era.
    fn record_service(&mut self, service: &ServiceId) {
        self.rollouts.remove(service);
        self.named_services.insert(service.clone());
    }

    /// Takes a document if its version is later than that of the present one.
    fn take_document(&mut self, document: Option<&Arc<Document>>) {
        if version(document) > version(self.document.as_ref()) || self.document.is_none() {
            self.document = document.cloned();
        }
    }
}

/// Returns the version of a document; 0 if there is none.
pub fn version(document: Option<&Arc<Document>>) -> DocumentVersion {
    document.map_or(0, |document| document.version)
}

/// Orders the orders of one service, by what they say.
fn rank(order: &RolloutOrder) -> (u64, &str, u64) {
    (order.order, &order.target_version, order.duration_ms)
}
