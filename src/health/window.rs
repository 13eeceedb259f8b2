//! Request counts of one route of one backend server: exact for the last two seconds, decayed for
//! older requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::histogram::{bucket_of, BUCKET_COUNT};
use super::message::{RouteCounts, RouteSummary};
use crate::types::RouteId;

/// Length of one slice of the recent window.
pub const SLICE: Duration = Duration::from_millis(250);

/// Time for which slices are kept; older requests are added to the decayed counts.
const RECENT_WINDOW: Duration = Duration::from_secs(2);

/// Time that the newest requests cover. It is short, so that trouble that has just begun is not
/// diluted by earlier requests.
const NEWEST_WINDOW: Duration = Duration::from_millis(500);

/// Fewest newest requests; on a quiet route they reach back further until there are as many.
const NEWEST_MIN_COUNT: f64 = 20.0;

/// Time in which an older request loses half of its weight in the decayed counts.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// One request, classified by the thresholds of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// When the observation was made.
    pub at: Instant,
    /// Time that the request took, or its age while it is running.
    pub elapsed: Duration,
    /// Whether the server failed the request.
    pub failed: bool,
    /// Whether it ran for longer than the slow threshold.
    pub slow: bool,
    /// Whether it ran for longer than the stuck threshold.
    pub stuck: bool,
    /// Whether an earlier observation already counted the request; this one only adds evidence.
    pub already_counted: bool,
}

impl Observation {
    /// Returns whether the request failed, was slow or is stuck.
    pub fn is_bad(&self) -> bool {
        self.failed || self.slow || self.stuck
    }
}

/// Request counts; fractional, since older requests have less weight.
#[derive(Debug, Clone, PartialEq)]
pub struct Counts {
    /// Number of all requests.
    pub seen: f64,
    /// Number of failed requests.
    pub failed: f64,
    /// Number of stuck requests.
    pub stuck: f64,
    /// Number of requests by time, in the buckets of `histogram`.
    pub buckets: [f64; BUCKET_COUNT],
}

impl Default for Counts {
    fn default() -> Self {
        Counts {
            seen: 0.0,
            failed: 0.0,
            stuck: 0.0,
            buckets: [0.0; BUCKET_COUNT],
        }
    }
}

impl Counts {
    fn count(&mut self, observation: &Observation) {
        if !observation.already_counted {
            self.seen += 1.0;
            self.buckets[bucket_of(observation.elapsed)] += 1.0;
        }
        self.failed += f64::from(u8::from(observation.failed));
        self.stuck += f64::from(u8::from(observation.stuck));
    }

    /// Adds other counts, each multiplied by `weight`.
    pub fn merge(&mut self, other: &Counts, weight: f64) {
        self.seen += other.seen * weight;
        self.failed += other.failed * weight;
        self.stuck += other.stuck * weight;
        for (own, added) in self.buckets.iter_mut().zip(&other.buckets) {
            *own += added * weight;
        }
    }

    /// Multiplies all counts by `weight`.
    fn decay(&mut self, weight: f64) {
        let before = std::mem::take(self);
        self.merge(&before, weight);
    }

    /// Returns the number of requests in buckets above `bucket`.
    pub fn above(&self, bucket: usize) -> f64 {
        self.buckets.iter().skip(bucket + 1).sum()
    }

    /// Rounds the counts for a summary, without empty buckets at the end.
    fn to_message(&self) -> RouteCounts {
        let mut buckets: Vec<u32> = self.buckets.iter().map(|c| c.round() as u32).collect();
        while buckets.last() == Some(&0) {
            buckets.pop();
        }
        RouteCounts {
            seen_count: self.seen.round() as u32,
            failed_count: self.failed.round() as u32,
            stuck_count: self.stuck.round() as u32,
            buckets,
        }
    }
}

impl From<&RouteCounts> for Counts {
    fn from(message: &RouteCounts) -> Counts {
        let mut counts = Counts {
            seen: f64::from(message.seen_count),
            failed: f64::from(message.failed_count.min(message.seen_count)),
            stuck: f64::from(message.stuck_count.min(message.seen_count)),
            ..Default::default()
        };
        for (own, received) in counts.buckets.iter_mut().zip(&message.buckets) {
            *own = f64::from(*received);
        }
        counts
    }
}

/// Request counts of one route of one backend server.
#[derive(Debug, Default)]
pub struct RouteWindow {
    /// Start and counts of each slice of the recent window, oldest first.
    slices: VecDeque<(Instant, Counts)>,
    /// Decayed counts of older requests.
    long: Counts,
    /// When the longer counts were last decayed.
    decayed_at: Option<Instant>,
}

impl RouteWindow {
    /// Counts one request in the current slice.
    pub fn observe(&mut self, observation: &Observation) {
        self.advance(observation.at);
        let fresh = self
            .slices
            .back()
            .is_none_or(|(from, _)| observation.at.saturating_duration_since(*from) >= SLICE);
        if fresh {
            self.slices.push_back((observation.at, Counts::default()));
        }
        if let Some((_, counts)) = self.slices.back_mut() {
            counts.count(observation);
        }
    }

    /// Returns the counts of the newest requests, in whole slices.
    fn newest(&self, now: Instant) -> Counts {
        let mut newest = Counts::default();
        for (from, counts) in self.slices.iter().rev() {
            let is_new = now.saturating_duration_since(*from) <= NEWEST_WINDOW;
            if !is_new && newest.seen >= NEWEST_MIN_COUNT {
                break;
            }
            newest.merge(counts, 1.0);
        }
        newest
    }

    /// Returns the sum of all slices.
    fn recent_total(&self) -> Counts {
        let mut total = Counts::default();
        for (_, counts) in &self.slices {
            total.merge(counts, 1.0);
        }
        total
    }

    /// Returns the number of requests, older ones decayed, as the weight of the route.
    pub fn weight(&self) -> f64 {
        self.long.seen + self.slices.iter().map(|(_, c)| c.seen).sum::<f64>()
    }

    /// Returns the recent and the longer counts for peers.
    pub fn summary(&mut self, now: Instant, route: &RouteId) -> RouteSummary {
        self.advance(now);
        let mut long = self.long.clone();
        long.merge(&self.recent_total(), 1.0);
        RouteSummary {
            route: route.clone(),
            recent: self.newest(now).to_message(),
            long: long.to_message(),
        }
    }

    /// Decays the older counts and moves expired slices into them.
    fn advance(&mut self, now: Instant) {
        let decayed_at = *self.decayed_at.get_or_insert(now);
        let passed = now.saturating_duration_since(decayed_at);
        if passed >= SLICE {
            let half_lives = passed.as_secs_f64() / HALF_LIFE.as_secs_f64();
            self.long.decay(0.5f64.powf(half_lives));
            self.decayed_at = Some(now);
        }
        while let Some((from, _)) = self.slices.front() {
            let age = now.saturating_duration_since(*from);
            if age <= RECENT_WINDOW {
                break;
            }
            if let Some((_, counts)) = self.slices.pop_front() {
                self.long.merge(&counts, 1.0);
            }
        }
    }
}
