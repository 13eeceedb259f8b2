//! Chooses the least loaded of a few servers drawn at random.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::candidates::{Candidate, Candidates};
use super::choice::ServerChoice;
use super::exposure::{Exposure, TrialCounts};
use super::feedback::{path_end, server_feedback, ServerFeedback};
use super::message::{AttemptOutcome, RequestPlan, Target};
use super::paths::Paths;
use super::pick_criteria::PickCriteria;
use super::speed::{RouteSpeeds, ServerSpeed};
use crate::contract::View;
use crate::membership::{Fleet, FULL_SHARE_PERMILLE};
use crate::settings::routing::RoutingSettings;
use crate::types::{BackendServerId, DaemonId, DomainId, RouteId};

/// An attempt at a repeatable request is given up after this many typical times of its route.
const PATIENCE_FACTOR: u32 = 10;
/// No attempt is given up earlier than this.
const SHORTEST_PATIENCE: Duration = Duration::from_secs(1);
/// A server counts as busy for this long after a refusal, unless its guard says when to retry.
const BUSY_HOLD: Duration = Duration::from_millis(20);

/// Longest time for which one refusal makes a server count as busy.
const BUSY_HOLD_LIMIT: Duration = Duration::from_millis(200);

/// A server whose guard takes nothing for it is closed for this long; by then the fleet knows
/// whether it leaves.
const CLOSED_HOLD: Duration = Duration::from_secs(1);

/// Share of its drawn requests, for each slot, that an idle cold server takes whatever the load of
/// the others: without requests it never gets warm.
const COLD_SLOT_SHARE: f64 = 0.05;

/// Most servers with an estimate; beyond that, estimates of servers without open requests are
/// dropped.
const ESTIMATE_LIMIT_COUNT: usize = 10_000;

/// What this entry has learned about the state of one server.
#[derive(Debug, Clone, Default)]
pub(super) struct ServerEstimate {
    /// Requests that this entry has open at the server.
    pub(super) outstanding_count: u32,
    /// Response times relative to the typical time of each route.
    pub(super) speed: ServerSpeed,
    /// Until when the server counts as busy after a refusal.
    pub(super) busy_until: Option<Instant>,
    /// When the guard is expected to take requests for the server again.
    pub(super) closed_until: Option<Instant>,
    /// When the guard's breaker is expected to let a probe through.
    pub(super) tripped_until: Option<Instant>,
    /// When the guard expected the next free slot, as it said when it last refused a request.
    pub(super) slot_at: Option<Instant>,
}

/// Draws a few servers at random, half of them from the entry's own failure domain, and chooses the
/// least loaded.
pub struct LeastLoaded {
    /// Settings of the choice, the paths and the patience.
    pub(super) settings: RoutingSettings,
    /// Draws servers, shares and the jitter of paths.
    pub(super) random: ChaCha8Rng,
    /// Failure domain of this entry.
    pub(super) own_domain: DomainId,
    /// The eligible servers of every service.
    pub(super) candidates: Candidates,
    /// Paths to guards that are in trouble.
    pub(super) paths: Paths,
    /// What is known of the state of each server.
    pub(super) estimates: HashMap<BackendServerId, ServerEstimate>,
    /// Typical response time of each route.
    pub(super) route_speeds: RouteSpeeds,
    /// What was sent to servers of versions under trial.
    pub(super) exposure: Exposure,
}

impl LeastLoaded {
    /// Creates the choice of an entry in `own_domain` that knows no servers yet.
    pub fn new(settings: RoutingSettings, own_domain: DomainId, random: ChaCha8Rng) -> LeastLoaded {
        let paths = Paths::new(
            Duration::from_millis(settings.path_backoff_ms),
            Duration::from_millis(settings.path_backoff_limit_ms),
        );
        LeastLoaded {
            settings,
            random,
            candidates: Candidates::new(own_domain.clone()),
            own_domain,
            paths,
            estimates: HashMap::new(),
            route_speeds: RouteSpeeds::default(),
            exposure: Exposure::default(),
        }
    }

    /// Names the daemon of this entry.
    pub fn with_daemon(mut self, daemon: DaemonId) -> LeastLoaded {
        self.exposure.set_daemon(daemon);
        self
    }

    /// Draws a few servers: every second one from the own failure domain, the others from all.
    fn draw(&mut self, count: usize, near_count: usize) -> SmallVec<[usize; 8]> {
        let mut drawn = SmallVec::new();
        for turn in 0..self.settings.draw_count {
            let near = turn % 2 == 0 && near_count > 0;
            let among = if near { near_count } else { count };
            let index = self.random.random_range(0..among);
            if !drawn.contains(&index) {
                drawn.push(index);
            }
        }
        drawn
    }

    /// Returns whether a server with less than its full share takes this request.
    fn accepts_share(&mut self, share_permille: u16) -> bool {
        share_permille >= FULL_SHARE_PERMILLE
            || self.random.random_range(0..FULL_SHARE_PERMILLE) < share_permille
    }

