//! The least loaded of a few servers drawn at random.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::candidates::{Candidate, Candidates};
use super::choice::ServerChoice;
use super::feedback::{path_end, server_feedback, ServerFeedback};
use super::message::{AttemptOutcome, RequestPlan, Target};
use super::paths::Paths;
use super::pick_criteria::PickCriteria;
use super::speed::{RouteSpeeds, ServerSpeed};
use crate::contract::View;
use crate::membership::{Fleet, FULL_SHARE_PERMILLE};
use crate::settings::routing::RoutingSettings;
use crate::types::{BackendServerId, DomainId, RouteId};

/// A server is held for busy for this long after it refused, unless its guard says when to retry.
/// An attempt that takes this many times the typical is given up, if it may run twice.
const PATIENCE_TIMES: u32 = 10;
const SHORTEST_PATIENCE: Duration = Duration::from_secs(1);
const BUSY_TIME: Duration = Duration::from_millis(20);

/// Longest time for which one refusal holds a server for busy.
const BUSY_LIMIT: Duration = Duration::from_millis(200);

/// A server whose guard takes nothing for it is left alone for this long; by then the fleet knows
/// whether it leaves.
const CLOSED_TIME: Duration = Duration::from_secs(1);

/// Part of its drawn requests that an idle cold server takes for each slot, whatever the others'
/// load: without requests it never warms.
const COLD_SLOT_SHARE: f64 = 0.05;

/// Servers that are remembered; beyond that the idle ones are forgotten.
const ESTIMATE_LIMIT_COUNT: usize = 10_000;

/// What this entry knows of one server.
#[derive(Debug, Clone, Default)]
pub(super) struct ServerEstimate {
    /// Requests of this entry there.
    pub(super) outstanding_count: u32,
    pub(super) speed: ServerSpeed,
    pub(super) busy_until: Option<Instant>,
    /// Until when its guard takes nothing for it, as far as is known.
    pub(super) closed_until: Option<Instant>,
    /// Until when its guard's breaker is open, as far as is known.
    pub(super) tripped_until: Option<Instant>,
    /// When its guard expected the next slot to be free for a request that it refused.
    pub(super) slot_at: Option<Instant>,
}

/// The least loaded of a few servers drawn at random, near ones first.
pub struct LeastLoaded {
    pub(super) settings: RoutingSettings,
    random: ChaCha8Rng,
    pub(super) own_domain: DomainId,
    pub(super) candidates: Candidates,
    pub(super) paths: Paths,
    pub(super) estimates: HashMap<BackendServerId, ServerEstimate>,
    pub(super) routes: RouteSpeeds,
}

