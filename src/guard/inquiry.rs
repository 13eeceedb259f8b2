//! Whether a server that this life of the daemon has not seen yet may be given work.
//!
//! A daemon that has just started remembers no departure, and an announcement may be late. So the
//! server is asked for its health, which names it. Where its health is no help, a second
//! announcement proves it.

use std::net::SocketAddr;
use std::time::Instant;

use super::message::{Announcement, GuardAction};
use super::server::ServerState;
use super::state::GuardState;
use crate::types::ServiceId;
use crate::wire::dialect::HealthWord;

impl GuardState {
    /// Asks the server that the settings name, before it announces itself, and those that have
    /// announced themselves before their health path was known.
    pub(super) fn inquire_beside(&mut self, actions: &mut Vec<GuardAction>) {
        if self.inquired {
            return;
        }
        for server in self.servers.values().filter(|server| server.unproven) {
            let announcement = &server.announcement;
            self.inquired |= self.inquire(announcement.address, &announcement.service, actions);
        }
        let Some(address) = self.settings.server_address else {
            return;
        };
        if !self.servers.is_empty() {
            return;
        }
        let service = self.settings.server_service.clone();
        self.inquired |= self.inquire(address, &service, actions);
    }

    /// Asks for a server's health; says whether it has a path for that.
    pub(super) fn inquire(
        &self,
        address: SocketAddr,
        service: &ServiceId,
        actions: &mut Vec<GuardAction>,
    ) -> bool {
        let contract = self.view.services.get(service);
        let Some(contract) = contract.filter(|contract| !contract.health_path.is_empty()) else {
            return false;
        };
        let path = contract.health_path.clone();
        actions.push(GuardAction::Inquire { address, path });
        true
    }

    /// Takes the answer. It names who holds the address, whatever came late. A server that says it
    /// is not well is left to its announcements.
    pub(super) fn inquired(
        &mut self,
        now: Instant,
        address: SocketAddr,
        word: Option<HealthWord>,
        actions: &mut Vec<GuardAction>,
    ) {
        let Some(word) = word.filter(|word| word.healthy) else {
            return;
        };
        self.end_others(now, address, &word.server, actions, |_| true);
        if let Some(server) = self.servers.get_mut(&word.server) {
            if server.announcement.address == address {
                server.unproven = false;
            }
            return;
        }
        if self.settings.server_address != Some(address) {
            return;
        }
        let name = word.server.clone();
        let announcement = Announcement {
            server: word.server,
            service: self.settings.server_service.clone(),
            address,
            slots_count: word.slots_count.unwrap_or(1).max(1),
            cold: word.cold,
            ..Default::default()
        };
        if announcement.check().is_err() {
            return;
        }
        self.announced(now, announcement, actions);
        if let Some(server) = self.servers.get_mut(&name) {
            server.unproven = false;
        }
    }

    /// Holds a server that is new to this life back until it is proven.
    pub(super) fn hold_back(&mut self, state: &mut ServerState, actions: &mut Vec<GuardAction>) {
        if !self.settings.inquire {
            return;
        }
        state.unproven = true;
        let service = state.announcement.service.clone();
        self.inquire(state.announcement.address, &service, actions);
    }
}
