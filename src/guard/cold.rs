//! How many requests at a time a server bears while it is cold.
//!
//! A cold server starts with few requests at a time. The limit grows by one after a round of
//! answers within the latency range, not sooner than a step of time after the last change. It
//! holds while latency is above the range or still falling, and falls back on failures.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::times::RouteTimes;
use crate::types::RouteId;

/// Latency relative to the reference up to which the limit grows.
const GROW_RATIO: f64 = 1.25;
/// Latency relative to the reference from which the limit falls back.
const FALL_BACK_RATIO: f64 = 2.0;
/// Latency relative to the reference from which a warm server counts as cold.
const TURNED_COLD_RATIO: f64 = 2.5;
/// A round whose latency fell below this part of the last round's is still warming.
const FALLING_RATIO: f64 = 0.9;
/// Answers over which a warm server is judged.
const WARM_WINDOW_COUNT: usize = 8;
/// Fewest answers of one round while cold.
const LEAST_ROUND_COUNT: usize = 3;
/// Answers of a route before its mean is a reference.
const LEAST_SAMPLE_COUNT: u32 = 8;
/// Steps are lengthened to at most this multiple after failures.
const MAX_STEP_FACTOR: u32 = 8;
/// Steps of a server that says it is cold and whose warm latency is not known are longer.
const UNKNOWN_STEP_FACTOR: u32 = 4;
/// Ratio that stands for a request without an answer in time.
const TIMED_OUT_RATIO: f64 = 10.0;

/// Limits of a cold server.
#[derive(Debug, Clone, Copy)]
pub struct ColdSettings {
    /// Requests at a time to begin with.
    pub first_count: u32,
    /// Shortest time between two growths.
    pub step: Duration,
    /// A level latency above the reference is taken for the new reference after this time.
    pub patience: Duration,
}

/// The limit of one server.
#[derive(Debug)]
pub struct ColdLimit {
    settings: ColdSettings,
    /// Times while warm, kept over cold phases.
    warm_times: RouteTimes,
    /// Times of the present cold phase.
    cold_times: RouteTimes,
    /// Times are divided by this besides the reference; at least 1.
    reference_factor: f64,
    phase: Phase,
    /// The last ratios of latency to reference.
    ratios: SmallVec<[f64; WARM_WINDOW_COUNT]>,
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    Warm,
    Cold(Growth),
}

#[derive(Debug, Clone, Copy)]
struct Growth {
    /// At least 1.
    limit_count: u32,
    /// When the limit last changed.
    changed_at: Instant,
    /// The step without failures.
    base_step: Duration,
    /// The step at present.
    step: Duration,
    /// Median ratio of the last whole round.
    last_median: Option<f64>,
}

impl ColdLimit {
    /// The limit of a server that counts as cold.
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

    /// Requests at a time, of a server with these slots.
    pub fn limit_count(&self, slots_count: u32) -> u32 {
        match self.phase {
            Phase::Warm => slots_count,
            Phase::Cold(growth) => growth.limit_count.min(slots_count),
        }
    }

    /// Whether the server counts as cold.
    pub fn is_cold(&self) -> bool {
        matches!(self.phase, Phase::Cold(_))
    }

    /// The server says that it is cold. Without a reference of its warm latency its growth can't
    /// be told from strain, so the limit grows more slowly.
    pub fn reported_cold(&mut self, now: Instant) {
        self.turn_cold(now);
        let Phase::Cold(growth) = &mut self.phase else {
            return;
        };
        if !self.warm_times.is_known(LEAST_SAMPLE_COUNT) {
            growth.base_step = self.settings.step * UNKNOWN_STEP_FACTOR;
            growth.step = growth.base_step;
        }
    }

    /// The server counts as cold from now on.
    pub fn turn_cold(&mut self, now: Instant) {
        self.ratios.clear();
        self.cold_times.forget();
        self.reference_factor = 1.0;
        self.phase = Phase::Cold(Growth {
            limit_count: self.settings.first_count,
            changed_at: now,
            base_step: self.settings.step,
            step: self.settings.step,
            last_median: None,
        });
    }

