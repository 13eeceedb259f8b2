//! Choice of a backend server: the less loaded of two drawn at random.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::message::{AttemptOutcome, RequestPlan, Target};
use crate::contract::View;
use crate::membership::Fleet;
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

    /// An attempt was sent.
    fn sent(&mut self, now: Instant, plan: &RequestPlan, target: &Target);

    /// An attempt ended.
    fn ended(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        target: &Target,
        outcome: &AttemptOutcome,
        elapsed: Duration,
    );

    /// A new view is in force.
    fn view(&mut self, view: Arc<View>);

    /// The fleet changed.
    fn fleet(&mut self, fleet: Arc<Fleet>);
}

/// The less loaded of two servers drawn at random.
pub struct TwoChoices {
    random: ChaCha8Rng,
    view: Arc<View>,
    fleet: Arc<Fleet>,
    /// Requests of this entry at each server.
    outstanding: HashMap<BackendServerId, u32>,
}

impl TwoChoices {
    /// A choice that knows no server yet.
    pub fn new(random: ChaCha8Rng) -> TwoChoices {
        TwoChoices {
            random,
            view: Arc::default(),
            fleet: Arc::default(),
            outstanding: HashMap::new(),
        }
    }

    fn candidates(&self, plan: &RequestPlan, tried: &[BackendServerId]) -> Vec<Target> {
        let mut candidates = Vec::new();
        for daemon in self.fleet.daemons.values() {
            if daemon.leaving || self.view.domains_out.contains(&daemon.domain) {
                continue;
            }
            for server in &daemon.servers {
                if server.service != plan.service
                    || server.draining
                    || tried.contains(&server.server)
                {
                    continue;
                }
                candidates.push(Target {
                    daemon: daemon.daemon.clone(),
                    guard_address: daemon.guard_address,
                    server: server.server.clone(),
                });
            }
        }
        candidates
    }
}

impl ServerChoice for TwoChoices {
    fn pick(
        &mut self,
        _now: Instant,
        plan: &RequestPlan,
        tried: &[BackendServerId],
    ) -> Option<Target> {
        let candidates = self.candidates(plan, tried);
        if candidates.is_empty() {
            return None;
        }
        let first = &candidates[self.random.random_range(0..candidates.len())];
        let second = &candidates[self.random.random_range(0..candidates.len())];
        let load = |target: &Target| self.outstanding.get(&target.server).copied().unwrap_or(0);
        let chosen = if load(second) < load(first) {
            second
        } else {
            first
        };
        Some(chosen.clone())
    }

    fn sent(&mut self, _now: Instant, _plan: &RequestPlan, target: &Target) {
        *self.outstanding.entry(target.server.clone()).or_default() += 1;
    }

    fn ended(
        &mut self,
        _now: Instant,
        _plan: &RequestPlan,
        target: &Target,
        _outcome: &AttemptOutcome,
        _elapsed: Duration,
    ) {
        if let Some(count) = self.outstanding.get_mut(&target.server) {
            *count = count.saturating_sub(1);
        }
    }

    fn view(&mut self, view: Arc<View>) {
        self.view = view;
    }

    fn fleet(&mut self, fleet: Arc<Fleet>) {
        self.fleet = fleet;
    }
}
