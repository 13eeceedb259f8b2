//! Limits how many requests run at the same time at a server that is cold.
//!
//! The limit of a cold server starts low. It grows by one after a round of answers within the
//! latency range, but not before one step has passed since the last change. It stays while latency
//! is above the range or still falling, and falls back on failures.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::times::RouteTimes;
use crate::types::RouteId;

/// Highest latency, relative to the reference, at which the limit still grows.
const GROW_RATIO: f64 = 1.25;
/// Lowest latency, relative to the reference, at which the limit falls back.
const FALL_BACK_RATIO: f64 = 2.0;
/// Lowest median latency, relative to the reference, at which a warm server counts as cold.
const TURNED_COLD_RATIO: f64 = 2.5;
/// Latency is still falling while a round's median is below this share of the last round's.
const FALLING_RATIO: f64 = 0.9;
/// Latest answers over which the median latency of a warm server is taken.
const WARM_WINDOW_COUNT: usize = 8;
/// Fewest answers in one round while the server is cold.
const MIN_ROUND_COUNT: usize = 3;
/// Answers of a route that are needed before its mean time serves as the reference.
const MIN_SAMPLE_COUNT: u32 = 8;
/// Longest step after failures, as a multiple of the base step.
const MAX_STEP_FACTOR: u32 = 8;
/// Factor on the step of a server that reports that it is cold and whose warm latency is unknown.
const UNKNOWN_REFERENCE_STEP_FACTOR: u32 = 4;
/// Latency ratio recorded for a request that timed out.
const TIMED_OUT_RATIO: f64 = 10.0;

/// Settings of the limit of a cold server.
#[derive(Debug, Clone, Copy)]
pub struct ColdSettings {
    /// Limit with which a cold server starts.
    pub initial_limit_count: u32,
    /// Shortest time between two increases of the limit.
    pub step: Duration,
    /// Time after which a steady latency above the reference becomes the new reference.
    pub patience: Duration,
}

/// Limit on the requests that run at the same time at one server.
#[derive(Debug)]
pub struct ColdLimit {
    /// Bounds and pace of the limit, from the settings.
    settings: ColdSettings,
    /// Service times while warm; kept during cold phases.
    warm_times: RouteTimes,
    /// Service times of the present cold phase.
    cold_times: RouteTimes,
    /// Factor on the reference time after a steady latency above it was accepted; at least 1.
    reference_factor: f64,
    /// Whether the server is warm, or cold with a limit that grows.
    phase: Phase,
    /// Latest ratios of latency to reference: of the last answers while warm, of the present round
    /// while cold.
    ratios: SmallVec<[f64; WARM_WINDOW_COUNT]>,
}

/// Whether a server counts as warm or cold.
#[derive(Debug, Clone, Copy)]
enum Phase {
    /// All slots may be used.
    Warm,
    /// The limit grows from its initial value.
    Cold(Growth),
}

/// Limit of a cold server and when it may grow.
#[derive(Debug, Clone, Copy)]
struct Growth {
    /// Requests that may run at the same time; at least 1.
    limit_count: u32,
    /// When the limit last changed.
    changed_at: Instant,
    /// Least time between two changes of the limit without failures.
    base_step: Duration,
    /// Least time between two changes at present, lengthened by failures.
    step: Duration,
    /// Median latency ratio of the last whole round.
    last_round_median: Option<f64>,
}

impl ColdLimit {
    /// Creates the limit of a server that counts as cold from now on.
    pub fn new(settings: ColdSettings, now: Instant) -> ColdLimit {
        let mut limit = ColdLimit {
            settings,
            warm_times: RouteTimes::default(),
            cold_times: RouteTimes::default(),
            reference_factor: 1.0,
            phase: Phase::Warm,
            ratios: SmallVec::new(),
        };
        limit.turn_cold(now);
        limit
    }

    /// Returns how many requests may run at the same time at a server with these slots.
    pub fn limit_count(&self, slots_count: u32) -> u32 {
        match self.phase {
            Phase::Warm => slots_count,
            Phase::Cold(growth) => growth.limit_count.min(slots_count),
        }
    }

    /// Returns whether the server counts as cold.
    pub fn is_cold(&self) -> bool {
        matches!(self.phase, Phase::Cold(_))
    }

    /// Restarts the limit because the server reports that it is cold. Without a reference for its
    /// warm latency, overload can't be distinguished from warming up, so the limit grows more
    /// slowly.
    pub fn reported_cold(&mut self, now: Instant) {
        self.turn_cold(now);
        let Phase::Cold(growth) = &mut self.phase else {
            return;
        };
        if !self.warm_times.is_known(MIN_SAMPLE_COUNT) {
            growth.base_step = self.settings.step * UNKNOWN_REFERENCE_STEP_FACTOR;
            growth.step = growth.base_step;
        }
    }

    /// Restarts the limit from its initial value.
    pub fn turn_cold(&mut self, now: Instant) {
        self.ratios.clear();
        self.cold_times.clear();
        self.reference_factor = 1.0;
        self.phase = Phase::Cold(Growth {
            limit_count: self.settings.initial_limit_count,
            changed_at: now,
            base_step: self.settings.step,
            step: self.settings.step,
            last_round_median: None,
        });
    }

