//! Simulates a fleet of membership states under virtual time, for scenarios and measurements.
//!
//! Messages take a fixed time. Paths can be cut, daemons paused, killed, replaced and restarted
//! with other clocks, and the platform's log made unavailable. A run is determined by its seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::message::{DaemonEntry, Fleet, MembershipAction, MembershipEvent, Ticket};
use super::state::MembershipState;
use crate::link::{PeerName, PeerRequest};
use crate::settings::membership::MembershipSettings;
use crate::types::{DaemonId, Incarnation};

mod calls;

/// One-way delay between two daemons.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Time from an append to the log until the record is read.
const LOG_DELAY: Duration = Duration::from_millis(50);
/// Time after which a call without an answer ends.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of the frames of a call and its release, without the request.
pub const CALL_FRAME_BYTES: u64 = 112;
/// Bytes of the frame of an answer, without the answer.
pub const ANSWER_FRAME_BYTES: u64 = 72;
/// Milliseconds that a correct clock shows when the simulation begins.
const START_CLOCK_MS: u64 = 1_000_000;

/// Index of a daemon in the order of starts; a replacement gets an index of its own.
type Index = usize;

/// One simulated daemon with its state.
struct VirtualDaemon {
    state: MembershipState,
    /// Newest snapshot of the fleet that the daemon's state returned.
    fleet: Arc<Fleet>,
    alive: bool,
    /// Events that wait for the end of a pause; `None` while the daemon runs.
    paused: Option<Vec<MembershipEvent>>,
    /// Time of the valid tick; other ticks in the queue are ignored.
    tick_at: Instant,
    /// Number of log records that were delivered to it.
    read_record_count: usize,
    traffic: Traffic,
}

/// Bytes and calls of one daemon since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Bytes sent, frames included.
    pub sent_bytes: u64,
    /// Bytes received, frames included.
    pub received_bytes: u64,
    /// Calls made to other daemons.
    pub calls_count: u64,
}

/// An event that waits in the queue for its time.
enum SimulatedEvent {
    Tick,
    Event(MembershipEvent),
    Request {
        from: Index,
        ticket: Ticket,
        request: PeerRequest,
    },
}

/// A simulated fleet under virtual time.
pub struct VirtualFleet {
    start: Instant,
    now: Instant,
    settings: MembershipSettings,
    seed: u64,
    daemons: Vec<VirtualDaemon>,
    index_by_name: HashMap<DaemonId, Index>,
    /// Times and ids of `queued_events`, the earliest first.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    queued_events: HashMap<u64, (Index, SimulatedEvent)>,
    last_event_id: u64,
    /// Open requests: the answering daemon and its ticket, mapped to the caller and its ticket.
    requests: HashMap<(Index, Ticket), (Index, Ticket)>,
    last_request_ticket: Ticket,
    /// Ordered pairs of daemons (from, to) between which all packets are lost.
    cuts: BTreeSet<(DaemonId, DaemonId)>,
    /// Milliseconds by which clocks are ahead; negative if behind.
    clocks_ms: BTreeMap<DaemonId, i64>,
    /// Records of the platform's log; `None` while it is unavailable.
    log: Option<Vec<DaemonEntry>>,
    /// Keeps the records of the log while it is unavailable.
    kept_log: Vec<DaemonEntry>,
    counters: BTreeMap<&'static str, u64>,
}

impl VirtualFleet {
    /// Creates an empty fleet with an available log.
    pub fn new(settings: MembershipSettings, seed: u64) -> VirtualFleet {
        let start = Instant::now();
        VirtualFleet {
            start,
            now: start,
            settings,
            seed,
            daemons: Vec::new(),
            index_by_name: HashMap::new(),
            queue: BinaryHeap::new(),
            queued_events: HashMap::new(),
            last_event_id: 0,
            requests: HashMap::new(),
            last_request_ticket: 0,
            cuts: BTreeSet::new(),
            clocks_ms: BTreeMap::new(),
            log: Some(Vec::new()),
            kept_log: Vec::new(),
            counters: BTreeMap::new(),
        }
    }

    /// Returns the virtual time since the simulation began.
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Returns the guard and link address of the daemon that was started as number `index`.
    pub fn address(index: usize) -> SocketAddr {
        let [_, a, b, c] = (index as u32 + 1).to_be_bytes();
        SocketAddr::new(Ipv4Addr::new(10, a, b, c).into(), 8083)
    }