    /// A whole answer came.
    pub fn answered(&mut self, now: Instant, route: &RouteId, elapsed: Duration, slots_count: u32) {
        let ratio = self.ratio(route, elapsed);
        match self.phase {
            Phase::Warm => self.judge_warm(now, route, elapsed, ratio),
            Phase::Cold(growth) => {
                self.cold_times.add(route, elapsed);
                self.ratios.push(ratio.unwrap_or(1.0));
                self.judge_round(now, growth, slots_count);
            }
        }
    }

    /// No answer came in time.
    pub fn timed_out(&mut self, now: Instant) {
        match self.phase {
            Phase::Warm => self.push_warm(now, TIMED_OUT_RATIO),
            Phase::Cold(_) => self.failed(now),
        }
    }

    /// The server shed the request, refused the connection or broke it.
    pub fn failed(&mut self, now: Instant) {
        let Phase::Cold(growth) = self.phase else {
            return self.turn_cold(now);
        };
        let longest = growth.base_step * MAX_STEP_FACTOR;
        self.ratios.clear();
        self.phase = Phase::Cold(Growth {
            limit_count: self.settings.first_count,
            changed_at: now,
            base_step: growth.base_step,
            step: (growth.step * 2).min(longest),
            last_median: None,
        });
    }

    fn ratio(&self, route: &RouteId, elapsed: Duration) -> Option<f64> {
        let reference_s = self
            .warm_times
            .mean_s(route, LEAST_SAMPLE_COUNT)
            .or_else(|| self.cold_times.mean_s(route, 1))?;
        Some(elapsed.as_secs_f64() / (reference_s.max(f64::MIN_POSITIVE) * self.reference_factor))
    }

    fn judge_warm(&mut self, now: Instant, route: &RouteId, elapsed: Duration, ratio: Option<f64>) {
        let Some(ratio) = ratio else {
            return self.warm_times.add(route, elapsed);
        };
        if ratio < TURNED_COLD_RATIO {
            self.warm_times.add(route, elapsed);
        }
        self.push_warm(now, ratio);
    }

    fn push_warm(&mut self, now: Instant, ratio: f64) {
        if self.ratios.len() == WARM_WINDOW_COUNT {
            self.ratios.remove(0);
        }
        self.ratios.push(ratio);
        let judged = self.ratios.len() == WARM_WINDOW_COUNT;
        if judged && median(&self.ratios) >= TURNED_COLD_RATIO {
            self.turn_cold(now);
        }
    }

    fn judge_round(&mut self, now: Instant, growth: Growth, slots_count: u32) {
        let wanted = LEAST_ROUND_COUNT.max(growth.limit_count as usize);
        let step_over = now.saturating_duration_since(growth.changed_at) >= growth.step;
        if self.ratios.len() < wanted || !step_over {
            return;
        }
        let round = median(&self.ratios);
        self.ratios.clear();
        let falling = growth
            .last_median
            .is_some_and(|last| round < last * FALLING_RATIO);
        let held_for = now.saturating_duration_since(growth.changed_at);
        if round >= FALL_BACK_RATIO && growth.limit_count > self.settings.first_count {
            return self.fall_back(now, growth);
        }
        if falling || (round > GROW_RATIO && held_for < self.settings.patience) {
            self.phase = Phase::Cold(Growth {
                last_median: Some(round),
                ..growth
            });
            return;
        }
        if round > GROW_RATIO {
            self.reference_factor *= round;
        }
        self.grow(now, growth, slots_count);
    }

    fn fall_back(&mut self, now: Instant, growth: Growth) {
        self.phase = Phase::Cold(Growth {
            limit_count: (growth.limit_count / 2).max(self.settings.first_count),
            changed_at: now,
            base_step: growth.base_step,
            step: (growth.step * 2).min(growth.base_step * MAX_STEP_FACTOR),
            last_median: None,
        });
    }

    fn grow(&mut self, now: Instant, growth: Growth, slots_count: u32) {
        if growth.limit_count >= slots_count {
            if self.reference_factor > 1.0 {
                self.warm_times.forget();
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
            last_median: None,
        });
    }
}

fn median(ratios: &[f64]) -> f64 {
    let mut sorted: SmallVec<[f64; 16]> = ratios.iter().copied().collect();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}
