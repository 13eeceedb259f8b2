//! Events that the guard handles, actions that it returns, and messages to its thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;
use serde::{Deserialize, Serialize};

use crate::contract::View;
use crate::error::ErrorKind;
use crate::link::message::PoisonReport;
use crate::link::{FenceAnswer, FenceRequest, PeerReply};
use crate::membership::{Fleet, ServerDeparture, ServerEntry};
use crate::rollout::RolloutRule;
use crate::settings::guard::GuardSettings;
use crate::types::{
    Attempt, BackendServerId, DaemonId, Fingerprint, Incarnation, OrganisationId, RequestId,
    RouteId, ServiceId, SoftwareVersion,
};
use crate::wire::client::CallError;
use crate::wire::dialect::HealthReport;
use crate::wire::exchange::{Exchange, RawHead};
use crate::wire::forward::{AttemptTerms, ForwardHead};

/// A backend server's report on itself to the daemon on its VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Announcement {
    /// Name of the backend server that announces itself.
    pub server: BackendServerId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Version of the server's software; empty where the server does not report it.
    pub software_version: SoftwareVersion,
    /// Address at which the server takes requests.
    pub address: SocketAddr,
    /// Requests that the server can run at the same time; at least 1.
    pub slots_count: u32,
    /// Connections that the server can keep open at the same time.
    pub connections_count: u32,
    /// Whether the server has just started and can take only a small load.
    pub cold: bool,
    /// Whether the server is leaving and takes no new requests.
    pub draining: bool,
    /// Load from 0 to 1, as the server measures it itself.
    pub load_share: f64,
    /// When this incarnation of the server started, in milliseconds since the epoch; 0 where the
    /// server does not report it.
    pub started_at_ms: u64,
    /// Number that grows with each announcement of one incarnation; 0 where the server does not
    /// count them.
    pub sequence: u64,
}

