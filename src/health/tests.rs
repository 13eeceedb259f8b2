//! Tests of health states under virtual time: several daemons with one simulated server each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::state::HealthState;
use super::{FailureKind, HealthAction, HealthEvent, HealthVerdict, RequestEnd, StartedRequest};
use crate::membership::{DaemonEntry, Fleet, ServerEntry, FULL_SHARE_PERMILLE};
use crate::settings::health::HealthSettings;

/// Service of all servers.
const SERVICE: &str = "workshop";

/// How a simulated server treats requests.
#[derive(Clone, Copy)]
struct ServerBehaviour {
    /// Share of requests that the server fails.
    failed_share: f64,
    /// Share of requests that take 150 ms.
    slow_share: f64,
    /// Whether the server answers no request.
    silent: bool,
}

/// A few failed and slow requests, as a healthy server has them.
const HEALTHY: ServerBehaviour = ServerBehaviour {
    failed_share: 0.005,
    slow_share: 0.01,
    silent: false,
};

/// One server on each of several daemons, under load in virtual time.
struct Simulation {
    /// Time at which the simulation began.
    started_at: Instant,
    /// Present time of the simulation.
    now: Instant,
    /// Draws arrivals, times and failures of requests.
    random: ChaCha8Rng,
    /// State of health at each daemon.
    states: Vec<HealthState>,
    /// How each server treats requests.
    behaviours: Vec<ServerBehaviour>,
    /// Share of its normal requests that each server gets, in thousandths.
    shares: Vec<u16>,
    /// Ejection permits that can still be granted.
    permits_left_count: usize,
    /// Time for which a permit is granted.
    permit_time: Duration,
    /// Decisions so far: daemon, kind and time since the start.
    verdicts: Vec<(usize, HealthVerdict, Duration)>,
    /// Number of the next request.
    next_request: u128,
    /// Running requests: server, start, end and outcome.
    running: BTreeMap<u128, (usize, Instant, Instant, RequestEnd)>,
}

/// Returns a healthy server with this index.
fn entry(index: usize) -> ServerEntry {
    ServerEntry {
        server: format!("s{index}").into(),
        service: SERVICE.into(),
        slots_count: 5,
        cold: false,
        draining: false,
        share_permille: FULL_SHARE_PERMILLE,
        ..Default::default()
    }
}

impl Simulation {
    /// Starts this many healthy servers, each on its own daemon.
    fn new(server_count: usize, permits_left_count: usize, seed: u64) -> Simulation {
        let now = Instant::now();
        let mut fleet = Fleet::default();
        for index in 0..server_count {
            let daemon = DaemonEntry {
                daemon: format!("d{index}").into(),
                incarnation: 1,
                version: 1,
                domain: "north".into(),
                guard_address: "127.0.0.1:1".parse().unwrap(),
                link_address: "127.0.0.1:2".parse().unwrap(),
                leaving: false,
                servers: vec![entry(index)],
            };
            fleet
                .daemons
                .insert(daemon.daemon.clone(), Arc::new(daemon));
        }
        let fleet = Arc::new(fleet);
        let mut simulation = Simulation {
            started_at: now,
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            states: Vec::new(),
            behaviours: vec![HEALTHY; server_count],
            shares: vec![FULL_SHARE_PERMILLE; server_count],
            permits_left_count,
            permit_time: Duration::from_secs(10),
            verdicts: Vec::new(),
            next_request: 0,
            running: BTreeMap::new(),
        };
        for index in 0..server_count {
            let random = ChaCha8Rng::seed_from_u64(seed + 1 + index as u64);
            let own = format!("d{index}").into();
            let mut state = HealthState::new(HealthSettings::default(), own, random);
            state.handle(now, HealthEvent::Servers(vec![entry(index)]));
            state.handle(now, HealthEvent::Fleet(fleet.clone()));
            simulation.states.push(state);
        }
        simulation
    }

