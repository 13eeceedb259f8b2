//! The border behind which ways of choosing a backend server can be exchanged.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::message::{AttemptOutcome, RequestPlan, Target};
use crate::contract::View;
use crate::membership::Fleet;
use crate::settings::routing::RoutingSettings;
use crate::types::BackendServerId;

/// Chooses servers and learns from what requests met there.
pub trait ServerChoice: Send {
    /// A server for the request, none of `tried`.
    fn pick(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        tried: &[BackendServerId],
    ) -> Option<Target>;

    /// A server whose guard's breaker is open, none of `tried`: for a request to which no other
    /// server is left.
    fn pick_tripped(
        &mut self,
        _now: Instant,
        _plan: &RequestPlan,
        _tried: &[BackendServerId],
    ) -> Option<Target> {
        None
    }

    /// When a server that is left alone now may be asked again; none where there is none.
    fn reopens_at(&self, _now: Instant, _plan: &RequestPlan) -> Option<Instant> {
        None
    }

    /// Whether a server that was picked has had no free slot of late.
    fn is_busy(&self, _now: Instant, _target: &Target) -> bool {
        false
    }

    /// An attempt was sent.
    fn attempt_sent(&mut self, now: Instant, plan: &RequestPlan, target: &Target);

    /// An attempt ended.
    fn attempt_ended(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        target: &Target,
        outcome: &AttemptOutcome,
        elapsed: Duration,
    );

    /// After this time without an answer an attempt may be given up for another server; none
    /// waits to the deadline.
    fn patience(&self, _plan: &RequestPlan) -> Option<Duration> {
        None
    }

    /// Other settings are in force.
    fn update_settings(&mut self, _settings: &RoutingSettings) {}

    /// A new view is in force.
    fn update_view(&mut self, view: Arc<View>);

    /// The fleet changed.
    fn update_fleet(&mut self, fleet: Arc<Fleet>);
}
