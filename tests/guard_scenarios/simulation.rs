//! Simulates a guard with one server and its callers under virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use banyanbeam::error::ErrorKind;
use banyanbeam::guard::message::{AttemptKey, GuardRequest, ServerOutcome};
use banyanbeam::guard::state::GuardState;
use banyanbeam::guard::{Announcement, GuardAction, GuardEvent};
use banyanbeam::settings::guard::GuardSettings;
use banyanbeam::wire::forward::AttemptTerms;

/// Incarnation of the simulated daemon.
const INCARNATION: u64 = 1;
/// Interval at which the server announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time from a crash of the server to its return.
const RESTART_DELAY: Duration = Duration::from_millis(600);

/// Slots, speed and capacity of the simulated server.
#[derive(Debug, Clone, Copy)]
pub struct ServerModel {
    pub slots_count: u32,
    /// Base time of a request; a request takes twice as long when the server is at its capacity.
    pub work: Duration,
    /// Concurrent requests that the server can take when it starts.
    pub initial_capacity_count: u32,
    /// Whether the server announces itself as cold while its capacity is below its slots.
    pub reports_cold: bool,
    /// Growth of the capacity, in concurrent requests per second.
    pub capacity_growth_per_s: u32,
}

/// Evenly spaced requests of one organisation.
#[derive(Debug, Clone)]
pub struct Load {
    pub organisation: String,
    pub weight_share: u32,
    pub interval: Duration,
    pub deadline: Duration,
    pub foreground: bool,
    /// Whether its requests, all with the same fingerprint, crash the server.
    pub crashes_server: bool,
}

/// Counts of the requests of one load during one run.
#[derive(Default)]
struct LoadTally {
    sent: u32,
    answered: u32,
    refused: BTreeMap<ErrorKind, u32>,
}

/// A scheduled event of the simulation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next request of the load with this index is sent.
    SendRequest(usize),
    EndRequest(AttemptKey),
    Announce,
    /// The server returns after a crash.
    Return,
}

/// Virtual-time simulation of one guard, its server and the callers.
pub struct GuardSimulation {
    /// Instant at which the virtual time is zero.
    epoch_at: Instant,
    now: Duration,
    model: ServerModel,
    /// Virtual time since which the capacity grows.
    cold_since: Duration,
    state: GuardState,
    /// Each load, and whether it still sends requests.
    loads: Vec<(Load, bool)>,
    events: BTreeSet<(Duration, u64, Event)>,
    sequence: u64,
    /// Load of each unfinished request, and when it was sent or, once it runs, started.
    requests: BTreeMap<AttemptKey, (usize, Duration)>,
    running: BTreeSet<AttemptKey>,
    tallies: Vec<LoadTally>,
    peak_count: usize,
    /// Requests of this run that were started above the capacity.
    overload_count: u32,
    crash_count: u32,
    /// Incarnations of the server so far; its latest number.
    incarnation_count: u64,
    /// Whether the server announces itself.
    announced: bool,
    /// Time in this run when the guard first reported a server that is not cold.
    first_warm_at: Option<Duration>,
    drained: bool,
}

impl GuardSimulation {
    pub fn new(model: ServerModel, queue_count: u32) -> GuardSimulation {
        let settings = GuardSettings {
            queue_count: queue_count as usize,
            ..Default::default()
        };
        let mut simulation = GuardSimulation {
            epoch_at: Instant::now(),
            now: Duration::ZERO,
            model,
            cold_since: Duration::ZERO,
            state: GuardState::new(settings, INCARNATION),
            loads: Vec::new(),
            events: BTreeSet::new(),
            sequence: 0,
            requests: BTreeMap::new(),
            running: BTreeSet::new(),
            tallies: Vec::new(),
            peak_count: 0,
            overload_count: 0,
            crash_count: 0,
            incarnation_count: 1,
            announced: true,
            first_warm_at: None,
            drained: false,
        };
        simulation.schedule(Duration::ZERO, Event::Announce);
        simulation
    }

    pub fn add_load(&mut self, load: Load) {
        self.loads.push((load, true));
        self.tallies.push(LoadTally::default());
        self.schedule(Duration::ZERO, Event::SendRequest(self.loads.len() - 1));
    }

