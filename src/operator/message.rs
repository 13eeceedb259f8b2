//! Operators' requests and answers, and the events and actions of the operator duty.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::audit::{Decision, Trail, TrailQuery};
use crate::contract::{ContractError, OrganisationContract, Record, ServiceContract, View};
use crate::error::ErrorKind;
use crate::journal::SubmitOutcome;
use crate::membership::Fleet;
use crate::types::{
    DaemonId, DomainId, Incarnation, KeyHash, Offset, OperationId, OrganisationId, ServiceId,
};
use crate::wire::exchange::Exchange;

/// Number that identifies one request within the operator duty.
pub type Ticket = u64;

/// Contracts of organisations and services, as a contract file holds them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ContractFile {
    /// Contracts of services, in the order of the file.
    pub services: Vec<ServiceContract>,
    /// Contracts of organisations, in the order of the file.
    pub organisations: Vec<OrganisationContract>,
}

/// Contracts that an operator publishes in one request.
#[derive(Debug, Clone, PartialEq)]
pub struct PublishRequest {
    /// Identifies the whole request; the operation of each object is derived from it.
    pub operation: OperationId,
    /// The contracts to be published.
    pub contracts: ContractFile,
    /// Offsets of the versions on which the operator based the contracts, by object. An object that
    /// is not listed is based on the current version.
    pub bases: BTreeMap<String, Option<Offset>>,
}

/// Request of an operator, as the HTTP API receives it.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// Reads the state of this daemon and the fleet.
    Status,
    /// Reads the contracts in force.
    Contracts,
    /// Publishes contracts of organisations and services.
    Publish(PublishRequest),
    /// Grants a key to an organisation.
    GrantKey {
        /// Operation that identifies the change when it is sent again.
        operation: OperationId,
        /// Organisation that may use the key.
        organisation: OrganisationId,
        /// SHA-256 hash of the key.
        key_hash: KeyHash,
    },
    /// Withdraws a key, so that no request may use it.
    WithdrawKey {
        /// Operation that identifies the change when it is sent again.
        operation: OperationId,
        /// SHA-256 hash of the key.
        key_hash: KeyHash,
    },
    /// Reads the known keys.
    Keys {
        /// Restricts the answer to the keys of one organisation; `None` requests all keys.
        organisation: Option<OrganisationId>,
    },
    /// Takes a failure domain out of service.
    DomainOut {
        /// Operation that identifies the change when it is sent again.
        operation: OperationId,
        /// Failure domain to be taken out of service.
        domain: DomainId,
        /// Whether services may fall below their floor.
        override_floor: bool,
    },
    /// Returns a failure domain to service.
    DomainIn {
        /// Operation that identifies the change when it is sent again.
        operation: OperationId,
        /// Failure domain to be returned to service.
        domain: DomainId,
    },
    /// Reads the known failure domains.
    Domains,
    /// Reads decisions and changes from the audit trail.
    Trail(TrailQuery),
}

/// State of this daemon and what it knows of the configuration and the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Id of the answering daemon.
    pub daemon: DaemonId,
    /// Current incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Offset up to which the configuration is in force here.
    pub next: Offset,
    /// Whether requests may rely on the configuration.
    pub usable: bool,
    /// Whether the platform's log answers.
    pub log_reachable: bool,
    /// Number of withdrawn keys whose withdrawal the log does not hold yet.
    pub tombstone_count: usize,
    /// Number of organisations that have a contract.
    pub organisation_count: usize,
    /// Number of services that have a contract.
    pub service_count: usize,
    /// Number of known keys, including withdrawn ones.
    pub key_count: usize,
    /// Number of known daemons, including this one.
    pub daemon_count: usize,
    /// Failure domains that are out of service.
    pub domains_out: BTreeSet<DomainId>,
    /// Services that have a contract, with the state of their servers.
    pub services: Vec<ServiceStatus>,
    /// Values of this daemon's counters, by name.
    pub counts: BTreeMap<String, u64>,
}

/// Number of servers of one service, and how many of them are in service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Service to which the counts belong.
    pub service: ServiceId,
    /// Number of servers that daemons announce.
    pub server_count: usize,
    /// Number of servers in service: not draining, with a share of the requests, not in a failure
    /// domain that is out of service and not on the VM of a daemon that is leaving.
    pub serving_count: usize,
    /// Number of servers that must stay in service.
    pub floor_count: usize,
}

/// A contract with the offset of the record that put it in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Offset of the record that last changed the contract.
    pub version: Option<Offset>,
    /// Contract of a service or an organisation.
    pub contract: T,
}

/// Contracts in force, with their versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ContractsAnswer {
    /// Offset up to which the configuration was read.
    pub next: Offset,
    /// Contracts of services, in order of their names.
    pub services: Vec<Versioned<Arc<ServiceContract>>>,
    /// Contracts of organisations, in order of their names.
    pub organisations: Vec<Versioned<Arc<OrganisationContract>>>,
}