    /// Runs for a time. Every 10 ms each server gets a request, with its share as probability.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(10);
            self.end_requests();
            for server in 0..self.states.len() {
                let share = f64::from(self.shares[server]) / f64::from(FULL_SHARE_PERMILLE);
                if self.random.random_bool(share) {
                    self.start_request(server);
                }
                if self.states[server]
                    .next_tick_at()
                    .is_some_and(|at| at <= self.now)
                {
                    self.handle(server, HealthEvent::Tick);
                }
            }
        }
    }

    /// Starts a request at a server, unless all its slots are in use.
    fn start_request(&mut self, server: usize) {
        let running = self.running.values().filter(|one| one.0 == server).count();
        if running >= 5 {
            return;
        }
        let behaviour = self.behaviours[server];
        let request = self.next_request;
        self.next_request += 1;
        let mut time = Duration::from_secs_f64(0.004 + 0.006 * self.random.random::<f64>());
        if self.random.random_bool(behaviour.slow_share) {
            time = Duration::from_millis(150);
        }
        let mut end = RequestEnd::Good;
        if self.random.random_bool(behaviour.failed_share) {
            end = RequestEnd::Failed(FailureKind::Status);
        }
        if behaviour.silent {
            time = Duration::from_secs(10);
            end = RequestEnd::TimedOut;
        }
        let started = StartedRequest {
            key: (request, 1),
            server: format!("s{server}").into(),
            service: SERVICE.into(),
            route: "look-up".into(),
        };
        self.handle(server, HealthEvent::Started(started));
        let one = (server, self.now, self.now + time, end);
        self.running.insert(request, one);
    }

    /// Ends the requests whose time has come.
    fn end_requests(&mut self) {
        let now = self.now;
        let is_over = |one: &&(usize, Instant, Instant, RequestEnd)| one.2 <= now;
        let over: Vec<u128> = self
            .running
            .iter()
            .filter(|(_, one)| is_over(one))
            .map(|(request, _)| *request)
            .collect();
        for request in over {
            let (server, from, to, end) = self.running.remove(&request).unwrap();
            let elapsed = to - from;
            self.handle(
                server,
                HealthEvent::Finished {
                    key: (request, 1),
                    end,
                    elapsed,
                },
            );
        }
    }

    /// Passes an event to the state of a daemon and carries out the actions.
    fn handle(&mut self, at: usize, event: HealthEvent) {
        let actions = self.states[at].handle(self.now, event);
        for action in actions {
            self.carry_out(at, action);
        }
    }

    /// Carries out an action by answering for the peers and the allowance.
    fn carry_out(&mut self, at: usize, action: HealthAction) {
        match action {
            HealthAction::RequestSummary { to, service } => {
                let peer: usize = to[1..].parse().unwrap();
                let servers = self.states[peer].summarise(self.now, &service);
                let from = to;
                self.handle(
                    at,
                    HealthEvent::Summary {
                        from,
                        service,
                        servers,
                    },
                );
            }
            HealthAction::RequestPermit { service, server } => {
                let holds = self.shares[at] < FULL_SHARE_PERMILLE;
                let granted = holds || self.permits_left_count > 0;
                if !holds && granted {
                    self.permits_left_count -= 1;
                }
                let holds_until = granted.then(|| self.now + self.permit_time);
                self.handle(
                    at,
                    HealthEvent::Permit {
                        service,
                        server,
                        holds_until,
                    },
                );
            }
            HealthAction::ReleasePermit { .. } => self.permits_left_count += 1,
            HealthAction::SetShare { share_permille, .. } => self.shares[at] = share_permille,
            HealthAction::RecordDecision(decision) => {
                let after = self.now - self.started_at;
                eprintln!(
                    "DBG {at} {:?} {after:?} {:?}",
                    decision.verdict, decision.evidence
                );
                self.verdicts.push((at, decision.verdict, after));
            }
        }
    }

    /// Returns the servers that were ejected, in order of the decisions.
    fn ejected(&self) -> Vec<usize> {
        let mut servers = Vec::new();
        for (server, verdict, _) in &self.verdicts {
            if *verdict == HealthVerdict::Ejected {
                servers.push(*server);
            }
        }
        servers
    }
}

/// Time for which all servers run healthy before a test disturbs one.
const WARM_UP: Duration = Duration::from_secs(5);

#[test]
fn healthy_servers_are_never_ejected() {
    let mut simulation = Simulation::new(6, 3, 1);
    simulation.run(Duration::from_secs(60));
    assert!(simulation.ejected().is_empty(), "{:?}", simulation.verdicts);
}

#[test]
fn a_server_that_fails_half_of_its_requests_is_ejected_within_a_second() {
    // Arrange
    let mut simulation = Simulation::new(6, 3, 2);
    simulation.run(WARM_UP);

    // Act
    simulation.behaviours[2].failed_share = 0.5;
    simulation.run(Duration::from_secs(1));

    // Assert
    assert_eq!(simulation.ejected(), [2]);
}

#[test]
fn a_server_that_never_answers_is_ejected() {
    // Arrange
    let mut simulation = Simulation::new(6, 3, 3);
    simulation.run(WARM_UP);

    // Act
    simulation.behaviours[4].silent = true;
    simulation.run(Duration::from_millis(2_000));

    // Assert
    assert_eq!(simulation.ejected(), [4]);
}

#[test]
fn a_server_with_a_slow_tail_is_ejected() {
    // Arrange
    let mut simulation = Simulation::new(6, 3, 4);
    simulation.run(WARM_UP);

    // Act
    simulation.behaviours[1].slow_share = 0.2;
    simulation.run(Duration::from_secs(5));

    // Assert
    assert_eq!(simulation.ejected(), [1]);
}

