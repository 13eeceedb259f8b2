//! What operators ask and are answered, and the events and actions of the operator duty.

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

/// Names one request in the duty.
pub type Ticket = u64;

/// Contracts of organisations and services, as a contract file holds them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ContractFile {
    /// Contracts of services.
    pub services: Vec<ServiceContract>,
    /// Contracts of organisations.
    pub organisations: Vec<OrganisationContract>,
}

/// Contracts to be put in force.
#[derive(Debug, Clone, PartialEq)]
pub struct PublishRequest {
    /// Names the whole request; each object's operation follows from it.
    pub operation: OperationId,
    /// The contracts.
    pub contracts: ContractFile,
    /// Versions that the operator has seen, by object; an object without one is taken as it is.
    pub bases: BTreeMap<String, Option<Offset>>,
}

/// What an operator asks.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// How this daemon and the fleet are.
    Status,
    /// The contracts in force.
    Contracts,
    /// Puts contracts in force.
    Publish(PublishRequest),
    /// Grants a key.
    GrantKey {
        /// The operation.
        operation: OperationId,
        /// To whom.
        organisation: OrganisationId,
        /// Hash of the key.
        key_hash: KeyHash,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// The operation.
        operation: OperationId,
        /// Hash of the key.
        key_hash: KeyHash,
    },
    /// The keys known.
    Keys {
        /// Of one organisation; none asks for all.
        organisation: Option<OrganisationId>,
    },
    /// Takes a failure domain out of service.
    DomainOut {
        /// The operation.
        operation: OperationId,
        /// The domain.
        domain: DomainId,
        /// Whether services may fall below their floor.
        override_floor: bool,
    },
    /// Brings a failure domain back.
    DomainIn {
        /// The operation.
        operation: OperationId,
        /// The domain.
        domain: DomainId,
    },
    /// The failure domains known.
    Domains,
    /// What the trail holds.
    Trail(TrailQuery),
}

/// How this daemon and the fleet are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Offset up to which the configuration is in force here.
    pub next: Offset,
    /// Whether requests may rely on the configuration.
    pub usable: bool,
    /// Whether the platform's log answers.
    pub log_reachable: bool,
    /// Keys withdrawn without the log, not yet durable.
    pub tombstone_count: usize,
    /// Contracts of organisations.
    pub organisation_count: usize,
    /// Contracts of services.
    pub service_count: usize,
    /// Keys known.
    pub key_count: usize,
    /// Daemons known, this one included.
    pub daemon_count: usize,
    /// Failure domains out of service.
    pub domains_out: BTreeSet<DomainId>,
    /// Services and their servers.
    pub services: Vec<ServiceStatus>,
    /// Counters of this daemon.
    pub counts: BTreeMap<String, u64>,
}

/// How the servers of one service are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceId,
    /// Servers announced.
    pub server_count: usize,
    /// Servers in service: not draining, not in a domain that is out, not beside a daemon that
    /// leaves.
    pub serving_count: usize,
    /// Least servers that must stay in service.
    pub floor_count: usize,
}

/// One contract with the offset that put it in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Offset of the record that last changed it.
    pub version: Option<Offset>,
    /// The contract.
    pub contract: T,
}

/// The contracts in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ContractsAnswer {
    /// Offset up to which the configuration was read.
    pub next: Offset,
    /// Contracts of services, by name.
    pub services: Vec<Versioned<Arc<ServiceContract>>>,
    /// Contracts of organisations, by name.
    pub organisations: Vec<Versioned<Arc<OrganisationContract>>>,
}

/// One key, by its hash.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyRow {
    /// The organisation.
    pub organisation: OrganisationId,
    /// SHA-256 of the key, in hexadecimal.
    pub key_hash: String,
    /// Whether it is withdrawn.
    pub withdrawn: bool,
}

/// One failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRow {
    /// The domain.
    pub domain: DomainId,
    /// Whether it is out of service.
    pub out: bool,
    /// Offset at which it last came back.
    pub back_at: Option<Offset>,
    /// Daemons in it.
    pub daemon_count: usize,
    /// Backend servers in it.
    pub server_count: usize,
}

/// What became of one object of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResult {
    /// The object.
    pub object: String,
    /// The operation, to be sent again when the outcome is unknown.
    pub operation: String,
    /// The outcome; none when the object already held what was asked for.
    pub outcome: Option<SubmitOutcome>,
}

/// Why a request was refused. Nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind.
    pub kind: ErrorKind,
    /// One sentence.
    pub text: String,
    /// Wrong fields, where fields are wrong.
    pub errors: Vec<ContractError>,
}

impl Refusal {
    /// A refusal with the kind's own sentence.
    pub fn new(kind: ErrorKind) -> Refusal {
        Refusal {
            kind,
            text: kind.row().text.to_owned(),
            errors: Vec::new(),
        }
    }

    /// A refusal that names wrong fields.
    pub fn invalid(errors: Vec<ContractError>) -> Refusal {
        Refusal {
            errors,
            ..Refusal::new(ErrorKind::ChangeInvalid)
        }
    }
}

/// What an operator is answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorAnswer {
    /// To `Status`.
    Status(Box<StatusAnswer>),
    /// To `Contracts`.
    Contracts(ContractsAnswer),
    /// To every change: one result an object.
    Results(Vec<ChangeResult>),
    /// To `Keys`.
    Keys(Vec<KeyRow>),
    /// To `Domains`.
    Domains(Vec<DomainRow>),
    /// To `Trail`.
    Trail(Trail),
    /// The request was refused, and nothing was changed.
    Refused(Refusal),
}

/// What happens to the operator duty.
pub enum OperatorEvent {
    /// An authenticated operator asks.
    RequestArrived {
        /// Names the request.
        ticket: Ticket,
        /// The operator.
        operator: String,
        /// Wall time, in milliseconds since the epoch.
        at_ms: u64,
        /// The request.
        request: OperatorRequest,
    },
    /// A new view is in force.
    View(Arc<View>),
    /// Who is in the fleet.
    Fleet(Arc<Fleet>),
    /// Whether requests may rely on the view.
    ViewUsable(bool),
    /// Whether the platform's log answers.
    LogReachable(bool),
    /// A change came to an end.
    ChangeResolved {
        /// The operation.
        operation: OperationId,
        /// The outcome.
        outcome: SubmitOutcome,
    },
    /// The trail answers.
    TrailAnswered {
        /// The request.
        ticket: Ticket,
        /// The answer.
        trail: Trail,
    },
}

/// An event, with what the state need not see.
pub enum OperatorMessage {
    /// An authenticated operator's request with its exchange.
    RequestArrived {
        /// The operator.
        operator: String,
        /// The request.
        request: OperatorRequest,
        /// Takes the answer.
        exchange: Box<dyn Exchange>,
    },
    /// Any other event.
    Event(OperatorEvent),
    /// The duty ends.
    Stop,
}

/// What the operator duty does.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorAction {
    /// Answers a request.
    Answer {
        /// The request.
        ticket: Ticket,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Hands a change to the journal.
    Submit(Box<Record>),
    /// Asks the trail.
    QueryTrail {
        /// The request.
        ticket: Ticket,
        /// The question.
        query: TrailQuery,
    },
    /// Records a decision in the trail.
    RecordDecision(Decision),
}
