//! Where a backend server stands between full service and ejection.

use std::time::{Duration, Instant};

use super::detector::Alarm;
use crate::membership::FULL_SHARE_PERMILLE;
use crate::types::RouteId;

/// Shares on the way back to full service, in thousandths.
pub const RETURN_STEPS_PERMILLE: [u16; 3] = [100, 300, 600];

/// Shortest stay at one step.
pub const STEP_TIME: Duration = Duration::from_secs(1);

/// Requests after which a step may end.
pub const STEP_COUNT: u32 = 10;

/// A step ends after this time also without requests.
pub const STEP_LIMIT: Duration = Duration::from_secs(10);

/// Bad probes after which the server waits again.
pub const BAD_PROBE_LIMIT_COUNT: u32 = 2;

/// An alarm and where it was raised.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteAlarm {
    /// The alarm.
    pub alarm: Alarm,
    /// The route; none for all routes together.
    pub route: Option<RouteId>,
}

/// Where a backend server stands.
#[derive(Debug, Clone, PartialEq)]
pub enum EjectionState {
    /// In full service.
    InService,
    /// An alarm waits for peers' fresh figures.
    Checking {
        /// The alarm.
        route_alarm: RouteAlarm,
        /// When peers were asked.
        asked_at: Instant,
        /// How many servers may answer.
        asked_count: usize,
    },
    /// The alarm was confirmed and waits for a permit.
    AwaitingPermit {
        /// The alarm.
        route_alarm: RouteAlarm,
        /// When the permit was asked for.
        asked_at: Instant,
        /// Whether a refusal was recorded.
        denied: bool,
    },
    /// Gets no requests.
    Ejected {
        /// When probes begin.
        probe_at: Instant,
    },
    /// Gets a few requests.
    Probing {
        /// Good probes.
        good_count: u32,
        /// Bad probes.
        bad_count: u32,
    },
    /// Gets a growing share.
    Returning {
        /// Index into the steps.
        step: usize,
        /// When the step began.
        from: Instant,
        /// Requests since then.
        seen_count: u32,
    },
}

impl EjectionState {
    /// Share of its usual requests that the server gets, in thousandths.
    pub fn share_permille(&self, probe_share_permille: u16) -> u16 {
        match self {
            EjectionState::Ejected { .. } => 0,
            EjectionState::Probing { .. } => probe_share_permille,
            EjectionState::Returning { step, .. } => RETURN_STEPS_PERMILLE[*step],
            _ => FULL_SHARE_PERMILLE,
        }
    }

    /// Whether the server must hold an ejection permit.
    pub fn needs_permit(&self) -> bool {
        matches!(
            self,
            EjectionState::Ejected { .. }
                | EjectionState::Probing { .. }
                | EjectionState::Returning { .. }
        )
    }

    /// Whether the detectors weigh the server's requests.
    pub fn is_watched(&self) -> bool {
        !matches!(
            self,
            EjectionState::Ejected { .. } | EjectionState::Probing { .. }
        )
    }
}
