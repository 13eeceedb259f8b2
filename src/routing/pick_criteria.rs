//! Criteria of one pick, and how eligible and how loaded each server is by them.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::candidates::{Candidate, ServiceCandidates};
use super::least_loaded::{LeastLoaded, ServerEstimate};
use super::message::{RequestPlan, Target};
use super::paths::PathUse;
use crate::types::{BackendServerId, DomainId};

/// Factor on the load of a cold server.
const COLD_FACTOR: f64 = 2.0;

/// Factor on the load of servers in a failure domain where the request was already tried.
const TRIED_DOMAIN_FACTOR: f64 = 1.5;

/// Share below which a server is being probed rather than returning, in thousandths.
const PROBE_BELOW_PERMILLE: u16 = 100;

/// A request probes a server only if it has this many typical times of its route left, so that it
/// can still go to another server.
const PROBE_TIME_FACTOR: u32 = 4;

/// A probe is due for this long from the time that the guard has named.
const PROBE_WINDOW: Duration = Duration::from_secs(1);

/// Lower bound of the typical time, in seconds, in which waits for a slot are expressed.
const LEAST_TYPICAL_S: f64 = 0.02;

/// What one pick requires of a server.
pub(super) struct PickCriteria<'a> {
    /// Time of the pick.
    pub(super) now: Instant,
    /// The request that the server is picked for.
    pub(super) plan: &'a RequestPlan,
    /// Servers that must not be picked.
    pub(super) tried: &'a [BackendServerId],
    /// Failure domains of the servers in `tried`.
    pub(super) tried_domains: SmallVec<[DomainId; 4]>,
    /// Whether to pick among servers whose guard's breaker is open, rather than among all others.
    pub(super) tripped: bool,
    /// Whether servers behind paths in trouble are left out.
    pub(super) avoid_paths: bool,
    /// Failure domain of this entry.
    pub(super) own_domain: DomainId,
}

impl LeastLoaded {
    /// Returns the criteria of a pick for `plan` at `now`.
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

    /// Returns whether a server is eligible; its share of requests is not considered.
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
        match self.paths.path_use(criteria.now, &candidate.target.daemon) {
            PathUse::Open => true,
            PathUse::Probe { repeatable_only } => criteria.plan.repeatable || !repeatable_only,
            PathUse::Avoided => false,
        }
    }

    /// Returns whether the request can afford a failed probe.
    fn may_probe(&self, criteria: &PickCriteria<'_>) -> bool {
        let left = criteria
            .plan
            .deadline_at
            .saturating_duration_since(criteria.now);
        let typical = self.route_speeds.typical(&criteria.plan.route);
        // Without this a service that has no repeatable route would never get a server back.
        let bearable =
            criteria.plan.repeatable || !self.candidates.has_repeatable(&criteria.plan.service);
        bearable && criteria.tried.is_empty() && left >= typical * PROBE_TIME_FACTOR
    }

    /// Returns the estimated load of a server; lower is better.
    pub(super) fn load(&self, criteria: &PickCriteria<'_>, candidate: &Candidate) -> f64 {
        let estimate = self.estimates.get(&candidate.target.server);
        let outstanding = estimate.map_or(0, |estimate| estimate.outstanding_count);
        let backlog = estimate.map_or(0.0, |estimate| self.backlog(criteria, estimate));
        let half_life = self.speed_half_life();
        let slowness = estimate.map_or(1.0, |estimate| {
            estimate.speed.slowness(criteria.now, half_life)
        });
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

    /// Returns the time after which the excess slowness of a server counts half.
    pub(super) fn speed_half_life(&self) -> Duration {
        Duration::from_millis(self.settings.speed_half_life_ms)
    }

    /// Returns how much a long body adds to the load of a server in another failure domain.
    fn far_body_factor(&self, plan: &RequestPlan) -> f64 {
        match self.settings.far_body_bytes {
            0 => 1.0,
            unit_bytes => 1.0 + plan.body_bytes as f64 / unit_bytes as f64,
        }
    }

    /// Returns the wait for a slot that the guard has reported, in typical times of the route.
    fn backlog(&self, criteria: &PickCriteria<'_>, estimate: &ServerEstimate) -> f64 {
        let Some(slot_at) = estimate.slot_at else {
            return 0.0;
        };
        let wait = slot_at
            .saturating_duration_since(criteria.now)
            .as_secs_f64();
        let typical = self
            .route_speeds
            .typical(&criteria.plan.route)
            .as_secs_f64();
        wait / typical.max(LEAST_TYPICAL_S)
    }

    /// Returns a server whose probe is due by the time that its guard has named, if the request may
    /// run twice.
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
            until.is_some_and(|until| until <= criteria.now && criteria.now < until + PROBE_WINDOW)
        };
        let mut due = all.iter().filter(is_due);
        let candidate = due.find(|candidate| self.is_open(criteria, candidate))?;
        Some(candidate.target.clone())
    }

    /// Returns whether the service keeps its floor of servers if paths in trouble are avoided.
    fn should_avoid_paths(
        &self,
        now: Instant,
        plan: &RequestPlan,
        service: &ServiceCandidates,
    ) -> bool {
        if !self.paths.any_in_trouble() {
            return true;
        }
        let mut left_count = 0;
        for candidate in &service.all {
            if self.paths.path_use(now, &candidate.target.daemon) != PathUse::Avoided {
                left_count += 1;
            }
        }
        left_count > 0 && left_count >= self.candidates.floor_count(&plan.service)
    }
}
