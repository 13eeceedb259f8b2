//! Generates the requests of organisations over time.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::network::Network;

/// Distribution of an organisation's requests over the daemons where they enter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Spread {
    /// Uniformly over all daemons.
    Even,
    /// All at one daemon.
    One(usize),
    /// At one daemon after the other, for this long at each.
    Moving(Duration),
    /// At one daemon for nine requests in ten, and the rest uniformly.
    Skewed(usize),
}

/// Requests of one organisation, with exponentially distributed intervals.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Index of the organisation.
    pub organisation: usize,
    /// Mean number of requests per second.
    pub rate_per_s: f64,
    /// Daemons at which the requests enter.
    pub spread: Spread,
    /// Time from the start of the run to the first request.
    pub begins_after: Duration,
    /// Time from the start of the run after which no request is sent.
    pub ends_after: Duration,
}

impl Load {
    /// Schedules all requests in the simulated network.
    pub fn schedule(&self, seed: u64, daemon_count: usize, network: &mut Network) {
        let seed = seed ^ ((self.organisation as u64 + 1) << 32);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut at = self.begins_after;
        loop {
            let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at += Duration::from_secs_f64(-draw.ln() / self.rate_per_s);
            if at > self.ends_after {
                return;
            }
            let daemon = self.entry(at, daemon_count, &mut rng);
            network.schedule_request(at, daemon, self.organisation);
        }
    }

    /// Returns the daemon at which a request enters.
    fn entry(&self, at: Duration, daemon_count: usize, rng: &mut ChaCha8Rng) -> usize {
        match self.spread {
            Spread::Even => rng.random_range(0..daemon_count),
            Spread::One(daemon) => daemon,
            Spread::Moving(time) => {
                let turn = at.as_millis() / time.as_millis().max(1);
                (turn as usize * MOVING_STEP_COUNT) % daemon_count
            }
            Spread::Skewed(daemon) if rng.random_bool(SKEWED_SHARE) => daemon,
            Spread::Skewed(_) => rng.random_range(0..daemon_count),
        }
    }
}

/// Daemons skipped from one turn to the next, so that the failure domain changes too.
const MOVING_STEP_COUNT: usize = 4;
/// Share of skewed requests that enter at the one daemon.
const SKEWED_SHARE: f64 = 0.9;
