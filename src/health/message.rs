//! Events and actions of health.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::contract::View;
use crate::guard::message::AttemptKey;
use crate::membership::{Fleet, ServerEntry};
use crate::types::{BackendServerId, DaemonId, RouteId, ServiceId};

/// How a request at a backend server ended, as evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestEnd {
    /// A whole answer that is no failure of the server.
    Good,
    /// The server failed.
    Failed(FailureKind),
    /// The deadline came before the answer.
    TimedOut,
    /// The server died. No evidence, since the request may have killed it, and neither are failed
    /// connections in the next seconds; the guard takes a dead server out.
    Died,
    /// Says nothing about the server: the caller left, or its upload was short.
    Neutral,
}

/// How a backend server failed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// A status of 500 or above.
    Status,
    /// No connection.
    Connect,
    /// The connection broke before the answer.
    Broken,
    /// The answer was short or malformed.
    ShortAnswer,
    /// The answer carried another request's id.
    WrongRequest,
}

/// A request that started at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedRequest {
    /// The attempt.
    pub key: AttemptKey,
    /// The backend server.
    pub server: BackendServerId,
    /// Its service.
    pub service: ServiceId,
    /// The route.
    pub route: RouteId,
}

/// What one route of one backend server met.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteCounts {
    /// Requests that ended, or run longer than the slow mark.
    pub seen_count: u32,
    /// Those that failed.
    pub failed_count: u32,
    /// Those that ran longer than the stuck mark.
    pub stuck_count: u32,
    /// Requests by time taken; bounds as in `histogram::BUCKET_BOUNDS`.
    pub buckets: Vec<u32>,
}

/// What one route of one backend server met, over two times that end now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSummary {
    /// The route.
    pub route: RouteId,
    /// The newest requests: those of the last half second, on a quiet route of up to two seconds.
    pub recent: RouteCounts,
    /// A longer time, older requests weighing less.
    pub long: RouteCounts,
}

/// What one backend server met, as its guard saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSummary {
    /// The backend server.
    pub server: BackendServerId,
    /// Its busiest routes.
    pub routes: Vec<RouteSummary>,
}

/// What happens to health.
#[derive(Debug, Clone)]
pub enum HealthEvent {
    /// A request started at a backend server.
    Started(StartedRequest),
    /// A request ended.
    Finished {
        /// The attempt.
        key: AttemptKey,
        /// How.
        end: RequestEnd,
        /// How long the server took.
        elapsed: Duration,
    },
    /// The backend servers beside this daemon.
    Servers(Vec<ServerEntry>),
    /// A health or load endpoint speaks of trouble. There is no event for the contrary.
    Suspicion {
        /// The backend server.
        server: BackendServerId,
    },
    /// A peer's summary of its servers of a service.
    Summary {
        /// The peer.
        from: DaemonId,
        /// The service.
        service: ServiceId,
        /// One for each of its servers.
        servers: Vec<ServerSummary>,
    },
    /// The answer to an asked or renewed ejection permit.
    Permit {
        /// The service.
        service: ServiceId,
        /// The backend server.
        server: BackendServerId,
        /// Until when the server may stay ejected; none refuses.
        holds_until: Option<Instant>,
    },
    /// A new view is in force.
    View(Arc<View>),
    /// The fleet changed.
    Fleet(Arc<Fleet>),
    /// The time asked for has come.
    Tick,
}

/// What health does.
#[derive(Debug, Clone, PartialEq)]
pub enum HealthAction {
    /// Asks a peer for a summary of its servers of a service.
    RequestSummary {
        /// The peer.
        to: DaemonId,
        /// The service.
        service: ServiceId,
    },
    /// Asks for an ejection permit, or renews it.
    RequestPermit {
        /// The service.
        service: ServiceId,
        /// The backend server.
        server: BackendServerId,
    },
    /// Gives an ejection permit back.
    ReleasePermit {
        /// The service.
        service: ServiceId,
        /// The backend server.
        server: BackendServerId,
    },
    /// Sets the share of its usual requests that entries send to a server.
    SetShare {
        /// The backend server.
        server: BackendServerId,
        /// The share, in thousandths.
        share_permille: u16,
    },
    /// Records a decision.
    RecordDecision(HealthDecision),
}

/// A decision about a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthDecision {
    /// The backend server.
    pub server: BackendServerId,
    /// What was decided.
    pub verdict: HealthVerdict,
    /// The rule that decided.
    pub rule: &'static str,
    /// What the rule saw, as name and value.
    pub evidence: Vec<(&'static str, String)>,
}

/// What can be decided about a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HealthVerdict {
    /// It gets no more requests.
    Ejected,
    /// It would be ejected, but the floor of its service does not permit it.
    PermitDenied,
    /// Its ejection permit lapsed, so it serves again.
    PermitLapsed,
    /// The other servers of its service met the same, so it stays.
    SharedTrouble,
    /// It gets a few requests as probes.
    Probing,
    /// Its probes went well; it gets a growing share.
    Returning,
    /// It serves its full share again.
    Returned,
}

impl HealthVerdict {
    /// Name in the audit trail.
    pub fn as_str(self) -> &'static str {
        match self {
            HealthVerdict::Ejected => "ejected",
            HealthVerdict::PermitDenied => "permit_denied",
            HealthVerdict::PermitLapsed => "permit_lapsed",
            HealthVerdict::SharedTrouble => "shared_trouble",
            HealthVerdict::Probing => "probing",
            HealthVerdict::Returning => "returning",
            HealthVerdict::Returned => "returned",
        }
    }
}
