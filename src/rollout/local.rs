//! The rule for the servers on this VM: what the driver told, and what holds while none calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::message::{RolloutCall, RolloutOrder, RolloutRule, RolloutStep};
use crate::membership::{Fleet, ServerEntry};
use crate::types::{DaemonId, SoftwareVersion};

/// Time for which a driver's word on a closed server holds against what the fleet shows, and for
/// which a version that was rolled back stays closed whatever another driver says.
const TOLD_TIME: Duration = Duration::from_secs(3);

/// Time for which all known servers of a service must be of the target version before one that no
/// driver calls takes requests.
const ALONE_TIME: Duration = Duration::from_secs(3);

/// What a driver last told a server of the target version.
#[derive(Debug, Clone, Copy)]
struct Told {
    /// The step.
    step: RolloutStep,
    /// When it was told.
    at: Instant,
    /// Until when a trial holds.
    until: Instant,
    /// Whether the version was rolled back.
    rolled_back: bool,
}

/// Decides the rule for the servers of one service on this VM.
#[derive(Debug)]
pub struct LocalRule {
    /// The order.
    order: Arc<RolloutOrder>,
    /// Id of this daemon.
    own_daemon: DaemonId,
    /// What a driver told while the server here was of the target version.
    target_told: Option<Told>,
    /// What a driver told while the server here was of another version.
    other_told: Option<RolloutStep>,
    /// Since when all known servers of the service are of the target version.
    alone_since: Option<Instant>,
    /// Versions that earlier orders brought in and that did not take over.
    refused_versions: SmallVec<[SoftwareVersion; 2]>,
}

impl LocalRule {
    /// Creates the rule of an order that no driver has spoken about. The versions are those that
    /// earlier orders brought in and that did not take over.
    pub fn new(
        order: Arc<RolloutOrder>,
        own_daemon: DaemonId,
        mut refused_versions: SmallVec<[SoftwareVersion; 2]>,
    ) -> LocalRule {
        refused_versions.retain(|version| *version != order.target_version);
        LocalRule {
            order,
            own_daemon,
            target_told: None,
            other_told: None,
            alone_since: None,
            refused_versions,
        }
    }

    /// Returns the versions that stay closed under the next order: those of earlier orders, and the
    /// target version unless it has taken over.
    pub fn refused_after(&self) -> SmallVec<[SoftwareVersion; 2]> {
        let mut refused = self.refused_versions.clone();
        let taken_over = self
            .target_told
            .is_some_and(|told| told.step == RolloutStep::Full);
        if !taken_over {
            refused.push(self.order.target_version.clone());
        }
        refused
    }

    /// Takes the driver's word for the server here. A driver that has not learned of a roll-back does
    /// not open the version again.
    pub fn told(&mut self, now: Instant, call: &RolloutCall, is_target: bool) {
        if !is_target {
            self.other_told = Some(call.step);
            return;
        }
        let rolled_back = call.step == RolloutStep::Closed && call.holds_for.is_zero();
        let is_refused = self.target_told.is_some_and(|told| {
            told.rolled_back && now.saturating_duration_since(told.at) < TOLD_TIME
        });
        if is_refused && !rolled_back {
            return;
        }
        self.target_told = Some(Told {
            step: call.step,
            at: now,
            until: now + call.holds_for,
            rolled_back,
        });
    }

    /// Returns the rule that the guard is to apply.
    pub fn rule(&mut self, now: Instant, fleet: &Fleet, servers: &[ServerEntry]) -> RolloutRule {
        let is_full = self.is_full_elsewhere(fleet);
        let is_alone = self.is_alone(now, fleet, servers);
        let mut holds_until = None;
        let target_step = match self.target_told {
            Some(told) if told.rolled_back => RolloutStep::Closed,
            Some(told) if told.step == RolloutStep::Full => RolloutStep::Full,
            Some(told) if told.step == RolloutStep::Trial && now < told.until => {
                holds_until = Some(told.until);
                RolloutStep::Trial
            }
            Some(told)
                if told.step == RolloutStep::Closed
                    && now.saturating_duration_since(told.at) < TOLD_TIME =>
            {
                RolloutStep::Closed
            }
            _ if is_full || is_alone => RolloutStep::Full,
            _ => RolloutStep::Closed,
        };
        let is_refused = |server: &ServerEntry| {
            server.service == self.order.service
                && self.refused_versions.contains(&server.software_version)
        };
        let other_step = match self.other_told {
            _ if servers.iter().any(is_refused) => RolloutStep::Closed,
            Some(RolloutStep::Closed) => RolloutStep::Closed,
            None if is_full => RolloutStep::Closed,
            _ => RolloutStep::None,
        };
        RolloutRule {
            service: self.order.service.clone(),
            target_version: self.order.target_version.clone(),
            target_step,
            other_step,
            holds_until,
        }
    }

    /// Returns whether the server is of the target version.
    pub fn is_target(&self, server: &ServerEntry) -> bool {
        server.software_version == self.order.target_version
    }

    /// Returns whether the fleet shows a server at another daemon that has taken over.
    fn is_full_elsewhere(&self, fleet: &Fleet) -> bool {
        let others = fleet.daemons.values();
        others
            .filter(|entry| entry.daemon != self.own_daemon)
            .flat_map(|entry| &entry.servers)
            .any(|server| {
                server.service == self.order.service
                    && self.is_target(server)
                    && server.rollout_step == RolloutStep::Full
            })
    }

    /// Returns whether all known servers of the service have been of the target version for a time.
    fn is_alone(&mut self, now: Instant, fleet: &Fleet, servers: &[ServerEntry]) -> bool {
        let others = fleet.daemons.values();
        let others = others.filter(|entry| entry.daemon != self.own_daemon);
        let known = others.flat_map(|entry| &entry.servers).chain(servers);
        let mut of_service = known.filter(|server| server.service == self.order.service);
        if !of_service.all(|server| self.is_target(server)) {
            self.alone_since = None;
            return false;
        }
        let since = *self.alone_since.get_or_insert(now);
        now.saturating_duration_since(since) >= ALONE_TIME
    }
}
