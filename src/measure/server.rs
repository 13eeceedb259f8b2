//! Simulated backend server: how long it takes and how it fails.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::guard::message::ServerOutcome;
use crate::types::RouteId;
use crate::wire::client::CallError;

/// A way in which a simulated server fails.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Answers a share of requests with status 500.
    Errors {
        /// Share of requests that fail, from 0 to 1.
        share: f64,
    },
    /// Answers every request of one route with status 500.
    RouteFails {
        /// Route whose requests fail.
        route: RouteId,
    },
    /// Takes several times longer for a share of requests.
    SlowTail {
        /// Share of slow requests, from 0 to 1.
        share: f64,
        /// Factor on the time of a slow request.
        factor: f64,
    },
    /// Never answers a share of requests.
    Stuck {
        /// Share of requests without an answer, from 0 to 1.
        share: f64,
    },
    /// Accepts requests and answers none of them.
    Silent,
    /// Truncates a share of the answers.
    ShortAnswers {
        /// Share of truncated answers, from 0 to 1.
        share: f64,
    },
    /// Alternates between failing every request and working normally.
    Flaps {
        /// Length of each failing and each normal phase.
        period: Duration,
    },
    /// Breaks the connections of most calls in spells, and of a few calls at any time.
    ResetSpells {
        /// Time from the start of one spell to that of the next.
        interval: Duration,
        /// Length of a spell.
        length: Duration,
        /// Time from the start of the fault to that of the first spell.
        offset: Duration,
        /// Share of calls that break in a spell, from 0 to 1.
        spell_share: f64,
        /// Share of calls that break outside of spells, from 0 to 1.
        stray_share: f64,
    },
}

/// Failures and delays that healthy servers have too.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Noise {
    /// Share of requests that fail, from 0 to 1.
    pub failed_share: f64,
    /// Share of requests that take `SLOW_NOISE_FACTOR` times longer, from 0 to 1.
    pub slow_share: f64,
    /// Mean time between two pauses of the whole server; none for no pauses.
    pub pause_interval: Option<Duration>,
    /// Upper bound on the length of a pause.
    pub pause_limit: Duration,
    /// Mean time between two blips, in which every request fails; none for no blips.
    pub blip_interval: Option<Duration>,
    /// Upper bound on the length of a blip.
    pub blip_limit: Duration,
}

impl Noise {
    /// Noise of a healthy server that seldom fails or slows down and never pauses.
    pub const LOW_NOISE: Noise = Noise {
        failed_share: 0.002,
        slow_share: 0.005,
        pause_interval: None,
        pause_limit: Duration::ZERO,
        blip_interval: None,
        blip_limit: Duration::ZERO,
    };

    /// Noise of a healthy server that fails, slows down, pauses and has blips.
    pub const NOISY: Noise = Noise {
        failed_share: 0.01,
        slow_share: 0.02,
        pause_interval: Some(Duration::from_secs(20)),
        pause_limit: Duration::from_millis(400),
        blip_interval: Some(Duration::from_secs(30)),
        blip_limit: Duration::from_millis(150),
    };
}

/// Factor on the time of requests that noise slows down.
const SLOW_NOISE_FACTOR: f64 = 5.0;

/// Standard deviation of the natural logarithm of request times.
const LOG_TIME_STD_DEV: f64 = 0.35;

/// Time of a request that is never answered, far beyond any deadline.
const UNANSWERED_TIME: Duration = Duration::from_secs(3_600);

/// Speed of a cold server, as a share of its normal speed.
const COLD_SPEED_SHARE: f64 = 0.5;

/// A simulated backend server with its noise and its fault.
#[derive(Debug, Clone)]
pub struct FakeServer {
    /// Median time of a request.
    pub work: Duration,
    /// Noise that the server has while it is healthy.
    pub noise: Noise,
    /// Fault of the server and the time at which it began.
    pub fault: Option<(Instant, Fault)>,
    /// End of the current pause, in which the server finishes no request.
    pub paused_until: Option<Instant>,
    /// End of the current blip, in which the server fails every request.
    pub blip_until: Option<Instant>,
    /// End of the time in which the server is cold and therefore slower.
    pub cold_until: Option<Instant>,
}

impl FakeServer {
    /// Returns the time and the outcome of a request that starts now. The outcome applies unless
    /// the deadline comes first.
    pub fn simulate_request(
        &self,
        now: Instant,
        route: &RouteId,
        random: &mut ChaCha8Rng,
    ) -> (Duration, ServerOutcome) {
        let mut time = self
            .work
            .mul_f64((LOG_TIME_STD_DEV * standard_normal(random)).exp());
        if self.cold_until.is_some_and(|until| now < until) {
            time = time.div_f64(COLD_SPEED_SHARE);
        }
        if random.random_bool(self.noise.slow_share) {
            time = time.mul_f64(SLOW_NOISE_FACTOR);
        }
        let mut outcome = ServerOutcome::Answered(200);
        if random.random_bool(self.noise.failed_share) {
            outcome = ServerOutcome::Answered(500);
        }
        if self.blip_until.is_some_and(|until| now < until) {
            outcome = ServerOutcome::Answered(500);
        }
        if let Some((since, fault)) = &self.fault {
            apply_fault(fault, now, *since, route, random, (&mut time, &mut outcome));
        }
        if let Some(until) = self.paused_until.filter(|until| now < *until) {
            time += until - now;
        }
        (time, outcome)
    }
}

/// Changes the time and the outcome of a request as the fault demands.
fn apply_fault(
    fault: &Fault,
    now: Instant,
    since: Instant,
    route: &RouteId,
    random: &mut ChaCha8Rng,
    (time, outcome): (&mut Duration, &mut ServerOutcome),
) {
    match fault {
        Fault::Errors { share } if random.random_bool(*share) => {
            *outcome = ServerOutcome::Answered(500);
        }
        Fault::RouteFails { route: failing } if route == failing => {
            *outcome = ServerOutcome::Answered(500);
        }
        Fault::SlowTail { share, factor } if random.random_bool(*share) => {
            *time = time.mul_f64(*factor);
        }
        Fault::Stuck { share } if random.random_bool(*share) => *time = UNANSWERED_TIME,
        Fault::Silent => *time = UNANSWERED_TIME,
        Fault::ShortAnswers { share } if random.random_bool(*share) => {
            *outcome = ServerOutcome::Failed(CallError::ShortAnswer);
        }
        Fault::Flaps { period } => {
            let passed = now.saturating_duration_since(since);
            let phase_index = passed.as_millis() / period.as_millis().max(1);
            if phase_index % 2 == 0 {
                *outcome = ServerOutcome::Answered(500);
            }
        }
        Fault::ResetSpells {
            interval,
            length,
            offset,
            spell_share,
            stray_share,
        } => {
            let passed = now.saturating_duration_since(since + *offset);
            let spell_part = passed.as_secs_f64() % interval.as_secs_f64();
            let is_in_spell = now >= since + *offset && spell_part < length.as_secs_f64();
            let share = if is_in_spell {
                spell_share
            } else {
                stray_share
            };
            if random.random_bool(*share) {
                *time = time.mul_f64(random.random::<f64>());
                *outcome = ServerOutcome::Failed(CallError::Broken);
            }
        }
        _ => {}
    }
}

/// Returns a nearly standard normal number: the sum of twelve uniform ones, minus 6.
fn standard_normal(random: &mut ChaCha8Rng) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    sum - 6.0
}
