//! A fleet of roll-out states with guards, traffic, and a store of statuses, under virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::super::members::{driver_of, members};
use super::super::plan::TrialBounds;
use super::super::{
    RolloutEvent, RolloutOrder, RolloutRule, RolloutState, RolloutStatus, RolloutStep, Rollouts,
};
use crate::guard::message::AttemptKey;
use crate::health::RequestEnd;
use crate::membership::{DaemonEntry, Fleet, ServerEntry};
use crate::types::{DaemonId, DomainId, Offset};

/// The version before the roll-out.
pub const OLD: &str = "v1";
/// The version that is rolled out.
pub const NEW: &str = "v2";
/// Servers of each version.
pub const SERVER_COUNT: usize = 20;
/// Requests of the service in a second.
const RATE_PER_S: f64 = 100.0;
/// Share of the requests that the version may get during a trial.
pub const TRIAL_SHARE: f64 = 0.1;
/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(20);
/// Interval at which all daemons learn of the fleet.
const GOSSIP: Duration = Duration::from_millis(200);

/// How the new version is bad; the default is good.
#[derive(Debug, Clone, Copy, Default)]
pub struct Badness {
    /// Share of its requests that fail.
    pub failed_share: f64,
    /// Share of its requests that take eight times as long.
    pub slow_share: f64,
    /// Time from the order until it turns bad.
    pub from_ms: u64,
    /// Route that is bad; none for all.
    pub route: Option<&'static str>,
    /// Requests running at one server from which it is bad.
    pub load_count: usize,
}

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers.
    Up,
    /// It does nothing and does not answer.
    Down,
    /// It carries out writes and their answers are lost.
    AnswersLost,
}

/// One daemon with its guard and server.
pub struct Machine {
    /// The state; none while the daemon is dead.
    pub state: Option<Rollouts>,
    /// Its failure domain.
    pub domain: &'static str,
    /// Version of its server.
    pub version: &'static str,
    /// The rule that its guard has.
    pub rule: Option<RolloutRule>,
    /// Requests that run: end, key and how they end.
    pub running: Vec<(Instant, AttemptKey, RequestEnd, Duration)>,
    /// Whether its server fails most requests for reasons of its own.
    pub gray: bool,
    /// The entry that it last reported.
    reported: Option<ServerEntry>,
    /// Whether no message to or from it arrives.
    pub cut: bool,
}

/// A message under way.
type Sent = (Instant, DaemonId, Box<RolloutEvent>);

/// The fleet, its traffic and the store.
pub struct World {
    /// The present time.
    pub now: Instant,
    /// The daemons.
    pub machines: BTreeMap<DaemonId, Machine>,
    /// Messages under way.
    pub sent: VecDeque<Sent>,
    /// Calls that wait for their answer: callee's id of the call, caller, callee.
    pub calls: BTreeMap<u64, (DaemonId, DaemonId)>,
    pub last_id: u64,
    /// Everything that was written to the store.
    pub log: Vec<RolloutStatus>,
    /// How the store answers.
    pub store: StoreMode,
    /// Badness of the new version.
    pub bad: Badness,
    /// Orders in force, and since when.
    pub orders: Vec<Arc<RolloutOrder>>,
    pub ordered_at: Instant,
    /// Failure domains that are out of service.
    pub domains_out: BTreeSet<DomainId>,
    /// Requests since the order, those at the new version, and bad answers of it.
    pub total_count: u32,
    pub new_count: u32,
    pub bad_count: u32,
    /// When the 50th bad answer came, and when the last request to the new version started.
    pub limit_at: Option<Instant>,
    pub last_new_at: Option<Instant>,
    /// Requests that found no open server.
    pub refused_count: u32,
    /// Daemon that last wrote to the store, and the writer of each call under way.
    pub last_writer: Option<DaemonId>,
    fleet: Arc<Fleet>,
    gossip_at: Instant,
    due: f64,
    pub random: ChaCha8Rng,
}

