//! The interface through which ways of choosing a backend server are exchanged.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::exposure::TrialCounts;
use super::message::{AttemptOutcome, RequestPlan, Target};
use crate::contract::View;
use crate::membership::Fleet;
use crate::settings::routing::RoutingSettings;
use crate::types::BackendServerId;

/// Chooses a server for each attempt, and takes into account how earlier attempts ended. The
/// routing thread calls every method, so an implementation must not block.
pub trait ServerChoice: Send {
    /// Returns a server for the request that is not in `tried`, or none if there is none.
    fn pick(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        tried: &[BackendServerId],
    ) -> Option<Target>;

    /// Returns a server whose guard's breaker is open and that is not in `tried`, for a request
    /// that no other server is left for. By default there is none.
    fn pick_tripped(
        &mut self,
        _now: Instant,
        _plan: &RequestPlan,
        _tried: &[BackendServerId],
    ) -> Option<Target> {
        None
    }

    /// Returns when the first server that is closed now may be asked again; none if the service has
    /// no server.
    fn reopens_at(&self, _now: Instant, _plan: &RequestPlan) -> Option<Instant> {
        None
    }

    /// Returns whether a server that was picked had no free slot when it was last asked. By default
    /// no server is known to be busy.
    fn is_busy(&self, _now: Instant, _target: &Target) -> bool {
        false
    }

    /// Records that an attempt was sent to a server.
    fn attempt_sent(&mut self, now: Instant, plan: &RequestPlan, target: &Target);

    /// Records how an attempt ended, and how long it took.
    fn attempt_ended(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        target: &Target,
        outcome: &AttemptOutcome,
        elapsed: Duration,
    );

    /// Records that an attempt was dropped because its caller left, which says nothing about the
    /// server. By default nothing is kept of open attempts.
    fn attempt_abandoned(&mut self, _plan: &RequestPlan, _target: &Target) {}

    /// Returns the attempts sent since the last call to services that have servers under trial. By
    /// default no server is under trial.
    fn take_trial_counts(&mut self) -> TrialCounts {
        TrialCounts::default()
    }

    /// Returns the typical time of an attempt at the route; none while it is not known.
    fn typical_time(&self, _plan: &RequestPlan) -> Option<Duration> {
        None
    }

    /// Returns the time without an answer after which an attempt may be given up for another
    /// server; none if it waits until the deadline.
    fn patience(&self, _plan: &RequestPlan) -> Option<Duration> {
        None
    }

    /// Returns whether the service has more than one eligible server. By default it has none.
    fn has_other_server(&self, _plan: &RequestPlan) -> bool {
        false
    }

    /// Replaces the settings that the choice depends on. By default it depends on none.
    fn update_settings(&mut self, _settings: &RoutingSettings) {}

    /// Replaces the view, which contains the floors and the failure domains out of service.
    fn update_view(&mut self, view: Arc<View>);

    /// Replaces the fleet, which contains the servers.
    fn update_fleet(&mut self, fleet: Arc<Fleet>);
}
