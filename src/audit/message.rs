//! Decisions and changes as they are recorded, and what the audit duty is asked.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::contract::{AppliedChange, ChangeVerdict, ObjectId};
use crate::types::{
    format_id, parse_id, BackendServerId, DaemonId, DomainId, Offset, OrganisationId, RequestId,
};

/// What a decision is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", content = "id", rename_all = "snake_case")]
pub enum Subject {
    /// A request.
    Request(RequestId),
    /// A backend server.
    Server(BackendServerId),
    /// An organisation.
    Organisation(OrganisationId),
    /// A key, by the first 16 hexadecimal digits of its hash.
    Key(String),
    /// A failure domain.
    Domain(DomainId),
    /// A daemon.
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

/// One decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Wall time in milliseconds since the epoch.
    pub at_ms: u64,
    /// What it is about.
    pub subject: Subject,
    /// What was decided, such as "ejected" or "refused".
    pub verdict: String,
    /// The rule that decided, such as "health.sequential-test".
    pub rule: String,
    /// What the rule saw, as name and value.
    pub evidence: Vec<(String, String)>,
}

/// One record of the configuration, for people and programs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// Where the record stands in the log.
    pub offset: Offset,
    /// The operation.
    pub operation: String,
    /// Who asked for it.
    pub author: String,
    /// Wall time at its author, in milliseconds since the epoch.
    pub at_ms: u64,
    /// What was changed, such as `organisation/optician-1`.
    pub object: String,
    /// Whether it holds.
    pub verdict: ChangeVerdict,
    /// The change.
    pub change: serde_json::Value,
    /// The object before.
    pub before: serde_json::Value,
    /// The object after.
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

/// What the trail holds about a subject, or about everything.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Trail {
    /// Decisions, newest first.
    pub decisions: Vec<Decision>,
    /// Changes of configuration, newest first.
    pub changes: Vec<ChangeEntry>,
    /// Decisions that are no longer kept.
    pub dropped_count: u64,
}

/// What is asked of the trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrailQuery {
    /// A subject; none asks for everything.
    pub subject: Option<Subject>,
    /// Most decisions and most changes in the answer.
    pub limit_count: usize,
}

/// What happens to the audit duty.
pub enum AuditEvent {
    /// A decision was made.
    Decision(Decision),
    /// A record of the configuration was read.
    Change(Box<AppliedChange>),
    /// Someone asks; the answer goes to the ticket's holder.
    Query {
        /// Names the question in the answer.
        ticket: u64,
        /// The question.
        query: TrailQuery,
    },
    /// The duty ends.
    Stop,
}
