//! Events and actions of membership.

use std::net::SocketAddr;
use std::sync::Arc;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::link::{LinkError, PeerAnswer, PeerName, PeerReply, PeerRequest};
use crate::types::{BackendServerId, DaemonId, DomainId, Incarnation, ServiceId};

/// A backend server beside a daemon, as other daemons know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The backend server.
    pub server: BackendServerId,
    /// Its service.
    pub service: ServiceId,
    /// Slots that its guard gives at present.
    pub slots_count: u32,
    /// Whether its guard holds it for cold.
    pub cold: bool,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Share of its usual requests that entries send to it, in thousandths: 0 while it is
    /// ejected, small while it is probed, `FULL_SHARE_PERMILLE` in full service.
    #[serde(default = "full_share_permille")]
    pub share_permille: u16,
}

/// The share of a server in full service.
pub const FULL_SHARE_PERMILLE: u16 = 1000;

fn full_share_permille() -> u16 {
    FULL_SHARE_PERMILLE
}

/// One daemon, as it describes itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonEntry {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life. A greater one replaces all lesser ones.
    pub incarnation: Incarnation,
    /// Grows with every change within a life.
    pub version: u64,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where its guard takes requests.
    pub guard_address: SocketAddr,
    /// Where its peer link listens.
    pub link_address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The backend servers beside it.
    pub servers: Vec<ServerEntry>,
}

/// Every daemon known, by name. A snapshot; clones share what did not change.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// The daemons.
    pub daemons: OrdMap<DaemonId, Arc<DaemonEntry>>,
}

/// What happens to membership.
#[derive(Debug, Clone)]
pub enum MembershipEvent {
    /// The backend servers beside this daemon changed.
    Local(Vec<ServerEntry>),
    /// Health set the share of a backend server beside this daemon.
    ShareChanged {
        /// The backend server.
        server: BackendServerId,
        /// The share, in thousandths.
        share_permille: u16,
    },
    /// A daemon described itself in the platform's log.
    EntryReceived(DaemonEntry),
    /// A peer asks.
    RequestReceived {
        /// Names the request.
        ticket: Ticket,
        /// The peer.
        from: PeerName,
        /// The request.
        request: PeerRequest,
    },
    /// A call ended.
    CallEnded {
        /// Names the call.
        ticket: Ticket,
        /// The answer.
        result: Result<PeerAnswer, LinkError>,
    },
    /// The time of `next_tick_at` has come.
    Tick,
    /// This daemon leaves.
    Leave,
    /// The daemon stops.
    Stop,
}

/// What membership does.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Appends the description of this daemon to the platform's log.
    Publish(DaemonEntry),
    /// Gives a new snapshot to the duties of this daemon.
    FleetChanged(Arc<Fleet>),
    /// Calls a peer; `Answered` with the same ticket follows.
    Call {
        /// Names the call.
        ticket: Ticket,
        /// The peer.
        to: CallTarget,
        /// The request.
        request: PeerRequest,
    },
    /// Answers the request that came with this ticket; none refuses it.
    Reply {
        /// Names the request.
        ticket: Ticket,
        /// The answer.
        answer: Option<PeerAnswer>,
    },
    /// Counts something.
    Count(&'static str),
    /// A later life of this daemon is known, and this one yields to it.
    Superseded {
        /// This life.
        incarnation: Incarnation,
        /// That life.
        later: Incarnation,
    },
    /// This process bears another number from now on.
    IncarnationRaised(IncarnationRaised),
}

/// A new number of a process whose daemon is known in a later life that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncarnationRaised {
    /// The number so far.
    pub earlier: Incarnation,
    /// The number of the life that is over.
    pub ended: Incarnation,
    /// The number from now on.
    pub later: Incarnation,
    /// Where that life was heard of.
    pub source: NewsSource,
}

/// Where news of a daemon comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsSource {
    /// Another daemon.
    Peer,
    /// What the platform keeps.
    Platform,
}

impl NewsSource {
    /// The source, as logs name it.
    pub fn name(self) -> &'static str {
        match self {
            NewsSource::Peer => "peer",
            NewsSource::Platform => "platform",
        }
    }
}

/// What comes to the membership duty from the link.
pub enum MembershipCall {
    /// A peer asks.
    RequestReceived {
        /// The peer.
        from: PeerName,
        /// The request.
        request: PeerRequest,
        /// Takes the answer.
        reply: PeerReply,
    },
    /// A call ended.
    CallEnded {
        /// Names the call.
        ticket: Ticket,
        /// The answer.
        result: Result<PeerAnswer, LinkError>,
    },
}

/// Names a call or a request until it is answered. Both kinds are counted apart.
pub type Ticket = u64;

/// Whom membership calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallTarget {
    /// A daemon.
    Daemon(DaemonId),
    /// Whichever daemon answers at a seed address.
    Seed(SocketAddr),
}

/// Names one state of a daemon, without its description.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Version of its description.
    pub version: u64,
    /// Raised by the daemon itself, and only to refute a suspicion.
    pub round: u32,
    /// Whether it is suspected in this round. The daemon itself never sets it.
    pub suspect: bool,
}

/// What changed of a description. It leads to `version` from each version that is at least
/// `from_version`, since it names all servers that changed after that one.
#[derive(Debug, Clone, PartialEq)]
pub struct Delta {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The first version that it leads on from.
    pub from_version: u64,
    /// The version that it leads to.
    pub version: u64,
    /// Whether the daemon is leaving.
    pub leaving: bool,
    /// Servers that are new or changed.
    pub servers: Vec<ServerEntry>,
    /// Servers that are no longer beside the daemon.
    pub removed: Vec<BackendServerId>,
}

/// What one daemon tells another of the fleet, in both directions.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Gossip {
    /// What changed of late.
    pub summaries: Vec<Summary>,
    /// What leads to the versions in `summaries`, where it is little.
    pub deltas: Vec<Arc<Delta>>,
    /// Descriptions that the peer lacks.
    pub entries: Vec<Arc<DaemonEntry>>,
    /// Daemons whose descriptions the sender lacks.
    pub wanted: Vec<DaemonId>,
    /// In an answer: bit `n` is set where summary `n` of the request was no news.
    pub known: u64,
    /// Digest of all that the sender knows.
    pub digest: u64,
}

/// Digests of the sixteen parts below one node of the digest tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompareRequest {
    /// How many nibbles of a name's hash lead to the node.
    pub depth: u8,
    /// Those nibbles, in the low bits.
    pub prefix: u64,
    /// Digests of the parts, in order.
    pub digests: Vec<u64>,
}

/// What differs below one node of the digest tree.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CompareAnswer {
    /// All that the answerer knows in differing parts with few daemons.
    pub summaries: Vec<Summary>,
    /// Bit `n` is set where part `n` differs and is listed whole in `summaries`.
    pub listed: u16,
    /// Bit `n` is set where part `n` differs and has too many daemons to list.
    pub deeper: u16,
}

/// Asks for a page of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembersRequest {
    /// The page begins after this daemon; empty for the first.
    pub after: DaemonId,
    /// Most bytes of descriptions.
    pub limit_bytes: u32,
}

/// A page of the fleet, in order of the daemons' names.
#[derive(Debug, Clone, PartialEq)]
pub struct MembersAnswer {
    /// One summary for each description.
    pub summaries: Vec<Summary>,
    /// The descriptions.
    pub entries: Vec<Arc<DaemonEntry>>,
    /// Where the next page begins.
    pub next: DaemonId,
    /// Whether this is the last page.
    pub complete: bool,
}
