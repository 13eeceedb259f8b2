//! A few daemons' health states side by side under virtual time, with one server each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::state::HealthState;
use super::{FailureKind, HealthAction, HealthEvent, HealthVerdict, RequestEnd, StartedRequest};
use crate::membership::{DaemonEntry, Fleet, ServerEntry, FULL_SHARE_PERMILLE};
use crate::settings::health::HealthSettings;

const SERVICE: &str = "workshop";

/// How a fake server treats requests.
#[derive(Clone, Copy)]
struct Conduct {
    failed_share: f64,
    slow_share: f64,
    silent: bool,
}

const HEALTHY: Conduct = Conduct {
    failed_share: 0.005,
    slow_share: 0.01,
    silent: false,
};

struct Bench {
    started_at: Instant,
    now: Instant,
    random: ChaCha8Rng,
    states: Vec<HealthState>,
    conducts: Vec<Conduct>,
    shares: Vec<u16>,
    permits_left_count: usize,
    permit_time: Duration,
    verdicts: Vec<(usize, HealthVerdict, Duration)>,
    next_request: u128,
    /// Requests that still run: server, when it ends, and how.
    running: BTreeMap<u128, (usize, Instant, Instant, RequestEnd)>,
}

fn entry(index: usize) -> ServerEntry {
    ServerEntry {
        server: format!("s{index}").into(),
        service: SERVICE.into(),
        slots_count: 5,
        cold: false,
        draining: false,
        share_permille: FULL_SHARE_PERMILLE,
    }
}

impl Bench {
    fn new(server_count: usize, permits_left_count: usize, seed: u64) -> Bench {
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
        let mut bench = Bench {
            started_at: now,
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            states: Vec::new(),
            conducts: vec![HEALTHY; server_count],
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
            bench.states.push(state);
        }
        bench
    }

    /// Runs for a time, with a request to each server every 10 ms times its share.
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

