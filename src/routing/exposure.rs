//! Bounds the share of requests that this entry sends to servers of a version under trial.
//!
//! Each entry keeps the bound by its own counts, so the sum over all entries keeps it too, whatever
//! they know of each other. An attempt counts from when it is sent, and the requests that it is
//! compared with only once they were answered. The slack of an order is divided by the fleet as the
//! entry sees it; half of it is kept back for entries that see only a part of the fleet.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::candidates::ServiceCandidates;
use super::choice::ServerChoice;
use super::least_loaded::LeastLoaded;
use super::message::{AttemptOutcome, RequestPlan, Target};
use super::pick_criteria::PickCriteria;
use crate::allowance::partition::hash_of;
use crate::contract::View;
use crate::membership::{Fleet, FULL_SHARE_PERMILLE};
use crate::rollout::RolloutOrder;
use crate::settings::routing::RoutingSettings;
use crate::types::{DaemonId, RequestId, ServiceId};

/// Part of the allowed share that entries use.
const SHARE_MARGIN: f64 = 0.8;
/// Part of the allowed slack that entries use.
const SLACK_MARGIN: f64 = 0.5;
/// Requests of each service that are remembered after a server under trial refused them.
const REFUSED_LIMIT_COUNT: usize = 64;

/// Attempts at services that have servers under trial.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrialCounts {
    /// Attempts that went to servers under trial.
    pub sent_count: u64,
    /// Attempts that went to other servers.
    pub withheld_count: u64,
}

/// Counts of one order at this entry.
#[derive(Debug)]
struct Trial {
    /// The order that put the version under trial.
    order: Arc<RolloutOrder>,
    /// Requests that this entry may send beyond the share; never grows.
    slack_count: u64,
    /// When this entry first chose while it saw a server under trial; requests count from then on.
    since: Option<Instant>,
    /// Requests sent since then that any server of the service has answered.
    ran_count: u64,
    /// Attempts at servers under trial that ran or may have run.
    sent_count: u64,
    /// Requests whose attempt at a server under trial has not ended.
    open: HashSet<RequestId>,
    /// The last requests that a server under trial refused.
    refused: VecDeque<RequestId>,
}

/// What this entry has sent to servers under trial.
#[derive(Debug, Default)]
pub struct Exposure {
    /// This entry's daemon; none if the entry gets no part of the slack.
    daemon: Option<DaemonId>,
    /// Whether a view was in force before the present one. An order in the first view of a process
    /// may be older than the process, whose earlier run may have used its part of the slack.
    had_view: bool,
    /// The order of each service, with its counts.
    trials: HashMap<ServiceId, Trial>,
    /// Counts since they were last taken.
    counts: TrialCounts,
}

impl Exposure {
    /// Names the daemon of this entry, which gets its part of the slack.
    pub fn set_daemon(&mut self, daemon: DaemonId) {
        self.daemon = Some(daemon);
    }

    /// Begins the counts of new orders and drops those of orders that are no longer in force.
    pub fn update_view(&mut self, view: &View, fleet: &Fleet, settings: &RoutingSettings) {
        self.trials.retain(|service, trial| {
            let order = view.rollouts.get(service);
            order.is_some_and(|order| *order == trial.order)
        });
        for (service, order) in &view.rollouts {
            if self.trials.contains_key(service) {
                continue;
            }
            let slack_count = match self.had_view {
                true => self.slack_part(service, fleet, settings),
                false => 0,
            };
            let trial = Trial {
                order: order.clone(),
                slack_count,
                since: None,
                ran_count: 0,
                sent_count: 0,
                open: HashSet::new(),
                refused: VecDeque::new(),
            };
            self.trials.insert(service.clone(), trial);
        }
        self.had_view |= view.next > 0;
    }

    /// Returns this entry's part of the slack, in whole requests. What can't be divided evenly goes
    /// to the entries with the lowest hashes.
    fn slack_part(&self, service: &ServiceId, fleet: &Fleet, settings: &RoutingSettings) -> u64 {
        let Some(own) = &self.daemon else {
            return 0;
        };
        let rank_of = |daemon: &DaemonId| {
            (
                hash_of(&[service.as_bytes(), daemon.as_bytes()]),
                daemon.clone(),
            )
        };
        let own_rank = rank_of(own);
        let mut daemon_count = 1;
        let mut lower_count = 0;
        for daemon in fleet.daemons.keys().filter(|daemon| *daemon != own) {
            daemon_count += 1;
            lower_count += u64::from(rank_of(daemon) < own_rank);
        }
        let slack_count = (SLACK_MARGIN * f64::from(settings.trial_slack_count)) as u64;
        slack_count / daemon_count + u64::from(lower_count < slack_count % daemon_count)
    }