    pub fn stop_load(&mut self, organisation: &str) {
        for (load, is_active) in &mut self.loads {
            *is_active &= load.organisation != organisation;
        }
    }

    pub fn drain(&mut self) {
        self.deliver_to_guard(GuardEvent::Drain);
    }

    pub fn withdraw_server(&mut self) {
        self.announced = false;
        self.deliver_to_guard(GuardEvent::Withdrawn {
            server: "s".into(),
            started_at_ms: 0,
        });
    }

    pub fn announce_server(&mut self) {
        self.announced = true;
        self.send_announcement();
    }

    pub fn restart_server(&mut self) {
        self.incarnation_count += 1;
        self.cold_since = self.now;
        self.abort_running(ServerOutcome::Failed(
            banyanbeam::wire::client::CallError::Broken,
        ));
        self.send_announcement();
    }

    /// Reduces the capacity of the server without an announcement.
    pub fn turn_cold(&mut self, initial_capacity_count: u32) {
        self.model.initial_capacity_count = initial_capacity_count;
        self.cold_since = self.now;
    }

    pub fn set_domain_out(&mut self, out: bool) {
        self.deliver_to_guard(GuardEvent::Domain { out });
    }

    /// Runs the simulation for this time and returns a report of it.
    pub fn run(&mut self, span: Duration) -> String {
        let until = self.now + span;
        self.peak_count = 0;
        self.overload_count = 0;
        self.crash_count = 0;
        self.first_warm_at = None;
        self.drained = false;
        let started_at = self.now;
        for tally in &mut self.tallies {
            *tally = LoadTally::default();
        }
        loop {
            let tick_at = self.state.next_tick_at().map(|at| at - self.epoch_at);
            let event_at = self.events.first().map(|(at, _, _)| *at);
            let Some(next) = [tick_at, event_at].into_iter().flatten().min() else {
                break;
            };
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if event_at == Some(next) {
                let (_, _, event) = self.events.pop_first().expect("an event is due");
                self.process_event(event);
            } else {
                self.deliver_to_guard(GuardEvent::Tick);
            }
        }
        self.now = until;
        self.report(started_at)
    }

