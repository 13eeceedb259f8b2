//! Events, actions and messages of routing, and the plan of a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::contract::View;
use crate::error::ErrorKind;
use crate::front::RequestHead;
use crate::link::{ClaimAnswer, ClaimRequest, FenceAnswer, FenceRequest};
use crate::membership::Fleet;
use crate::reload::ServiceRead;
use crate::settings::routing::RoutingSettings;
use crate::types::{
    Attempt, BackendServerId, DaemonId, Incarnation, OrganisationId, RequestId, RouteId, ServiceId,
};
use crate::wire::client::CallHandle;
use crate::wire::exchange::{Exchange, WholeAnswer};
use crate::wire::forward::AttemptTerms;

/// An admitted request with all that routing needs to decide on it.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestPlan {
    /// Id of the request.
    pub request: RequestId,
    /// The organisation that sent the request; empty on open routes.
    pub organisation: OrganisationId,
    /// The organisation's weight under overload, relative to other organisations.
    pub weight_share: u32,
    /// The service whose servers may run the request.
    pub service: ServiceId,
    /// The route that the request matched.
    pub route: RouteId,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether a person waits for the answer.
    pub foreground: bool,
    /// Urgency of the request; 0 is the greatest.
    pub rank: u8,
    /// Most backend servers that the request may reach; 0 leaves it to the settings.
    pub attempts_limit_count: u32,
    /// Length of the request's body in bytes.
    pub body_bytes: u64,
    /// Longest body in bytes that the route allows.
    pub body_limit_bytes: u64,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
    /// Time from arrival within which the answer is wanted; zero if the route sets none.
    pub target: Duration,
    /// When the caller must have an answer.
    pub deadline_at: Instant,
}

/// The server that an attempt goes to, and the guard in front of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The daemon whose guard runs on the server's VM.
    pub daemon: DaemonId,
    /// Address at which that guard takes requests.
    pub guard_address: SocketAddr,
    /// The backend server that is to run the request.
    pub server: BackendServerId,
}

/// How one attempt at a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered; this is its whole answer.
    Answered(WholeAnswer),
    /// The server certainly did not run the request.
    NotRun {
        /// Why the server did not run it.
        kind: ErrorKind,
        /// When to try again, if the guard said so.
        retry_after: Option<Duration>,
        /// Whether the guard refused the attempt; otherwise the guard was not reached.
        by_guard: bool,
    },
    /// The server may have run the request.
    Unknown {
        /// The error that ended the attempt.
        kind: ErrorKind,
        /// Whether the guard reported this; otherwise contact to the guard was lost.
        by_guard: bool,
    },
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A server answered; this is its whole answer.
    Answered(WholeAnswer),
    /// No server answered; `ErrorKind::ran` of the kind says whether the request ran.
    Failed {
        /// Why the request failed.
        kind: ErrorKind,
        /// When the caller may try again, if known.
        retry_after: Option<Duration>,
    },
}

/// Inputs to the decisions of routing.
#[derive(Debug, Clone)]
pub enum RoutingEvent {
    /// The front admitted a request.
    Dispatch(RequestPlan),
    /// An attempt at a request ended.
    Attempted {
        /// The request of the attempt.
        request: RequestId,
        /// Number of the attempt.
        attempt: Attempt,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Time from the start of the call to its end.
        elapsed: Duration,
        /// Whether the body can be sent again.
        resendable: bool,
    },
    /// A guard answered a request to fence an attempt, or the call failed.
    Fenced {
        /// The request of the attempt.
        request: RequestId,
        /// Number of the attempt to be fenced.
        attempt: Attempt,
        /// The guard's answer; none if the call failed.
        answer: Option<FenceAnswer>,
    },
    /// The home of an idempotency key answered a claim, or the call failed.
    Claimed {
        /// The request whose key was claimed.
        request: RequestId,
        /// The home's answer; none if the call failed.
        answer: Option<ClaimAnswer>,
    },
    /// The caller closed its connection before the answer.
    CallerLeft(RequestId),
    /// The time that `RoutingState::next_tick_at` returned has come.
    Tick,
    /// The server on this VM runs a repeat, and may make calls for it.
    OwnServerRepeats,
    /// New settings are in force. The capacity of the duty's ring does not change.
    Settings(Box<RoutingSettings>),
    /// The daemon is about to leave the fleet.
    Leaving {
        /// When the process ends, whatever still runs.
        ends_at: Instant,
    },
    /// The process is about to end: attempts that have not started are taken back.
    Closing,
    /// The process ends: every open request ends, too.
    Ending,
    /// A new view of the configuration is in force.
    View(Arc<View>),
    /// The fleet has changed; holds its newest snapshot.
    Fleet(Arc<Fleet>),
}

