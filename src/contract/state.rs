//! The view, and the rule by which a record changes it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use imbl::{HashMap, HashSet, OrdMap, Vector};

use super::check::check_change;
use super::document::CallerLimits;
use super::message::{
    Change, ChangeVerdict, KeyLookup, ObjectId, ObjectState, OrganisationContract, Record,
    ServiceContract,
};
use super::routes::RouteIndex;
pub use super::routes::RouteLookup;
use crate::allowance::partition::{shard_count, ShardIndex};
use crate::feed::FeedPosition;
use crate::rollout::RolloutOrder;
use crate::types::{
    DomainId, KeyHash, Offset, OperationId, OrganisationId, RouteId, ServiceId, StoreEra,
};

/// The configuration that one prefix of the stream puts in force. A clone shares all unchanged
/// parts.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Era of the platform's store that `next` belongs to. Never decreases.
    pub era: StoreEra,
    /// Offset after the last record that was read. Never decreases within an era.
    pub next: Offset,
    /// Contracts of all organisations.
    pub organisations: OrdMap<OrganisationId, Arc<OrganisationContract>>,
    /// Shard counts of organisations whose count differs from the one that their present contract
    /// alone would lead to.
    pub shard_counts: BTreeMap<OrganisationId, ShardIndex>,
    /// Contracts of all services.
    pub services: HashMap<ServiceId, Arc<ServiceContract>>,
    /// Failure domains that are out of service.
    pub domains_out: BTreeSet<DomainId>,
    /// Offset at which a failure domain last returned to service. A guard that sees the offset of
    /// its own domain grow treats the backend servers on its VM as cold.
    pub domains_back: BTreeMap<DomainId, Offset>,
    /// Orders to roll out a version of a service's software.
    pub rollouts: BTreeMap<ServiceId, Arc<RolloutOrder>>,
    /// Keys withdrawn without the log. Not part of the prefix; a key is removed only when the log
    /// has its withdrawal.
    pub tombstones: HashSet<KeyHash>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Every key that the log has, by its hash.
    pub(super) keys: OrdMap<KeyHash, KeyState>,
    /// Offset of the record that last changed each organisation.
    pub(super) organisation_versions: OrdMap<OrganisationId, Offset>,
    /// Offset of the record that last changed each service.
    pub(super) service_versions: HashMap<ServiceId, Offset>,
    /// Offset of the record that last changed any failure domain.
    pub(super) domains_version: Option<Offset>,
    /// The newest operations, oldest first; at most `OPERATION_LIMIT_COUNT`.
    pub(super) operations: Vector<OperationId>,
    /// The operations in `operations`, for lookups.
    pub(super) operations_seen: HashSet<OperationId>,
    /// Finds the route of a request.
    pub(super) routes: RouteIndex,
    /// Names of routes, so that all organisations that may use a route share one string.
    pub(super) route_names: HashMap<RouteId, RouteId>,
}

/// Most operations that are remembered. A repetition of an older one still has no effect, since its
/// base is stale by then.
pub const OPERATION_LIMIT_COUNT: usize = 1_024;

/// What the log has recorded about one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct KeyState {
    /// The organisation of the key; empty if it was withdrawn before it was granted.
    pub(super) organisation: OrganisationId,
    /// Offset of the record that last changed the key.
    pub(super) version: Offset,
    /// Whether the key is withdrawn. Never returns to false.
    pub(super) withdrawn: bool,
}

impl View {
    /// Returns the position up to which the configuration was read.
    pub fn position(&self) -> FeedPosition {
        FeedPosition {
            era: self.era,
            next: self.next,
        }
    }

