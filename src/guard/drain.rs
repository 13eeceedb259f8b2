//! Stops giving work to a server that left, in a failure domain that is out of service, and on a
//! daemon that stops.

use std::time::{Duration, Instant};

use super::message::GuardAction;
use super::state::GuardState;
use crate::error::ErrorKind;
use crate::types::BackendServerId;

/// How long a server is remembered after its last announcement, once it has left.
const SERVER_RETENTION: Duration = Duration::from_secs(600);

impl GuardState {
    /// Returns when a draining guard on which nothing runs has received nothing for `quiet_ms`.
    /// Until then, entry daemons that do not know yet that the daemon leaves still get refusals.
    pub(super) fn drained_at(&self) -> Option<Instant> {
        let idle = self.draining && self.running.is_empty();
        idle.then_some(self.last_arrival_at)
            .flatten()
            .map(|at| at + Duration::from_millis(self.settings.quiet_ms))
    }

    pub(super) fn accepts_work(&self) -> bool {
        !self.draining && !self.domain_out
    }

    /// Handles the withdrawal of an incarnation. A delayed withdrawal of an incarnation before the
    /// present one changes nothing.
    pub(super) fn handle_withdrawal(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        started_at_ms: u64,
        actions: &mut Vec<GuardAction>,
    ) {
        self.end_contradiction_by_departure(now, name, started_at_ms, actions);
        let held = self.servers.get(name);
        let held_ms = held.map_or(0, |server| server.announcement.started_at_ms);
        if started_at_ms != 0 && started_at_ms < held_ms {
            return;
        }
        let started_at_ms = started_at_ms.max(held_ms);
        self.departures.add(now, name, started_at_ms);
        self.mark_gone(now, name, actions);
    }

    /// Returns whether an incarnation of a server has announced its departure, if the settings make
    /// departures final.
    pub(super) fn has_left(
        &self,
        now: Instant,
        name: &BackendServerId,
        started_at_ms: u64,
    ) -> bool {
        self.settings.departures_final && self.departures.has_left(now, name, started_at_ms)
    }

    /// Marks a server as gone and refuses the requests that wait for it.
    pub(super) fn mark_gone(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        actions: &mut Vec<GuardAction>,
    ) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.gone = true;
        actions.extend(self.deaths.confirm_deaths(now, name));
        self.refuse_waiting(now, name, ErrorKind::NoServer, actions);
    }

    /// Takes this VM's failure domain out of service or back; its servers return cold.
    pub(super) fn set_domain_out(
        &mut self,
        now: Instant,
        out: bool,
        actions: &mut Vec<GuardAction>,
    ) {
        let back = self.domain_out && !out;
        self.domain_out = out;
        if out {
            self.refuse_all_waiting(now, ErrorKind::NoServer, actions);
        }
        if back {
            for server in self.servers.values_mut() {
                server.cold.turn_cold(now);
            }
        }
    }

    /// Refuses the requests that wait for any server.
    pub(super) fn refuse_all_waiting(
        &mut self,
        now: Instant,
        kind: ErrorKind,
        actions: &mut Vec<GuardAction>,
    ) {
        let names: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        for name in names {
            self.refuse_waiting(now, &name, kind, actions);
        }
    }

    /// Refuses the requests that wait for one server.
    pub(super) fn refuse_waiting(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        kind: ErrorKind,
        actions: &mut Vec<GuardAction>,
    ) {
        while let Some(waiting) = self
            .servers
            .get_mut(name)
            .and_then(|server| server.queue.pop())
        {
            self.refuse(now, waiting.key(), kind, None, actions);
        }
    }

    /// Returns when the next `GuardEvent::Tick` is due.
    pub fn next_tick_at(&self) -> Option<Instant> {
        let mut next = self
            .drained_at()
            .into_iter()
            .chain(self.trial_ends_at())
            .min();
        for server in self.servers.values() {
            let expires_at = (!server.gone).then(|| server.renewed_at + self.announcement_ttl());
            for at in [
                expires_at,
                server.queue.next_end_at(),
                server.rate_free_at(),
            ]
            .into_iter()
            .flatten()
            {
                next = Some(next.map_or(at, |known| known.min(at)));
            }
        }
        next
    }

    /// Handles waits that have ended and expired announcements, and starts requests that may start
    /// now.
    pub(super) fn handle_tick(&mut self, now: Instant, actions: &mut Vec<GuardAction>) {
        let ttl = self.announcement_ttl();
        let names: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        for name in names {
            let Some(server) = self.servers.get_mut(&name) else {
                continue;
            };
            let expired = now.saturating_duration_since(server.renewed_at) >= ttl;
            while let Some(overdue) = server.queue.pop_expired(now) {
                let key = overdue.key();
                let (kind, retry_after) = match now >= overdue.deadline_at {
                    true => (ErrorKind::DeadlineUnmeetable, None),
                    false => (ErrorKind::Busy, Some(server.expected_wait(&overdue))),
                };
                self.started.record_refusal(now, key);
                actions.push(GuardAction::Refuse {
                    key,
                    kind,
                    retry_after,
                });
            }
            if expired && !server.gone {
                self.mark_gone(now, &name, actions);
            }
            self.start_waiting(now, &name, actions);
        }
        self.deaths.forget_expired(now);
        self.forget_servers(now);
    }

    /// Forgets expired departures, and servers that left longer than `SERVER_RETENTION` ago.
    pub(super) fn forget_servers(&mut self, now: Instant) {
        self.departures.forget_expired(now);
        self.servers.retain(|_, server| {
            let away = now.saturating_duration_since(server.renewed_at);
            !server.gone || server.running_count > 0 || away < SERVER_RETENTION
        });
    }
}
