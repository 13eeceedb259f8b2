//! Records of the configuration stream, and the results of lookups in the view.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::{DomainId, KeyHash, Offset, OperationId, OrganisationId, RouteId, ServiceId};

/// Contract of one organisation: its limits, weight and routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrganisationContract {
    /// The organisation that the contract is for.
    pub organisation: OrganisationId,
    /// Requests a second over the whole fleet.
    pub rate_per_s: f64,
    /// Burst: requests that may come at once over the whole fleet.
    pub burst_count: u32,
    /// Weight under overload, relative to other organisations.
    pub weight_share: u32,
    /// Routes that the organisation may use besides the open ones.
    pub routes: Vec<RouteId>,
    /// Whether the organisation may use every route, whatever `routes` lists.
    pub all_routes: bool,
    /// Whether `rate_per_s` and `burst_count` do not apply.
    pub unlimited: bool,
    /// Urgency of the organisation's requests in place of their route's; 0 is the greatest.
    pub rank: Option<u8>,
}

impl Default for OrganisationContract {
    /// Returns the values of fields that a contract leaves out.
    fn default() -> Self {
        OrganisationContract {
            organisation: "".into(),
            rate_per_s: 1.0,
            burst_count: 1,
            weight_share: 1,
            routes: Vec::new(),
            all_routes: false,
            unlimited: false,
            rank: None,
        }
    }
}

/// Contract of one service: its floor, the slots and cold rate of its servers, and its routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceContract {
    /// The service that the contract is for.
    pub service: ServiceId,
    /// Share of its backend servers that must stay in service, from 0 to 1.
    pub floor_share: f64,
    /// Requests that one backend server may run at a time.
    pub slots_count: u32,
    /// Requests a second that one backend server can take during a cold start; 0 if not known.
    pub cold_rate_per_s: f64,
    /// Path at which a backend server reports its health; empty if it has none.
    pub health_path: String,
    /// The routes that the service serves.
    pub routes: Vec<RouteContract>,
}

impl Default for ServiceContract {
    /// Returns the values of fields that a contract leaves out.
    fn default() -> Self {
        ServiceContract {
            service: "".into(),
            floor_share: 0.5,
            slots_count: 5,
            cold_rate_per_s: 0.0,
            health_path: String::new(),
            routes: Vec::new(),
        }
    }
}

/// One route of a service: which requests match it, and how they are run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteContract {
    /// Name of the route, unique in the fleet.
    pub route: RouteId,
    /// Host that callers name; empty matches every host.
    pub host: String,
    /// HTTP method in upper case; empty matches every method.
    pub method: String,
    /// Prefix of the paths that match.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a person waits for the answer.
    pub foreground: bool,
    /// Deadline of a request that sets none; also the longest one that a caller may ask for.
    pub deadline_ms: u64,
    /// Longest body in bytes.
    pub body_limit_bytes: u64,
    /// Time after which an answer has lost most of its value to the caller; 0 if the route sets
    /// none.
    pub target_ms: u64,
    /// Most backend servers that one request may reach; 0 leaves it to the daemon's settings.
    pub attempts_limit_count: u32,
    /// Urgency of its requests; 0 is the greatest.
    pub rank: u8,
    /// Services that share the route's requests by weight; if empty, all go to its own service.
    pub split: Vec<SplitPart>,
}

/// One service's share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SplitPart {
    /// The service that gets the share.
    pub service: ServiceId,
    /// Weight of the service, relative to the other parts.
    pub weight_share: u32,
}

impl Default for RouteContract {
    /// Returns the values of fields that a route leaves out.
    fn default() -> Self {
        RouteContract {
            route: "".into(),
            host: String::new(),
            method: "GET".to_owned(),
            path_prefix: "/".to_owned(),
            repeatable: false,
            open: false,
            foreground: true,
            deadline_ms: 10_000,
            body_limit_bytes: 1_048_576,
            target_ms: 0,
            attempts_limit_count: 0,
            rank: 1,
            split: Vec::new(),
        }
    }
}