    fn report(&self, started_at: Duration) -> String {
        let mut text = String::new();
        for ((load, _), tally) in self.loads.iter().zip(&self.tallies) {
            text += &format!(
                "{}: sent {} answered {}",
                load.organisation, tally.sent, tally.answered
            );
            for (kind, count) in &tally.refused {
                text += &format!(" {kind} {count}");
            }
            text += "\n";
        }
        text += &format!(
            "peak {} fell over {} deaths {}",
            self.peak_count, self.overload_count, self.crash_count
        );
        if let Some(first_warm_at) = self.first_warm_at {
            text += &format!(
                " warm after {} ms",
                (first_warm_at - started_at).as_millis()
            );
        }
        if self.drained {
            text += " drained";
        }
        text + "\n"
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence, event));
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::SendRequest(load) => self.send_request(load),
            Event::EndRequest(key) => self.end_request(key),
            Event::Announce => {
                if self.announced {
                    self.send_announcement();
                }
                self.schedule(ANNOUNCE_INTERVAL, Event::Announce);
            }
            Event::Return => self.announce_server(),
        }
    }

    fn send_announcement(&mut self) {
        self.deliver_to_guard(GuardEvent::Announced(Announcement {
            server: "s".into(),
            service: "v".into(),
            slots_count: self.model.slots_count,
            started_at_ms: self.incarnation_count,
            cold: self.model.reports_cold && self.capacity_count() < self.model.slots_count,
            ..Default::default()
        }));
    }

    fn send_request(&mut self, index: usize) {
        let (load, is_active) = self.loads[index].clone();
        if !is_active {
            return;
        }
        self.sequence += 1;
        let number = u128::from(self.sequence);
        let request = GuardRequest {
            request: (1 << 80) | number,
            attempt: 1,
            incarnation: INCARNATION,
            organisation: load.organisation.as_str().into(),
            weight_share: load.weight_share,
            service: "v".into(),
            route: "r".into(),
            server: "s".into(),
            repeatable: true,
            foreground: load.foreground,
            rank: 0,
            terms: AttemptTerms {
                may_probe: true,
                ..Default::default()
            },
            fingerprint: fingerprint(load.crashes_server, number),
            arrived_at: self.epoch_at + self.now,
            deadline_at: self.epoch_at + self.now + load.deadline,
            hung_after: None,
        };
        self.tallies[index].sent += 1;
        self.requests.insert(request.key(), (index, self.now));
        self.deliver_to_guard(GuardEvent::Arrived(request));
        self.schedule(load.interval, Event::SendRequest(index));
    }

    /// Returns the number of concurrent requests that the server can take now.
    fn capacity_count(&self) -> u32 {
        let grown = (self.now - self.cold_since).as_secs_f64()
            * f64::from(self.model.capacity_growth_per_s);
        self.model.initial_capacity_count + grown as u32
    }

    /// Gives an event to the guard and carries out its actions.
    fn deliver_to_guard(&mut self, event: GuardEvent) {
        let now = self.epoch_at + self.now;
        for action in self.state.handle(now, event) {
            match action {
                GuardAction::Start { key, .. } => self.start_request(key),
                GuardAction::Refuse { key, kind, .. } => {
                    let Some((load, _)) = self.requests.remove(&key) else {
                        continue;
                    };
                    *self.tallies[load].refused.entry(kind).or_default() += 1;
                }
                GuardAction::ReportServers(servers) => {
                    let warm = servers.iter().any(|server| !server.cold);
                    if warm {
                        self.first_warm_at.get_or_insert(self.now);
                    }
                }
                GuardAction::Drained => self.drained = true,
                _ => {}
            }
        }
    }

    fn start_request(&mut self, key: AttemptKey) {
        self.running.insert(key);
        self.peak_count = self.peak_count.max(self.running.len());
        let request = self.requests.get_mut(&key).expect("it was sent");
        request.1 = self.now;
        let load = request.0;
        let capacity_count = self.capacity_count();
        if self.running.len() as u32 > capacity_count {
            self.overload_count += 1;
        }
        let utilisation = self.running.len() as f64 / f64::from(capacity_count);
        let work = self.model.work.mul_f64(1.0 + utilisation.min(3.0));
        let crashes = self.loads[load].0.crashes_server;
        let run_time = if crashes { self.model.work / 4 } else { work };
        self.schedule(run_time, Event::EndRequest(key));
    }

    fn end_request(&mut self, key: AttemptKey) {
        if !self.running.contains(&key) {
            return;
        }
        let (load, _) = self.requests[&key];
        if self.loads[load].0.crashes_server {
            return self.crash_server();
        }
        self.running.remove(&key);
        let Some((load, started_at)) = self.requests.remove(&key) else {
            return;
        };
        self.tallies[load].answered += 1;
        let elapsed = self.now - started_at;
        let outcome = ServerOutcome::Answered(200);
        self.deliver_to_guard(GuardEvent::Finished {
            key,
            outcome,
            elapsed,
        });
    }

    fn crash_server(&mut self) {
        self.crash_count += 1;
        self.announced = false;
        self.incarnation_count += 1;
        self.cold_since = self.now;
        self.abort_running(ServerOutcome::Died);
        self.schedule(RESTART_DELAY, Event::Return);
    }

    /// Ends all running requests with this outcome.
    fn abort_running(&mut self, outcome: ServerOutcome) {
        for key in std::mem::take(&mut self.running) {
            self.requests.remove(&key);
            let elapsed = Duration::from_millis(1);
            self.deliver_to_guard(GuardEvent::Finished {
                key,
                outcome,
                elapsed,
            });
        }
    }
}

/// Returns the same fingerprint for all requests that crash the server, a different one for others.
fn fingerprint(crashes_server: bool, number: u128) -> [u8; 32] {
    let mut fingerprint = [0; 32];
    if !crashes_server {
        fingerprint[..16].copy_from_slice(&number.to_le_bytes());
    }
    fingerprint
}
