//! Events and actions of the guard.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::error::ErrorKind;
use crate::membership::ServerEntry;
use crate::types::{BackendServerId, OrganisationId, RequestId, RouteId, ServiceId};
use crate::wire::call::CallError;
use crate::wire::exchange::{Exchange, RawHead};
use crate::wire::forward::ForwardHead;

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
        }
    }
}

/// A request as the guard decides on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuardRequest {
    /// The request.
    pub request: RequestId,
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
    /// When its answer must be there.
    pub deadline_at: Instant,
}

/// How a call to a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// A whole answer with this status.
    Answered(u16),
    /// No whole answer.
    Failed(CallError),
}

/// What happens to the guard.
#[derive(Debug, Clone)]
pub enum GuardEvent {
    /// A request arrived from an entry.
    Arrived(GuardRequest),
    /// A call to a server ended.
    Finished {
        /// The request.
        request: RequestId,
        /// How.
        outcome: ServerOutcome,
        /// How long it took.
        elapsed: Duration,
    },
    /// A backend server announced itself, or renewed that.
    Announced(Announcement),
    /// A backend server withdrew its announcement.
    Withdrawn(BackendServerId),
    /// The time asked for has come.
    Tick,
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
    /// Any other event.
    Event(GuardEvent),
    /// The duty ends.
    Stop,
}

/// What the guard does.
#[derive(Debug, Clone, PartialEq)]
pub enum GuardAction {
    /// Calls the server.
    Start {
        /// The request.
        request: RequestId,
        /// The server's address.
        address: SocketAddr,
    },
    /// Refuses the request; it did not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        kind: ErrorKind,
    },
    /// Tells membership of the servers on this VM.
    Servers(Vec<ServerEntry>),
}
