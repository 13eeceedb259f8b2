//! The least loaded of a few servers drawn at random.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::candidates::{Candidate, Candidates, ServiceCandidates};
use super::choice::ServerChoice;
use super::message::{AttemptOutcome, RequestPlan, Target};
use super::met::{met, path_end, Met};
use super::paths::{PathUse, Paths};
use super::speed::{RouteSpeeds, ServerSpeed};
use crate::contract::View;
use crate::membership::{Fleet, FULL_SHARE_PERMILLE};
use crate::settings::routing::RoutingSettings;
use crate::types::{BackendServerId, DomainId, RouteId};

/// A server is held for busy for this long after it refused, unless its guard says when to retry.
/// An attempt that takes this many times the usual is given up, if it may run twice.
const PATIENCE_TIMES: u32 = 10;
const SHORTEST_PATIENCE: Duration = Duration::from_secs(1);
const BUSY_TIME: Duration = Duration::from_millis(20);

/// Longest time for which one refusal holds a server for busy.
const BUSY_LIMIT: Duration = Duration::from_millis(200);

/// A server whose guard takes nothing for it is left alone for this long; by then the fleet knows
/// whether it leaves.
const CLOSED_TIME: Duration = Duration::from_secs(1);

/// A cold server counts as this much more loaded than it is.
const COLD_FACTOR: f64 = 2.0;

/// Part of its drawn requests that an idle cold server takes for each slot, whatever the others'
/// load: without requests it never warms.
const COLD_SLOT_SHARE: f64 = 0.05;

/// A server in a domain where the request failed counts as this much more loaded.
const TRIED_DOMAIN_FACTOR: f64 = 1.5;

/// A probe is due for this long after the time that a guard has named.
const PROBE_DUE: Duration = Duration::from_secs(1);

/// Share below which a server is being probed rather than returning, in thousandths.
const PROBE_BELOW_PERMILLE: u16 = 100;

/// A request goes to a probed server only if this many usual times are left, so that it can still
/// go elsewhere.
const PROBE_TIMES: u32 = 4;

/// Servers that are remembered; beyond that the idle ones are forgotten.
const LEARNED_LIMIT_COUNT: usize = 10_000;

/// What this entry knows of one server.
#[derive(Debug, Clone, Default)]
struct Learned {
    /// Requests of this entry there.
    outstanding_count: u32,
    speed: ServerSpeed,
    busy_until: Option<Instant>,
    /// Until when its guard takes nothing for it, as far as is known.
    closed_until: Option<Instant>,
    /// Until when its guard's breaker is open, as far as is known.
    tripped_until: Option<Instant>,
    /// When its guard expected the next slot to be free for a request that it refused.
    slot_at: Option<Instant>,
}

/// The least loaded of a few servers drawn at random, near ones first.
pub struct LeastLoaded {
    settings: RoutingSettings,
    random: ChaCha8Rng,
    own_domain: DomainId,
    candidates: Candidates,
    paths: Paths,
    learned: HashMap<BackendServerId, Learned>,
    routes: RouteSpeeds,
}