impl World {
    /// Returns a fleet with servers of both versions and no order.
    pub fn new(seed: u64, bad: Badness) -> World {
        let now = Instant::now();
        let mut world = World {
            now,
            machines: BTreeMap::new(),
            sent: VecDeque::new(),
            calls: BTreeMap::new(),
            last_id: 0,
            log: Vec::new(),
            store: StoreMode::Up,
            bad,
            orders: Vec::new(),
            ordered_at: now,
            domains_out: BTreeSet::new(),
            total_count: 0,
            new_count: 0,
            bad_count: 0,
            limit_at: None,
            last_new_at: None,
            refused_count: 0,
            last_writer: None,
            fleet: Arc::default(),
            gossip_at: now,
            due: 0.0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..SERVER_COUNT {
            world.add(&format!("old-{index}"), OLD);
            world.add(&format!("new-{index}"), NEW);
        }
        world
    }

    /// Adds a daemon with a server of a version.
    pub fn add(&mut self, daemon: &str, version: &'static str) {
        let machine = Machine {
            state: None,
            domain: if self.machines.len() % 4 < 2 {
                "north"
            } else {
                "south"
            },
            version,
            rule: None,
            running: Vec::new(),
            gray: false,
            reported: None,
            cut: false,
        };
        self.machines.insert(daemon.into(), machine);
        self.start(daemon);
    }

    /// Starts a daemon without any memory.
    pub fn start(&mut self, daemon: &str) {
        let orders = self.orders_event();
        let machine = self.machines.get_mut(daemon).expect("a machine");
        let bounds = TrialBounds {
            share: TRIAL_SHARE,
            rollback: Duration::from_secs(5),
        };
        machine.state = Some(Rollouts::new(daemon.into(), bounds));
        machine.rule = None;
        machine.reported = None;
        let fleet = RolloutEvent::Fleet(self.fleet.clone());
        self.handle(&daemon.into(), fleet);
        self.handle(&daemon.into(), orders);
    }

    /// Kills a daemon; the requests at its server end.
    pub fn kill(&mut self, daemon: &DaemonId) {
        let machine = self.machines.get_mut(daemon).expect("a machine");
        machine.state = None;
        machine.running.clear();
    }

    /// Orders the new version.
    pub fn order(&mut self, duration_ms: u64) {
        self.order_version(NEW, duration_ms);
    }

    /// Orders a version for the service `s`.
    pub fn order_version(&mut self, version: &str, duration_ms: u64) {
        let order = self.orders.first().map_or(7, |order| order.order + 1);
        self.orders = vec![Arc::new(RolloutOrder {
            service: "s".into(),
            target_version: version.into(),
            duration_ms,
            order,
        })];
        (self.total_count, self.new_count) = (0, 0);
        self.ordered_at = self.now;
        self.tell_orders();
    }

    /// Tells all daemons the orders.
    pub fn tell_orders(&mut self) {
        let daemons: Vec<DaemonId> = self.machines.keys().cloned().collect();
        for daemon in daemons {
            self.handle(&daemon, self.orders_event());
        }
    }

    fn orders_event(&self) -> RolloutEvent {
        RolloutEvent::Orders {
            orders: self.orders.clone(),
            unknown_services: Vec::new(),
            domains_out: self.domains_out.clone(),
        }
    }

    /// Returns the daemon that drives the roll-out.
    pub fn driver(&self) -> DaemonId {
        let members = members(&self.fleet, &self.orders[0], &self.domains_out);
        driver_of(&self.fleet, &members).expect("a driver")
    }

    /// Returns the step of a server, as its guard applies it.
    pub fn step(&self, daemon: &str) -> RolloutStep {
        let machine = &self.machines[daemon];
        let Some(rule) = &machine.rule else {
            return RolloutStep::None;
        };
        match *rule.target_version == *machine.version {
            false => rule.other_step,
            true if rule.holds_until.is_some_and(|at| at <= self.now) => RolloutStep::Closed,
            true => rule.target_step,
        }
    }

    /// Returns the state in the last record, if there is one.
    pub fn state(&self) -> Option<RolloutState> {
        self.log.last().map(|status| status.state)
    }

    /// Returns how the roll-out ended, with the time since the order; none while it runs.
    pub fn end(&self) -> Option<RolloutState> {
        self.state().filter(|state| *state != RolloutState::Running)
    }

    /// Runs for a time.
    pub fn run_ms(&mut self, time_ms: u64) {
        let until = self.now + Duration::from_millis(time_ms);
        while self.now < until {
            self.step_time();
        }
    }

    /// Runs until the roll-out has ended, or for a time. Returns how it ended, and when after the
    /// order.
    pub fn run_to_end(&mut self, limit_ms: u64) -> Option<(RolloutState, u64)> {
        let until = self.now + Duration::from_millis(limit_ms);
        while self.now < until && self.end().is_none() {
            self.step_time();
        }
        let age_ms = (self.now - self.ordered_at).as_millis() as u64;
        self.end().map(|state| (state, age_ms))
    }

    /// Asserts that the new version got no more than its bound of the requests that the service gets
    /// within the order's time, and none long after it was known to be bad.
    pub fn assert_exposure(&self, duration_ms: u64) {
        let expected = RATE_PER_S * duration_ms as f64 / 1e3;
        let bound = TRIAL_SHARE * expected + 50.0;
        assert!(
            f64::from(self.new_count) <= bound,
            "{} exposed",
            self.new_count
        );
        if let (Some(limit_at), Some(last_at)) = (self.limit_at, self.last_new_at) {
            assert!(
                last_at < limit_at + Duration::from_millis(2_500),
                "stopped late"
            );
        }
    }

    fn step_time(&mut self) {
        self.now += STEP;
        if self.now >= self.gossip_at {
            self.gossip_at = self.now + GOSSIP;
            self.gossip();
        }
        while self.sent.front().is_some_and(|sent| sent.0 <= self.now) {
            let (_, to, event) = self.sent.pop_front().expect("a message");
            self.handle(&to, *event);
        }
        let daemons: Vec<DaemonId> = self.machines.keys().cloned().collect();
        for daemon in &daemons {
            self.end_requests(daemon);
            let state = self.machines[daemon].state.as_ref();
            let tick_at = state.and_then(Rollouts::next_tick_at);
            if tick_at.is_some_and(|at| at <= self.now) {
                self.handle(daemon, RolloutEvent::Tick);
            }
            self.report_server(daemon);
        }
        self.due += RATE_PER_S * STEP.as_secs_f64();
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.send_request(&daemons);
        }
    }