    /// Sets by how many milliseconds the clock of a daemon is ahead. It is read at the next start.
    pub fn set_clock(&mut self, daemon: &str, ahead_ms: i64) {
        self.clocks_ms.insert(daemon.into(), ahead_ms);
    }

    /// Starts a daemon on a new VM, in an incarnation later than all its earlier ones whatever its
    /// clock shows. Seeds are ids of daemons started before.
    pub fn start(&mut self, daemon: &str, domain: &str, seeds: &[&str]) {
        let names = self.daemons.iter().map(|known| known.state.own());
        let incarnations = names.filter(|own| *own.daemon == *daemon);
        let last = incarnations.map(|own| own.incarnation).max();
        let incarnation = self
            .wall_clock_ms_of(daemon)
            .max(last.map_or(0, |last| last + 1));
        let address = Self::address(self.daemons.len());
        self.start_process((daemon, domain), incarnation, address, seeds);
    }

    /// Restarts a daemon at its address. Its clock alone determines the incarnation.
    pub fn restart(&mut self, daemon: &str, seeds: &[&str]) {
        let own = self.daemons[self.index_of(daemon)].state.own().clone();
        let incarnation = self.wall_clock_ms_of(daemon);
        self.start_process((daemon, &own.domain), incarnation, own.link_address, seeds);
    }

    fn wall_clock_ms_of(&self, daemon: &str) -> Incarnation {
        let ahead_ms = self.clocks_ms.get(daemon).copied().unwrap_or(0);
        (START_CLOCK_MS + self.elapsed().as_millis() as u64).saturating_add_signed(ahead_ms)
    }

    fn start_process(
        &mut self,
        (daemon, domain): (&str, &str),
        incarnation: Incarnation,
        address: SocketAddr,
        seeds: &[&str],
    ) {
        let name = DaemonId::from(daemon);
        let mut settings = self.settings.clone();
        for seed in seeds {
            let seed = &self.daemons[self.index_of(seed)];
            settings.seed_addresses.push(seed.state.own().link_address);
        }
        if let Some(old) = self.index_by_name.get(&name).copied() {
            self.daemons[old].alive = false;
        }
        let index = self.daemons.len();
        let own = DaemonEntry {
            daemon: name.clone(),
            incarnation,
            version: 0,
            domain: domain.into(),
            guard_address: address,
            link_address: address,
            leaving: false,
            servers: Vec::new(),
        };
        let random = ChaCha8Rng::seed_from_u64(self.seed ^ (index as u64) << 32);
        let state = MembershipState::new(settings, own, random, self.now);
        self.daemons.push(VirtualDaemon {
            state,
            fleet: Arc::default(),
            alive: true,
            paused: None,
            tick_at: self.now,
            read_record_count: 0,
            traffic: Traffic::default(),
        });
        self.index_by_name.insert(name, index);
        self.schedule(self.now, index, SimulatedEvent::Tick);
        self.read_log(index);
    }

    /// Kills a daemon without warning.
    pub fn kill(&mut self, daemon: &str) {
        let index = self.index_of(daemon);
        self.daemons[index].alive = false;
    }

    /// Pauses the process of a daemon.
    pub fn pause(&mut self, daemon: &str) {
        let index = self.index_of(daemon);
        self.daemons[index].paused.get_or_insert_with(Vec::new);
    }

    /// Resumes a paused daemon.
    pub fn resume(&mut self, daemon: &str) {
        let index = self.index_of(daemon);
        let held = self.daemons[index].paused.take().unwrap_or_default();
        // The real thread takes the events in its ring before it checks its timer.
        for event in held {
            self.schedule(self.now, index, SimulatedEvent::Event(event));
        }
        self.daemons[index].tick_at = self.now;
        self.schedule(self.now, index, SimulatedEvent::Tick);
    }

    /// Drops all packets from one daemon to another.
    pub fn cut(&mut self, from: &str, to: &str) {
        self.cuts.insert((from.into(), to.into()));
    }

    /// Removes all cuts of the network.
    pub fn restore_network(&mut self) {
        self.cuts.clear();
    }

    /// Makes the platform's log unavailable or available again; records are kept.
    pub fn set_log(&mut self, up: bool) {
        match (up, self.log.take()) {
            (true, Some(log)) => self.log = Some(log),
            (true, None) => self.log = Some(std::mem::take(&mut self.kept_log)),
            (false, Some(log)) => self.kept_log = log,
            (false, None) => {}
        }
        for index in 0..self.daemons.len() {
            self.read_log(index);
        }
    }

