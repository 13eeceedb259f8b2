//! Detection and ejection of failing backend servers.
use serde::{Deserialize, Serialize};

use super::Checker;

/// The ways of finding a failing server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DetectorName {
    /// A sequential test against the other servers of the service.
    Sequential,
    /// Fixed thresholds.
    Fixed,
}

/// Detection and ejection of failing backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthSettings {
    /// Events that may wait for the health duty.
    pub ring_count: usize,
    /// The way of finding a failing server.
    pub detector: DetectorName,
    /// Log likelihood ratio at which the sequential test raises its alarm.
    pub evidence_limit: f64,
    /// Share of that limit which is enough while a health or load endpoint speaks of trouble.
    pub suspicion_scale_share: f64,
    /// Share of failures at which fixed thresholds raise their alarm.
    pub fixed_failed_share: f64,
    /// Share of slow requests at which fixed thresholds raise their alarm.
    pub fixed_slow_share: f64,
    /// Time above which a request is slow for fixed thresholds.
    pub fixed_slow_ms: u64,
    /// Time between two rounds of questions to peers.
    pub ask_period_ms: u64,
    /// Most questions to peers in one round.
    pub ask_limit_count: usize,
    /// Most routes in a summary of one server.
    pub summary_route_limit_count: usize,
    /// First wait of an ejected server before it is probed.
    pub backoff_ms: u64,
    /// Longest wait of an ejected server before it is probed.
    pub backoff_limit_ms: u64,
    /// Good probes after which a server begins to return.
    pub probe_count: u32,
    /// Share of its usual requests that a probed server gets, in thousandths.
    pub probe_share_permille: u16,
}

impl Default for HealthSettings {
    fn default() -> Self {
        HealthSettings {
            ring_count: 4096,
            detector: DetectorName::Sequential,
            evidence_limit: 16.0,
            suspicion_scale_share: 0.75,
            fixed_failed_share: 0.2,
            fixed_slow_share: 0.5,
            fixed_slow_ms: 1_000,
            ask_period_ms: 1_000,
            ask_limit_count: 4,
            summary_route_limit_count: 8,
            backoff_ms: 5_000,
            backoff_limit_ms: 300_000,
            probe_count: 10,
            probe_share_permille: 50,
        }
    }
}

impl HealthSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        self.check_counts(checker);
        self.check_times(checker);
        let shares = [
            ("suspicion_scale_share", self.suspicion_scale_share),
            ("fixed_failed_share", self.fixed_failed_share),
            ("fixed_slow_share", self.fixed_slow_share),
        ];
        for (field, share) in shares {
            let holds = share > 0.0 && share <= 1.0;
            checker.require(holds, field, share, "must be above 0 and at most 1");
        }
        let evidence_limit_holds = (4.0..=100.0).contains(&self.evidence_limit);
        checker.require(
            evidence_limit_holds,
            "evidence_limit",
            self.evidence_limit,
            "must be from 4 to 100",
        );
    }

    fn check_counts(&self, checker: &mut Checker<'_>) {
        let counts = [
            ("ring_count", self.ring_count, 65_536),
            ("ask_limit_count", self.ask_limit_count, 64),
            (
                "summary_route_limit_count",
                self.summary_route_limit_count,
                64,
            ),
            ("probe_count", self.probe_count as usize, 1_000),
            (
                "probe_share_permille",
                usize::from(self.probe_share_permille),
                500,
            ),
        ];
        for (field, count, most) in counts {
            let problem = format!("must be from 1 to {most}");
            checker.require((1..=most).contains(&count), field, count, &problem);
        }
    }

    fn check_times(&self, checker: &mut Checker<'_>) {
        let times = [
            ("fixed_slow_ms", self.fixed_slow_ms),
            ("ask_period_ms", self.ask_period_ms),
            ("backoff_ms", self.backoff_ms),
            ("backoff_limit_ms", self.backoff_limit_ms),
        ];
        for (field, time_ms) in times {
            let holds = (10..=3_600_000).contains(&time_ms);
            checker.require(holds, field, time_ms, "must be from 10 to 3600000");
        }
        let backoff_holds = self.backoff_ms <= self.backoff_limit_ms;
        checker.require(
            backoff_holds,
            "backoff_ms",
            self.backoff_ms,
            "must be at most backoff_limit_ms",
        );
    }
}
