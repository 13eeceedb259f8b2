//! One VM of the simulation: the states of its daemon and its backend server.

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
use crate::types::{BackendServerId, DomainId, Incarnation, ServiceId};

/// Incarnation of every simulated daemon, none of which restarts.
pub const INCARNATION: Incarnation = 1;

/// Slots of every simulated server: requests that it runs at a time.
const SLOTS_COUNT: u32 = 5;

/// An attempt that an entry sent to a guard and that has no outcome yet.
pub struct PendingAttempt {
    /// Index of the node whose entry sent the attempt.
    pub entry: usize,
    /// The request as the entry sent it to the guard.
    pub request: GuardRequest,
    /// Time at which the entry sent the attempt.
    pub sent_at: Instant,
    /// Time at which the server started the request; none while it waits at the guard.
    pub started_at: Option<Instant>,
}

/// Index, failure domain and service from which a node is built.
pub struct NodeIdentity {
    /// Index of the node in the simulation, which also numbers its daemon and its server.
    pub index: usize,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Service that the VM's backend server runs.
    pub service: ServiceId,
}

/// One VM with the states of its daemon's duties and its backend server.
pub struct Node {
    /// State of the daemon's routing duty.
    pub routing: RoutingState,
    /// State of the daemon's guard.
    pub guard: GuardState,
    /// State of the daemon's health duty; none under a policy without ejection.
    pub health: Option<HealthState>,
    /// Simulated backend server on this VM.
    pub server: FakeServer,
    /// Name of the backend server.
    pub server_name: BackendServerId,
    /// Service that the backend server runs.
    pub service: ServiceId,
    /// Current entry of the daemon; the other daemons receive it at the next spread.
    pub entry: DaemonEntry,
    /// Share of its load that health allows the server, in permille.
    pub share_permille: u16,
    /// Attempts that are waiting or running at the guard.
    pub pending_attempts: HashMap<AttemptKey, PendingAttempt>,
    /// Number of requests that the server has started.
    pub started_count: u64,
    /// Time of the guard's next tick that is in the event queue.
    pub guard_tick_at: Option<Instant>,
    /// Time of the health duty's next tick that is in the event queue.
    pub health_tick_at: Option<Instant>,
}

impl Node {
    /// Builds a node whose server has not announced itself yet.
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
            guard: GuardState::new(policy.guard.clone(), INCARNATION),
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

    /// Returns the announcement that the server sends to its guard.
    pub fn announcement(&self) -> Announcement {
        Announcement {
            server: self.server_name.clone(),
            service: self.service.clone(),
            slots_count: SLOTS_COUNT,
            ..Default::default()
        }
    }

    /// Puts the servers that the guard reports into the daemon's entry, with the current share.
    pub fn update_servers(&mut self, mut servers: Vec<ServerEntry>) {
        for server in &mut servers {
            server.share_permille = self.share_permille;
        }
        self.entry.servers = servers;
        self.entry.version += 1;
    }

    /// Sets the server's share that health decided and updates the daemon's entry.
    pub fn set_share(&mut self, share_permille: u16) {
        self.share_permille = share_permille;
        let servers = self.entry.servers.clone();
        self.update_servers(servers);
    }

    /// Passes a new view to the routing duty.
    pub fn update_view(&mut self, now: Instant, view: &Arc<View>) {
        self.routing.handle(now, RoutingEvent::View(view.clone()));
    }
}

/// Factor on the seed of a run, so that nodes of runs with different seeds draw differently.
const NODE_SEED_STEP: u64 = 1_000_003;