impl LeastLoaded {
    /// A choice of an entry in `own_domain` that knows no server yet.
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
            routes: RouteSpeeds::default(),
        }
    }

    /// Draws a few servers: half of them near, the rest from all.
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

    /// Whether a server with less than its full share takes this request.
    fn accepts_share(&mut self, share_permille: u16) -> bool {
        share_permille >= FULL_SHARE_PERMILLE
            || self.random.random_range(0..FULL_SHARE_PERMILLE) < share_permille
    }

    /// Whether an idle cold server takes this request to get warm.
    fn takes_warming_request(&mut self, candidate: &Candidate) -> bool {
        let estimate = self.estimates.get(&candidate.target.server);
        let idle = estimate.is_none_or(|estimate| estimate.outstanding_count == 0);
        let share = COLD_SLOT_SHARE * f64::from(candidate.slots_count);
        candidate.cold && idle && self.random.random_bool(share.min(1.0))
    }

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
            best = self.scan(criteria, all);
        }
        best.map(|(_, candidate)| candidate.target.clone())
    }

    /// Looks at every server, when none of those drawn will do.
    fn scan<'a>(
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
        // A retry is not for servers that have just refused; a first attempt may ask them.
        let first = criteria.tried.is_empty() || self.settings.free_slot_tries_count > 0;
        best.or(best_busy.filter(|_| first))
    }

    fn update_estimate(
        &mut self,
        now: Instant,
        route: &RouteId,
        server: &BackendServerId,
        feedback: &ServerFeedback,
    ) {
        let estimate = self.estimates.entry(server.clone()).or_default();
        match feedback {
            ServerFeedback::Time(elapsed) => {
                let typical = self.routes.take(route, *elapsed);
                estimate.speed.take(now, *elapsed, typical);
                estimate.busy_until = None;
                estimate.closed_until = None;
                estimate.tripped_until = None;
                estimate.slot_at = None;
            }
            ServerFeedback::Failure => {
                estimate.speed.failed(now);
                // A probe that failed: its guard names another time.
                estimate.tripped_until = estimate.tripped_until.map(|_| now + CLOSED_TIME);
            }
            ServerFeedback::Busy(retry_after) => {
                let time = retry_after.unwrap_or(BUSY_TIME).min(BUSY_LIMIT);
                estimate.busy_until = Some(now + time);
                estimate.slot_at = retry_after.map(|wait| now + wait);
            }
            ServerFeedback::Closed(retry_after) => {
                let time = retry_after.map_or(CLOSED_TIME, |after| after.min(CLOSED_TIME));
                estimate.closed_until = Some(now + time);
            }
            ServerFeedback::Tripped(retry_after) => {
                estimate.speed.tripped(now);
                estimate.tripped_until = Some(now + retry_after.unwrap_or(CLOSED_TIME));
            }
            ServerFeedback::Nothing => {}
        }
    }
}

fn keep_better<'a>(best: &mut Option<(f64, &'a Candidate)>, load: f64, candidate: &'a Candidate) {
    if best.as_ref().is_none_or(|(lowest, _)| load < *lowest) {
        *best = Some((load, candidate));
    }
}

impl ServerChoice for LeastLoaded {
    fn pick(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        tried: &[BackendServerId],
    ) -> Option<Target> {
        let service = self.candidates.of(&plan.service)?;
        let criteria = self.pick_criteria(now, plan, tried, &service);
        let probed = self.due_probe(&criteria, &service.all);
        probed.or_else(|| self.pick_from(&criteria, &service.all, service.near_count))
    }

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
        let (_, candidate) = self.scan(&criteria, &service.all)?;
        Some(candidate.target.clone())
    }

    fn reopens_at(&self, now: Instant, plan: &RequestPlan) -> Option<Instant> {
        let service = self.candidates.of(&plan.service)?;
        let alone_until = |candidate: &Candidate| {
            let estimate = self.estimates.get(&candidate.target.server);
            let until = estimate.and_then(|known| known.tripped_until.max(known.closed_until));
            until.unwrap_or(now).max(now)
        };
        service.all.iter().map(alone_until).min()
    }

    fn is_busy(&self, now: Instant, target: &Target) -> bool {
        let estimate = self.estimates.get(&target.server);
        let until = estimate.and_then(|estimate| estimate.busy_until);
        until.is_some_and(|until| now < until)
    }

    fn attempt_sent(&mut self, _now: Instant, _plan: &RequestPlan, target: &Target) {
        let estimate = self.estimates.entry(target.server.clone()).or_default();
        estimate.outstanding_count += 1;
        self.paths.sent(&target.daemon);
    }

    fn attempt_ended(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        target: &Target,
        outcome: &AttemptOutcome,
        elapsed: Duration,
    ) {
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

    fn patience(&self, plan: &RequestPlan) -> Option<Duration> {
        let candidates = self.candidates.of(&plan.service)?;
        if candidates.all.len() < 2 {
            return None;
        }
        let typical = self.routes.known(&plan.route)?;
        Some((typical * PATIENCE_TIMES).max(SHORTEST_PATIENCE))
    }

    fn update_settings(&mut self, settings: &RoutingSettings) {
        self.settings = settings.clone();
    }

    fn update_view(&mut self, view: Arc<View>) {
        self.candidates.update_view(view);
    }

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
