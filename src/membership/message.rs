//! Events and actions of the membership state, and the messages that daemons exchange about it.

use std::net::SocketAddr;
use std::sync::Arc;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::link::{LinkError, PeerAnswer, PeerName, PeerReply, PeerRequest};
use crate::rollout::RolloutStep;
use crate::types::{BackendServerId, DaemonId, DomainId, Incarnation, ServiceId, SoftwareVersion};

/// A backend server on the VM of a daemon, as the daemon describes it to the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Id of the backend server.
    pub server: BackendServerId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Requests that its guard currently lets run at a time.
    pub slots_count: u32,
    /// Whether its guard treats it as cold, that is still warming up.
    pub cold: bool,
    /// Whether the server is draining and takes no new requests.
    pub draining: bool,
    /// Share of its normal requests that entries send to it, in thousandths: 0 while it is
    /// ejected, small while it is probed, `FULL_SHARE_PERMILLE` in full service.
    #[serde(default = "full_share_permille")]
    pub share_permille: u16,
    /// Version of the server's software.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub software_version: SoftwareVersion,
    /// Step of the roll-out in which its guard gives it work.
    #[serde(default, skip_serializing_if = "RolloutStep::is_none")]
    pub rollout_step: RolloutStep,
}

impl Default for ServerEntry {
    /// Returns the values of fields that a description leaves out.
    fn default() -> Self {
        ServerEntry {
            server: "".into(),
            service: "".into(),
            slots_count: 0,
            cold: false,
            draining: false,
            share_permille: FULL_SHARE_PERMILLE,
            software_version: "".into(),
            rollout_step: RolloutStep::None,
        }
    }
}

/// Share of a server in full service, in thousandths.
pub const FULL_SHARE_PERMILLE: u16 = 1000;

/// Returns the default of `ServerEntry::share_permille`: full service.
fn full_share_permille() -> u16 {
    FULL_SHARE_PERMILLE
}

/// Description of one daemon, made by the daemon itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonEntry {
    /// Id of the described daemon.
    pub daemon: DaemonId,
    /// Incarnation of the daemon. A greater number replaces all lesser ones.
    pub incarnation: Incarnation,
    /// Version of the description; grows with every change within an incarnation.
    pub version: u64,
    /// Failure domain that the daemon's VM is in.
    pub domain: DomainId,
    /// Address at which its guard takes requests.
    pub guard_address: SocketAddr,
    /// Address at which its peer link listens.
    pub link_address: SocketAddr,
    /// Whether the daemon is leaving the fleet.
    pub leaving: bool,
    /// Backend servers on the daemon's VM.
    pub servers: Vec<ServerEntry>,
}

/// Departure of a backend server, as the daemon on its VM acknowledged it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDeparture {
    /// Id of the backend server.
    pub server: BackendServerId,
    /// Start of the latest incarnation that left, in milliseconds since the epoch.
    pub started_at_ms: u64,
}

/// Record that a daemon keeps on the platform: its description for the fleet, and what its next
/// incarnation has to know.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonRecord {
    /// Description of the daemon.
    #[serde(flatten)]
    pub entry: DaemonEntry,
    /// Departures that the daemon acknowledged; gossip does not carry them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<ServerDeparture>,
}

/// Snapshot of all known daemons. Clones share the parts that did not change.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// Descriptions of the daemons, by id.
    pub daemons: OrdMap<DaemonId, Arc<DaemonEntry>>,
}

/// An event, the input of `MembershipState::handle`.
#[derive(Debug, Clone)]
pub enum MembershipEvent {
    /// The backend servers on this VM changed; holds all of them.
    Local(Vec<ServerEntry>),
    /// Departures of servers on this VM were acknowledged; holds all that are to be kept.
    Departures(Vec<ServerDeparture>),
    /// Health set the share of a backend server on this VM.
    ShareChanged {
        /// Id of the backend server.
        server: BackendServerId,
        /// New share of its normal requests, in thousandths.
        share_permille: u16,
    },
    /// A description of a daemon was read from the platform's log.
    EntryReceived(DaemonEntry),
    /// The platform's store has returned from a copy and may have lost the record of this daemon.
    StoreReturned,
    /// A peer sent a request.
    RequestReceived {
        /// Identifies the request in the reply to it.
        ticket: Ticket,
        /// The peer that sent it.
        from: PeerName,
        /// Content of the request.
        request: PeerRequest,
    },
    /// A call of this daemon to a peer ended.
    CallEnded {
        /// Ticket of the `MembershipAction::Call` that ended.
        ticket: Ticket,
        /// The peer's answer, or why there is none.
        result: Result<PeerAnswer, LinkError>,
    },
    /// The time given by `MembershipState::next_tick_at` has come.
    Tick,
    /// This daemon is leaving the fleet.
    Leave,
    /// The process stops, and the membership thread ends.
    Stop,
}

