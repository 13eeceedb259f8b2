//! Events and actions of the guard.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;
use serde::{Deserialize, Serialize};

use crate::contract::View;
use crate::error::ErrorKind;
use crate::link::message::PoisonReport;
use crate::link::{FenceAnswer, FenceRequest, PeerReply};
use crate::membership::Fleet;
use crate::membership::ServerEntry;
use crate::settings::guard::GuardSettings;
use crate::types::{
    Attempt, BackendServerId, DaemonId, Fingerprint, Incarnation, OrganisationId, RequestId,
    RouteId, ServiceId,
};
use crate::wire::client::CallError;
use crate::wire::dialect::HealthReport;
use crate::wire::exchange::{Exchange, RawHead};
use crate::wire::forward::{AttemptTerms, ForwardHead};

/// What a backend server says of itself to the daemon beside it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Announcement {
    /// The backend server.
    pub server: BackendServerId,
    /// Its service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots_count: u32,
    /// Connections that it bears.
    pub connections_count: u32,
    /// Whether it has just started and bears only a little.
    pub cold: bool,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Its load, from 0 to 1, by its own account.
    pub load_share: f64,
    /// When its present life began, in milliseconds since the epoch; 0 where it does not say.
    pub started_at_ms: u64,
    /// Grows with each announcement of one life; 0 where the server does not count them.
    pub sequence: u64,
}

impl Default for Announcement {
    fn default() -> Self {
        Announcement {
            server: "".into(),
            service: "".into(),
            address: "127.0.0.1:0".parse().expect("a literal address"),
            slots_count: 5,
            connections_count: 300,
            cold: false,
            draining: false,
            load_share: 0.0,
            started_at_ms: 0,
            sequence: 0,
        }
    }
}

/// One attempt at a request.
pub type AttemptKey = (RequestId, Attempt);

/// A request as the guard decides on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuardRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The life of the guard that the entry means.
    pub incarnation: Incarnation,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its share under overload.
    pub weight_share: u32,
    /// The route.
    pub route: RouteId,
    /// The backend server that must run it.
    pub server: BackendServerId,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether a person waits for the answer.
    pub foreground: bool,
    /// Urgency among those, 0 being the greatest.
    pub rank: u8,
    /// How it is to be treated.
    pub terms: AttemptTerms,
    /// Tells equal requests.
    pub fingerprint: Fingerprint,
    /// When its answer must be there.
    pub deadline_at: Instant,
}

impl GuardRequest {
    /// The attempt that it is.
    pub fn key(&self) -> AttemptKey {
        (self.request, self.attempt)
    }
}

/// What a server has to do at a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running_count: u32,
    /// Requests that may run at a time.
    pub limit_count: u32,
    /// Requests that wait for a slot.
    pub waiting_count: usize,
    /// What keeps the next one from starting.
    pub start_blocker: StartBlocker,
}

/// What keeps the next request from starting at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StartBlocker {
    /// Nothing.
    #[default]
    Nothing,
    /// Its breaker is open.
    Breaker,
    /// Its slots are taken.
    Slots,
    /// It has had as many starts within a second as it may get.
    StartRate,
}

impl StartBlocker {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            StartBlocker::Nothing => "nothing",
            StartBlocker::Breaker => "breaker",
            StartBlocker::Slots => "slots",
            StartBlocker::StartRate => "start_rate",
        }
    }
}

/// How a call to a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// A whole answer with this status.
    Answered(u16),
    /// No whole answer.
    Failed(CallError),
    /// The connection broke, and the server takes no new one.
    Died,
    /// The server refused the request before it ran it.
    Shed,
    /// Another server has the address.
    Replaced,
    /// Nobody waited any more, and the call was ended.
    Abandoned,
}