    /// Returns whether the entry may send this request to a server under trial.
    fn has_credit(&self, plan: &RequestPlan, settings: &RoutingSettings) -> bool {
        let Some(trial) = self.trials.get(&plan.service) else {
            return false;
        };
        let share = SHARE_MARGIN * settings.trial_share;
        let allowed_count = share * trial.ran_count as f64 + trial.slack_count as f64;
        (trial.sent_count + 1) as f64 <= allowed_count && !trial.refused.contains(&plan.request)
    }

    /// Begins to count the requests of a service with a server under trial.
    fn observe(
        &mut self,
        now: Instant,
        service: &ServiceId,
        fleet: &Fleet,
        settings: &RoutingSettings,
    ) {
        let begins = self
            .trials
            .get(service)
            .is_some_and(|trial| trial.since.is_none());
        if !begins {
            return;
        }
        let part = self.slack_part(service, fleet, settings);
        if let Some(trial) = self.trials.get_mut(service) {
            trial.since = Some(now);
            trial.slack_count = trial.slack_count.min(part);
        }
    }

    /// Counts an attempt that was sent to a service with servers under trial.
    fn sent(&mut self, plan: &RequestPlan, to_trial: bool) {
        if !to_trial {
            self.counts.withheld_count += 1;
            return;
        }
        self.counts.sent_count += 1;
        if let Some(trial) = self.trials.get_mut(&plan.service) {
            trial.sent_count += 1;
            trial.open.insert(plan.request);
        }
    }

    /// Counts the end of an attempt. One that was not run gives its credit back.
    pub(super) fn ended(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        outcome: &AttemptOutcome,
        elapsed: Duration,
    ) {
        let Some(trial) = self.trials.get_mut(&plan.service) else {
            return;
        };
        let was_trial = trial.open.remove(&plan.request);
        match outcome {
            AttemptOutcome::NotRun { .. } if was_trial => {
                trial.sent_count -= 1;
                if trial.refused.len() >= REFUSED_LIMIT_COUNT {
                    trial.refused.pop_front();
                }
                trial.refused.push_back(plan.request);
            }
            AttemptOutcome::Answered(_) => {
                let counts = trial.since.is_some_and(|since| now >= since + elapsed);
                trial.ran_count += u64::from(counts);
            }
            _ => {}
        }
    }

    /// Forgets an attempt whose caller left. It may have run, so its credit stays spent.
    pub(super) fn abandoned(&mut self, plan: &RequestPlan) {
        if let Some(trial) = self.trials.get_mut(&plan.service) {
            trial.open.remove(&plan.request);
        }
    }

    /// Returns the counts since the last call.
    pub(super) fn take_counts(&mut self) -> TrialCounts {
        std::mem::take(&mut self.counts)
    }
}

impl LeastLoaded {
    /// Picks the least loaded of the servers under trial, if this entry may send it the request. Only
    /// a first attempt goes there, so a request that such a server refused goes to the others.
    pub(super) fn pick_trial(
        &mut self,
        criteria: &PickCriteria<'_>,
        service: &ServiceCandidates,
    ) -> Option<Target> {
        if service.trial.is_empty() {
            return None;
        }
        let plan = criteria.plan;
        let fleet = self.candidates.fleet();
        self.exposure
            .observe(criteria.now, &plan.service, fleet, &self.settings);
        if !criteria.tried.is_empty() || !self.exposure.has_credit(plan, &self.settings) {
            return None;
        }
        // Equal loads are decided by where the search begins, so that entries choose differently.
        let first = self.random.random_range(0..service.trial.len());
        let mut best = None;
        for candidate in service.trial[first..].iter().chain(&service.trial[..first]) {
            if !self.is_open(criteria, candidate) || self.is_busy(criteria.now, &candidate.target) {
                continue;
            }
            let share = f64::from(candidate.share_permille) / f64::from(FULL_SHARE_PERMILLE);
            let load = self.load(criteria, candidate) / share;
            if best.is_none_or(|(lowest, _)| load < lowest) {
                best = Some((load, candidate));
            }
        }
        best.map(|(_, candidate)| candidate.target.clone())
    }

    /// Counts an attempt that is sent while a version of its service is under trial.
    pub(super) fn count_trial(&mut self, plan: &RequestPlan, target: &Target) {
        let Some(service) = self.candidates.of(&plan.service) else {
            return;
        };
        if service.trial.is_empty() {
            return;
        }
        let mut under_trial = service.trial.iter();
        let to_trial = under_trial.any(|candidate| candidate.target.server == target.server);
        self.exposure.sent(plan, to_trial);
    }
}
