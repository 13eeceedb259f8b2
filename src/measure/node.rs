//! One VM: the daemon's states and the backend server beside them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::policy::Policy;
use super::server::FakeServer;
use crate::contract::View;
use crate::guard::message::{Announcement, AttemptKey, GuardRequest};
use crate::guard::state::GuardState;
use crate::health::state::HealthState;
use crate::membership::{DaemonEntry, ServerEntry, FULL_SHARE_PERMILLE};
use crate::routing::state::RoutingState;
use crate::routing::RoutingEvent;
use crate::settings::guard::GuardSettings;
use crate::types::{BackendServerId, DomainId, Incarnation, ServiceId};

/// The life of every daemon.
pub const INCARNATION: Incarnation = 1;

/// Slots of every server.
const SLOTS_COUNT: u32 = 5;

/// A request on its way through a guard.
pub struct PendingAttempt {
    /// Index of the entry's node.
    pub entry: usize,
    /// The request.
    pub request: GuardRequest,
    /// When the entry sent it.
    pub sent_at: Instant,
    /// When the server started it.
    pub started_at: Option<Instant>,
}

/// Who a node is.
pub struct NodeIdentity {
    /// Its index.
    pub index: usize,
    /// Its failure domain.
    pub domain: DomainId,
    /// The service of its server.
    pub service: ServiceId,
}

/// One VM.
pub struct Node {
    /// Routing of its entry.
    pub routing: RoutingState,
    /// Its guard.
    pub guard: GuardState,
    /// Its health duty; none under a policy without ejection.
    pub health: Option<HealthState>,
    /// The server beside it.
    pub server: FakeServer,
    /// The server's name.
    pub server_name: BackendServerId,
    /// The server's service.
    pub service: ServiceId,
    /// The daemon as others know it, once it was spread.
    pub entry: DaemonEntry,
    /// What health made of the server.
    pub share_permille: u16,
    /// Requests at the guard.
    pub pending_attempts: HashMap<AttemptKey, PendingAttempt>,
    /// Requests that the server started.
    pub started_count: u64,
    /// When its next ticks are in the timeline.
    pub guard_tick_at: Option<Instant>,
    /// When its next ticks are in the timeline.
    pub health_tick_at: Option<Instant>,
}

impl Node {
    /// A node that has not announced its server yet.
    pub fn new(name: NodeIdentity, policy: &Policy, server: FakeServer, seed: u64) -> Node {
        let NodeIdentity {
            index,
            domain,
            service,
        } = name;
        let daemon: Arc<str> = format!("daemon-{index}").into();
        let node_seed = seed.wrapping_mul(NODE_SEED_STEP).wrapping_add(index as u64);
        let choice = policy.server_choice(domain.clone(), index, node_seed);
        let random = ChaCha8Rng::seed_from_u64(!node_seed);
        let health = policy
            .health
            .clone()
            .map(|settings| HealthState::new(settings, daemon.clone(), random));
        let address = "127.0.0.1:1".parse().expect("a literal address");
        let entry = DaemonEntry {
            daemon,
            incarnation: INCARNATION,
            version: 1,
            domain,
            guard_address: address,
            link_address: address,
            leaving: false,
            servers: Vec::new(),
        };
        Node {
            routing: RoutingState::new(policy.routing.clone(), choice),
            guard: GuardState::new(GuardSettings::default(), INCARNATION),
            health,
            server,
            server_name: format!("server-{index}").into(),
            service,
            entry,
            share_permille: FULL_SHARE_PERMILLE,
            pending_attempts: HashMap::new(),
            started_count: 0,
            guard_tick_at: None,
            health_tick_at: None,
        }
    }

    /// What the server announces.
    pub fn announcement(&self) -> Announcement {
        Announcement {
            server: self.server_name.clone(),
            service: self.service.clone(),
            slots_count: SLOTS_COUNT,
            ..Default::default()
        }
    }

    /// Takes what the guard reports.
    pub fn update_servers(&mut self, mut servers: Vec<ServerEntry>) {
        for server in &mut servers {
            server.share_permille = self.share_permille;
        }
        self.entry.servers = servers;
        self.entry.version += 1;
    }

    /// Takes what health decided.
    pub fn set_share(&mut self, share_permille: u16) {
        self.share_permille = share_permille;
        let servers = self.entry.servers.clone();
        self.update_servers(servers);
    }

    /// Takes a new view.
    pub fn update_view(&mut self, now: Instant, view: &Arc<View>) {
        self.routing.handle(now, RoutingEvent::View(view.clone()));
    }
}

/// Keeps the seeds of nodes apart.
const NODE_SEED_STEP: u64 = 1_000_003;