/// What happens to the guard.
#[derive(Debug, Clone)]
pub enum GuardEvent {
    /// A request arrived from an entry.
    Arrived(GuardRequest),
    /// A call to a server ended.
    Finished {
        /// The attempt.
        key: AttemptKey,
        /// How.
        outcome: ServerOutcome,
        /// How long it took.
        elapsed: Duration,
    },
    /// A backend server announced itself, or renewed that.
    Announced(Announcement),
    /// A backend server withdrew its announcement.
    Withdrawn {
        /// The server.
        server: BackendServerId,
        /// When the life that leaves began, in milliseconds since the epoch; 0 where it does not say.
        started_at_ms: u64,
    },
    /// Whether this VM's failure domain is out of service.
    Domain {
        /// Out, or back in.
        out: bool,
    },
    /// Other settings are in force. Addresses and limits of rings stay as they were.
    Settings(Box<GuardSettings>),
    /// The daemon goes on under another number of its life.
    Incarnation(Incarnation),
    /// A request that a server on this VM made itself failed.
    OwnCallFailed,
    /// How many guards the service of the server on this VM has, this one among them.
    GuardCount {
        /// At least 1.
        count: usize,
    },
    /// An entry that lost this guard asks to keep a request from starting.
    Fence(FenceRequest),
    /// The caller left; the request may end.
    Cancel(RequestId),
    /// The entry left its connection; nobody waits for this attempt.
    EntryLeft(AttemptKey),
    /// Another guard saw servers die.
    PoisonReported {
        /// Its daemon.
        from: DaemonId,
        /// What it saw.
        reports: Vec<PoisonReport>,
    },
    /// The time asked for has come.
    Tick,
    /// A backend server was asked for its health.
    InquiryEnded {
        /// Where.
        address: SocketAddr,
        /// When.
        asked_at: Instant,
        /// What it says; none without an answer.
        report: Option<HealthReport>,
    },
    /// A new view is in force.
    View(Arc<View>),
    /// The daemon takes no new work.
    Drain,
}

/// An event, with what the state need not see.
pub enum GuardMessage {
    /// A request with its head and exchange.
    Arrived {
        /// The fleet's head.
        head: ForwardHead,
        /// Line and headers as they came.
        raw: RawHead,
        /// The exchange.
        exchange: Box<dyn Exchange>,
        /// When it arrived.
        arrived_at: Instant,
    },
    /// A peer's request to fence, with who waits for the answer.
    Fence {
        /// The request.
        request: FenceRequest,
        /// Takes the answer.
        reply: PeerReply,
    },
    /// What came to the announce address, with who waits for the verdict on it.
    Announce {
        /// The announcement or withdrawal.
        event: GuardEvent,
        /// Takes the verdict; none comes from a guard that has ended.
        verdict: Sender<AnnounceVerdict>,
    },
    /// Where other daemons are.
    Fleet(Arc<Fleet>),
    /// Any other event.
    Event(GuardEvent),
    /// The duty ends.
    Stop,
}

/// Whether an announcement counts.
pub type AnnounceVerdict = Result<(), IgnoredBecause>;

/// Why an announcement was left aside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IgnoredBecause {
    /// The server has said later things in the same life.
    Outdated,
    /// A later life of the server is present, or it names no life where it did before.
    EarlierIncarnation,
    /// A server that started later has its address.
    Replaced,
    /// The settings name another address for the server on this VM.
    OtherAddress,
    /// The settings name another service for the server on this VM.
    OtherService,
}

impl IgnoredBecause {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            IgnoredBecause::Outdated => "outdated",
            IgnoredBecause::EarlierIncarnation => "earlier_life",
            IgnoredBecause::Replaced => "replaced",
            IgnoredBecause::OtherAddress => "other_address",
            IgnoredBecause::OtherService => "other_service",
        }
    }
}

/// What the guard does.
#[derive(Debug, Clone, PartialEq)]
pub enum GuardAction {
    /// Calls the server.
    Start {
        /// The attempt.
        key: AttemptKey,
        /// The server's address.
        address: SocketAddr,
    },
    /// Refuses the request; the kind says whether it may have run.
    Refuse {
        /// The attempt.
        key: AttemptKey,
        /// Why.
        kind: ErrorKind,
        /// When to try again, where known.
        retry_after: Option<Duration>,
    },
    /// A repeat started at the server on this VM; calls that it makes count as repeats too.
    RepeatStarted,
    /// Answers the fence that was asked for.
    FenceAnswered(FenceAnswer),
    /// Tells a server that nobody waits for a request any more.
    CancelServer {
        /// The attempt.
        key: AttemptKey,
        /// The server's address.
        address: SocketAddr,
        /// Whether the request may run more than once.
        repeatable: bool,
    },
    /// Tells the other guards of a service of deaths.
    ReportPoison {
        /// The service.
        service: ServiceId,
        /// The deaths.
        reports: Vec<PoisonReport>,
    },
    /// Asks a server for its health.
    Inquire {
        /// Its address.
        address: SocketAddr,
        /// Path of its health.
        path: String,
    },
    /// An announcement told of a server, or of a life of one, that was not known.
    ServerSeen(Announcement),
    /// An announcement was left aside.
    AnnouncementIgnored {
        /// What it said.
        announcement: Announcement,
        /// Why.
        reason: IgnoredBecause,
    },
    /// After `Drain`: nothing runs or waits any more.
    Drained,
    /// Tells membership of the servers on this VM.
    ReportServers(Vec<ServerEntry>),
}