    /// Records the time of a whole answer and adapts the limit.
    pub fn record_answer(
        &mut self,
        now: Instant,
        route: &RouteId,
        elapsed: Duration,
        slots_count: u32,
    ) {
        let ratio = self.ratio(route, elapsed);
        match self.phase {
            Phase::Warm => self.record_warm_answer(now, route, elapsed, ratio),
            Phase::Cold(growth) => {
                self.cold_times.add(route, elapsed);
                self.ratios.push(ratio.unwrap_or(1.0));
                self.evaluate_round(now, growth, slots_count);
            }
        }
    }

    /// Records that no answer came by the deadline.
    pub fn record_timeout(&mut self, now: Instant) {
        match self.phase {
            Phase::Warm => self.push_warm_ratio(now, TIMED_OUT_RATIO),
            Phase::Cold(_) => self.record_failure(now),
        }
    }

    /// Falls back to the initial limit after the server shed a request, refused a connection or
    /// broke it. While it is cold already, the step doubles.
    pub fn record_failure(&mut self, now: Instant) {
        let Phase::Cold(growth) = self.phase else {
            return self.turn_cold(now);
        };
        let longest = growth.base_step * MAX_STEP_FACTOR;
        self.ratios.clear();
        self.phase = Phase::Cold(Growth {
            limit_count: self.settings.initial_limit_count,
            changed_at: now,
            base_step: growth.base_step,
            step: (growth.step * 2).min(longest),
            last_round_median: None,
        });
    }

    /// Returns the ratio of a time to the reference of its route; `None` without a reference.
    fn ratio(&self, route: &RouteId, elapsed: Duration) -> Option<f64> {
        let reference_s = self
            .warm_times
            .route_or_overall_mean_s(route, MIN_SAMPLE_COUNT)
            .or_else(|| self.cold_times.route_or_overall_mean_s(route, 1))?;
        Some(elapsed.as_secs_f64() / (reference_s.max(f64::MIN_POSITIVE) * self.reference_factor))
    }

    /// Records an answer of a warm server. A time that suggests it is cold does not change the
    /// reference.
    fn record_warm_answer(
        &mut self,
        now: Instant,
        route: &RouteId,
        elapsed: Duration,
        ratio: Option<f64>,
    ) {
        let Some(ratio) = ratio else {
            return self.warm_times.add(route, elapsed);
        };
        if ratio < TURNED_COLD_RATIO {
            self.warm_times.add(route, elapsed);
        }
        self.push_warm_ratio(now, ratio);
    }

    /// Adds a latency ratio, and turns the server cold if the median of the last ones is too high.
    fn push_warm_ratio(&mut self, now: Instant, ratio: f64) {
        if self.ratios.len() == WARM_WINDOW_COUNT {
            self.ratios.remove(0);
        }
        self.ratios.push(ratio);
        let judged = self.ratios.len() == WARM_WINDOW_COUNT;
        if judged && median(&self.ratios) >= TURNED_COLD_RATIO {
            self.turn_cold(now);
        }
    }

    /// Grows, holds or lowers the limit once a round of answers is complete and the step is over.
    fn evaluate_round(&mut self, now: Instant, growth: Growth, slots_count: u32) {
        let round_count = MIN_ROUND_COUNT.max(growth.limit_count as usize);
        let step_over = now.saturating_duration_since(growth.changed_at) >= growth.step;
        if self.ratios.len() < round_count || !step_over {
            return;
        }
        let round = median(&self.ratios);
        self.ratios.clear();
        let falling = growth
            .last_round_median
            .is_some_and(|last| round < last * FALLING_RATIO);
        let unchanged_for = now.saturating_duration_since(growth.changed_at);
        if round >= FALL_BACK_RATIO && growth.limit_count > self.settings.initial_limit_count {
            return self.fall_back(now, growth);
        }
        if falling || (round > GROW_RATIO && unchanged_for < self.settings.patience) {
            self.phase = Phase::Cold(Growth {
                last_round_median: Some(round),
                ..growth
            });
            return;
        }
        if round > GROW_RATIO {
            self.reference_factor *= round;
        }
        self.grow(now, growth, slots_count);
    }

    /// Halves the limit, down to its initial value at the lowest, and doubles the step.
    fn fall_back(&mut self, now: Instant, growth: Growth) {
        self.phase = Phase::Cold(Growth {
            limit_count: (growth.limit_count / 2).max(self.settings.initial_limit_count),
            changed_at: now,
            base_step: growth.base_step,
            step: (growth.step * 2).min(growth.base_step * MAX_STEP_FACTOR),
            last_round_median: None,
        });
    }

    /// Raises the limit by one; a server whose limit has reached its slots is warm.
    fn grow(&mut self, now: Instant, growth: Growth, slots_count: u32) {
        if growth.limit_count >= slots_count {
            if self.reference_factor > 1.0 {
                self.warm_times.clear();
                self.reference_factor = 1.0;
            }
            self.phase = Phase::Warm;
            return;
        }
        self.phase = Phase::Cold(Growth {
            limit_count: growth.limit_count + 1,
            changed_at: now,
            base_step: growth.base_step,
            step: growth.base_step,
            last_round_median: None,
        });
    }
}

/// Returns the median of a non-empty list, the upper one of two in the middle.
fn median(ratios: &[f64]) -> f64 {
    let mut sorted: SmallVec<[f64; 16]> = ratios.iter().copied().collect();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}
