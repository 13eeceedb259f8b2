//! The view and the rule by which a record changes it.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use super::message::{
    Change, KeyAnswer, OrganisationContract, Record, RouteContract, ServiceContract, Verdict,
};
use crate::types::{DomainId, KeyHash, Offset, OperationId, OrganisationId, ServiceId};

/// What one prefix of the configuration stream puts in force.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Offset after the last record applied. Never falls.
    pub next: Offset,
    /// Contracts of organisations.
    pub organisations: HashMap<OrganisationId, Arc<OrganisationContract>>,
    /// Contracts of services.
    pub services: HashMap<ServiceId, Arc<ServiceContract>>,
    /// Failure domains that are out of service.
    pub domains_out: BTreeSet<DomainId>,
    keys: HashMap<KeyHash, KeyState>,
    versions: HashMap<String, Offset>,
    operations: HashSet<OperationId>,
}

#[derive(Debug, Clone)]
struct KeyState {
    organisation: OrganisationId,
    /// Only ever turns from false to true.
    withdrawn: bool,
}

impl View {
    /// Applies the record at `offset`. A record below `next` changes nothing.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        if offset < self.next {
            return Verdict::Repeated;
        }
        self.next = offset + 1;
        if !self.operations.insert(record.operation) {
            return Verdict::Repeated;
        }
        let object = object_of(&record.change);
        if self.versions.get(&object).copied() != record.base {
            return Verdict::StaleBase;
        }
        self.versions.insert(object, offset);
        self.change(&record.change);
        Verdict::Accepted
    }

    /// Offset of the record that last changed the object of this change.
    pub fn base_of(&self, change: &Change) -> Option<Offset> {
        self.versions.get(&object_of(change)).copied()
    }

    /// What is known of a key.
    pub fn key(&self, key_hash: &KeyHash) -> KeyAnswer {
        match self.keys.get(key_hash) {
            None => KeyAnswer::Unknown,
            Some(state) if state.withdrawn => KeyAnswer::Withdrawn,
            Some(state) => KeyAnswer::Granted(state.organisation.clone()),
        }
    }

    /// The route with the longest path prefix that takes this method and path.
    pub fn route(&self, method: &str, path: &str) -> RouteAnswer<'_> {
        let mut best = RouteAnswer::Unknown;
        let mut best_length = 0;
        for service in self.services.values() {
            for route in &service.routes {
                if !path.starts_with(&route.path_prefix) {
                    continue;
                }
                if route.method != method {
                    if matches!(best, RouteAnswer::Unknown) {
                        best = RouteAnswer::OtherMethod;
                    }
                    continue;
                }
                if route.path_prefix.len() < best_length {
                    continue;
                }
                best_length = route.path_prefix.len();
                best = RouteAnswer::Found(service, route);
            }
        }
        best
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::PublishOrganisation { contract } => {
                self.organisations
                    .insert(contract.organisation.clone(), Arc::new(contract.clone()));
            }
            Change::PublishService { contract } => {
                self.services
                    .insert(contract.service.clone(), Arc::new(contract.clone()));
            }
            Change::GrantKey {
                organisation,
                key_hash,
            } => {
                let state = KeyState {
                    organisation: organisation.clone(),
                    withdrawn: false,
                };
                self.keys.entry(*key_hash).or_insert(state);
            }
            Change::WithdrawKey { key_hash } => {
                if let Some(state) = self.keys.get_mut(key_hash) {
                    state.withdrawn = true;
                }
            }
            Change::DomainOut { domain, .. } => {
                self.domains_out.insert(domain.clone());
            }
            Change::DomainIn { domain } => {
                self.domains_out.remove(domain);
            }
        }
    }
}

/// What the view knows of a method and path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouteAnswer<'a> {
    /// The service and route.
    Found(&'a Arc<ServiceContract>, &'a RouteContract),
    /// The path is known with another method only.
    OtherMethod,
    /// No route.
    Unknown,
}

fn object_of(change: &Change) -> String {
    match change {
        Change::PublishOrganisation { contract } => {
            format!("organisation/{}", contract.organisation)
        }
        Change::PublishService { contract } => format!("service/{}", contract.service),
        Change::GrantKey { key_hash, .. } | Change::WithdrawKey { key_hash } => {
            format!("key/{}", crate::wire::hex::encode(key_hash))
        }
        Change::DomainOut { domain, .. } | Change::DomainIn { domain } => {
            format!("domain/{domain}")
        }
    }
}
