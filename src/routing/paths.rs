//! Avoids paths from this entry to guards that are in trouble.
//!
//! A failure on the way to a guard says nothing about the server behind it. It makes this entry
//! alone avoid the path and never leads to an ejection: in an asymmetric network partition other
//! entries may reach the same guard well.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::types::DaemonId;

/// Lost answers in a row after which a path is avoided; a single one may come from a slow server.
const LOST_LIMIT_COUNT: u32 = 2;

/// Greatest random share added to an avoidance, so that entries do not probe in step.
const JITTER_SHARE: f64 = 0.25;

/// How an attempt ended on the path to its guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathEnd {
    /// The guard answered, whatever the answer.
    Answered,
    /// No connection was made, and nothing was sent.
    NoConnection,
    /// The attempt was sent, and the guard did not answer.
    Lost,
}

/// Whether a path may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathUse {
    /// The path may be used without restriction.
    Open,
    /// The path may be used by one attempt at a time, as a probe.
    Probe {
        /// Whether only requests that may run twice may probe.
        repeatable_only: bool,
    },
    /// The path must not be used now.
    Avoided,
}

/// State of a path that is in trouble.
struct Path {
    /// Avoidances in a row; each doubles the next backoff.
    failed_count: u32,
    /// Lost answers in a row that have not led to an avoidance yet.
    lost_count: u32,
    /// End of the avoidance, after which the path is probed; none if it is not avoided yet.
    avoid_until: Option<Instant>,
    /// How the last attempt ended on the path.
    last: PathEnd,
    /// Whether a probe is under way.
    probing: bool,
}

/// Paths that are in trouble; all others are open.
pub struct Paths {
    /// Length of a path's first avoidance.
    backoff: Duration,
    /// Longest avoidance, apart from its random part.
    backoff_limit: Duration,
    /// State of each path in trouble, by the guard's daemon.
    paths: HashMap<DaemonId, Path>,
}

impl Paths {
    /// Creates a set in which all paths are open. The first avoidance of a path lasts `backoff`,
    /// each further one twice as long, up to `backoff_limit`.
    pub fn new(backoff: Duration, backoff_limit: Duration) -> Paths {
        Paths {
            backoff,
            backoff_limit,
            paths: HashMap::new(),
        }
    }

    /// Returns whether any path is in trouble.
    pub fn any_in_trouble(&self) -> bool {
        !self.paths.is_empty()
    }

    /// Returns how the path to a daemon may be used now.
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

    /// Records that an attempt was sent to a daemon.
    pub fn sent(&mut self, daemon: &DaemonId) {
        if let Some(path) = self.paths.get_mut(daemon) {
            path.probing = path.avoid_until.is_some();
        }
    }

    /// Records how an attempt to a daemon ended on its path.
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
            // The attempt was sent before the avoidance began and says nothing new.
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

    /// Records that an attempt to a daemon was dropped before it ended.
    pub fn abandoned(&mut self, daemon: &DaemonId) {
        if let Some(path) = self.paths.get_mut(daemon) {
            path.probing = false;
        }
    }

    /// Opens the path to a daemon that left the fleet or began a new incarnation.
    pub fn forget(&mut self, daemon: &DaemonId) {
        self.paths.remove(daemon);
    }
}

/// Most doublings of the first backoff.
const DOUBLING_LIMIT_COUNT: u32 = 16;
