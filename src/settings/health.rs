//! Settings for the detection and ejection of failing backend servers.

use serde::{Deserialize, Serialize};

use super::Checker;

/// Methods of detecting a failing server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DetectorName {
    /// A sequential test that compares a server with the other servers of its service.
    Sequential,
    /// Fixed thresholds for the share of failed and of slow requests.
    Fixed,
}

/// Settings of the detector, of the exchange of summaries with peers, and of ejection and probes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthSettings {
    /// Capacity of the health duty's ring, in events.
    pub ring_count: usize,
    /// Method of detecting a failing server.
    pub detector: DetectorName,
    /// Log likelihood ratio at which the sequential test raises its alarm; 4 to 100.
    pub evidence_limit: f64,
    /// Share of `evidence_limit` that is enough for an alarm while a health or load endpoint
    /// reports trouble; above 0 and at most 1.
    pub suspicion_scale_share: f64,
    /// Share of failed requests at which the fixed thresholds raise their alarm; above 0 and at
    /// most 1.
    pub fixed_failed_share: f64,
    /// Share of slow requests at which the fixed thresholds raise their alarm; above 0 and at most
    /// 1.
    pub fixed_slow_share: f64,
    /// Time above which the fixed thresholds count a request as slow, in milliseconds.
    pub fixed_slow_ms: u64,
    /// Time between two rounds of asking peers for their summaries, in milliseconds.
    pub ask_period_ms: u64,
    /// Most peers asked in one round.
    pub ask_limit_count: usize,
    /// Most routes in the summary of one server.
    pub summary_route_limit_count: usize,
    /// Wait of a server ejected for the first time before it is probed, in milliseconds; doubles
    /// with each further ejection up to `backoff_limit_ms`.
    pub backoff_ms: u64,
    /// Longest wait of an ejected server before it is probed, in milliseconds.
    pub backoff_limit_ms: u64,
    /// Good probes after which a server begins to return to full service.
    pub probe_count: u32,
    /// Share of its normal requests that a server gets while it is probed, in thousandths.
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

    /// Checks the counts and the share of probes.
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

    /// Checks the times and the order of the two backoffs.
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