/// A known key, identified by its hash.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyRow {
    /// Organisation to which the key was granted.
    pub organisation: OrganisationId,
    /// SHA-256 hash of the key, in hexadecimal.
    pub key_hash: String,
    /// Whether the key is withdrawn.
    pub withdrawn: bool,
}

/// A known failure domain and the number of its daemons and servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRow {
    /// Id of the failure domain.
    pub domain: DomainId,
    /// Whether the failure domain is out of service.
    pub out: bool,
    /// Offset of the record that last returned the failure domain to service.
    pub back_at: Option<Offset>,
    /// Number of known daemons in the failure domain.
    pub daemon_count: usize,
    /// Number of known backend servers in the failure domain.
    pub server_count: usize,
}

/// Outcome of the change of one object of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResult {
    /// Object that the change is about, such as `organisation/optician-1`.
    pub object: String,
    /// Operation of the change, which may be sent again when the outcome is unknown.
    pub operation: String,
    /// Outcome of the change; `None` when the object already had the requested contents.
    pub outcome: Option<SubmitOutcome>,
}

/// Reason for which a request was refused. It changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Kind of the error, which determines the status and the code.
    pub kind: ErrorKind,
    /// Message for the operator, one sentence.
    pub text: String,
    /// Invalid fields or violated floors, if the refusal is about such.
    pub errors: Vec<ContractError>,
}

impl Refusal {
    /// Creates a refusal with the message of its kind.
    pub fn new(kind: ErrorKind) -> Refusal {
        Refusal {
            kind,
            text: kind.row().text.to_owned(),
            errors: Vec::new(),
        }
    }

    /// Creates a refusal of a change that lists its invalid fields.
    pub fn invalid(errors: Vec<ContractError>) -> Refusal {
        Refusal {
            errors,
            ..Refusal::new(ErrorKind::ChangeInvalid)
        }
    }
}

/// Answer to an operator's request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorAnswer {
    /// State of the daemon and the fleet, answers `OperatorRequest::Status`.
    Status(Box<StatusAnswer>),
    /// Contracts in force, answers `OperatorRequest::Contracts`.
    Contracts(ContractsAnswer),
    /// Answers a request for changes, with one result for each object.
    Results(Vec<ChangeResult>),
    /// Known keys in order of organisation, answers `OperatorRequest::Keys`.
    Keys(Vec<KeyRow>),
    /// Known failure domains by name, answers `OperatorRequest::Domains`.
    Domains(Vec<DomainRow>),
    /// Matching part of the audit trail, answers `OperatorRequest::Trail`.
    Trail(Trail),
    /// Refuses the request, which changed nothing.
    Refused(Refusal),
}

/// Event that the operator duty's state handles.
pub enum OperatorEvent {
    /// An authenticated operator sent a request.
    RequestArrived {
        /// Identifies the request in its answer.
        ticket: Ticket,
        /// Name of the operator.
        operator: String,
        /// Wall time of the arrival, in milliseconds since the epoch.
        at_ms: u64,
        /// What the operator requests.
        request: OperatorRequest,
    },
    /// A new view of the configuration is in force.
    View(Arc<View>),
    /// The daemons of the fleet changed.
    Fleet(Arc<Fleet>),
    /// Whether requests may rely on the view.
    ViewUsable(bool),
    /// Whether the platform's log answers.
    LogReachable(bool),
    /// The journal reports the outcome of a change.
    ChangeResolved {
        /// Operation that the change belongs to.
        operation: OperationId,
        /// Outcome that the operator is answered.
        outcome: SubmitOutcome,
    },
    /// The audit duty answered a query.
    TrailAnswered {
        /// Identifies the request that caused the query.
        ticket: Ticket,
        /// Decisions and changes that match the query.
        trail: Trail,
    },
}

/// Message to the operator duty's thread, which keeps the exchanges outside the state.
pub enum OperatorMessage {
    /// An authenticated operator sent a request.
    RequestArrived {
        /// Name of the operator.
        operator: String,
        /// What the operator requests.
        request: OperatorRequest,
        /// Exchange through which the request is answered.
        exchange: Box<dyn Exchange>,
    },
    /// Any other event, passed to the state as it is.
    Event(OperatorEvent),
    /// The daemon stops, and the duty ends.
    Stop,
}

/// Action that the operator duty's state requests.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorAction {
    /// Sends the answer to a request.
    Answer {
        /// Identifies the answered request.
        ticket: Ticket,
        /// Answer that the operator receives.
        answer: OperatorAnswer,
    },
    /// Submits a change to the journal.
    Submit(Box<Record>),
    /// Queries the audit trail; the result comes back as `OperatorEvent::TrailAnswered`.
    QueryTrail {
        /// Identifies the request that caused the query.
        ticket: Ticket,
        /// Subject of the query and the maximum size of its result.
        query: TrailQuery,
    },
    /// Records a decision in the audit trail.
    RecordDecision(Decision),
}