    /// Applies the record at `offset`. A record below `next` changes nothing.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> ChangeVerdict {
        if offset < self.next {
            return ChangeVerdict::Repeated;
        }
        self.next = offset + 1;
        if !self.record_operation(record.operation) {
            return ChangeVerdict::Repeated;
        }
        if !check_change(&record.change).is_empty() {
            return ChangeVerdict::Invalid;
        }
        if !self.is_base_current(record) {
            return ChangeVerdict::StaleBase;
        }
        self.apply_change(offset, &record.change);
        ChangeVerdict::Accepted
    }

    /// Records that every record below `next` was read.
    pub fn read_up_to(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }

    /// Withdraws a key without the log. Returns whether it was not withdrawn before.
    pub fn add_tombstone(&mut self, key_hash: KeyHash) -> bool {
        if self.is_withdrawn(&key_hash) {
            return false;
        }
        self.tombstones.insert(key_hash).is_none()
    }

    /// Returns the offset of the record that last changed the object of this change.
    pub fn base_of(&self, change: &Change) -> Option<Offset> {
        self.version(&ObjectId::of(change))
    }

    /// Returns the offset of the record that last changed an object; none if there is none.
    pub fn version(&self, object: &ObjectId) -> Option<Offset> {
        match object {
            ObjectId::Organisation(id) => self.organisation_versions.get(id).copied(),
            ObjectId::Service(id) => self.service_versions.get(id).copied(),
            ObjectId::Key(key_hash) => self.keys.get(key_hash).map(|state| state.version),
            ObjectId::Domains => self.domains_version,
        }
    }

    /// Returns what an object holds now.
    pub fn object(&self, object: &ObjectId) -> ObjectState {
        match object {
            ObjectId::Organisation(id) => match self.organisations.get(id) {
                Some(contract) => ObjectState::Organisation(contract.clone()),
                None => ObjectState::Absent,
            },
            ObjectId::Service(id) => match self.services.get(id) {
                Some(contract) => ObjectState::Service(contract.clone()),
                None => ObjectState::Absent,
            },
            ObjectId::Key(key_hash) => match self.keys.get(key_hash) {
                Some(state) => ObjectState::Key {
                    organisation: state.organisation.clone(),
                    withdrawn: state.withdrawn,
                },
                None => ObjectState::Absent,
            },
            ObjectId::Domains => ObjectState::Domains(self.domains_out.clone()),
        }
    }

    /// Returns whether an operation is among the newest that were read.
    pub fn has_seen(&self, operation: OperationId) -> bool {
        self.operations_seen.contains(&operation)
    }

    /// Looks up a key by its hash.
    pub fn key(&self, key_hash: &KeyHash) -> KeyLookup {
        if self.is_withdrawn(key_hash) {
            return KeyLookup::Withdrawn;
        }
        match self.keys.get(key_hash) {
            None => KeyLookup::Unknown,
            Some(state) => KeyLookup::Granted(state.organisation.clone()),
        }
    }

    /// Returns every key that the log has, with its organisation and whether it is withdrawn.
    pub fn keys(&self) -> impl Iterator<Item = (&KeyHash, &OrganisationId, bool)> {
        self.keys
            .iter()
            .map(|(key_hash, state)| (key_hash, &state.organisation, self.is_withdrawn(key_hash)))
    }

    /// Returns whether a key is withdrawn, by the log or without it.
    pub fn is_withdrawn(&self, key_hash: &KeyHash) -> bool {
        let by_log = self.keys.get(key_hash).is_some_and(|state| state.withdrawn);
        by_log || self.tombstones.contains(key_hash)
    }

    /// Returns the route with the longest path prefix that matches this host, method and path.
    pub fn route(&self, host: &str, method: &str, path: &str) -> RouteLookup<'_> {
        self.routes.find(&self.services, host, method, path)
    }

    /// Remembers an operation and forgets the oldest beyond the limit. Returns false if it was
    /// known.
    pub(super) fn record_operation(&mut self, operation: OperationId) -> bool {
        if self.operations_seen.insert(operation).is_some() {
            return false;
        }
        self.operations.push_back(operation);
        if self.operations.len() > OPERATION_LIMIT_COUNT {
            if let Some(oldest) = self.operations.pop_front() {
                self.operations_seen.remove(&oldest);
            }
        }
        true
    }

    /// Returns whether the record's base is the object's present version. A withdrawal is valid on
    /// any base: withdrawals only accumulate, so it can't undo another change.
    fn is_base_current(&self, record: &Record) -> bool {
        match &record.change {
            Change::WithdrawKey { .. } => true,
            Change::GrantKey { key_hash, .. } => {
                record.base.is_none() && !self.keys.contains_key(key_hash)
            }
            change => self.base_of(change) == record.base,
        }
    }

    /// Changes the object of a valid record and sets its version to `offset`.
    fn apply_change(&mut self, offset: Offset, change: &Change) {
        match change {
            Change::PublishOrganisation { contract } => {
                let id = contract.organisation.clone();
                self.keep_shard_count(contract);
                self.organisation_versions.insert(id.clone(), offset);
                let contract = Arc::new(self.with_interned_routes(contract.clone()));
                self.organisations.insert(id, contract);
            }
            Change::PublishService { contract } => self.change_service(offset, contract),
            Change::GrantKey {
                organisation,
                key_hash,
            } => {
                let state = KeyState {
                    organisation: self.interned_organisation(organisation),
                    version: offset,
                    withdrawn: false,
                };
                self.keys.insert(*key_hash, state);
            }
            Change::WithdrawKey { key_hash } => self.withdraw_key(offset, key_hash),
            Change::DomainOut { domain, .. } => {
                self.domains_version = Some(offset);
                self.domains_out.insert(domain.clone());
            }
            Change::DomainIn { domain } => {
                self.domains_version = Some(offset);
                if self.domains_out.remove(domain) {
                    self.domains_back.insert(domain.clone(), offset);
                }
            }
        }
    }

    /// Returns into how many shards the allowance of an organisation is split. The count does not
    /// change while the organisation exists.
    pub fn shard_count(&self, contract: &OrganisationContract) -> ShardIndex {
        let kept = self.shard_counts.get(&contract.organisation);
        kept.copied().unwrap_or_else(|| shard_count(contract))
    }

    /// Keeps the present shard count of an organisation whose new contract would lead to another
    /// one.
    fn keep_shard_count(&mut self, contract: &OrganisationContract) {
        let Some(before) = self.organisations.get(&contract.organisation) else {
            return;
        };
        let kept = self.shard_count(before);
        if kept == shard_count(contract) {
            self.shard_counts.remove(&contract.organisation);
        } else {
            self.shard_counts
                .insert(contract.organisation.clone(), kept);
        }
    }

    /// Puts a service's contract in force and sets its version to `offset`.
    fn change_service(&mut self, offset: Offset, contract: &ServiceContract) {
        let id = contract.service.clone();
        self.service_versions.insert(id, offset);
        self.put_service(Arc::new(contract.clone()));
    }

    /// Puts a service's routes and contract in force.
    pub(super) fn put_service(&mut self, contract: Arc<ServiceContract>) {
        let id = contract.service.clone();
        self.routes.replace(self.services.get(&id), &contract);
        for route in &contract.routes {
            let name = route.route.clone();
            self.route_names.insert(name.clone(), name);
        }
        self.services.insert(id, contract);
    }

    /// Returns the contract with names of routes that share one string with the route itself.
    pub(super) fn with_interned_routes(
        &self,
        mut contract: OrganisationContract,
    ) -> OrganisationContract {
        for route in &mut contract.routes {
            if let Some(shared) = self.route_names.get(route) {
                *route = shared.clone();
            }
        }
        contract
    }

    /// Marks a key as withdrawn in the log, and removes its tombstone.
    fn withdraw_key(&mut self, offset: Offset, key_hash: &KeyHash) {
        self.tombstones.remove(key_hash);
        let state = self.keys.entry(*key_hash).or_insert_with(|| KeyState {
            organisation: "".into(),
            version: offset,
            withdrawn: false,
        });
        if !state.withdrawn {
            state.withdrawn = true;
            state.version = offset;
        }
    }

    /// Returns the organisation's name as its contract has it, so that its keys share one string.
    pub(super) fn interned_organisation(&self, organisation: &OrganisationId) -> OrganisationId {
        self.organisations
            .get(organisation)
            .map_or_else(|| organisation.clone(), |held| held.organisation.clone())
    }
}
