//! How the guard stops giving work: to a server that left or drains, on a failure domain that is
//! out of service, and on a daemon that closes.

use std::time::{Duration, Instant};

use super::message::GuardAction;
use super::state::GuardState;
use crate::error::ErrorKind;
use crate::types::BackendServerId;

/// How long a server that left is remembered.
const SERVER_MEMORY: Duration = Duration::from_secs(600);

impl GuardState {
    /// A life of a server withdrew its announcement. A late word of an earlier life than the present
    /// one changes nothing.
    pub(super) fn withdrawn(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        started_at_ms: u64,
        actions: &mut Vec<GuardAction>,
    ) {
        let held = self.servers.get(name);
        let held_ms = held.map_or(0, |server| server.announcement.started_at_ms);
        if started_at_ms != 0 && started_at_ms < held_ms {
            return;
        }
        let started_at_ms = started_at_ms.max(held_ms);
        self.departures.add(now, name, started_at_ms);
        self.gone(now, name, actions);
    }

    /// Whether a life of a server has said that it leaves, and is held to that.
    pub(super) fn has_left(
        &self,
        now: Instant,
        name: &BackendServerId,
        started_at_ms: u64,
    ) -> bool {
        self.settings.departures_final && self.departures.has_left(now, name, started_at_ms)
    }

    pub(super) fn gone(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        actions: &mut Vec<GuardAction>,
    ) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.gone = true;
        actions.extend(self.deaths.confirm(now, name));
        self.refuse_waiting(now, name, ErrorKind::NoServer, actions);
    }

    pub(super) fn domain(&mut self, now: Instant, out: bool, actions: &mut Vec<GuardAction>) {
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

    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<GuardAction>) {
        let ttl = self.ttl();
        let names: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        for name in names {
            let Some(server) = self.servers.get_mut(&name) else {
                continue;
            };
            let lapsed = now.saturating_duration_since(server.renewed_at) >= ttl;
            while let Some(late) = server.queue.pop_expired(now) {
                let key = late.key();
                self.started.refused(now, key);
                actions.push(GuardAction::Refuse {
                    key,
                    kind: ErrorKind::DeadlineUnmeetable,
                    retry_after: None,
                });
            }
            if lapsed && !server.gone {
                self.gone(now, &name, actions);
            }
            self.pump(now, &name, actions);
        }
        self.deaths.lapse(now);
        self.forget_servers(now);
    }

    /// Forgets servers that left long ago.
    pub(super) fn forget_servers(&mut self, now: Instant) {
        self.departures.forget(now);
        self.servers.retain(|_, server| {
            let away = now.saturating_duration_since(server.renewed_at);
            !server.gone || server.running_count > 0 || away < SERVER_MEMORY
        });
    }
}