    /// Returns whether an idle cold server takes this request in order to get warm.
    fn takes_warming_request(&mut self, candidate: &Candidate) -> bool {
        let estimate = self.estimates.get(&candidate.target.server);
        let idle = estimate.is_none_or(|estimate| estimate.outstanding_count == 0);
        let share = COLD_SLOT_SHARE * f64::from(candidate.slots_count);
        candidate.cold && idle && self.random.random_bool(share.min(1.0))
    }

    /// Picks the least loaded eligible server of a random draw, or of all servers if the draw has
    /// none.
    fn pick_from(
        &mut self,
        criteria: &PickCriteria<'_>,
        all: &[Candidate],
        near_count: usize,
    ) -> Option<Target> {
        if all.is_empty() {
            return None;
        }
        let drawn = self.draw(all.len(), near_count);
        let mut best: Option<(f64, &Candidate)> = None;
        for index in drawn {
            let candidate = &all[index];
            if !self.accepts_share(candidate.share_permille)
                || !self.is_open(criteria, candidate)
                || self.is_busy(criteria.now, &candidate.target)
            {
                continue;
            }
            let load = match self.takes_warming_request(candidate) {
                true => 0.0,
                false => self.load(criteria, candidate),
            };
            keep_better(&mut best, load, candidate);
        }
        if best.is_none() {
            best = self.find_least_loaded(criteria, all);
        }
        best.map(|(_, candidate)| candidate.target.clone())
    }

    /// Finds the least loaded eligible server of all.
    fn find_least_loaded<'a>(
        &self,
        criteria: &PickCriteria<'_>,
        all: &'a [Candidate],
    ) -> Option<(f64, &'a Candidate)> {
        let mut best = None;
        let mut best_busy = None;
        for candidate in all {
            if !self.is_open(criteria, candidate) {
                continue;
            }
            let scaled =
                f64::from(FULL_SHARE_PERMILLE) / f64::from(candidate.share_permille.max(1));
            let load = self.load(criteria, candidate) * scaled;
            if self.is_busy(criteria.now, &candidate.target) {
                keep_better(&mut best_busy, load, candidate);
                continue;
            }
            keep_better(&mut best, load, candidate);
        }
        // A retry does not go to servers that have just refused; a first attempt may.
        let first = criteria.tried.is_empty() || self.settings.free_slot_tries_count > 0;
        best.or(best_busy.filter(|_| first))
    }

    /// Updates the estimate of a server by what one attempt said about it.
    fn update_estimate(
        &mut self,
        now: Instant,
        route: &RouteId,
        server: &BackendServerId,
        feedback: &ServerFeedback,
    ) {
        let half_life = self.speed_half_life();
        let estimate = self.estimates.entry(server.clone()).or_default();
        match feedback {
            ServerFeedback::Time(elapsed) => {
                let typical = self.route_speeds.record(route, *elapsed);
                let speed = &mut estimate.speed;
                speed.record_answer(now, *elapsed, typical, half_life);
                estimate.busy_until = None;
                estimate.closed_until = None;
                estimate.tripped_until = None;
                estimate.slot_at = None;
            }
            ServerFeedback::Failure => {
                estimate.speed.record_failure(now, half_life);
                // If this was a failed probe, the guard will name another time for the next.
                estimate.tripped_until = estimate.tripped_until.map(|_| now + CLOSED_HOLD);
            }
            ServerFeedback::Busy(retry_after) => {
                let time = retry_after.unwrap_or(BUSY_HOLD).min(BUSY_HOLD_LIMIT);
                estimate.busy_until = Some(now + time);
                estimate.slot_at = retry_after.map(|wait| now + wait);
            }
            ServerFeedback::Closed(retry_after) => {
                let time = retry_after.map_or(CLOSED_HOLD, |after| after.min(CLOSED_HOLD));
                estimate.closed_until = Some(now + time);
            }
            ServerFeedback::Tripped(retry_after) => {
                estimate.speed.record_trip(now, half_life);
                estimate.tripped_until = Some(now + retry_after.unwrap_or(CLOSED_HOLD));
            }
            ServerFeedback::Nothing => {}
        }
    }
}

/// Replaces `best` if the candidate is less loaded.
fn keep_better<'a>(best: &mut Option<(f64, &'a Candidate)>, load: f64, candidate: &'a Candidate) {
    if best.as_ref().is_none_or(|(lowest, _)| load < *lowest) {
        *best = Some((load, candidate));
    }
}

impl ServerChoice for LeastLoaded {
    /// Returns a server under trial if it may get the request, a server whose probe is due, or else
    /// the least loaded of a few drawn at random.
    fn pick(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        tried: &[BackendServerId],
    ) -> Option<Target> {
        let service = self.candidates.of(&plan.service)?;
        let criteria = self.pick_criteria(now, plan, tried, &service);
        let under_trial = self.pick_trial(&criteria, &service);
        let probed = under_trial.or_else(|| self.due_probe(&criteria, &service.all));
        probed.or_else(|| self.pick_from(&criteria, &service.all, service.near_count))
    }

