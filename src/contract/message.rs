//! Records of the configuration stream, and what the view answers.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::{DomainId, KeyHash, Offset, OperationId, OrganisationId, RouteId, ServiceId};

/// What one organisation is granted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrganisationContract {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Requests a second over the whole fleet.
    pub rate_per_s: f64,
    /// Requests at once over the whole fleet.
    pub burst_count: u32,
    /// Share under overload, relative to other organisations.
    pub weight_share: u32,
    /// Routes it may use besides the open ones.
    pub routes: Vec<RouteId>,
    /// Whether it may use every route, `routes` or not.
    pub all_routes: bool,
    /// Whether `rate_per_s` and `burst_count` do not bind.
    pub unlimited: bool,
    /// Urgency of its requests in place of their route's, 0 being the greatest.
    pub rank: Option<u8>,
}

impl Default for OrganisationContract {
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

/// How one service is run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceContract {
    /// The service.
    pub service: ServiceId,
    /// Share of its backend servers that must stay in service, from 0 to 1.
    pub floor_share: f64,
    /// Slots of one backend server.
    pub slots_count: u32,
    /// Requests a second that one backend server bears in cold start; 0 where it is not known.
    pub cold_rate_per_s: f64,
    /// Path at which a backend server tells its health; empty where it has none.
    pub health_path: String,
    /// Its routes.
    pub routes: Vec<RouteContract>,
}

impl Default for ServiceContract {
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

/// One route of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteContract {
    /// The route, unique in the fleet.
    pub route: RouteId,
    /// Host that callers name; empty takes every host.
    pub host: String,
    /// HTTP method, in capitals; empty takes every method.
    pub method: String,
    /// Start of the paths that it takes.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a person waits for the answer.
    pub foreground: bool,
    /// Deadline of a request that names none; also the longest one a caller may ask for.
    pub deadline_ms: u64,
    /// Most bytes of a body.
    pub body_limit_bytes: u64,
    /// Time after which an answer has lost most of its worth to the caller; 0 where none is given.
    pub target_ms: u64,
    /// Most backend servers that one request may reach; 0 leaves it to the daemon's settings.
    pub attempts_limit_count: u32,
    /// Urgency of its requests, 0 being the greatest.
    pub rank: u8,
    /// Services that share its requests by weight; empty sends all to the route's own service.
    pub split: Vec<SplitPart>,
}

/// One service's part of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SplitPart {
    /// The service.
    pub service: ServiceId,
    /// Its part of the requests, relative to the other parts.
    pub weight_share: u32,
}

impl Default for RouteContract {
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

/// One record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Applied once, however often it was appended.
    pub operation: OperationId,
    /// Offset of the record that last changed the same object; none for a new object.
    pub base: Option<Offset>,
    /// Who asked for the change.
    pub author: String,
    /// Wall time of the change at its author, in milliseconds since the epoch; for people only.
    pub at_ms: u64,
    /// The change.
    pub change: Change,
}

/// One change of configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Puts an organisation's contract in force.
    PublishOrganisation {
        /// The whole contract.
        contract: OrganisationContract,
    },
    /// Puts a service's contract in force.
    PublishService {
        /// The whole contract.
        contract: ServiceContract,
    },
    /// Grants a key to an organisation.
    GrantKey {
        /// The organisation.
        organisation: OrganisationId,
        /// Hash of the key.
        key_hash: KeyHash,
    },
    /// Withdraws a key for good.
    WithdrawKey {
        /// Hash of the key.
        key_hash: KeyHash,
    },
    /// Takes a failure domain out of service.
    DomainOut {
        /// The failure domain.
        domain: DomainId,
        /// Whether the operator accepts that services fall below their floor.
        override_floor: bool,
    },
    /// Brings a failure domain back into service.
    DomainIn {
        /// The failure domain.
        domain: DomainId,
    },
}

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeVerdict {
    /// In force.
    Accepted,
    /// The object has changed since its base.
    StaleBase,
    /// The operation was seen before.
    Repeated,
    /// The change does not hold what a contract must.
    Invalid,
}

/// What a change is about. Versions are kept for each object.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ObjectId {
    /// An organisation's contract.
    Organisation(OrganisationId),
    /// A service's contract.
    Service(ServiceId),
    /// A key.
    Key(KeyHash),
    /// All failure domains together, so that of two racing operators only one takes one out.
    Domains,
}

impl ObjectId {
    /// The object of a change.
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
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectId::Organisation(id) => write!(f, "organisation/{id}"),
            ObjectId::Service(id) => write!(f, "service/{id}"),
            ObjectId::Key(key_hash) => write!(f, "key/{}", short_hash(key_hash)),
            ObjectId::Domains => f.write_str("domains"),
        }
    }
}

/// The first 16 hexadecimal digits of a key's hash, by which people know it.
pub fn short_hash(key_hash: &KeyHash) -> String {
    crate::wire::hex::encode(&key_hash[..8])
}

/// What an object holds before or after a change.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectState {
    /// Nothing.
    Absent,
    /// An organisation's contract.
    Organisation(Arc<OrganisationContract>),
    /// A service's contract.
    Service(Arc<ServiceContract>),
    /// A key.
    Key {
        /// The organisation that it was granted to.
        organisation: OrganisationId,
        /// Whether it is withdrawn.
        withdrawn: bool,
    },
    /// The failure domains that are out of service.
    Domains(BTreeSet<DomainId>),
}

/// One record of the configuration as it was read, with what it did.
#[derive(Debug, Clone, PartialEq)]
pub struct AppliedChange {
    /// Where the record stands.
    pub offset: Offset,
    /// The record.
    pub record: Record,
    /// Whether it holds.
    pub verdict: ChangeVerdict,
    /// The object before.
    pub before: ObjectState,
    /// The object after.
    pub after: ObjectState,
}

/// What the view knows of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookup {
    /// Granted to this organisation.
    Granted(OrganisationId),
    /// Withdrawn.
    Withdrawn,
    /// Never granted.
    Unknown,
}
