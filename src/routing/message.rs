//! Events and actions of routing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::contract::View;
use crate::error::ErrorKind;
use crate::front::RequestHead;
use crate::link::{ClaimAnswer, ClaimRequest, FenceAnswer, FenceRequest};
use crate::membership::Fleet;
use crate::settings::routing::RoutingSettings;
use crate::types::{
    Attempt, BackendServerId, DaemonId, Incarnation, OrganisationId, RequestId, RouteId, ServiceId,
};
use crate::wire::client::CallHandle;
use crate::wire::exchange::{Exchange, WholeAnswer};
use crate::wire::forward::AttemptTerms;

/// An admitted request, as routing needs it.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestPlan {
    /// The request.
    pub request: RequestId,
    /// The organisation; empty on open routes.
    pub organisation: OrganisationId,
    /// The organisation's share under overload.
    pub weight_share: u32,
    /// The service.
    pub service: ServiceId,
    /// The route.
    pub route: RouteId,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether a person waits for the answer.
    pub foreground: bool,
    /// Urgency, 0 being the greatest.
    pub rank: u8,
    /// Most backend servers that it may reach; 0 leaves it to the settings.
    pub attempts_limit_count: u32,
    /// Bytes of its body.
    pub body_bytes: u64,
    /// Most bytes of its body.
    pub body_limit_bytes: u64,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// When the answer is wanted; zero where its route does not say.
    pub target: Duration,
    /// When the answer must be there.
    pub deadline_at: Instant,
}

/// Where an attempt goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The daemon beside the server.
    pub daemon: DaemonId,
    /// Where its guard takes requests.
    pub guard_address: SocketAddr,
    /// The backend server.
    pub server: BackendServerId,
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server's whole answer.
    Answered(WholeAnswer),
    /// Truly not run.
    NotRun {
        /// Why.
        kind: ErrorKind,
        /// When to try again, where known.
        retry_after: Option<Duration>,
        /// Whether the guard said so; otherwise the guard was not reached.
        by_guard: bool,
    },
    /// It may have run.
    Unknown {
        /// Why.
        kind: ErrorKind,
        /// Whether the guard said so; otherwise the guard was lost.
        by_guard: bool,
    },
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The server's whole answer.
    Answered(WholeAnswer),
    /// No answer of a server; the kind says whether it ran.
    Failed {
        /// Why.
        kind: ErrorKind,
        /// When to try again, where known.
        retry_after: Option<Duration>,
    },
}

/// What happens to routing.
#[derive(Debug, Clone)]
pub enum RoutingEvent {
    /// An admitted request.
    Dispatch(RequestPlan),
    /// An attempt ended.
    Attempted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        outcome: AttemptOutcome,
        /// How long it took.
        elapsed: Duration,
        /// Whether the body can be sent again.
        resendable: bool,
    },
    /// A guard answered a fence, or did not.
    Fenced {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
        /// The guard's word; none without one.
        answer: Option<FenceAnswer>,
    },
    /// The home of an idempotency key answered a claim, or did not.
    Claimed {
        /// The request.
        request: RequestId,
        /// The home's word; none without one.
        answer: Option<ClaimAnswer>,
    },
    /// The caller left.
    CallerLeft(RequestId),
    /// The time of `next_tick_at` has come.
    Tick,
    /// The server on this VM runs a repeat, and may make calls for it.
    OwnServerRepeats,
    /// Other settings are in force. The limit of the ring stays as it was.
    Settings(Box<RoutingSettings>),
    /// The daemon leaves soon.
    Leaving,
    /// The daemon is about to end: what has not started is taken back.
    Closing,
    /// A new view is in force.
    View(Arc<View>),
    /// The fleet changed.
    Fleet(Arc<Fleet>),
}

/// An event, with what the state need not see.
pub enum RoutingMessage {
    /// A request with its head and exchange.
    Dispatch {
        /// The plan.
        plan: RequestPlan,
        /// Its line and headers.
        head: Arc<RequestHead>,
        /// Its exchange.
        exchange: Box<dyn Exchange>,
    },
    /// Any other event.
    Event(RoutingEvent),
    /// The settings name another service for the server on this VM; empty to go by what announces
    /// itself.
    Origin(ServiceId),
    /// The daemon stops; routing tells when nothing is left to do.
    Drain,
    /// The duty ends.
    Stop,
}

/// What an attempt needs besides the plan.
pub struct HeldRequest {
    /// The service.
    pub service: ServiceId,
    /// The route.
    pub route: RouteId,
    /// Service on this VM when the request began; its attempts are sent in that name.
    pub origin: ServiceId,
    /// Line and headers.
    pub head: Arc<RequestHead>,
    /// The caller's exchange.
    pub exchange: Box<dyn Exchange>,
    /// The body, once it was read whole; only then can it be sent again.
    pub body: Option<Bytes>,
    /// Whether a body that is not kept was sent in part.
    pub body_spent: bool,
    /// Ends the call of the present attempt when it is dropped.
    pub call: Option<CallHandle>,
}

/// What routing does.
#[derive(Debug, Clone, PartialEq)]
pub enum RoutingAction {
    /// Makes an attempt.
    Send {
        /// The plan.
        plan: Arc<RequestPlan>,
        /// The attempt.
        attempt: Attempt,
        /// Where to.
        target: Target,
        /// The life of the daemon there.
        incarnation: Incarnation,
        /// When a short request is given up there; never after its deadline.
        until: Instant,
        /// How the guard is to treat it.
        terms: AttemptTerms,
    },
    /// Asks a guard to keep an attempt from starting.
    Fence {
        /// The guard's daemon.
        to: DaemonId,
        /// The attempt.
        fence: FenceRequest,
    },
    /// Asks the home of an idempotency key, or gives the key back.
    Claim {
        /// The home.
        to: DaemonId,
        /// The claim.
        claim: ClaimRequest,
    },
    /// Tells a guard that nobody waits for the request any more.
    Cancel {
        /// The guard's daemon.
        to: DaemonId,
        /// The request.
        request: RequestId,
    },
    /// A request that the server on this VM made itself failed.
    OwnCallFailed,
    /// Ends the request.
    Finish {
        /// The request.
        request: RequestId,
        /// How.
        outcome: Outcome,
    },
}
