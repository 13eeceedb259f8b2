//! Which daemon the driver calls in which phase, how often, and with which step.

use std::time::Duration;

use super::course::Phase;
use super::members::{Member, Peer};
use super::message::{RolloutState, RolloutStep};

/// Longest time for which a trial goes on without another call of the driver.
const TRIAL_HOLD: Duration = Duration::from_secs(2);
/// Part of the time to roll back that a trial may go on without another call. The rest is for the
/// evidence and for what is on its way.
const TRIAL_HOLD_SHARE: f64 = 0.4;
/// Interval of calls to a server under trial.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of calls to servers of other versions for their evidence.
const BASELINE_INTERVAL: Duration = Duration::from_secs(1);
/// Servers of other versions that are asked for evidence.
const BASELINE_LIMIT_COUNT: usize = 16;
/// Interval of calls until a step is confirmed.
const MOVE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of calls to servers that finish what runs.
const DRAIN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of calls with nothing new.
const QUIET_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of calls that close a version.
const CLOSE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the move for which the version's servers are asked as often as in the trial.
const WATCH_TIME: Duration = Duration::from_secs(3);
/// Time for which the version's servers open before the others close.
const OPEN_LEAD: Duration = Duration::from_millis(300);

/// Bounds of a trial, from the settings.
#[derive(Debug, Clone, Copy)]
pub struct TrialBounds {
    /// Share of a service's requests that a version under trial may get.
    pub share: f64,
    /// Longest time from the evidence that a version is bad until it gets no requests.
    pub rollback: Duration,
}

impl TrialBounds {
    /// Returns for how long a trial goes on without another call of the driver.
    pub fn hold(&self) -> Duration {
        TRIAL_HOLD.min(self.rollback.mul_f64(TRIAL_HOLD_SHARE))
    }
}

/// A call to a daemon, if one is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPlan {
    /// Step of the daemon's server.
    pub step: RolloutStep,
    /// For how long it holds; zero closes a version for good.
    pub holds_for: Duration,
    /// Shortest time since the last call.
    pub interval: Duration,
}

/// Returns the call that a daemon gets; none if it needs none. `baseline_count` is the number of
/// servers of other versions up to this one.
pub fn call_plan(
    phase: Phase,
    phase_age: Duration,
    member: &Member,
    peer: &Peer,
    is_canary: bool,
    baseline_count: usize,
) -> Option<CallPlan> {
    let plan = |step, interval| {
        Some(CallPlan {
            step,
            holds_for: TRIAL_HOLD,
            interval,
        })
    };
    // A daemon whose server shows another step than it should gets a call now and then.
    let correct = |step| match member.step == step {
        true => None,
        false => plan(step, QUIET_INTERVAL),
    };
    let close = |plan: Option<CallPlan>| {
        plan.map(|plan| CallPlan {
            holds_for: Duration::ZERO,
            ..plan
        })
    };
    match (phase, member.is_target) {
        (Phase::Reading | Phase::Waiting | Phase::Ended(RolloutState::Running), _) => None,
        (Phase::Trial, true) if is_canary => plan(RolloutStep::Trial, TRIAL_INTERVAL),
        (Phase::Trial, true) => correct(RolloutStep::Closed),
        (Phase::Trial, false) if baseline_count <= BASELINE_LIMIT_COUNT => {
            plan(RolloutStep::None, BASELINE_INTERVAL)
        }
        (Phase::Trial, false) => correct(RolloutStep::None),
        (Phase::Full, true) => match peer.is_at(RolloutStep::Full) && phase_age > WATCH_TIME {
            true => plan(RolloutStep::Full, QUIET_INTERVAL),
            false => plan(RolloutStep::Full, MOVE_INTERVAL),
        },
        (Phase::Full, false) if phase_age < OPEN_LEAD => None,
        (Phase::Full, false) => match peer.is_at(RolloutStep::Closed) {
            true if peer.open_count == 0 => plan(RolloutStep::Closed, QUIET_INTERVAL),
            true => plan(RolloutStep::Closed, DRAIN_INTERVAL),
            false => plan(RolloutStep::Closed, MOVE_INTERVAL),
        },
        (Phase::RollingBack, true) if peer.is_closed_for_good() => None,
        (Phase::RollingBack, true) => close(plan(RolloutStep::Closed, CLOSE_INTERVAL)),
        (Phase::RollingBack, false) => match peer.is_at(RolloutStep::None) {
            true => correct(RolloutStep::None),
            false => plan(RolloutStep::None, MOVE_INTERVAL),
        },
        (Phase::Ended(RolloutState::Completed), true) => correct(RolloutStep::Full),
        (Phase::Ended(RolloutState::Completed), false) => correct(RolloutStep::Closed),
        (Phase::Ended(RolloutState::RolledBack), true) if peer.is_closed_for_good() => {
            close(correct(RolloutStep::Closed))
        }
        (Phase::Ended(RolloutState::RolledBack), true) => {
            close(plan(RolloutStep::Closed, QUIET_INTERVAL))
        }
        (Phase::Ended(RolloutState::RolledBack), false) => correct(RolloutStep::None),
    }
}