    /// Delivers an event to a daemon at the current virtual time.
    pub fn deliver(&mut self, daemon: &str, event: MembershipEvent) {
        let index = self.index_of(daemon);
        self.schedule(self.now, index, SimulatedEvent::Event(event));
    }

    /// Runs the simulation up to a time since its beginning.
    pub fn run_until(&mut self, elapsed: Duration) {
        let until = self.start + elapsed;
        while let Some(Reverse((at, event_id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some((index, event)) = self.queued_events.remove(&event_id) {
                self.dispatch(index, event);
            }
        }
        self.now = until;
    }

    /// Returns the ids of all running daemons, in order.
    pub fn alive(&self) -> Vec<DaemonId> {
        let mut names: Vec<DaemonId> = self
            .index_by_name
            .iter()
            .filter(|(_, index)| self.daemons[**index].alive)
            .map(|(name, _)| name.clone())
            .collect();
        names.sort();
        names
    }

    /// Returns the newest snapshot that a daemon has emitted.
    pub fn view(&self, daemon: &str) -> Arc<Fleet> {
        self.daemons[self.index_of(daemon)].fleet.clone()
    }

    /// Returns the digest of a daemon's view.
    pub fn digest(&self, daemon: &str) -> u64 {
        self.daemons[self.index_of(daemon)].state.digest()
    }

    /// Returns the incarnation that a daemon currently uses.
    pub fn incarnation(&self, daemon: &str) -> Incarnation {
        self.daemons[self.index_of(daemon)].state.own().incarnation
    }

    /// Returns the bytes and calls of a daemon since its start.
    pub fn traffic(&self, daemon: &str) -> Traffic {
        self.daemons[self.index_of(daemon)].traffic
    }

    /// Returns the value of a counter, summed over all daemons.
    pub fn counter(&self, name: &str) -> u64 {
        self.counters.get(name).copied().unwrap_or(0)
    }

    fn index_of(&self, daemon: &str) -> Index {
        self.index_by_name[&DaemonId::from(daemon)]
    }

    fn schedule(&mut self, at: Instant, index: Index, event: SimulatedEvent) {
        self.last_event_id += 1;
        self.queued_events
            .insert(self.last_event_id, (index, event));
        self.queue.push(Reverse((at, self.last_event_id)));
    }

    fn dispatch(&mut self, index: Index, event: SimulatedEvent) {
        if !self.daemons[index].alive {
            return;
        }
        match event {
            SimulatedEvent::Tick => {
                let daemon = &self.daemons[index];
                if daemon.tick_at == self.now && daemon.paused.is_none() {
                    self.handle(index, MembershipEvent::Tick);
                }
            }
            SimulatedEvent::Event(event) => self.handle(index, event),
            SimulatedEvent::Request {
                from,
                ticket,
                request,
            } => {
                self.last_request_ticket += 1;
                self.requests
                    .insert((index, self.last_request_ticket), (from, ticket));
                let from = self.peer_name(from);
                let event = MembershipEvent::RequestReceived {
                    ticket: self.last_request_ticket,
                    from,
                    request,
                };
                self.handle(index, event);
            }
        }
    }

    fn peer_name(&self, index: Index) -> PeerName {
        let own = self.daemons[index].state.own();
        PeerName {
            daemon: own.daemon.clone(),
            incarnation: own.incarnation,
        }
    }

    fn handle(&mut self, index: Index, event: MembershipEvent) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        if let Some(held) = &mut daemon.paused {
            return held.push(event);
        }
        let actions = daemon.state.handle(now, event);
        for action in actions {
            self.carry_out(index, action);
        }
        let daemon = &mut self.daemons[index];
        let tick_at = daemon.state.next_tick_at().max(now);
        if tick_at != daemon.tick_at || tick_at == now {
            daemon.tick_at = tick_at;
            self.schedule(tick_at, index, SimulatedEvent::Tick);
        }
    }

    fn carry_out(&mut self, index: Index, action: MembershipAction) {
        match action {
            MembershipAction::Publish(record) => self.append_to_log(record.entry),
            MembershipAction::FleetChanged(fleet) => self.daemons[index].fleet = fleet,
            MembershipAction::Call {
                ticket,
                to,
                request,
            } => self.simulate_call(index, ticket, &to, request),
            MembershipAction::Reply { ticket, answer } => {
                self.simulate_reply(index, ticket, answer)
            }
            MembershipAction::Count(name) => *self.counters.entry(name).or_default() += 1,
            MembershipAction::Superseded { .. } | MembershipAction::IncarnationRaised(_) => {}
        }
    }
}
