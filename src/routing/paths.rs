//! Paths from this entry to guards: which to avoid for a while.
//!
//! What an entry meets on its way to a guard says nothing about the server behind it. It leads to
//! avoidance by this entry alone, never to an ejection: under an asymmetric partition others may
//! reach the same guard well.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::types::DaemonId;

/// Lost answers in a row after which a path is avoided. One may be a late server.
const LOST_LIMIT_COUNT: u32 = 2;

/// Part of an avoidance that is added at random, so that entries do not probe in step.
const JITTER_SHARE: f64 = 0.25;

/// How an attempt fared on its way to the guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathEnd {
    /// The guard answered.
    Answered,
    /// No connection: nothing was sent.
    NoConnection,
    /// Sent, and no word of the guard.
    Lost,
}

/// Whether a path may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathUse {
    /// As usual.
    Open,
    /// One attempt at a time, as a probe; one that may be sent again, if `repeatable_only`.
    Probe {
        /// Whether only requests that may run twice may probe.
        repeatable_only: bool,
    },
    /// Not now.
    Avoided,
}

struct Path {
    /// Failures in a row.
    failed_count: u32,
    /// Lost answers in a row that have not led to avoidance yet.
    lost_count: u32,
    /// Set while avoided or probed.
    avoid_until: Option<Instant>,
    last: PathEnd,
    probing: bool,
}

/// Paths that met trouble; all others are open.
pub struct Paths {
    backoff: Duration,
    backoff_limit: Duration,
    paths: HashMap<DaemonId, Path>,
}

impl Paths {
    /// All paths open. The first avoidance lasts `backoff`; each further one twice as long.
    pub fn new(backoff: Duration, backoff_limit: Duration) -> Paths {
        Paths {
            backoff,
            backoff_limit,
            paths: HashMap::new(),
        }
    }

    /// Whether any path has met trouble.
    pub fn any_in_trouble(&self) -> bool {
        !self.paths.is_empty()
    }

    /// Whether a path may be used now.
    pub fn path_use(&self, now: Instant, daemon: &DaemonId) -> PathUse {
        let Some(path) = self.paths.get(daemon) else {
            return PathUse::Open;
        };
        match path.avoid_until {
            None => PathUse::Open,
            Some(until) if now < until || path.probing => PathUse::Avoided,
            Some(_) => PathUse::Probe {
                repeatable_only: path.last == PathEnd::Lost,
            },
        }
    }

    /// An attempt goes this way.
    pub fn sent(&mut self, daemon: &DaemonId) {
        if let Some(path) = self.paths.get_mut(daemon) {
            path.probing = path.avoid_until.is_some();
        }
    }

    /// An attempt that went this way ended.
    pub fn ended(
        &mut self,
        now: Instant,
        daemon: &DaemonId,
        end: PathEnd,
        random: &mut ChaCha8Rng,
    ) {
        if end == PathEnd::Answered {
            self.paths.remove(daemon);
            return;
        }
        let path = self.paths.entry(daemon.clone()).or_insert(Path {
            failed_count: 0,
            lost_count: 0,
            avoid_until: None,
            last: end,
            probing: false,
        });
        path.last = end;
        let was_avoided = path.avoid_until.is_some_and(|until| now < until);
        if was_avoided {
            // Sent before the avoidance began: nothing new.
            return;
        }
        if end == PathEnd::Lost && path.avoid_until.is_none() {
            path.lost_count += 1;
            if path.lost_count < LOST_LIMIT_COUNT {
                return;
            }
        }
        let doublings = path.failed_count.min(DOUBLING_LIMIT_COUNT);
        let backoff = (self.backoff * (1 << doublings)).min(self.backoff_limit);
        let jitter = 1.0 + JITTER_SHARE * random.random::<f64>();
        path.failed_count += 1;
        path.probing = false;
        path.avoid_until = Some(now + backoff.mul_f64(jitter));
    }

    /// A daemon is gone, or back in a new life.
    pub fn forget(&mut self, daemon: &DaemonId) {
        self.paths.remove(daemon);
    }
}

const DOUBLING_LIMIT_COUNT: u32 = 16;