/// What one pick looks for.
struct Wish<'a> {
    now: Instant,
    plan: &'a RequestPlan,
    tried: &'a [BackendServerId],
    tried_domains: SmallVec<[DomainId; 4]>,
    /// Whether servers whose guard's breaker is open are wanted, rather than all others.
    tripped: bool,
    /// Whether paths in trouble count.
    heed_paths: bool,
    own_domain: DomainId,
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
            learned: HashMap::new(),
            routes: RouteSpeeds::default(),
        }
    }

    fn wish<'a>(
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
    fn is_open(&self, wish: &Wish<'_>, candidate: &Candidate) -> bool {
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

    fn is_busy(&self, now: Instant, candidate: &Candidate) -> bool {
        self.learned
            .get(&candidate.target.server)
            .and_then(|learned| learned.busy_until)
            .is_some_and(|until| now < until)
    }

    /// How loaded a server seems; lower is better.
    fn load(&self, wish: &Wish<'_>, candidate: &Candidate) -> f64 {
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
    fn within_share(&mut self, share_permille: u16) -> bool {
        share_permille >= FULL_SHARE_PERMILLE
            || self.random.random_range(0..FULL_SHARE_PERMILLE) < share_permille
    }

    /// Whether an idle cold server takes this request to get warm.
    fn warms_next(&mut self, candidate: &Candidate) -> bool {
        let learned = self.learned.get(&candidate.target.server);
        let idle = learned.is_none_or(|learned| learned.outstanding_count == 0);
        let share = COLD_SLOT_SHARE * f64::from(candidate.slots_count);
        candidate.cold && idle && self.random.random_bool(share.min(1.0))
    }

    /// A server whose guard has named this time for a probe, for a request that can bear one.
    fn due_probe(&self, wish: &Wish<'_>, all: &[Candidate]) -> Option<Target> {
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

    fn pick_from(
        &mut self,
        wish: &Wish<'_>,
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
            if !self.within_share(candidate.share_permille)
                || !self.is_open(wish, candidate)
                || self.is_busy(wish.now, candidate)
            {
                continue;
            }
            let load = match self.warms_next(candidate) {
                true => 0.0,
                false => self.load(wish, candidate),
            };
            keep_better(&mut best, load, candidate);
        }
        if best.is_none() {
            best = self.scan(wish, all);
        }
        best.map(|(_, candidate)| candidate.target.clone())
    }

    /// Looks at every server, when none of those drawn will do.
    fn scan<'a>(&self, wish: &Wish<'_>, all: &'a [Candidate]) -> Option<(f64, &'a Candidate)> {
        let mut best = None;
        let mut best_busy = None;
        for candidate in all {
            if !self.is_open(wish, candidate) {
                continue;
            }
            let scaled =
                f64::from(FULL_SHARE_PERMILLE) / f64::from(candidate.share_permille.max(1));
            let load = self.load(wish, candidate) * scaled;
            if self.is_busy(wish.now, candidate) {
                keep_better(&mut best_busy, load, candidate);
                continue;
            }
            keep_better(&mut best, load, candidate);
        }
        // A retry is not for servers that have just refused; a first attempt may ask them.
        let first = wish.tried.is_empty() || self.settings.free_slot_tries_count > 0;
        best.or(best_busy.filter(|_| first))
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

    fn learn(&mut self, now: Instant, route: &RouteId, server: &BackendServerId, met: &Met) {
        let learned = self.learned.entry(server.clone()).or_default();
        match met {
            Met::Time(elapsed) => {
                let usual = self.routes.take(route, *elapsed);
                learned.speed.take(now, *elapsed, usual);
                learned.busy_until = None;
                learned.closed_until = None;
                learned.tripped_until = None;
                learned.slot_at = None;
            }
            Met::Failure => {
                learned.speed.failed(now);
                // A probe that failed: its guard names another time.
                learned.tripped_until = learned.tripped_until.map(|_| now + CLOSED_TIME);
            }
            Met::Busy(retry_after) => {
                let time = retry_after.unwrap_or(BUSY_TIME).min(BUSY_LIMIT);
                learned.busy_until = Some(now + time);
                learned.slot_at = retry_after.map(|wait| now + wait);
            }
            Met::Closed(retry_after) => {
                let time = retry_after.map_or(CLOSED_TIME, |after| after.min(CLOSED_TIME));
                learned.closed_until = Some(now + time);
            }
            Met::Tripped(retry_after) => {
                learned.speed.tripped(now);
                learned.tripped_until = Some(now + retry_after.unwrap_or(CLOSED_TIME));
            }
            Met::Nothing => {}
        }
    }
}

/// Times of a route that are not known yet count for at least this.
const LEAST_USUAL_S: f64 = 0.02;

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
        let wish = self.wish(now, plan, tried, &service);
        let probed = self.due_probe(&wish, &service.all);
        probed.or_else(|| self.pick_from(&wish, &service.all, service.near_count))
    }

    fn pick_tripped(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        tried: &[BackendServerId],
    ) -> Option<Target> {
        let service = self.candidates.of(&plan.service)?;
        let wish = Wish {
            tripped: true,
            ..self.wish(now, plan, tried, &service)
        };
        let (_, candidate) = self.scan(&wish, &service.all)?;
        Some(candidate.target.clone())
    }

    fn open_again_at(&self, now: Instant, plan: &RequestPlan) -> Option<Instant> {
        let service = self.candidates.of(&plan.service)?;
        let alone_until = |candidate: &Candidate| {
            let learned = self.learned.get(&candidate.target.server);
            let until = learned.and_then(|known| known.tripped_until.max(known.closed_until));
            until.unwrap_or(now).max(now)
        };
        service.all.iter().map(alone_until).min()
    }

    fn is_busy(&self, now: Instant, target: &Target) -> bool {
        let learned = self.learned.get(&target.server);
        let until = learned.and_then(|learned| learned.busy_until);
        until.is_some_and(|until| now < until)
    }

    fn sent(&mut self, _now: Instant, _plan: &RequestPlan, target: &Target) {
        let learned = self.learned.entry(target.server.clone()).or_default();
        learned.outstanding_count += 1;
        self.paths.sent(&target.daemon);
    }

    fn ended(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        target: &Target,
        outcome: &AttemptOutcome,
        elapsed: Duration,
    ) {
        if let Some(learned) = self.learned.get_mut(&target.server) {
            learned.outstanding_count = learned.outstanding_count.saturating_sub(1);
        }
        self.learn(now, &plan.route, &target.server, &met(outcome, elapsed));
        if let Some(end) = path_end(outcome) {
            self.paths.ended(now, &target.daemon, end, &mut self.random);
        }
    }

    fn patience(&self, plan: &RequestPlan) -> Option<Duration> {
        let candidates = self.candidates.of(&plan.service)?;
        if candidates.all.len() < 2 {
            return None;
        }
        let usual = self.routes.usual(&plan.route);
        Some((usual * PATIENCE_TIMES).max(SHORTEST_PATIENCE))
    }

    fn view(&mut self, view: Arc<View>) {
        self.candidates.view(view);
    }

    fn fleet(&mut self, fleet: Arc<Fleet>) {
        for daemon in self.candidates.fleet(fleet) {
            self.paths.forget(&daemon);
        }
        if self.learned.len() > LEARNED_LIMIT_COUNT {
            self.learned
                .retain(|_, learned| learned.outstanding_count > 0);
        }
    }
}