impl Default for Announcement {
    /// Returns the values of fields that an announcement leaves out.
    fn default() -> Self {
        Announcement {
            server: "".into(),
            service: "".into(),
            software_version: "".into(),
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

/// Identifies one attempt at a request.
pub type AttemptKey = (RequestId, Attempt);

/// The parts of a request on which the guard decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuardRequest {
    /// Id of the request, the same for all of its attempts.
    pub request: RequestId,
    /// Number of this attempt.
    pub attempt: Attempt,
    /// Incarnation of the guard's daemon that the entry daemon addresses.
    pub incarnation: Incarnation,
    /// Organisation whose request it is; empty for calls that servers make of each other.
    pub organisation: OrganisationId,
    /// Weight of the organisation in the fair queue.
    pub weight_share: u32,
    /// Service that is to run the request.
    pub service: ServiceId,
    /// Route that the request matched.
    pub route: RouteId,
    /// Backend server that is to run the request.
    pub server: BackendServerId,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether a person waits for the answer; background requests queue behind these.
    pub foreground: bool,
    /// Urgency among foreground requests; 0 is the most urgent.
    pub rank: u8,
    /// Conditions that the entry daemon sets for this attempt.
    pub terms: AttemptTerms,
    /// Hash by which equal requests are recognised.
    pub fingerprint: Fingerprint,
    /// When the request arrived at the guard.
    pub arrived_at: Instant,
    /// When the answer must have arrived.
    pub deadline_at: Instant,
    /// If another server can run the request: the time after which a run counts as hung where the
    /// usual time of its route is not known.
    pub hung_after: Option<Duration>,
}

impl GuardRequest {
    /// Returns the key of this attempt.
    pub fn key(&self) -> AttemptKey {
        (self.request, self.attempt)
    }

    /// Returns until when the request waits for a slot: as long as its entry lets it, and never after
    /// its deadline.
    pub fn waits_until(&self) -> Instant {
        let limit_ms = self.terms.wait_limit_ms.map(u64::from);
        let limit_at = limit_ms.map(|ms| self.arrived_at + Duration::from_millis(ms));
        limit_at.map_or(self.deadline_at, |at| at.min(self.deadline_at))
    }
}

/// How a call to a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server gave a whole answer with this status.
    Answered(u16),
    /// The call ended without a whole answer.
    Failed(CallError),
    /// The connection broke, and the server accepts no new one.
    Died,
    /// The server refused the request before it ran it.
    Shed,
    /// Another server has taken over the address.
    Replaced,
    /// The call was ended because nobody waited for it any more, or it could not be made.
    Abandoned,
}

/// Input of the guard's decisions.
#[derive(Debug, Clone)]
pub enum GuardEvent {
    /// A request arrived from an entry daemon.
    Arrived(GuardRequest),
    /// A call to a server ended.
    Finished {
        /// Attempt that the call was made for.
        key: AttemptKey,
        /// How the call ended.
        outcome: ServerOutcome,
        /// Time from the start of the call to its end.
        elapsed: Duration,
    },
    /// A backend server announced itself or renewed its announcement.
    Announced(Announcement),
    /// A backend server withdrew its announcement.
    Withdrawn {
        /// Name of the server that leaves.
        server: BackendServerId,
        /// When the incarnation that leaves started, in milliseconds since the epoch; 0 where the
        /// server does not report it.
        started_at_ms: u64,
    },
    /// This VM's failure domain goes out of service or returns.
    Domain {
        /// Whether the domain is out of service.
        out: bool,
    },
    /// The settings were reloaded. Addresses and limits of rings stay as they were.
    Settings(Box<GuardSettings>),
    /// The daemon continues under another incarnation number.
    Incarnation(Incarnation),
    /// A request that a server on this VM made itself failed.
    OwnCallFailed,
    /// The number of guards of the service of the server on this VM changed.
    GuardCount {
        /// Guards of the service, including this one; at least 1.
        count: usize,
    },
    /// What to do with servers of a service during a roll-out. Replaces the last rule of the service.
    Rollout(RolloutRule),
    /// No roll-out concerns the service any more.
    RolloutEnded(ServiceId),
    /// An entry daemon that lost its connection to this guard asks it not to start a request.
    Fence(FenceRequest),
    /// The caller disconnected, so all attempts at the request may end.
    Cancel(RequestId),
    /// The entry daemon closed its connection, so nobody waits for this attempt.
    EntryLeft(AttemptKey),
    /// Another guard reports requests that were running when its servers died.
    PoisonReported {
        /// Daemon of the reporting guard.
        from: DaemonId,
        /// Requests with the number of deaths that the guard saw.
        reports: Vec<PoisonReport>,
    },
    /// The time returned by `GuardState::next_tick_at` has come.
    Tick,
    /// A health inquiry was answered or failed.
    InquiryEnded {
        /// Address that was asked.
        address: SocketAddr,
        /// When the inquiry was sent.
        asked_at: Instant,
        /// Health that the server reports; `None` without an answer.
        report: Option<HealthReport>,
    },
    /// A new view of the configuration was read.
    View(Arc<View>),
    /// The daemon is about to leave the fleet.
    Leaving {
        /// When the process ends, whatever still runs.
        ends_at: Instant,
    },
    /// The daemon is stopping and takes no new work.
    Drain,
}

/// Message to the guard's thread: an event together with the data that decisions do not need.
pub enum GuardMessage {
    /// A request arrived from an entry daemon.
    Arrived {
        /// Headers that daemons add to a forwarded request.
        head: ForwardHead,
        /// Request line and headers as received.
        raw: RawHead,
        /// Exchange with the entry daemon that takes the answer.
        exchange: Box<dyn Exchange>,
        /// When the request arrived.
        arrived_at: Instant,
    },
    /// A peer asks to fence a request.
    Fence {
        /// Attempts that must not start.
        request: FenceRequest,
        /// Callback that receives the answer.
        reply: PeerReply,
    },
    /// An announcement or a withdrawal came to the announce address.
    Announce {
        /// The announcement or withdrawal as an event.
        event: GuardEvent,
        /// Receives the verdict; a guard that has ended sends none.
        verdict: Sender<AnnounceVerdict>,
    },
    /// The known daemons and their servers changed.
    Fleet(Arc<Fleet>),
    /// An event without further data.
    Event(GuardEvent),
    /// Entry daemons closed their connections; the thread has the list of attempts.
    EntriesLeft,
    /// Ends the guard's thread.
    Stop,
}

/// Whether the guard accepted an announcement, or why it ignored it.
pub type AnnounceVerdict = Result<(), IgnoredBecause>;

/// Why an announcement was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IgnoredBecause {
    /// A later announcement of the same incarnation was accepted before.
    Outdated,
    /// A later incarnation of the server is present, or the server reports no start time after it
    /// reported one before.
    EarlierIncarnation,
    /// A server that started later holds the address.
    Replaced,
    /// The settings name another address for the server on this VM.
    OtherAddress,
    /// The settings name another service for the server on this VM.
    OtherService,
}

