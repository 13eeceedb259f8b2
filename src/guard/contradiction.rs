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
        if self.is_contradicted() {
            return;
        }
        self.contradiction = Some(Contradiction {
            server: name.clone(),
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

    /// Forgets the contradiction if its server has left or has announced the service in the settings.
    pub(super) fn end_contradiction_of(
        &mut self,
        server: &BackendServerId,
        actions: &mut Vec<GuardAction>,
    ) {
        let known = self.contradiction.as_ref();
        if known.is_some_and(|known| known.server == *server) {
            self.end_contradiction(actions);
        }
    }

    /// Returns whether the server on this VM is shown to be of another service.
    pub(super) fn is_contradicted(&self) -> bool {
        self.contradiction
            .as_ref()
            .is_some_and(|known| known.proven)
    }
}
