//! Events and actions of membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

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

/// Every daemon known, by name. A snapshot.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// The daemons.
    pub daemons: BTreeMap<DaemonId, Arc<DaemonEntry>>,
}

/// What happens to membership.
#[derive(Debug, Clone)]
pub enum MembershipEvent {
    /// The backend servers beside this daemon changed.
    Local(Vec<ServerEntry>),
    /// Health set the share of a backend server beside this daemon.
    Share {
        /// The backend server.
        server: BackendServerId,
        /// The share, in thousandths.
        share_permille: u16,
    },
    /// A daemon described itself.
    Heard(DaemonEntry),
    /// This daemon leaves.
    Leave,
    /// The daemon stops.
    Stop,
}

/// What membership does.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Tells the fleet about this daemon.
    Publish(DaemonEntry),
    /// Gives a new snapshot to the duties of this daemon.
    Changed(Arc<Fleet>),
}