impl IgnoredBecause {
    /// Returns whether the announcement contradicts the settings, which may be out of date.
    pub fn contradicts_settings(self) -> bool {
        matches!(
            self,
            IgnoredBecause::OtherAddress | IgnoredBecause::OtherService
        )
    }

    /// Returns the name in logs, counters and answers to the server.
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

/// Effect of a decision, to be carried out by the guard's thread.
#[derive(Debug, Clone, PartialEq)]
pub enum GuardAction {
    /// Starts an attempt by calling the server.
    Start {
        /// Attempt that the server is to run.
        key: AttemptKey,
        /// Address of the server to call.
        address: SocketAddr,
        /// When the call is ended without an answer; never after the request's deadline.
        until: Instant,
    },
    /// Refuses the request; the kind says whether it may have run.
    Refuse {
        /// Attempt that is refused.
        key: AttemptKey,
        /// Reason of the refusal.
        kind: ErrorKind,
        /// Time after which the entry daemon should try again, where known.
        retry_after: Option<Duration>,
    },
    /// Reports to routing whether the server on this VM is shown to be of another service than the
    /// settings name.
    ServiceContradicted(bool),
    /// Reports to routing that a repeat started at the server on this VM: calls that the server
    /// makes for it count as repeats too.
    RepeatStarted,
    /// Answers the fence request that is being handled.
    FenceAnswered(FenceAnswer),
    /// Cancels a request at its server, because nobody waits for it any more.
    CancelServer {
        /// Attempt that runs at the server.
        key: AttemptKey,
        /// Address of the server that runs the attempt.
        address: SocketAddr,
        /// Whether the request may run more than once.
        repeatable: bool,
    },
    /// Reports requests that were running when a server died to the other guards of the service.
    ReportPoison {
        /// Service of the server that died.
        service: ServiceId,
        /// Requests with the number of deaths that this guard saw.
        reports: Vec<PoisonReport>,
    },
    /// Asks a server for its health.
    Inquire {
        /// Address of the server to ask.
        address: SocketAddr,
        /// Health path from the contract of the service.
        path: String,
    },
    /// Logs the announcement of a server or an incarnation that was not known before.
    ServerSeen(Announcement),
    /// Logs and answers an announcement that was ignored.
    AnnouncementIgnored {
        /// Announcement as the server sent it.
        announcement: Announcement,
        /// Why it was ignored.
        reason: IgnoredBecause,
    },
    /// Reports, after `Drain`, that nothing runs or waits any more.
    Drained,
    /// Reports all servers that are present on this VM to membership.
    ReportServers(Vec<ServerEntry>),
    /// Reports the departures that the next incarnation of this daemon has to know to membership,
    /// which publishes them.
    ReportDepartures(Vec<ServerDeparture>),
}
