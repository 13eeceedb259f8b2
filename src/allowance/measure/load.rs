//! Requests of organisations over time.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::network::Network;

/// At which entries an organisation's requests arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Spread {
    /// At all entries alike.
    Even,
    /// At one entry.
    One(usize),
    /// At one entry after the other, each for this long.
    Moving(Duration),
    /// Mostly at one entry.
    Skewed(usize),
}

/// Requests of one organisation, with exponentially distributed times between them.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Index of the organisation.
    pub organisation: usize,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Where.
    pub spread: Spread,
    /// First request.
    pub from: Duration,
    /// Last request.
    pub until: Duration,
}

impl Load {
    /// Puts the requests into the network's queue.
    pub fn schedule(&self, seed: u64, daemon_count: usize, network: &mut Network) {
        let seed = seed ^ ((self.organisation as u64 + 1) << 32);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut at = self.from;
        loop {
            let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at += Duration::from_secs_f64(-draw.ln() / self.rate_per_s);
            if at > self.until {
                return;
            }
            let daemon = self.entry(at, daemon_count, &mut rng);
            network.schedule_request(at, daemon, self.organisation);
        }
    }

    fn entry(&self, at: Duration, daemon_count: usize, rng: &mut ChaCha8Rng) -> usize {
        match self.spread {
            Spread::Even => rng.random_range(0..daemon_count),
            Spread::One(daemon) => daemon,
            Spread::Moving(time) => {
                let turn = at.as_millis() / time.as_millis().max(1);
                (turn as usize * MOVING_STEP) % daemon_count
            }
            Spread::Skewed(daemon) if rng.random_bool(SKEW_SHARE) => daemon,
            Spread::Skewed(_) => rng.random_range(0..daemon_count),
        }
    }
}

/// Entries passed over from turn to turn, so that the failure domain changes too.
const MOVING_STEP: usize = 4;
const SKEW_SHARE: f64 = 0.9;