/// Messages to the routing thread: events, and what only the thread itself handles.
pub enum RoutingMessage {
    /// A request that the front admitted, with its head and exchange.
    Dispatch {
        /// What routing decides on.
        plan: RequestPlan,
        /// Request line and headers.
        head: Arc<RequestHead>,
        /// Reads the body and sends the answer to the caller.
        exchange: Box<dyn Exchange>,
    },
    /// Any other event, handled by the state.
    Event(RoutingEvent),
    /// Callers of open requests have left; the thread has the list.
    CallersLeft,
    /// The settings file was read; tells which service it names for this VM.
    Service(ServiceRead),
    /// Whether the server on this VM is shown to be of another service than the settings name.
    ServiceContradicted(bool),
    /// The daemon stops; routing reports when no request is open any more.
    Drain,
    /// Ends the routing thread.
    Stop,
}

/// What the thread keeps of an open request to make its attempts and to answer its caller.
pub struct HeldRequest {
    /// The service that runs the request; names its timing metric.
    pub service: ServiceId,
    /// The route that the request matched; appears in the log.
    pub route: RouteId,
    /// Service of the server on this VM when the request began; its attempts are sent in that name.
    pub origin: ServiceId,
    /// Request line and headers.
    pub head: Arc<RequestHead>,
    /// Reads the body and sends the answer to the caller.
    pub exchange: Box<dyn Exchange>,
    /// The body, once it was read whole; only then can it be sent again.
    pub body: Option<Bytes>,
    /// Whether a body that is not kept was sent, at least in part.
    pub body_spent: bool,
    /// The call of the present attempt; dropping it ends the call.
    pub call: Option<CallHandle>,
}

impl HeldRequest {
    /// Returns what is kept of a request of which nothing was sent.
    pub(super) fn new(
        plan: &RequestPlan,
        head: Arc<RequestHead>,
        exchange: Box<dyn Exchange>,
        origin: ServiceId,
    ) -> HeldRequest {
        HeldRequest {
            service: plan.service.clone(),
            route: plan.route.clone(),
            origin,
            head,
            exchange,
            body: None,
            body_spent: false,
            call: None,
        }
    }
}

/// Outputs of the decisions of routing.
#[derive(Debug, Clone, PartialEq)]
pub enum RoutingAction {
    /// Sends an attempt to a guard.
    Send {
        /// The request to be sent.
        plan: Arc<RequestPlan>,
        /// Number of the attempt.
        attempt: Attempt,
        /// Server and guard that it goes to.
        target: Target,
        /// Incarnation of the target's daemon; 0 if the daemon is not known.
        incarnation: Incarnation,
        /// When the attempt is given up if its body can be sent again; never after the deadline.
        until: Instant,
        /// How the guard is to treat the attempt.
        terms: AttemptTerms,
        /// If another attempt could follow: the time after which a run counts as hung where its
        /// usual time is not known.
        hung_after: Option<Duration>,
    },
    /// Asks a guard to make sure that an attempt never starts.
    Fence {
        /// The daemon whose guard is asked.
        to: DaemonId,
        /// The attempt to be fenced.
        fence: FenceRequest,
    },
    /// Claims an idempotency key at its home, or releases it there.
    Claim {
        /// The home of the key.
        to: DaemonId,
        /// The key, and whether it is taken or released.
        claim: ClaimRequest,
    },
    /// Informs a guard that nobody waits for the request any more.
    Cancel {
        /// The daemon whose guard has the attempt.
        to: DaemonId,
        /// The request to be cancelled.
        request: RequestId,
    },
    /// Reports to the guard on this VM that a call of its own server failed.
    OwnCallFailed,
    /// Ends the request and answers its caller.
    Finish {
        /// The request that has ended.
        request: RequestId,
        /// How the request ended.
        outcome: Outcome,
    },
}
