//! Events and actions of the health state, and the summaries that daemons exchange.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::contract::View;
use crate::guard::message::AttemptKey;
use crate::membership::{Fleet, ServerEntry};
use crate::types::{BackendServerId, DaemonId, RouteId, ServiceId};

/// Outcome of a request at a backend server, as evidence about the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestEnd {
    /// The server sent a complete answer that is not a server error.
    Good,
    /// The server failed the request.
    Failed(FailureKind),
    /// The deadline passed before the answer.
    TimedOut,
    /// The server process crashed. This is no evidence, since the request may have caused it, and
    /// neither are failed connections in the next seconds; the guard takes a dead server out.
    Died,
    /// The outcome says nothing about the server, for example because the caller disconnected or
    /// its upload was short.
    Neutral,
}

/// How a backend server failed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The answer had a status of 500 or above.
    Status,
    /// No connection could be made.
    Connect,
    /// The connection broke before the answer was complete.
    Broken,
    /// The answer was short or malformed.
    ShortAnswer,
    /// The answer carried the id of another request.
    WrongRequest,
}

/// The start of a request at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedRequest {
    /// Identifies the attempt until its end.
    pub key: AttemptKey,
    /// Backend server that runs the request.
    pub server: BackendServerId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Route of the request.
    pub route: RouteId,
}

/// Request counts of one route of one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteCounts {
    /// Requests that ended, or are running for longer than the slow threshold.
    pub seen_count: u32,
    /// Requests that the server failed.
    pub failed_count: u32,
    /// Requests that ran for longer than the stuck threshold.
    pub stuck_count: u32,
    /// Histogram of request times; bounds as given by `histogram::bucket_bound`.
    pub buckets: Vec<u32>,
}

/// Request counts of one route of one backend server, over a recent and a longer time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSummary {
    /// Route that the counts are about.
    pub route: RouteId,
    /// Newest requests: those of the last 0.5 s, on a quiet route of up to 2 s.
    pub recent: RouteCounts,
    /// Requests of a longer time, older ones with less weight.
    pub long: RouteCounts,
}

/// Request counts of one backend server, as its guard saw them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSummary {
    /// Id of the backend server.
    pub server: BackendServerId,
    /// Counts of its busiest routes.
    pub routes: Vec<RouteSummary>,
}

/// An event, the input of `HealthState::handle`.
#[derive(Debug, Clone)]
pub enum HealthEvent {
    /// A request started at a backend server on this VM.
    Started(StartedRequest),
    /// A request at a backend server on this VM ended.
    Finished {
        /// Key of the attempt that was reported as started.
        key: AttemptKey,
        /// How the request ended.
        end: RequestEnd,
        /// Time that the server took.
        elapsed: Duration,
    },
    /// The backend servers on this VM changed; holds all of them.
    Servers(Vec<ServerEntry>),
    /// The health or load endpoint of a server reported a problem. There is no event for a good
    /// report.
    Suspicion {
        /// Server that the report is about.
        server: BackendServerId,
    },
    /// A peer sent the summaries of its servers of a service.
    Summary {
        /// Daemon that sent them.
        from: DaemonId,
        /// Service that they are about.
        service: ServiceId,
        /// One summary for each of the peer's servers.
        servers: Vec<ServerSummary>,
    },
    /// The request for an ejection permit, or for its renewal, was answered.
    Permit {
        /// Service of the server.
        service: ServiceId,
        /// Server that the permit is for.
        server: BackendServerId,
        /// Until when the server may stay ejected; `None` if the permit was refused.
        holds_until: Option<Instant>,
    },
    /// A new view of the contracts applies. Ignored by health.
    View(Arc<View>),
    /// The snapshot of the fleet changed.
    Fleet(Arc<Fleet>),
    /// The time given by `HealthState::next_tick_at` has come.
    Tick,
}

/// An action, the output of `HealthState::handle`, which the health thread carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum HealthAction {
    /// Requests from a peer the summaries of its servers of a service.
    RequestSummary {
        /// Daemon that is asked.
        to: DaemonId,
        /// Service that the summaries are about.
        service: ServiceId,
    },
    /// Requests an ejection permit, or its renewal.
    RequestPermit {
        /// Service of the server.
        service: ServiceId,
        /// Server that the permit is for.
        server: BackendServerId,
    },
    /// Returns an ejection permit that is no longer needed.
    ReleasePermit {
        /// Service of the server.
        service: ServiceId,
        /// Server that the permit was for.
        server: BackendServerId,
    },
    /// Sets the share of its normal requests that entries send to a server.
    SetShare {
        /// Id of the backend server.
        server: BackendServerId,
        /// New share, in thousandths.
        share_permille: u16,
    },
    /// Records a decision in the audit trail and the log.
    RecordDecision(HealthDecision),
}

/// A decision about a backend server, with the rule and the evidence that led to it.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthDecision {
    /// Backend server that the decision is about.
    pub server: BackendServerId,
    /// Kind of the decision.
    pub verdict: HealthVerdict,
    /// Name of the rule that decided.
    pub rule: &'static str,
    /// Figures that the rule decided on, as name and value.
    pub evidence: Vec<(&'static str, String)>,
}

/// Kind of a decision about a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HealthVerdict {
    /// The server gets no more requests.
    Ejected,
    /// The server would be ejected, but the floor of its service does not permit it.
    PermitDenied,
    /// Its ejection permit expired, so it is back in full service.
    PermitLapsed,
    /// The other servers of its service have the same trouble, so it is not ejected.
    SharedTrouble,
    /// The server gets a few requests as probes.
    Probing,
    /// Its probes succeeded, so it gets a growing share of its requests.
    Returning,
    /// The server gets its full share again.
    Returned,
}

impl HealthVerdict {
    /// Returns the name used in the audit trail, in logs and in counters.
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
