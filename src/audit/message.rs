//! Decisions as they are recorded.

use serde::{Deserialize, Serialize};

use crate::types::{BackendServerId, DaemonId, DomainId, OrganisationId, RequestId};

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