#[test]
fn trouble_of_all_servers_ejects_none() {
    // Arrange
    let mut simulation = Simulation::new(6, 3, 5);
    simulation.run(WARM_UP);

    // Act
    for behaviour in &mut simulation.behaviours {
        behaviour.failed_share = 0.4;
        behaviour.slow_share = 0.6;
    }
    simulation.run(Duration::from_secs(20));

    // Assert
    assert!(simulation.ejected().is_empty(), "{:?}", simulation.verdicts);
}

#[test]
fn without_a_permit_a_failing_server_stays_and_the_refusal_is_recorded_once() {
    // Arrange
    let mut simulation = Simulation::new(6, 0, 6);
    simulation.run(WARM_UP);

    // Act
    simulation.behaviours[2].failed_share = 0.5;
    simulation.run(Duration::from_secs(10));

    // Assert
    let verdicts: Vec<HealthVerdict> = simulation.verdicts.iter().map(|one| one.1).collect();
    assert_eq!(verdicts, [HealthVerdict::PermitDenied]);
    assert_eq!(simulation.shares[2], FULL_SHARE_PERMILLE);
}

#[test]
fn a_recovered_server_returns_by_probes_and_releases_its_permit() {
    // Arrange
    let mut simulation = Simulation::new(6, 1, 7);
    simulation.run(WARM_UP);
    simulation.behaviours[0].failed_share = 1.0;
    simulation.run(Duration::from_secs(2));
    simulation.behaviours[0] = HEALTHY;

    // Act
    simulation.run(Duration::from_secs(60));

    // Assert
    let verdicts: Vec<HealthVerdict> = simulation.verdicts.iter().map(|one| one.1).collect();
    let expected = [
        HealthVerdict::Ejected,
        HealthVerdict::Probing,
        HealthVerdict::Returning,
        HealthVerdict::Returned,
    ];
    assert_eq!(verdicts, expected);
    assert_eq!(simulation.permits_left_count, 1);
}

#[test]
fn a_server_that_fails_its_probes_waits_longer_each_time() {
    // Arrange
    let mut simulation = Simulation::new(6, 1, 8);
    simulation.run(WARM_UP);

    // Act
    simulation.behaviours[0].failed_share = 1.0;
    simulation.run(Duration::from_secs(120));

    // Assert
    let ejected_at: Vec<Duration> = simulation
        .verdicts
        .iter()
        .filter(|one| one.1 == HealthVerdict::Ejected)
        .map(|one| one.2)
        .collect();
    let waits: Vec<Duration> = ejected_at.windows(2).map(|two| two[1] - two[0]).collect();
    assert!(waits.len() >= 3, "{waits:?}");
    assert!(
        waits.windows(2).all(|two| two[1] > two[0].mul_f64(1.3)),
        "{waits:?}"
    );
}

#[test]
fn a_server_whose_permit_lapses_serves_again() {
    // Arrange
    let mut simulation = Simulation::new(6, 1, 9);
    simulation.run(WARM_UP);
    simulation.behaviours[0].failed_share = 1.0;
    simulation.run(Duration::from_secs(2));

    // Act: no permit can be requested, so it is not renewed.
    simulation.now += simulation.permit_time;
    simulation.handle(0, HealthEvent::Tick);

    // Assert
    assert_eq!(simulation.shares[0], FULL_SHARE_PERMILLE);
    assert_eq!(
        simulation.verdicts.last().unwrap().1,
        HealthVerdict::PermitLapsed
    );
}

#[test]
fn crashes_of_a_server_are_no_evidence() {
    // Arrange
    let mut simulation = Simulation::new(6, 3, 10);
    simulation.run(WARM_UP);

    // Act
    for number in 0..100u128 {
        simulation.now += Duration::from_millis(20);
        let key = (1_000_000 + number, 1);
        let started = StartedRequest {
            key,
            server: "s0".into(),
            service: SERVICE.into(),
            route: "look-up".into(),
        };
        simulation.handle(0, HealthEvent::Started(started));
        let end = match number % 10 {
            0 => RequestEnd::Died,
            _ => RequestEnd::Failed(FailureKind::Connect),
        };
        let elapsed = Duration::from_millis(1);
        simulation.handle(0, HealthEvent::Finished { key, end, elapsed });
    }

    // Assert
    assert!(simulation.verdicts.is_empty(), "{:?}", simulation.verdicts);
}

#[test]
fn a_single_long_request_ejects_no_server() {
    // Arrange
    let mut simulation = Simulation::new(6, 3, 11);
    simulation.run(WARM_UP);
    let long = StartedRequest {
        key: (1_000_000, 1),
        server: "s0".into(),
        service: SERVICE.into(),
        route: "look-up".into(),
    };

    // Act
    simulation.handle(0, HealthEvent::Started(long));
    simulation.run(Duration::from_secs(20));

    // Assert
    assert!(simulation.verdicts.is_empty(), "{:?}", simulation.verdicts);
}
