//! Entries of the audit trail, queries of it and the events of the audit duty.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::contract::{AppliedChange, ChangeVerdict, ObjectId};
use crate::types::{
    format_id, parse_id, BackendServerId, DaemonId, DomainId, Offset, OrganisationId, RequestId,
};

/// Object that a decision is about, also the filter of a query. Written as `kind:id`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", content = "id", rename_all = "snake_case")]
pub enum Subject {
    /// One request, by the id that its answer carries.
    Request(RequestId),
    /// A backend server, by its id.
    Server(BackendServerId),
    /// An organisation, by its id.
    Organisation(OrganisationId),
    /// A key, by the first 16 hexadecimal digits of its hash.
    Key(String),
    /// A failure domain, by its id.
    Domain(DomainId),
    /// A daemon, by its id.
    Daemon(DaemonId),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Request(id) => write!(f, "request:{}", format_id(*id)),
            Subject::Server(id) => write!(f, "server:{id}"),
            Subject::Organisation(id) => write!(f, "organisation:{id}"),
            Subject::Key(id) => write!(f, "key:{id}"),
            Subject::Domain(id) => write!(f, "domain:{id}"),
            Subject::Daemon(id) => write!(f, "daemon:{id}"),
        }
    }
}

impl FromStr for Subject {
    type Err = String;

    fn from_str(text: &str) -> Result<Subject, String> {
        let wrong = || {
            format!(
                "subject {text:?} must be request:ID, server:NAME, organisation:NAME, \
                 key:HASH, domain:NAME or daemon:NAME"
            )
        };
        let (kind, id) = text.split_once(':').ok_or_else(wrong)?;
        if id.is_empty() {
            return Err(wrong());
        }
        match kind {
            "request" => parse_id(id).map(Subject::Request).ok_or_else(wrong),
            "server" => Ok(Subject::Server(id.into())),
            "organisation" => Ok(Subject::Organisation(id.into())),
            "key" => Ok(Subject::Key(id.to_owned())),
            "domain" => Ok(Subject::Domain(id.into())),
            "daemon" => Ok(Subject::Daemon(id.into())),
            _ => Err(wrong()),
        }
    }
}

/// A decision that a rule made about a subject, with the evidence that led to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Wall time of the decision, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Object that the decision is about.
    pub subject: Subject,
    /// What was decided, such as "ejected" or "refused".
    pub verdict: String,
    /// The rule that decided, such as "health.sequential-test".
    pub rule: String,
    /// Values on which the rule based its decision, as name and value.
    pub evidence: Vec<(String, String)>,
}

/// One record of the configuration, in the JSON form that queries return.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// Offset of the record in the configuration stream.
    pub offset: Offset,
    /// Operation of the change, in text form.
    pub operation: String,
    /// Operator who requested the change, or the daemon that passed on a withdrawal.
    pub author: String,
    /// Wall time at which the change was requested, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Object that was changed, such as `organisation/optician-1`.
    pub object: String,
    /// Whether the change was accepted, and if not, why.
    pub verdict: ChangeVerdict,
    /// The requested change, as JSON.
    pub change: serde_json::Value,
    /// State of the object before the record, as JSON.
    pub before: serde_json::Value,
    /// State of the object after the record, as JSON.
    pub after: serde_json::Value,
}

impl From<&AppliedChange> for ChangeEntry {
    fn from(applied: &AppliedChange) -> ChangeEntry {
        let to_value = |state| serde_json::to_value(state).expect("plain values become JSON");
        let change = &applied.record.change;
        ChangeEntry {
            offset: applied.offset,
            operation: format_id(applied.record.operation),
            author: applied.record.author.clone(),
            at_ms: applied.record.at_ms,
            object: ObjectId::of(change).to_string(),
            verdict: applied.verdict,
            change: serde_json::to_value(change).expect("plain values become JSON"),
            before: to_value(&applied.before),
            after: to_value(&applied.after),
        }
    }
}

/// Part of the audit trail that matches a query.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Trail {
    /// Matching decisions, newest first.
    pub decisions: Vec<Decision>,
    /// Matching changes of the configuration, newest first.
    pub changes: Vec<ChangeEntry>,
    /// Number of decisions that were removed from the trail since the daemon started.
    pub dropped_count: u64,
}

/// Query of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrailQuery {
    /// Subject whose entries are requested; `None` requests all entries.
    pub subject: Option<Subject>,
    /// Maximum number of decisions, and of changes, in the answer.
    pub limit_count: usize,
}

/// Event that the audit duty handles.
pub enum AuditEvent {
    /// A decision was made and is to be recorded.
    Decision(Decision),
    /// A record of the configuration was read and is to be recorded.
    Change(Box<AppliedChange>),
    /// The operator duty queries the trail; the answer carries the same ticket.
    Query {
        /// Number that identifies the query in its answer.
        ticket: u64,
        /// Filter and maximum size of the answer.
        query: TrailQuery,
    },
    /// The daemon stops, and the duty ends.
    Stop,
}