/// An action, the output of `MembershipState::handle`, which the membership thread carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Writes this record of the own daemon to the platform.
    Publish(DaemonRecord),
    /// Hands a new snapshot of the fleet to the other threads of this process.
    FleetChanged(Arc<Fleet>),
    /// Calls a peer; `MembershipEvent::CallEnded` with the same ticket follows.
    Call {
        /// Identifies the call in the event that ends it.
        ticket: Ticket,
        /// The peer to call.
        to: CallTarget,
        /// Content of the request.
        request: PeerRequest,
    },
    /// Answers the request that came with this ticket.
    Reply {
        /// Ticket of the `MembershipEvent::RequestReceived` that is answered.
        ticket: Ticket,
        /// Content of the answer; `None` refuses the request.
        answer: Option<PeerAnswer>,
    },
    /// Increments the counter of this name.
    Count(&'static str),
    /// A later incarnation of this daemon became known, so this process no longer publishes its
    /// description or refutes suspicions.
    Superseded {
        /// Incarnation of this process.
        incarnation: Incarnation,
        /// The greatest incarnation that is known.
        later: Incarnation,
    },
    /// This process took a greater incarnation number.
    IncarnationRaised(IncarnationRaised),
}

/// Change of this process to a greater incarnation number, made because others know a later
/// incarnation of the daemon that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncarnationRaised {
    /// Number of this process before the change.
    pub earlier: Incarnation,
    /// Number of the incarnation that has ended.
    pub ended: Incarnation,
    /// Number of this process from now on, above the other two.
    pub later: Incarnation,
    /// Source of the news of the ended incarnation.
    pub source: NewsSource,
}

/// Origin of a piece of news about a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsSource {
    /// Gossip of another daemon.
    Peer,
    /// A record kept by the platform.
    Platform,
}

impl NewsSource {
    /// Returns the name of the source in log lines.
    pub fn name(self) -> &'static str {
        match self {
            NewsSource::Peer => "peer",
            NewsSource::Platform => "platform",
        }
    }
}

/// Message from the peer link to the membership thread.
pub enum MembershipCall {
    /// A peer sent a request.
    RequestReceived {
        /// The peer that sent it.
        from: PeerName,
        /// Content of the request.
        request: PeerRequest,
        /// Callback that sends the answer.
        reply: PeerReply,
    },
    /// A call of this daemon to a peer ended.
    CallEnded {
        /// Ticket of the `MembershipAction::Call` that ended.
        ticket: Ticket,
        /// The peer's answer, or why there is none.
        result: Result<PeerAnswer, LinkError>,
    },
}

/// Identifies a call or a received request until it is answered. Calls and requests are numbered
/// separately, so a call and a request may have the same ticket.
pub type Ticket = u64;

/// Recipient of a membership call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallTarget {
    /// The daemon of this id.
    Daemon(DaemonId),
    /// Whichever daemon answers at this seed address.
    Seed(SocketAddr),
}

/// Version and suspicion state of one daemon, without its description.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Version of its description.
    pub version: u64,
    /// Suspicion round; only the daemon itself raises it, to refute a suspicion.
    pub round: u32,
    /// Whether the daemon is suspected in this round. The daemon itself never sets it.
    pub suspect: bool,
}

/// Change of a description. It can be applied to every version from `from_version` to the one
/// before `version`, since it names all servers that changed after `from_version`.
#[derive(Debug, Clone, PartialEq)]
pub struct Delta {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Lowest version that the delta can be applied to.
    pub from_version: u64,
    /// Version of the description after the delta was applied.
    pub version: u64,
    /// Whether the daemon is leaving.
    pub leaving: bool,
    /// Servers that are new or changed.
    pub servers: Vec<ServerEntry>,
    /// Servers that are no longer on the daemon's VM.
    pub removed: Vec<BackendServerId>,
}

/// Gossip message about the fleet; request and answer have the same form.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Gossip {
    /// Summaries of daemons that changed recently.
    pub summaries: Vec<Summary>,
    /// Deltas that lead to the versions in `summaries`, where they are small.
    pub deltas: Vec<Arc<Delta>>,
    /// Descriptions that the recipient lacks.
    pub entries: Vec<Arc<DaemonEntry>>,
    /// Daemons whose descriptions the sender lacks.
    pub wanted: Vec<DaemonId>,
    /// In an answer: bit `n` is set if summary `n` of the request was already known.
    pub known: u64,
    /// Digest of the sender's whole view of the fleet.
    pub digest: u64,
}

/// Request to compare the sixteen children of one node of the digest tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompareRequest {
    /// Depth of the node: the number of nibbles of a hashed daemon id that lead to it.
    pub depth: u8,
    /// Nibbles of the hashed daemon id that lead to the node, in the low bits.
    pub prefix: u64,
    /// Digests of the children, in order.
    pub digests: Vec<u64>,
}

/// Answer to a comparison: the children of the node whose digests differ.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CompareAnswer {
    /// Summaries of all daemons in the differing children that have few daemons.
    pub summaries: Vec<Summary>,
    /// Bit `n` is set if child `n` differs and all its daemons are in `summaries`.
    pub listed: u16,
    /// Bit `n` is set if child `n` differs and has too many daemons to list.
    pub deeper: u16,
}

/// Request for one page of descriptions, used for a full sync.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembersRequest {
    /// The page begins after this daemon; empty for the first page.
    pub after: DaemonId,
    /// Upper bound on the bytes of the descriptions in the answer.
    pub limit_bytes: u32,
}

/// One page of descriptions, in order of the daemon ids.
#[derive(Debug, Clone, PartialEq)]
pub struct MembersAnswer {
    /// One summary for each description.
    pub summaries: Vec<Summary>,
    /// Descriptions on this page.
    pub entries: Vec<Arc<DaemonEntry>>,
    /// Daemon after which the next page begins.
    pub next: DaemonId,
    /// Whether this is the last page.
    pub complete: bool,
}