    fn start_request(&mut self, server: usize) {
        let running = self.running.values().filter(|one| one.0 == server).count();
        if running >= 5 {
            return;
        }
        let conduct = self.conducts[server];
        let request = self.next_request;
        self.next_request += 1;
        let mut time = Duration::from_secs_f64(0.004 + 0.006 * self.random.random::<f64>());
        if self.random.random_bool(conduct.slow_share) {
            time = Duration::from_millis(150);
        }
        let mut end = RequestEnd::Good;
        if self.random.random_bool(conduct.failed_share) {
            end = RequestEnd::Failed(FailureKind::Status);
        }
        if conduct.silent {
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

    fn handle(&mut self, at: usize, event: HealthEvent) {
        let actions = self.states[at].handle(self.now, event);
        for action in actions {
            self.carry_out(at, action);
        }
    }

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

const WARM_UP: Duration = Duration::from_secs(5);

#[test]
fn healthy_servers_are_never_ejected() {
    let mut bench = Bench::new(6, 3, 1);
    bench.run(Duration::from_secs(60));
    assert!(bench.ejected().is_empty(), "{:?}", bench.verdicts);
}

#[test]
fn a_server_that_fails_half_of_its_requests_is_ejected_within_a_second() {
    // Arrange
    let mut bench = Bench::new(6, 3, 2);
    bench.run(WARM_UP);

    // Act
    bench.conducts[2].failed_share = 0.5;
    bench.run(Duration::from_secs(1));

    // Assert
    assert_eq!(bench.ejected(), [2]);
}

#[test]
fn a_server_that_never_answers_is_ejected() {
    // Arrange
    let mut bench = Bench::new(6, 3, 3);
    bench.run(WARM_UP);

    // Act
    bench.conducts[4].silent = true;
    bench.run(Duration::from_millis(2_000));

    // Assert
    assert_eq!(bench.ejected(), [4]);
}

#[test]
fn a_slow_tail_is_found() {
    // Arrange
    let mut bench = Bench::new(6, 3, 4);
    bench.run(WARM_UP);

    // Act
    bench.conducts[1].slow_share = 0.2;
    bench.run(Duration::from_secs(5));

    // Assert
    assert_eq!(bench.ejected(), [1]);
}

#[test]
fn trouble_that_all_servers_meet_ejects_none() {
    // Arrange
    let mut bench = Bench::new(6, 3, 5);
    bench.run(WARM_UP);

    // Act
    for conduct in &mut bench.conducts {
        conduct.failed_share = 0.4;
        conduct.slow_share = 0.6;
    }
    bench.run(Duration::from_secs(20));

    // Assert
    assert!(bench.ejected().is_empty(), "{:?}", bench.verdicts);
}

#[test]
fn without_a_permit_a_failing_server_stays_and_the_refusal_is_recorded_once() {
    // Arrange
    let mut bench = Bench::new(6, 0, 6);
    bench.run(WARM_UP);

    // Act
    bench.conducts[2].failed_share = 0.5;
    bench.run(Duration::from_secs(10));

    // Assert
    let verdicts: Vec<HealthVerdict> = bench.verdicts.iter().map(|one| one.1).collect();
    assert_eq!(verdicts, [HealthVerdict::PermitDenied]);
    assert_eq!(bench.shares[2], FULL_SHARE_PERMILLE);
}

#[test]
fn a_mended_server_returns_by_probes_and_gives_its_permit_back() {
    // Arrange
    let mut bench = Bench::new(6, 1, 7);
    bench.run(WARM_UP);
    bench.conducts[0].failed_share = 1.0;
    bench.run(Duration::from_secs(2));
    bench.conducts[0] = HEALTHY;

    // Act
    bench.run(Duration::from_secs(60));

    // Assert
    let verdicts: Vec<HealthVerdict> = bench.verdicts.iter().map(|one| one.1).collect();
    let expected = [
        HealthVerdict::Ejected,
        HealthVerdict::Probing,
        HealthVerdict::Returning,
        HealthVerdict::Returned,
    ];
    assert_eq!(verdicts, expected);
    assert_eq!(bench.permits_left_count, 1);
}

#[test]
fn a_server_that_fails_its_probes_waits_longer_each_time() {
    // Arrange
    let mut bench = Bench::new(6, 1, 8);
    bench.run(WARM_UP);

    // Act
    bench.conducts[0].failed_share = 1.0;
    bench.run(Duration::from_secs(120));

    // Assert
    let ejected_at: Vec<Duration> = bench
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
    let mut bench = Bench::new(6, 1, 9);
    bench.run(WARM_UP);
    bench.conducts[0].failed_share = 1.0;
    bench.run(Duration::from_secs(2));

    // Act: the desk is out of reach, so the permit is not renewed.
    bench.now += bench.permit_time;
    bench.handle(0, HealthEvent::Tick);

    // Assert
    assert_eq!(bench.shares[0], FULL_SHARE_PERMILLE);
    assert_eq!(
        bench.verdicts.last().unwrap().1,
        HealthVerdict::PermitLapsed
    );
}

#[test]
fn deaths_under_a_request_are_no_evidence() {
    // Arrange
    let mut bench = Bench::new(6, 3, 10);
    bench.run(WARM_UP);

    // Act
    for number in 0..100u128 {
        bench.now += Duration::from_millis(20);
        let key = (1_000_000 + number, 1);
        let started = StartedRequest {
            key,
            server: "s0".into(),
            service: SERVICE.into(),
            route: "look-up".into(),
        };
        bench.handle(0, HealthEvent::Started(started));
        let end = match number % 10 {
            0 => RequestEnd::Died,
            _ => RequestEnd::Failed(FailureKind::Connect),
        };
        let elapsed = Duration::from_millis(1);
        bench.handle(0, HealthEvent::Finished { key, end, elapsed });
    }

    // Assert
    assert!(bench.verdicts.is_empty(), "{:?}", bench.verdicts);
}

#[test]
fn one_long_request_ejects_nobody() {
    // Arrange
    let mut bench = Bench::new(6, 3, 11);
    bench.run(WARM_UP);
    let long = StartedRequest {
        key: (1_000_000, 1),
        server: "s0".into(),
        service: SERVICE.into(),
        route: "look-up".into(),
    };

    // Act
    bench.handle(0, HealthEvent::Started(long));
    bench.run(Duration::from_secs(20));

    // Assert
    assert!(bench.verdicts.is_empty(), "{:?}", bench.verdicts);
}