    /// Shows every daemon the living ones that are not cut off.
    fn gossip(&mut self) {
        let mut fleet = Fleet::default();
        let any = "127.0.0.1:1".parse().expect("a literal address");
        for (daemon, machine) in &self.machines {
            if machine.state.is_none() || machine.cut {
                continue;
            }
            let entry = DaemonEntry {
                daemon: daemon.clone(),
                incarnation: 1,
                version: 0,
                domain: machine.domain.into(),
                guard_address: any,
                link_address: any,
                leaving: false,
                servers: machine.reported.iter().cloned().collect(),
            };
            fleet.daemons.insert(daemon.clone(), Arc::new(entry));
        }
        if *self.fleet == fleet {
            return;
        }
        self.fleet = Arc::new(fleet);
        let daemons: Vec<DaemonId> = self.machines.keys().cloned().collect();
        for daemon in daemons {
            // One that is cut off keeps what it knew.
            if !self.machines[&daemon].cut {
                self.handle(&daemon, RolloutEvent::Fleet(self.fleet.clone()));
            }
        }
    }

    /// Tells a daemon its own server if it has changed.
    fn report_server(&mut self, daemon: &DaemonId) {
        let entry = ServerEntry {
            server: daemon.clone(),
            service: "s".into(),
            slots_count: 8,
            software_version: self.machines[daemon].version.into(),
            rollout_step: self.step(daemon),
            ..Default::default()
        };
        let machine = self.machines.get_mut(daemon).expect("a machine");
        if machine.reported.as_ref() != Some(&entry) {
            machine.reported = Some(entry.clone());
            self.handle(daemon, RolloutEvent::Servers(vec![entry]));
        }
    }

    /// Asserts that no order was written as both completed and rolled back, and no end was undone.
    pub fn assert_ends_once(&self) {
        let mut ends: BTreeMap<Offset, RolloutState> = BTreeMap::new();
        for status in &self.log {
            let known = ends.get(&status.order).copied();
            assert!(
                known.is_none_or(|end| end == status.state),
                "{:?}",
                self.log
            );
            if status.state != RolloutState::Running {
                ends.insert(status.order, status.state);
            }
        }
    }
}
