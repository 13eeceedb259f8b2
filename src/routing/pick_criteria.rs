//! What a pick looks for, and how a server looks to it.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::candidates::{Candidate, ServiceCandidates};
use super::least_loaded::{LeastLoaded, ServerEstimate};
use super::message::{RequestPlan, Target};
use super::paths::PathUse;
use crate::types::{BackendServerId, DomainId};

/// A cold server counts as this much more loaded than it is.
const COLD_FACTOR: f64 = 2.0;

/// A server in a domain where the request failed counts as this much more loaded.
const TRIED_DOMAIN_FACTOR: f64 = 1.5;

/// Share below which a server is being probed rather than returning, in thousandths.
const PROBE_BELOW_PERMILLE: u16 = 100;

/// A request goes to a probed server only if this many typical times are left, so that it can still
/// go elsewhere.
const PROBE_TIMES: u32 = 4;

/// A probe is due for this long after the time that a guard has named.
const PROBE_DUE: Duration = Duration::from_secs(1);

/// Times of a route that are not known yet count for at least this.
const LEAST_TYPICAL_S: f64 = 0.02;

/// What one pick looks for.
pub(super) struct PickCriteria<'a> {
    pub(super) now: Instant,
    pub(super) plan: &'a RequestPlan,
    pub(super) tried: &'a [BackendServerId],
    pub(super) tried_domains: SmallVec<[DomainId; 4]>,
    /// Whether servers whose guard's breaker is open are wanted, rather than all others.
    pub(super) tripped: bool,
    /// Whether paths in trouble count.
    pub(super) avoid_paths: bool,
    pub(super) own_domain: DomainId,
}

impl LeastLoaded {
    /// What a pick looks for.
    pub(super) fn pick_criteria<'a>(
        &self,
        now: Instant,
        plan: &'a RequestPlan,
        tried: &'a [BackendServerId],
        service: &ServiceCandidates,
    ) -> PickCriteria<'a> {
        let mut tried_domains = SmallVec::new();
        if !tried.is_empty() {
            for candidate in &service.all {
                if tried.contains(&candidate.target.server) {
                    tried_domains.push(candidate.domain.clone());
                }
            }
        }
        PickCriteria {
            now,
            plan,
            tried,
            tried_domains,
            tripped: false,
            avoid_paths: self.should_avoid_paths(now, plan, service),
            own_domain: self.own_domain.clone(),
        }
    }

    /// Whether a server may be chosen, its share apart.
    pub(super) fn is_open(&self, criteria: &PickCriteria<'_>, candidate: &Candidate) -> bool {
        if criteria.tried.contains(&candidate.target.server) {
            return false;
        }
        let estimate = self.estimates.get(&candidate.target.server);
        let closed_until = estimate.and_then(|estimate| estimate.closed_until);
        if closed_until.is_some_and(|until| criteria.now < until) {
            return false;
        }
        let tripped_until = estimate.and_then(|estimate| estimate.tripped_until);
        if tripped_until.is_some_and(|until| criteria.now < until) != criteria.tripped {
            return false;
        }
        if candidate.share_permille < PROBE_BELOW_PERMILLE && !self.may_probe(criteria) {
            return false;
        }
        if !criteria.avoid_paths {
            return true;
        }
        match self.paths.may_use(criteria.now, &candidate.target.daemon) {
            PathUse::Open => true,
            PathUse::Probe { repeatable_only } => criteria.plan.repeatable || !repeatable_only,
            PathUse::Avoided => false,
        }
    }

    /// Whether the request can bear a failed probe.
    fn may_probe(&self, criteria: &PickCriteria<'_>) -> bool {
        let left = criteria
            .plan
            .deadline_at
            .saturating_duration_since(criteria.now);
        let typical = self.routes.typical(&criteria.plan.route);
        // A service of orders alone would otherwise never get a server back.
        let bearable =
            criteria.plan.repeatable || !self.candidates.has_repeatable(&criteria.plan.service);
        bearable && criteria.tried.is_empty() && left >= typical * PROBE_TIMES
    }

    /// How loaded a server seems; lower is better.
    pub(super) fn load(&self, criteria: &PickCriteria<'_>, candidate: &Candidate) -> f64 {
        let estimate = self.estimates.get(&candidate.target.server);
        let outstanding = estimate.map_or(0, |estimate| estimate.outstanding_count);
        let backlog = estimate.map_or(0.0, |estimate| self.backlog(criteria, estimate));
        let slowness = estimate.map_or(1.0, |estimate| estimate.speed.slowness(criteria.now));
        let mut load = f64::from(outstanding + 1) / f64::from(candidate.slots_count.max(1));
        load = load * slowness + backlog;
        if candidate.cold {
            load *= COLD_FACTOR;
        }
        if criteria.own_domain != candidate.domain {
            load *= self.settings.far_factor * self.far_body_factor(criteria.plan);
        }
        if criteria.tried_domains.contains(&candidate.domain) {
            load *= TRIED_DOMAIN_FACTOR;
        }
        load
    }

    /// How much more a long body weighs on its way to another failure domain.
    fn far_body_factor(&self, plan: &RequestPlan) -> f64 {
        match self.settings.far_body_bytes {
            0 => 1.0,
            unit_bytes => 1.0 + plan.body_bytes as f64 / unit_bytes as f64,
        }
    }

    /// The wait for a slot by its guard's word, in typical times of the route.
    fn backlog(&self, criteria: &PickCriteria<'_>, estimate: &ServerEstimate) -> f64 {
        let Some(slot_at) = estimate.slot_at else {
            return 0.0;
        };
        let wait = slot_at
            .saturating_duration_since(criteria.now)
            .as_secs_f64();
        let typical = self.routes.typical(&criteria.plan.route).as_secs_f64();
        wait / typical.max(LEAST_TYPICAL_S)
    }

    /// A server whose guard has named this time for a probe, for a request that can bear one.
    pub(super) fn due_probe(
        &self,
        criteria: &PickCriteria<'_>,
        all: &[Candidate],
    ) -> Option<Target> {
        if !criteria.plan.repeatable || !criteria.tried.is_empty() {
            return None;
        }
        let is_due = |candidate: &&Candidate| {
            let estimate = self.estimates.get(&candidate.target.server);
            let until = estimate.and_then(|estimate| estimate.tripped_until);
            until.is_some_and(|until| until <= criteria.now && criteria.now < until + PROBE_DUE)
        };
        let mut due = all.iter().filter(is_due);
        let candidate = due.find(|candidate| self.is_open(criteria, candidate))?;
        Some(candidate.target.clone())
    }

    /// Whether avoiding the paths in trouble leaves the service its floor.
    fn should_avoid_paths(
        &self,
        now: Instant,
        plan: &RequestPlan,
        service: &ServiceCandidates,
    ) -> bool {
        if !self.paths.any() {
            return true;
        }
        let mut left_count = 0;
        for candidate in &service.all {
            if self.paths.may_use(now, &candidate.target.daemon) != PathUse::Avoided {
                left_count += 1;
            }
        }
        left_count > 0 && left_count >= self.candidates.floor_count(&plan.service)
    }
}
