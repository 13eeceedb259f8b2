//! A guard with one server, callers and virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use banyanbeam::error::ErrorKind;
use banyanbeam::guard::message::{AttemptKey, GuardRequest, ServerOutcome};
use banyanbeam::guard::state::GuardState;
use banyanbeam::guard::{Announcement, GuardAction, GuardEvent};
use banyanbeam::settings::guard::GuardSettings;
use banyanbeam::wire::forward::AttemptTerms;

const LIFE: u64 = 1;
const RENEW_EVERY: Duration = Duration::from_millis(500);
/// How long a server that died is away.
const DEATH: Duration = Duration::from_millis(600);

/// What the server is and bears.
#[derive(Debug, Clone, Copy)]
pub struct ServerModel {
    pub slots_count: u32,
    /// Time of a request on an idle, warm server. It doubles when the server is at its limit.
    pub work: Duration,
    /// Requests at a time that it bears at first.
    pub first_count: u32,
    /// Whether it says that it is cold while it bears less than its slots.
    pub says_cold: bool,
    /// How many more it bears each second.
    pub grows_per_s: u32,
}

/// Requests of one organisation, evenly spaced.
#[derive(Debug, Clone)]
pub struct Load {
    pub organisation: String,
    pub weight_share: u32,
    pub every: Duration,
    pub deadline: Duration,
    pub foreground: bool,
    /// Whether its requests, all equal, kill the server.
    pub kills: bool,
}

#[derive(Default)]
struct Tally {
    sent: u32,
    answered: u32,
    refused: BTreeMap<ErrorKind, u32>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Send(usize),
    End(AttemptKey),
    Renew,
    ComeBack,
}

/// The bench.
pub struct Bench {
    began_at: Instant,
    now: Duration,
    model: ServerModel,
    cold_since: Duration,
    state: GuardState,
    loads: Vec<(Load, bool)>,
    events: BTreeSet<(Duration, u64, Event)>,
    sequence: u64,
    /// The load of each request, and when it was sent or started.
    requests: BTreeMap<AttemptKey, (usize, Duration)>,
    running: BTreeSet<AttemptKey>,
    tallies: Vec<Tally>,
    peak_count: usize,
    fell_over_count: u32,
    death_count: u32,
    incarnation_count: u64,
    announced: bool,
    warm_after: Option<Duration>,
    drained: bool,
}

impl Bench {
    pub fn new(model: ServerModel, queue_count: u32) -> Bench {
        let settings = GuardSettings {
            queue_count: queue_count as usize,
            ..Default::default()
        };
        let mut bench = Bench {
            began_at: Instant::now(),
            now: Duration::ZERO,
            model,
            cold_since: Duration::ZERO,
            state: GuardState::new(settings, LIFE),
            loads: Vec::new(),
            events: BTreeSet::new(),
            sequence: 0,
            requests: BTreeMap::new(),
            running: BTreeSet::new(),
            tallies: Vec::new(),
            peak_count: 0,
            fell_over_count: 0,
            death_count: 0,
            incarnation_count: 1,
            announced: true,
            warm_after: None,
            drained: false,
        };
        bench.schedule(Duration::ZERO, Event::Renew);
        bench
    }

    pub fn add_load(&mut self, load: Load) {
        self.loads.push((load, true));
        self.tallies.push(Tally::default());
        self.schedule(Duration::ZERO, Event::Send(self.loads.len() - 1));
    }

    pub fn stop_load(&mut self, organisation: &str) {
        for (load, on) in &mut self.loads {
            *on &= load.organisation != organisation;
        }
    }

    pub fn drain(&mut self) {
        self.decide(GuardEvent::Drain);
    }

    pub fn withdraw(&mut self) {
        self.announced = false;
        self.decide(GuardEvent::Withdrawn {
            server: "s".into(),
            started_at_ms: 0,
        });
    }

    pub fn announce(&mut self) {
        self.announced = true;
        self.renew();
    }

    pub fn restart(&mut self) {
        self.incarnation_count += 1;
        self.cold_since = self.now;
        self.break_all(ServerOutcome::Failed(
            banyanbeam::wire::client::CallError::Broken,
        ));
        self.renew();
    }

    /// The server bears only so much from now on, and says nothing of it.
    pub fn turn_cold(&mut self, first_count: u32) {
        self.model.first_count = first_count;
        self.cold_since = self.now;
    }

    pub fn domain(&mut self, out: bool) {
        self.decide(GuardEvent::Domain { out });
    }

