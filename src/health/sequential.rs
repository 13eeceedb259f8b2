//! Cumulative sums of log likelihood ratios: is this server worse than its peers?
//!
//! Each sum tests "a share `mix` of the requests meets trouble of this kind" against "the server
//! meets what its peers meet". It never falls below 0, so old good requests give no credit. What
//! one short interval adds is capped: requests that overlap in a pause are one event, not many.

use std::time::{Duration, Instant};

use super::detector::{Alarm, Detector};
use super::histogram::bucket_of;
use super::reference::Expected;
use super::window::Observation;

/// Shares of troubled requests that the sums test for.
const MIXES: [f64; 3] = [0.5, 0.15, 0.05];

/// Share of requests that must speak for a shift when it is checked.
const SHIFT_MIX: f64 = 0.5;

/// Requests within this time of each other are taken as one event.
const INTERVAL: Duration = Duration::from_millis(200);

/// Intervals that evidence of times must be spread over at least: a pause makes many requests
/// slow at once.
const TIME_SPREAD_COUNT: f64 = 4.0;

/// Intervals that evidence of failures must be spread over at least.
const FAILURE_SPREAD_COUNT: f64 = 3.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Failed,
    Slow,
    Stuck,
    /// All times are later, however little each of them.
    Shifted,
}

/// Kinds of trouble that a share of requests meets.
const SHARE_KINDS: [Kind; 3] = [Kind::Failed, Kind::Slow, Kind::Stuck];

impl Kind {
    fn as_str(self) -> &'static str {
        match self {
            Kind::Failed => "failed",
            Kind::Slow => "slow",
            Kind::Stuck => "stuck",
            Kind::Shifted => "shifted",
        }
    }

    fn met(self, observation: &Observation, expected: &Expected) -> bool {
        match self {
            Kind::Failed => observation.failed,
            Kind::Slow => observation.slow,
            Kind::Stuck => observation.stuck,
            Kind::Shifted => expected
                .shift
                .indicates_shift(bucket_of(observation.elapsed)),
        }
    }

    fn expected_share(self, expected: &Expected) -> f64 {
        match self {
            Kind::Failed => expected.failed_share,
            Kind::Slow => expected.slow_share,
            Kind::Stuck => expected.stuck_share,
            Kind::Shifted => expected.shift.share,
        }
    }

    fn spread_count(self) -> f64 {
        match self {
            Kind::Failed => FAILURE_SPREAD_COUNT,
            _ => TIME_SPREAD_COUNT,
        }
    }

    /// Log likelihood ratio of one request.
    fn ratio(self, mix: f64, observation: &Observation, expected: &Expected) -> f64 {
        if self == Kind::Shifted {
            return expected.shift.ratios[bucket_of(observation.elapsed)];
        }
        let share = self.expected_share(expected).min(MAX_SHARE);
        ratio(mix, share, self.met(observation, expected))
    }
}

/// Log likelihood ratio of one request that meets trouble or not.
fn ratio(mix: f64, expected_share: f64, met: bool) -> f64 {
    if met {
        (1.0 - mix + mix / expected_share).ln()
    } else {
        (1.0 - mix).ln()
    }
}

#[derive(Debug, Clone)]
struct Sum {
    kind: Kind,
    mix: f64,
    /// Never below 0.
    value: f64,
    /// What the sum was when the interval began.
    interval_base: f64,
    interval_at: Option<Instant>,
    /// Since the sum was last 0.
    seen_count: u32,
    met_count: u32,
}

impl Sum {
    fn new(kind: Kind, mix: f64) -> Sum {
        Sum {
            kind,
            mix,
            value: 0.0,
            interval_base: 0.0,
            interval_at: None,
            seen_count: 0,
            met_count: 0,
        }
    }

    fn observe(&mut self, observation: &Observation, expected: &Expected, limit: f64) {
        let met = self.kind.met(observation, expected);
        if observation.again && (!met || self.kind == Kind::Shifted) {
            return;
        }
        let is_over = |from: Instant| observation.at.saturating_duration_since(from) >= INTERVAL;
        if self.interval_at.is_none_or(is_over) {
            self.interval_at = Some(observation.at);
            self.interval_base = self.value;
        }
        let ceiling = self.interval_base + limit / self.kind.spread_count();
        let value = self.value + self.kind.ratio(self.mix, observation, expected);
        self.value = value.min(ceiling).min(limit * OVERSHOOT);
        self.seen_count += 1;
        self.met_count += u32::from(met);
        if self.value <= 0.0 {
            *self = Sum::new(self.kind, self.mix);
        }
    }

    /// Whether the counts since the sum was 0 still speak against the server.
    fn confirm(&self, fresh: &Expected, limit: f64) -> bool {
        let share = self.kind.expected_share(fresh).min(MAX_SHARE);
        let met = f64::from(self.met_count);
        let spared = f64::from(self.seen_count) - met;
        let sum = met * ratio(self.mix, share, true) + spared * ratio(self.mix, share, false);
        sum >= limit * CONFIRM_SHARE
    }
}

/// A share that the peers all but reach says nothing against one of them.
const MAX_SHARE: f64 = 0.99;

/// A sum rises no further than this multiple of its limit, so that recovery shows.
const OVERSHOOT: f64 = 1.25;

/// Part of the limit that must be left against the peers' fresh figures.
const CONFIRM_SHARE: f64 = 0.75;

/// The sequential test over all kinds of trouble.
#[derive(Debug)]
pub struct SequentialTest {
    limit: f64,
    sums: Vec<Sum>,
}

impl SequentialTest {
    /// A test that raises its alarm when a sum reaches `limit`.
    pub fn new(limit: f64) -> SequentialTest {
        let mut sums = Vec::new();
        for kind in SHARE_KINDS {
            for mix in MIXES {
                sums.push(Sum::new(kind, mix));
            }
        }
        sums.push(Sum::new(Kind::Shifted, SHIFT_MIX));
        SequentialTest { limit, sums }
    }

    fn highest(&self) -> Option<&Sum> {
        let by_value = |a: &&Sum, b: &&Sum| a.value.total_cmp(&b.value);
        self.sums.iter().max_by(by_value)
    }
}

impl Detector for SequentialTest {
    fn observe(&mut self, observation: &Observation, expected: &Expected) {
        for sum in &mut self.sums {
            sum.observe(observation, expected, self.limit);
        }
    }

    fn alarm(&self, _now: Instant, scale: f64) -> Option<Alarm> {
        let highest = self.highest()?;
        if highest.value < self.limit * scale {
            return None;
        }
        Some(Alarm {
            rule: "health.sequential_test",
            evidence: vec![
                ("kind", highest.kind.as_str().to_owned()),
                ("sum", format!("{:.1}", highest.value)),
                ("limit", format!("{:.1}", self.limit * scale)),
                ("met_count", highest.met_count.to_string()),
                ("seen_count", highest.seen_count.to_string()),
            ],
        })
    }

    fn confirm(&self, fresh: &Expected) -> bool {
        self.highest()
            .is_some_and(|sum| sum.confirm(fresh, self.limit))
    }

    fn forget_times(&mut self) {
        for sum in &mut self.sums {
            if sum.kind != Kind::Failed {
                *sum = Sum::new(sum.kind, sum.mix);
            }
        }
    }

    fn reset(&mut self) {
        for sum in &mut self.sums {
            *sum = Sum::new(sum.kind, sum.mix);
        }
    }
}