/// One record of the configuration stream: a change with its author and its base.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Identifies the operation, which is applied once however often it was appended.
    pub operation: OperationId,
    /// Offset of the record that last changed the same object; none for a new object.
    pub base: Option<Offset>,
    /// Operator who asked for the change.
    pub author: String,
    /// Wall time of the change at its author, in milliseconds since the epoch; only for display.
    pub at_ms: u64,
    /// What the record changes in the configuration.
    pub change: Change,
}

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Puts an organisation's contract in force.
    PublishOrganisation {
        /// The whole contract, which replaces the last one.
        contract: OrganisationContract,
    },
    /// Puts a service's contract in force.
    PublishService {
        /// The whole contract, which replaces the last one.
        contract: ServiceContract,
    },
    /// Grants a key to an organisation.
    GrantKey {
        /// The organisation that may use the key.
        organisation: OrganisationId,
        /// SHA-256 hash of the key.
        key_hash: KeyHash,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// SHA-256 hash of the key.
        key_hash: KeyHash,
    },
    /// Takes a failure domain out of service.
    DomainOut {
        /// The failure domain that is taken out.
        domain: DomainId,
        /// Whether the operator accepts that services fall below their floor.
        override_floor: bool,
    },
    /// Returns a failure domain to service.
    DomainIn {
        /// The failure domain that is returned.
        domain: DomainId,
    },
}

/// Whether a record changed the view, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeVerdict {
    /// The change is in force.
    Accepted,
    /// The object has changed since the record's base.
    StaleBase,
    /// The operation was applied before.
    Repeated,
    /// The change is not a valid one; see `check_change`.
    Invalid,
}

/// The object that a change is about. Versions are kept for each object.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ObjectId {
    /// The contract of an organisation.
    Organisation(OrganisationId),
    /// The contract of a service.
    Service(ServiceId),
    /// The key with this hash.
    Key(KeyHash),
    /// All failure domains together, so that only one of two racing operators can take one out.
    Domains,
}

impl ObjectId {
    /// Returns the object of a change.
    pub fn of(change: &Change) -> ObjectId {
        match change {
            Change::PublishOrganisation { contract } => {
                ObjectId::Organisation(contract.organisation.clone())
            }
            Change::PublishService { contract } => ObjectId::Service(contract.service.clone()),
            Change::GrantKey { key_hash, .. } | Change::WithdrawKey { key_hash } => {
                ObjectId::Key(*key_hash)
            }
            Change::DomainOut { .. } | Change::DomainIn { .. } => ObjectId::Domains,
        }
    }
}

impl fmt::Display for ObjectId {
    /// Writes the kind and the id, such as `service/bookings`; a key by its short hash.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectId::Organisation(id) => write!(f, "organisation/{id}"),
            ObjectId::Service(id) => write!(f, "service/{id}"),
            ObjectId::Key(key_hash) => write!(f, "key/{}", short_hash(key_hash)),
            ObjectId::Domains => f.write_str("domains"),
        }
    }
}

/// Returns the first 16 hexadecimal digits of a key's hash, by which operators refer to the key.
pub fn short_hash(key_hash: &KeyHash) -> String {
    crate::wire::hex::encode(&key_hash[..8])
}

/// What an object holds before or after a change.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectState {
    /// The object does not exist.
    Absent,
    /// The contract of an organisation.
    Organisation(Arc<OrganisationContract>),
    /// The contract of a service.
    Service(Arc<ServiceContract>),
    /// A key that was granted or withdrawn.
    Key {
        /// The organisation that it was granted to; empty if it was withdrawn before any grant.
        organisation: OrganisationId,
        /// Whether the key is withdrawn.
        withdrawn: bool,
    },
    /// The failure domains that are out of service.
    Domains(BTreeSet<DomainId>),
}

/// One record of the configuration as it was read, with its effect.
#[derive(Debug, Clone, PartialEq)]
pub struct AppliedChange {
    /// Offset of the record in the stream.
    pub offset: Offset,
    /// The record as it was read.
    pub record: Record,
    /// Whether the record changed the view.
    pub verdict: ChangeVerdict,
    /// What the object of the change held before the record.
    pub before: ObjectState,
    /// What the object of the change holds after the record.
    pub after: ObjectState,
}

/// Result of looking up a key in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookup {
    /// The key is granted to this organisation.
    Granted(OrganisationId),
    /// The key was withdrawn.
    Withdrawn,
    /// The key was never granted.
    Unknown,
}
