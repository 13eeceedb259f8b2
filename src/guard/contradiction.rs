//! Detects that the server on this VM is of another service than the settings name.
//!
//! An announcement alone does not show it, since it may be delayed or come from another writer. A
//! health answer of the announced server at the address in the settings does.

use std::net::SocketAddr;
use std::time::Instant;

use super::message::{Announcement, GuardAction};
use super::state::GuardState;
use crate::types::BackendServerId;

/// A server that announced itself with another service than the settings name. Its health does not
/// make it a server of the service in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Contradiction {
    /// Server that announced itself.
    server: BackendServerId,
    /// Start of its latest incarnation that did, in milliseconds since the epoch.
    started_at_ms: u64,
    /// When that incarnation last did.
    renewed_at: Instant,
    /// Whether its health answer has shown that it holds the address in the settings.
    proven: bool,
}

impl GuardState {
    /// Records an announcement that was ignored because it names another service than the settings,
    /// withdraws its server, and asks the server there for its health. One that names a service
    /// without a contract is of no use to anybody and changes nothing.
    pub(super) fn record_contradiction(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        actions: &mut Vec<GuardAction>,
    ) {
        if !self.view.services.contains_key(&announcement.service) {
            return;
        }
        let name = &announcement.server;
        let known = self.servers.get(name);
        let is_late = known.is_some_and(|known| {
            known.is_of_earlier_incarnation(announcement)
                || known.has_later_announcement(announcement)
        });
        if is_late {
            return;
        }
        if known.is_some_and(|known| !known.gone) {
            self.mark_gone(now, name, actions);
        }
        let started_at_ms = announcement.started_at_ms;
        if let Some(known) = self.contradiction.as_mut().filter(|known| known.proven) {
            if known.server == *name && started_at_ms >= known.started_at_ms {
                known.started_at_ms = started_at_ms;
                known.renewed_at = now;
            }
            return;
        }
        self.contradiction = Some(Contradiction {
            server: name.clone(),
            started_at_ms,
            renewed_at: now,
            proven: false,
        });
        self.inquire_rival(now, announcement, actions);
    }

    /// Handles a health answer of a server at an address. Returns whether that server is of another
    /// service than the settings name.
    pub(super) fn check_contradiction(
        &mut self,
        address: SocketAddr,
        server: &BackendServerId,
        actions: &mut Vec<GuardAction>,
    ) -> bool {
        let named = self.settings.server_address == Some(address);
        let Some(known) = &mut self.contradiction else {
            return false;
        };
        if known.server != *server {
            if named {
                self.end_contradiction(actions);
            }
            return false;
        }
        if named && !std::mem::replace(&mut known.proven, true) {
            actions.push(GuardAction::ServiceContradicted(true));
        }
        true
    }

    /// Forgets the contradiction, because the settings or the server have changed.
    pub(super) fn end_contradiction(&mut self, actions: &mut Vec<GuardAction>) {
        if self.contradiction.take().is_some_and(|known| known.proven) {
            actions.push(GuardAction::ServiceContradicted(false));
        }
    }

    /// Returns whether this is of an earlier incarnation of the server that contradicts the settings
    /// at present. An incarnation that has announced nothing for a while outranks no other.
    pub(super) fn is_before_contradiction(
        &self,
        now: Instant,
        server: &BackendServerId,
        started_at_ms: u64,
    ) -> bool {
        let known = self.contradiction.as_ref();
        known.is_some_and(|known| {
            known.proven
                && known.server == *server
                && started_at_ms < known.started_at_ms
                && now.saturating_duration_since(known.renewed_at) < self.announcement_ttl()
        })
    }

    /// Forgets the contradiction if its server, in an incarnation that started then, has left; 0
    /// for one of unknown start.
    pub(super) fn end_contradiction_by_departure(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        started_at_ms: u64,
        actions: &mut Vec<GuardAction>,
    ) {
        let is_late =
            started_at_ms != 0 && self.is_before_contradiction(now, server, started_at_ms);
        let known = self.contradiction.as_ref();
        if !is_late && known.is_some_and(|known| known.server == *server) {
            self.end_contradiction(actions);
        }
    }

    /// Forgets the contradiction if its server has announced the service in the settings, or one
    /// that started later has and its health can't be asked; otherwise asks which server is there.
    pub(super) fn end_contradiction_by_announcement(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        actions: &mut Vec<GuardAction>,
    ) {
        let Some(known) = &self.contradiction else {
            return;
        };
        let is_own = known.server == announcement.server;
        let is_later = announcement.started_at_ms > known.started_at_ms;
        if is_own || (is_later && !self.has_health_path(&announcement.service)) {
            return self.end_contradiction(actions);
        }
        if known.proven {
            self.inquire_rival(now, announcement, actions);
        }
    }
}
