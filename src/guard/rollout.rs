//! Gives the servers on this VM work by the steps of the roll-outs in progress.

use std::time::Instant;

use super::message::{Announcement, GuardAction};
use super::server::ServerState;
use super::state::GuardState;
use crate::error::ErrorKind;
use crate::rollout::{RolloutRule, RolloutStep};
use crate::types::{BackendServerId, ServiceId};

impl GuardState {
    /// Replaces the rule of a service and applies it to the servers that are present.
    pub(super) fn set_rollout(
        &mut self,
        now: Instant,
        rule: RolloutRule,
        actions: &mut Vec<GuardAction>,
    ) {
        self.rollouts.insert(rule.service.clone(), rule);
        self.apply_rollouts(now, actions);
    }

    /// Lifts the rule of a service: its servers take work as always.
    pub(super) fn end_rollout(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GuardAction>,
    ) {
        self.rollouts.remove(service);
        self.apply_rollouts(now, actions);
    }

    /// Returns the step of the server that an announcement describes.
    pub(super) fn rollout_step(&self, now: Instant, announcement: &Announcement) -> RolloutStep {
        let Some(rule) = self.rollouts.get(&announcement.service) else {
            return RolloutStep::None;
        };
        if announcement.software_version != rule.target_version {
            return rule.other_step;
        }
        let expired = rule.holds_until.is_some_and(|until| now >= until);
        match rule.target_step {
            RolloutStep::Trial if expired => RolloutStep::Closed,
            step => step,
        }
    }

    /// Returns when the first trial on this VM ends unless its rule is renewed.
    pub(super) fn trial_ends_at(&self) -> Option<Instant> {
        let in_trial =
            |server: &&ServerState| !server.gone && server.rollout_step == RolloutStep::Trial;
        let servers = self.servers.values().filter(in_trial);
        let rules = servers.filter_map(|server| self.rollouts.get(&server.announcement.service));
        rules.filter_map(|rule| rule.holds_until).min()
    }

    /// Brings every server to its step, and refuses what waits for servers that close by it. What
    /// runs goes on.
    pub(super) fn apply_rollouts(&mut self, now: Instant, actions: &mut Vec<GuardAction>) {
        let mut closed: Vec<BackendServerId> = Vec::new();
        let mut changed: Vec<(BackendServerId, RolloutStep)> = Vec::new();
        for (name, server) in &self.servers {
            let step = self.rollout_step(now, &server.announcement);
            if step == server.rollout_step {
                continue;
            }
            changed.push((name.clone(), step));
            if step == RolloutStep::Closed {
                closed.push(name.clone());
            }
        }
        for (name, step) in changed {
            if let Some(server) = self.servers.get_mut(&name) {
                server.rollout_step = step;
            }
        }
        for name in closed {
            self.refuse_waiting(now, &name, ErrorKind::NoServer, actions);
        }
    }
}

impl ServerState {
    /// Returns whether the server is draining or closed by a roll-out.
    pub(super) fn leaves(&self) -> bool {
        self.announcement.draining || self.rollout_step == RolloutStep::Closed
    }
}
