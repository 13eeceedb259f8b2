//! How far an order has come at its driver: the phase, and the time that has passed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::event::{RolloutAction, StepRecord};
use super::message::{RolloutOrder, RolloutState, RolloutStatus, RolloutStep};

/// Phase of a roll-out at its driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The status was not read yet.
    Reading,
    /// No server of the version, or none of another, is known.
    Waiting,
    /// A few servers of the version get a share of the requests.
    Trial,
    /// The version gets all requests, and the others finish what runs.
    Full,
    /// The version is being closed.
    RollingBack,
    /// The status says how it ended.
    Ended(RolloutState),
}

impl Phase {
    /// Returns the phase that follows from a status of the order; none if the status tells nothing
    /// new.
    pub fn after(self, status: &RolloutStatus) -> Option<Phase> {
        let phase = match (status.state, status.step) {
            (RolloutState::Running, RolloutStep::Full) => Phase::Full,
            (RolloutState::Running, RolloutStep::Closed) => Phase::RollingBack,
            (RolloutState::Running, _) => Phase::Waiting,
            (state, _) => Phase::Ended(state),
        };
        let is_new = match phase {
            Phase::Ended(_) => self != phase,
            Phase::Full => matches!(self, Phase::Reading | Phase::Waiting | Phase::Trial),
            Phase::RollingBack => !matches!(self, Phase::RollingBack | Phase::Ended(_)),
            _ => self == Phase::Reading,
        };
        is_new.then_some(phase)
    }

    /// Returns the name in the log.
    fn name(self) -> &'static str {
        match self {
            Phase::Reading => "reading",
            Phase::Waiting => "waiting",
            Phase::Trial => "trial",
            Phase::Full => "full",
            Phase::RollingBack => "rolling_back",
            Phase::Ended(RolloutState::Completed) => "completed",
            Phase::Ended(RolloutState::RolledBack) => "rolled_back",
            Phase::Ended(RolloutState::Running) => "running",
        }
    }
}

/// The order with its phase and times.
#[derive(Debug)]
pub struct Course {
    /// The order.
    pub order: Arc<RolloutOrder>,
    /// The present phase.
    pub phase: Phase,
    /// Why the roll-out is in this phase.
    pub reason: String,
    /// When this daemon became the driver.
    since: Instant,
    /// When this daemon learned of the order.
    ordered_at: Instant,
    /// Time between the order and `ordered_at`, as far as the status tells.
    earlier: Duration,
    /// When the phase began.
    phase_since: Instant,
}

impl Course {
    /// Creates the course of an order that this daemon learned of at `ordered_at` and drives from
    /// now on.
    pub fn new(now: Instant, order: Arc<RolloutOrder>, ordered_at: Instant) -> Course {
        Course {
            order,
            phase: Phase::Reading,
            reason: String::new(),
            since: now,
            ordered_at,
            earlier: Duration::ZERO,
            phase_since: now,
        }
    }

    /// Enters a phase, and logs it.
    pub fn enter(
        &mut self,
        now: Instant,
        phase: Phase,
        reason: String,
        actions: &mut Vec<RolloutAction>,
    ) {
        self.phase = phase;
        self.phase_since = now;
        self.reason = reason;
        actions.push(RolloutAction::Log(StepRecord {
            order: self.order.clone(),
            step: phase.name(),
            age: self.age(now),
            reason: self.reason.clone(),
        }));
    }

    /// Returns the status that is to be written.
    pub fn status(&self, now: Instant, state: RolloutState, step: RolloutStep) -> RolloutStatus {
        RolloutStatus {
            service: self.order.service.clone(),
            target_version: self.order.target_version.clone(),
            state,
            order: self.order.order,
            step,
            age_ms: self.age(now).as_millis() as u64,
            reason: self.reason.clone(),
        }
    }

    /// Takes from a status how long ago the order was at least.
    pub fn written_at_age(&mut self, now: Instant, least: Duration) {
        let known = now.saturating_duration_since(self.ordered_at);
        self.earlier = self.earlier.max(least.saturating_sub(known));
    }

    /// Returns the time for which this daemon has been the driver.
    pub fn driven_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Returns the time since the phase began.
    pub fn phase_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.phase_since)
    }

    /// Returns the time that the order gives.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.order.duration_ms)
    }

    /// Returns the share of the duration that has passed.
    pub fn age_share(&self, now: Instant) -> f64 {
        self.age(now).as_secs_f64() / self.duration().as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the time since the order.
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.ordered_at) + self.earlier
    }
}
