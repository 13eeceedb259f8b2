//! A fake backend server: how long it takes, and how it fails.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::guard::message::ServerOutcome;
use crate::types::RouteId;
use crate::wire::client::CallError;

/// How a server fails.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Answers a share of requests with a failure.
    Errors {
        /// The share.
        share: f64,
    },
    /// Answers every request of one route with a failure.
    RouteFails {
        /// The route.
        route: RouteId,
    },
    /// Takes much longer for a share of requests.
    SlowTail {
        /// The share.
        share: f64,
        /// How many times longer.
        factor: f64,
    },
    /// Never answers a share of requests.
    Stuck {
        /// The share.
        share: f64,
    },
    /// Takes requests and answers none.
    Silent,
    /// Cuts a share of answers short.
    ShortAnswers {
        /// The share.
        share: f64,
    },
    /// Fails every request for some time, is well for some time, and so on.
    Flaps {
        /// Length of each.
        period: Duration,
    },
}

/// Trouble that healthy servers have too.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Noise {
    /// Share of requests that fail.
    pub failed_share: f64,
    /// Share of requests that take much longer.
    pub slow_share: f64,
    /// Mean time between two pauses of the whole server; none without.
    pub pause_interval: Option<Duration>,
    /// Longest pause.
    pub pause_limit: Duration,
    /// Mean time between two short times in which every request fails; none without.
    pub blip_interval: Option<Duration>,
    /// Longest of those times.
    pub blip_limit: Duration,
}

impl Noise {
    /// A calm server.
    pub const LOW_NOISE: Noise = Noise {
        failed_share: 0.002,
        slow_share: 0.005,
        pause_interval: None,
        pause_limit: Duration::ZERO,
        blip_interval: None,
        blip_limit: Duration::ZERO,
    };

    /// A noisy healthy server.
    pub const NOISY: Noise = Noise {
        failed_share: 0.01,
        slow_share: 0.02,
        pause_interval: Some(Duration::from_secs(20)),
        pause_limit: Duration::from_millis(400),
        blip_interval: Some(Duration::from_secs(30)),
        blip_limit: Duration::from_millis(150),
    };
}

/// Slow requests of a healthy server take this many times longer.
const SLOW_NOISE_FACTOR: f64 = 5.0;

/// Spread of the logarithm of request times.
const LOG_TIME_STD_DEV: f64 = 0.35;

/// A request that is never answered takes this long, far beyond any deadline.
const UNANSWERED_TIME: Duration = Duration::from_secs(3_600);

/// Share of its usual speed at which a cold server begins.
const COLD_SPEED_SHARE: f64 = 0.5;

/// One fake server.
#[derive(Debug, Clone)]
pub struct FakeServer {
    /// Usual time of a request.
    pub work: Duration,
    /// Its noise.
    pub noise: Noise,
    /// Its fault and when that began.
    pub fault: Option<(Instant, Fault)>,
    /// Until when it stands still.
    pub paused_until: Option<Instant>,
    /// Until when it fails every request, as healthy servers do now and then.
    pub blip_until: Option<Instant>,
    /// Until when it is cold: slower, and down if it gets more than it bears.
    pub cold_until: Option<Instant>,
}

impl FakeServer {
    /// Time and end of a request that starts now. The end holds unless the deadline comes first.
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
        _ => {}
    }
}

/// A normally distributed number, by the sum of twelve uniform ones.
fn standard_normal(random: &mut ChaCha8Rng) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    sum - 6.0
}