    /// Lets time pass and tells what happened in it.
    pub fn run(&mut self, span: Duration) -> String {
        let until = self.now + span;
        self.peak_count = 0;
        self.fell_over_count = 0;
        self.death_count = 0;
        self.warm_after = None;
        self.drained = false;
        let started_at = self.now;
        for tally in &mut self.tallies {
            *tally = Tally::default();
        }
        loop {
            let tick_at = self.state.next_tick_at().map(|at| at - self.began_at);
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
                self.happen(event);
            } else {
                self.decide(GuardEvent::Tick);
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
            self.peak_count, self.fell_over_count, self.death_count
        );
        if let Some(warm_after) = self.warm_after {
            text += &format!(" warm after {} ms", (warm_after - started_at).as_millis());
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

    fn happen(&mut self, event: Event) {
        match event {
            Event::Send(load) => self.send(load),
            Event::End(key) => self.end(key),
            Event::Renew => {
                if self.announced {
                    self.renew();
                }
                self.schedule(RENEW_EVERY, Event::Renew);
            }
            Event::ComeBack => self.announce(),
        }
    }

    fn renew(&mut self) {
        self.decide(GuardEvent::Announced(Announcement {
            server: "s".into(),
            service: "v".into(),
            slots_count: self.model.slots_count,
            started_at_ms: self.incarnation_count,
            cold: self.model.says_cold && self.bears_count() < self.model.slots_count,
            ..Default::default()
        }));
    }

    fn send(&mut self, index: usize) {
        let (load, on) = self.loads[index].clone();
        if !on {
            return;
        }
        self.sequence += 1;
        let number = u128::from(self.sequence);
        let request = GuardRequest {
            request: (1 << 80) | number,
            attempt: 1,
            incarnation: LIFE,
            organisation: load.organisation.as_str().into(),
            weight_share: load.weight_share,
            route: "r".into(),
            server: "s".into(),
            repeatable: true,
            foreground: load.foreground,
            rank: 0,
            terms: AttemptTerms {
                may_probe: true,
                ..Default::default()
            },
            fingerprint: fingerprint(load.kills, number),
            deadline_at: self.began_at + self.now + load.deadline,
        };
        self.tallies[index].sent += 1;
        self.requests.insert(request.key(), (index, self.now));
        self.decide(GuardEvent::Arrived(request));
        self.schedule(load.every, Event::Send(index));
    }

    /// Requests at a time that the server bears now.
    fn bears_count(&self) -> u32 {
        let grown = (self.now - self.cold_since).as_secs_f64() * f64::from(self.model.grows_per_s);
        self.model.first_count + grown as u32
    }

    fn decide(&mut self, event: GuardEvent) {
        let now = self.began_at + self.now;
        for action in self.state.handle(now, event) {
            match action {
                GuardAction::Start { key, .. } => self.start(key),
                GuardAction::Refuse { key, kind, .. } => {
                    let Some((load, _)) = self.requests.remove(&key) else {
                        continue;
                    };
                    *self.tallies[load].refused.entry(kind).or_default() += 1;
                }
                GuardAction::ReportServers(servers) => {
                    let warm = servers.iter().any(|server| !server.cold);
                    if warm {
                        self.warm_after.get_or_insert(self.now);
                    }
                }
                GuardAction::Drained => self.drained = true,
                _ => {}
            }
        }
    }

    fn start(&mut self, key: AttemptKey) {
        self.running.insert(key);
        self.peak_count = self.peak_count.max(self.running.len());
        let request = self.requests.get_mut(&key).expect("it was sent");
        request.1 = self.now;
        let load = request.0;
        let bears = self.bears_count();
        if self.running.len() as u32 > bears {
            self.fell_over_count += 1;
        }
        let busy = self.running.len() as f64 / f64::from(bears);
        let work = self.model.work.mul_f64(1.0 + busy.min(3.0));
        let dies = self.loads[load].0.kills;
        let takes = if dies { self.model.work / 4 } else { work };
        self.schedule(takes, Event::End(key));
    }

    fn end(&mut self, key: AttemptKey) {
        if !self.running.contains(&key) {
            return;
        }
        let (load, _) = self.requests[&key];
        if self.loads[load].0.kills {
            return self.die();
        }
        self.running.remove(&key);
        let Some((load, started_at)) = self.requests.remove(&key) else {
            return;
        };
        self.tallies[load].answered += 1;
        let elapsed = self.now - started_at;
        let outcome = ServerOutcome::Answered(200);
        self.decide(GuardEvent::Finished {
            key,
            outcome,
            elapsed,
        });
    }

    fn die(&mut self) {
        self.death_count += 1;
        self.announced = false;
        self.incarnation_count += 1;
        self.cold_since = self.now;
        self.break_all(ServerOutcome::Died);
        self.schedule(DEATH, Event::ComeBack);
    }

    fn break_all(&mut self, outcome: ServerOutcome) {
        for key in std::mem::take(&mut self.running) {
            self.requests.remove(&key);
            let elapsed = Duration::from_millis(1);
            self.decide(GuardEvent::Finished {
                key,
                outcome,
                elapsed,
            });
        }
    }
}

/// Requests that kill are all equal; others are all different.
fn fingerprint(kills: bool, number: u128) -> [u8; 32] {
    let mut fingerprint = [0; 32];
    if !kills {
        fingerprint[..16].copy_from_slice(&number.to_le_bytes());
    }
    fingerprint
}
