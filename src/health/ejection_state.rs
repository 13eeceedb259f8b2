//! States of a backend server between full service and ejection.

use std::time::{Duration, Instant};

use super::detector::Alarm;
use crate::membership::FULL_SHARE_PERMILLE;
use crate::types::RouteId;

/// Shares of a returning server, step by step, in thousandths.
pub const RETURN_STEPS_PERMILLE: [u16; 3] = [100, 300, 600];

/// Least duration of one return step.
pub const STEP_TIME: Duration = Duration::from_secs(1);

/// Requests after which a return step may end.
pub const STEP_COUNT: u32 = 10;

/// Time after which a return step ends even without requests.
pub const STEP_LIMIT: Duration = Duration::from_secs(10);

/// Bad probes after which the server is ejected again.
pub const BAD_PROBE_LIMIT_COUNT: u32 = 2;

/// An alarm, with the route that it was raised on.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteAlarm {
    /// Rule and evidence of the alarm.
    pub alarm: Alarm,
    /// Route of the requests; `None` for all routes together.
    pub route: Option<RouteId>,
}

/// State of a backend server between full service and ejection.
#[derive(Debug, Clone, PartialEq)]
pub enum EjectionState {
    /// The server is in full service.
    InService,
    /// An alarm was raised and waits for the recent figures of peers. The server is in service.
    Checking {
        /// Alarm that is checked.
        route_alarm: RouteAlarm,
        /// When peers were asked.
        asked_at: Instant,
        /// Number of peers that were asked.
        asked_count: usize,
    },
    /// The alarm was confirmed and waits for a permit. The server is in service.
    AwaitingPermit {
        /// Alarm that was confirmed.
        route_alarm: RouteAlarm,
        /// When the permit was last requested.
        asked_at: Instant,
        /// Whether a refusal was recorded.
        denied: bool,
    },
    /// The server gets no requests.
    Ejected {
        /// When the server gets its first probes.
        probe_at: Instant,
    },
    /// The server gets a few requests as probes.
    Probing {
        /// Number of good probes; those on other routes than that of the alarm do not count.
        good_count: u32,
        /// Number of bad probes, on any route.
        bad_count: u32,
    },
    /// The server gets a growing share of its requests.
    Returning {
        /// Index of the step in `RETURN_STEPS_PERMILLE`.
        step: usize,
        /// When the step began.
        step_began_at: Instant,
        /// Requests since the step began.
        seen_count: u32,
    },
}

impl EjectionState {
    /// Returns the share of its normal requests that the server gets, in thousandths.
    pub fn share_permille(&self, probe_share_permille: u16) -> u16 {
        match self {
            EjectionState::Ejected { .. } => 0,
            EjectionState::Probing { .. } => probe_share_permille,
            EjectionState::Returning { step, .. } => RETURN_STEPS_PERMILLE[*step],
            _ => FULL_SHARE_PERMILLE,
        }
    }

    /// Returns whether the server must hold an ejection permit.
    pub fn needs_permit(&self) -> bool {
        matches!(
            self,
            EjectionState::Ejected { .. }
                | EjectionState::Probing { .. }
                | EjectionState::Returning { .. }
        )
    }

    /// Returns whether the detectors evaluate the server's requests.
    pub fn is_watched(&self) -> bool {
        !matches!(
            self,
            EjectionState::Ejected { .. } | EjectionState::Probing { .. }
        )
    }
}
