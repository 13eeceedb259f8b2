//! What a pick looks for, and how a server looks to it.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::candidates::{Candidate, ServiceCandidates};
use super::least_loaded::{Learned, LeastLoaded};
use super::message::{RequestPlan, Target};
use super::paths::PathUse;
use crate::types::{BackendServerId, DomainId};

/// A cold server counts as this much more loaded than it is.
const COLD_FACTOR: f64 = 2.0;

/// A server in a domain where the request failed counts as this much more loaded.
const TRIED_DOMAIN_FACTOR: f64 = 1.5;

/// Share below which a server is being probed rather than returning, in thousandths.
const PROBE_BELOW_PERMILLE: u16 = 100;

/// A request goes to a probed server only if this many usual times are left, so that it can still
/// go elsewhere.
const PROBE_TIMES: u32 = 4;

/// A probe is due for this long after the time that a guard has named.
const PROBE_DUE: Duration = Duration::from_secs(1);

/// Times of a route that are not known yet count for at least this.
const LEAST_USUAL_S: f64 = 0.02;

/// What one pick looks for.
pub(super) struct Wish<'a> {
    pub(super) now: Instant,
    pub(super) plan: &'a RequestPlan,
    pub(super) tried: &'a [BackendServerId],
    pub(super) tried_domains: SmallVec<[DomainId; 4]>,
    /// Whether servers whose guard's breaker is open are wanted, rather than all others.
    pub(super) tripped: bool,
    /// Whether paths in trouble count.
    pub(super) heed_paths: bool,
    pub(super) own_domain: DomainId,
}

impl LeastLoaded {
    /// What a pick looks for.
    pub(super) fn wish<'a>(
        &self,
        now: Instant,
        plan: &'a RequestPlan,
        tried: &'a [BackendServerId],
        service: &ServiceCandidates,
    ) -> Wish<'a> {
        let mut tried_domains = SmallVec::new();
        if !tried.is_empty() {
            for candidate in &service.all {
                if tried.contains(&candidate.target.server) {
                    tried_domains.push(candidate.domain.clone());
                }
            }
        }
        Wish {
            now,
            plan,
            tried,
            tried_domains,
            tripped: false,
            heed_paths: self.heeds_paths(now, plan, service),
            own_domain: self.own_domain.clone(),
        }
    }

    /// Whether a server may be chosen, its share apart.
    pub(super) fn is_open(&self, wish: &Wish<'_>, candidate: &Candidate) -> bool {
        if wish.tried.contains(&candidate.target.server) {
            return false;
        }
        let learned = self.learned.get(&candidate.target.server);
        let closed_until = learned.and_then(|learned| learned.closed_until);
        if closed_until.is_some_and(|until| wish.now < until) {
            return false;
        }
        let tripped_until = learned.and_then(|learned| learned.tripped_until);
        if tripped_until.is_some_and(|until| wish.now < until) != wish.tripped {
            return false;
        }
        if candidate.share_permille < PROBE_BELOW_PERMILLE && !self.may_probe(wish) {
            return false;
        }
        if !wish.heed_paths {
            return true;
        }
        match self.paths.may_use(wish.now, &candidate.target.daemon) {
            PathUse::Open => true,
            PathUse::Probe { repeatable_only } => wish.plan.repeatable || !repeatable_only,
            PathUse::Avoided => false,
        }
    }

    /// Whether the request can bear a failed probe.
    fn may_probe(&self, wish: &Wish<'_>) -> bool {
        let left = wish.plan.deadline_at.saturating_duration_since(wish.now);
        let usual = self.routes.usual(&wish.plan.route);
        // A service of orders alone would otherwise never get a server back.
        let bearable = wish.plan.repeatable || !self.candidates.has_repeatable(&wish.plan.service);
        bearable && wish.tried.is_empty() && left >= usual * PROBE_TIMES
    }

    /// How loaded a server seems; lower is better.
    pub(super) fn load(&self, wish: &Wish<'_>, candidate: &Candidate) -> f64 {
        let learned = self.learned.get(&candidate.target.server);
        let outstanding = learned.map_or(0, |learned| learned.outstanding_count);
        let backlog = learned.map_or(0.0, |learned| self.backlog(wish, learned));
        let slowness = learned.map_or(1.0, |learned| learned.speed.slowness(wish.now));
        let mut load = f64::from(outstanding + 1) / f64::from(candidate.slots_count.max(1));
        load = load * slowness + backlog;
        if candidate.cold {
            load *= COLD_FACTOR;
        }
        if wish.own_domain != candidate.domain {
            load *= self.settings.far_factor * self.far_body_factor(wish.plan);
        }
        if wish.tried_domains.contains(&candidate.domain) {
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

    /// The wait for a slot by its guard's word, in usual times of the route.
    fn backlog(&self, wish: &Wish<'_>, learned: &Learned) -> f64 {
        let Some(slot_at) = learned.slot_at else {
            return 0.0;
        };
        let wait = slot_at.saturating_duration_since(wish.now).as_secs_f64();
        let usual = self.routes.usual(&wish.plan.route).as_secs_f64();
        wait / usual.max(LEAST_USUAL_S)
    }

    /// A server whose guard has named this time for a probe, for a request that can bear one.
    pub(super) fn due_probe(&self, wish: &Wish<'_>, all: &[Candidate]) -> Option<Target> {
        if !wish.plan.repeatable || !wish.tried.is_empty() {
            return None;
        }
        let is_due = |candidate: &&Candidate| {
            let learned = self.learned.get(&candidate.target.server);
            let until = learned.and_then(|learned| learned.tripped_until);
            until.is_some_and(|until| until <= wish.now && wish.now < until + PROBE_DUE)
        };
        let mut due = all.iter().filter(is_due);
        let candidate = due.find(|candidate| self.is_open(wish, candidate))?;
        Some(candidate.target.clone())
    }

    /// Whether avoiding the paths in trouble leaves the service its floor.
    fn heeds_paths(&self, now: Instant, plan: &RequestPlan, service: &ServiceCandidates) -> bool {
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