    /// Returns the least loaded of the servers whose guard's breaker is open.
    fn pick_tripped(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        tried: &[BackendServerId],
    ) -> Option<Target> {
        let service = self.candidates.of(&plan.service)?;
        let criteria = PickCriteria {
            tripped: true,
            ..self.pick_criteria(now, plan, tried, &service)
        };
        let (_, candidate) = self.find_least_loaded(&criteria, &service.all)?;
        Some(candidate.target.clone())
    }

    /// Returns when the first of the service's servers is expected to open.
    fn reopens_at(&self, now: Instant, plan: &RequestPlan) -> Option<Instant> {
        let service = self.candidates.of(&plan.service)?;
        let closed_until = |candidate: &Candidate| {
            let estimate = self.estimates.get(&candidate.target.server);
            let until = estimate.and_then(|known| known.tripped_until.max(known.closed_until));
            until.unwrap_or(now).max(now)
        };
        service.all.iter().map(closed_until).min()
    }

    /// Returns whether the server has refused a request too recently to be free.
    fn is_busy(&self, now: Instant, target: &Target) -> bool {
        let estimate = self.estimates.get(&target.server);
        let until = estimate.and_then(|estimate| estimate.busy_until);
        until.is_some_and(|until| now < until)
    }

    /// Counts the attempt as open at its server and on its path.
    fn attempt_sent(&mut self, _now: Instant, plan: &RequestPlan, target: &Target) {
        self.count_trial(plan, target);
        let estimate = self.estimates.entry(target.server.clone()).or_default();
        estimate.outstanding_count += 1;
        self.paths.sent(&target.daemon);
    }

    /// Updates the estimate of the server and the state of the path by the attempt's end.
    fn attempt_ended(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        target: &Target,
        outcome: &AttemptOutcome,
        elapsed: Duration,
    ) {
        self.exposure.ended(now, plan, outcome, elapsed);
        if let Some(estimate) = self.estimates.get_mut(&target.server) {
            estimate.outstanding_count = estimate.outstanding_count.saturating_sub(1);
        }
        self.update_estimate(
            now,
            &plan.route,
            &target.server,
            &server_feedback(outcome, elapsed),
        );
        if let Some(end) = path_end(outcome) {
            self.paths.ended(now, &target.daemon, end, &mut self.random);
        }
    }

    /// Counts the attempt as no longer open, and lets its path be probed by another one.
    fn attempt_abandoned(&mut self, plan: &RequestPlan, target: &Target) {
        self.exposure.abandoned(plan);
        if let Some(estimate) = self.estimates.get_mut(&target.server) {
            estimate.outstanding_count = estimate.outstanding_count.saturating_sub(1);
        }
        self.paths.abandoned(&target.daemon);
    }

    /// Returns the typical time of the route.
    fn typical_time(&self, plan: &RequestPlan) -> Option<Duration> {
        self.route_speeds.known_typical(&plan.route)
    }

    /// Returns `PATIENCE_FACTOR` typical times of the route, at least `SHORTEST_PATIENCE`; none
    /// while the typical time is not known, or if the service has fewer than two eligible servers.
    fn patience(&self, plan: &RequestPlan) -> Option<Duration> {
        if !self.has_other_server(plan) {
            return None;
        }
        let typical = self.route_speeds.known_typical(&plan.route)?;
        Some((typical * PATIENCE_FACTOR).max(SHORTEST_PATIENCE))
    }

    /// Returns whether two servers or more are eligible.
    fn has_other_server(&self, plan: &RequestPlan) -> bool {
        let candidates = self.candidates.of(&plan.service);
        candidates.is_some_and(|candidates| candidates.all.len() > 1)
    }

    /// Replaces the settings, except for those of the paths.
    fn update_settings(&mut self, settings: &RoutingSettings) {
        self.settings = settings.clone();
    }

    /// Returns the attempts at services with servers under trial since the last call.
    fn take_trial_counts(&mut self) -> TrialCounts {
        self.exposure.take_counts()
    }

    /// Rebuilds the candidates by the floors, failure domains and roll-outs of the new view.
    fn update_view(&mut self, view: Arc<View>) {
        self.exposure
            .update_view(&view, self.candidates.fleet(), &self.settings);
        self.candidates.update_view(view);
    }

    /// Updates the candidates, and forgets paths to daemons that left or restarted.
    fn update_fleet(&mut self, fleet: Arc<Fleet>) {
        for daemon in self.candidates.update_fleet(fleet) {
            self.paths.forget(&daemon);
        }
        if self.estimates.len() > ESTIMATE_LIMIT_COUNT {
            self.estimates
                .retain(|_, estimate| estimate.outstanding_count > 0);
        }
    }
}
