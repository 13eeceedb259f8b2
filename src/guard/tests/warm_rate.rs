//! Tests of the limit on starts at a server that may have turned cold without announcing it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{announcement, request, INCARNATION};
use crate::contract::{Document, ServiceContract, View};
use crate::guard::message::{
    Announcement, AttemptKey, GuardAction, GuardEvent, GuardRequest, ServerOutcome,
};
use crate::guard::state::GuardState;
use crate::settings::guard::GuardSettings;

/// Slots that the server announces.
const SLOTS_COUNT: u32 = 10;
/// Requests per second that a cold server can take, by the contract.
const COLD_RATE_PER_S: f64 = 16.0;
/// Multiple of the cold rate that a server gets while it does not announce that it is cold.
const COLD_RATE_FACTOR: f64 = 1.5;
/// Starts per second allowed in addition to the multiple of the cold rate.
const COLD_RATE_SLACK_COUNT: u32 = 8;
/// Most requests that a cold server can take within any second.
const COLD_BOUND_COUNT: usize = 32;
/// Mean time that the warm server takes for a request.
const TYPICAL_MS: f64 = 200.0;
/// Period over which starts are counted.
const SECOND: Duration = Duration::from_secs(1);

/// A guard and its server in virtual time, with more requests than the cold rate allows.
struct Bench {
    /// State of the guard that the tests examine.
    state: GuardState,
    /// Draws the time of each call.
    random: ChaCha8Rng,
    /// Present time of the simulation.
    now: Instant,
    /// Number of the next request.
    next_number: u128,
    /// Factor on the typical time that the server takes.
    slowness: f64,
    /// Running calls by the time of their answer, with their start.
    running: BTreeMap<(Instant, AttemptKey), Instant>,
    /// Times at which requests started.
    starts: VecDeque<Instant>,
}

impl Bench {
    /// Creates a guard with one warm server and no load.
    fn new(seed: u64) -> Bench {
        let now = Instant::now();
        let settings = GuardSettings {
            announcement_ttl_ms: 60_000,
            cold_rate_factor: COLD_RATE_FACTOR,
            cold_rate_slack_count: COLD_RATE_SLACK_COUNT,
            ..Default::default()
        };
        let mut state = GuardState::new(settings, INCARNATION);
        let document = Document {
            services: vec![ServiceContract {
                service: "v".into(),
                cold_rate_per_s: COLD_RATE_PER_S,
                ..Default::default()
            }],
            ..Default::default()
        };
        let view = Arc::new(View::from_document(1, &document, Default::default()));
        state.handle(now, GuardEvent::View(view));
        let server = Announcement {
            service: "v".into(),
            slots_count: SLOTS_COUNT,
            ..announcement()
        };
        state.handle(now, GuardEvent::Announced(server));
        Bench {
            state,
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            next_number: 1,
            slowness: 1.0,
            running: BTreeMap::new(),
            starts: VecDeque::new(),
        }
    }

    /// Sends `per_s` requests per second, evenly spaced, for this time.
    fn load(&mut self, per_s: u32, time: Duration) {
        let until = self.now + time;
        let gap = SECOND / per_s;
        let mut arrives_at = self.now + gap;
        while self.now < until {
            let answered_at = self.running.first_key_value().map(|((at, _), _)| *at);
            let tick_at = self.state.next_tick_at();
            let others = [answered_at, tick_at].into_iter().flatten();
            let next_at = others.fold(arrives_at, Instant::min);
            self.now = self.now.max(next_at);
            let event = if answered_at == Some(next_at) {
                self.answer()
            } else if next_at == arrives_at {
                arrives_at += gap;
                self.arrival()
            } else {
                GuardEvent::Tick
            };
            let actions = self.state.handle(self.now, event);
            self.carry_out(actions);
        }
    }

    /// Returns the arrival of the next request.
    fn arrival(&mut self) -> GuardEvent {
        let number = self.next_number;
        self.next_number += 1;
        GuardEvent::Arrived(GuardRequest {
            deadline_at: self.now + Duration::from_secs(5),
            ..request(number, self.now)
        })
    }

    /// Returns the end of the call whose answer is due first.
    fn answer(&mut self) -> GuardEvent {
        let ((_, key), started_at) = self.running.pop_first().expect("a call runs");
        GuardEvent::Finished {
            key,
            outcome: ServerOutcome::Answered(200),
            elapsed: self.now - started_at,
        }
    }

    /// Schedules the answer of each call that the guard starts.
    fn carry_out(&mut self, actions: Vec<GuardAction>) {
        for action in actions {
            let GuardAction::Start { key, .. } = action else {
                continue;
            };
            // Some answers of a cold server are as fast as ordinary ones of a warm server.
            let spread = self.random.random_range(0.3..1.7);
            let time = Duration::from_secs_f64(TYPICAL_MS / 1e3 * spread * self.slowness);
            self.running.insert((self.now + time, key), self.now);
            self.starts.push_back(self.now);
        }
    }

    /// Returns the most starts within any second since `since`.
    fn most_within_a_second(&self, since: Instant) -> usize {
        let mut window: VecDeque<Instant> = VecDeque::new();
        let mut most = 0;
        for at in self.starts.iter().filter(|at| **at >= since) {
            window.push_back(*at);
            window.retain(|start| *at - *start < SECOND);
            most = most.max(window.len());
        }
        most
    }
}

#[test]
fn a_warm_server_gets_as_many_requests_as_its_slots_allow() {
    // Arrange: its slots allow 50 requests per second.
    let mut bench = Bench::new(1);
    bench.load(40, Duration::from_secs(4));
    let before_count = bench.starts.len();

    // Act
    bench.load(40, Duration::from_secs(5));

    // Assert
    let started_count = bench.starts.len() - before_count;
    assert!(started_count >= 195, "{started_count} of 200");
    assert!(bench.state.server_load(bench.now, "s").waiting_count <= 2);
}

#[test]
fn a_server_that_turns_cold_unannounced_is_not_overloaded() {
    for seed in 0..200 {
        // Arrange
        let mut bench = Bench::new(seed);
        bench.load(40, Duration::from_secs(10));
        let cold_at = bench.now;
        assert!(
            bench.starts.len() > 250,
            "seed {seed}: {}",
            bench.starts.len()
        );

        // Act
        bench.slowness = 2.0;
        bench.load(40, Duration::from_secs(3));

        // Assert
        let most = bench.most_within_a_second(cold_at);
        assert!(
            most <= COLD_BOUND_COUNT,
            "seed {seed}: {most} within a second"
        );
    }
}
