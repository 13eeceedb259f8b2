//! The daemons that have servers of a service under an order, and the choice among them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::message::{RolloutOrder, RolloutReport, RolloutStep};
use crate::membership::{tree_position, Fleet, ServerEntry};
use crate::types::{BackendServerId, DaemonId, DomainId};

/// Time after which a call without an answer counts as lost.
const CALL_PATIENCE: Duration = Duration::from_secs(1);

/// A daemon with a server of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The daemon.
    pub daemon: DaemonId,
    /// Whether its server is of the target version.
    pub is_target: bool,
    /// Whether its failure domain is out of service, so that its server gets no requests.
    pub is_out: bool,
    /// Step that the fleet shows for its server.
    pub step: RolloutStep,
    /// Its servers of the service.
    pub servers: Vec<BackendServerId>,
}

/// Returns the daemons that have servers of the order's service and are not leaving, in an order by
/// hash that all daemons agree on, so that neighbours are in different failure domains.
pub fn members(
    fleet: &Fleet,
    order: &RolloutOrder,
    domains_out: &BTreeSet<DomainId>,
) -> Vec<Member> {
    let mut found = Vec::new();
    for entry in fleet.daemons.values().filter(|entry| !entry.leaving) {
        let servers = entry.servers.iter();
        let servers: Vec<&ServerEntry> = servers
            .filter(|server| server.service == order.service)
            .collect();
        let target = servers
            .iter()
            .find(|server| server.software_version == order.target_version);
        let Some(shown) = target.or(servers.first()) else {
            continue;
        };
        found.push(Member {
            daemon: entry.daemon.clone(),
            is_target: target.is_some(),
            is_out: domains_out.contains(&entry.domain),
            step: shown.rollout_step,
            servers: servers.iter().map(|server| server.server.clone()).collect(),
        });
    }
    found.sort_by_key(|member| (tree_position(&member.daemon), member.daemon.clone()));
    found
}

/// Returns the daemon that drives the roll-out: the first with a server of the service, or the first
/// of the fleet where there is none.
pub fn driver_of(fleet: &Fleet, members: &[Member]) -> Option<DaemonId> {
    if let Some(first) = members.first() {
        return Some(first.daemon.clone());
    }
    let staying = fleet.daemons.values().filter(|entry| !entry.leaving);
    let first = staying.min_by_key(|entry| (tree_position(&entry.daemon), entry.daemon.clone()));
    first.map(|entry| entry.daemon.clone())
}

/// Replaces canaries that are gone or out of service, and keeps the others. A service of `other_count` servers of
/// other versions gets as many as give each about the load of one of those.
pub fn choose_canaries(
    canaries: &mut Vec<DaemonId>,
    members: &[Member],
    other_count: usize,
    trial_share: f64,
) {
    let share_count = (trial_share * other_count as f64).round() as usize;
    let count = share_count.max(CANARY_MIN_COUNT);
    let targets = || {
        let targets = members.iter().filter(|member| member.is_target);
        targets.filter(|member| !member.is_out)
    };
    canaries.retain(|canary| targets().any(|member| member.daemon == *canary));
    for member in targets() {
        if canaries.len() >= count {
            return;
        }
        if !canaries.contains(&member.daemon) {
            canaries.push(member.daemon.clone());
        }
    }
}

/// Fewest servers of a version under trial, so that one which is gray does not decide.
const CANARY_MIN_COUNT: usize = 2;

/// What the driver knows of a daemon that it calls.
#[derive(Debug, Default)]
pub struct Peer {
    /// When the call that is not answered was sent.
    asked_at: Option<Instant>,
    /// When it was last called.
    called_at: Option<Instant>,
    /// Step of the last call, and whether it closed the version for good.
    told: Option<(RolloutStep, bool)>,
    /// Step that it last reported; none before its first answer to the present step.
    pub reported: Option<RolloutStep>,
    /// Since when it has reported another step than it was told.
    pub differs_since: Option<Instant>,
    /// Requests that run at its servers.
    pub open_count: u32,
}

impl Peer {
    /// Returns whether a call with this step is due. A new step does not wait for the answer to the
    /// last call.
    pub fn is_due(&self, now: Instant, told: (RolloutStep, bool), interval: Duration) -> bool {
        if self.told != Some(told) {
            return true;
        }
        let is_past = |at: Instant, time| now.saturating_duration_since(at) >= time;
        self.asked_at.is_none_or(|at| is_past(at, CALL_PATIENCE))
            && self.called_at.is_none_or(|at| is_past(at, interval))
    }

    /// Notes that it is called with a step, and whether that closes the version for good.
    pub fn call(&mut self, now: Instant, told: (RolloutStep, bool)) {
        self.asked_at = Some(now);
        self.called_at = Some(now);
        if self.told != Some(told) {
            self.told = Some(told);
            self.reported = None;
            self.differs_since = None;
        }
    }

    /// Notes its answer, or that there is none.
    pub fn answered(&mut self, now: Instant, report: Option<&RolloutReport>) {
        self.asked_at = None;
        let Some(report) = report else {
            return;
        };
        self.reported = Some(report.step);
        self.open_count = report.open_count;
        if self.is_at(report.step) {
            self.differs_since = None;
        } else {
            self.differs_since.get_or_insert(now);
        }
    }

    /// Returns whether it has confirmed a step.
    pub fn is_at(&self, step: RolloutStep) -> bool {
        self.told.is_some_and(|told| told.0 == step) && self.reported == Some(step)
    }

    /// Returns whether it has confirmed that the version is closed for good.
    pub fn is_closed_for_good(&self) -> bool {
        self.told == Some((RolloutStep::Closed, true)) && self.reported == Some(RolloutStep::Closed)
    }
}
