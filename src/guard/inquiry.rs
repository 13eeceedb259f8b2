//! Confirms servers that this incarnation of the daemon has not seen yet, before they get work.
//!
//! A daemon that has just started may have forgotten departures, and an announcement may be delayed.
//! So the address is asked for its health, and the answer names the server. A second announcement
//! confirms the server without a health answer, but only once the daemon has run for longer than
//! announcements are delayed; until then each announcement repeats the inquiry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::departures::ANNOUNCEMENT_DELAY_LIMIT;
use super::message::{Announcement, GuardAction};
use super::server::Presence;
use super::state::GuardState;
use crate::types::{BackendServerId, ServiceId};
use crate::wire::dialect::HealthReport;

/// Least time between two inquiries about servers that started before the holder of their address.
const RIVAL_INQUIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Inquiries that were made so far.
#[derive(Debug, Default)]
pub(super) struct Inquiries {
    /// When this incarnation of the daemon handled its first event; none before.
    began_at: Option<Instant>,
    /// Whether servers on this VM were asked since the settings last named another one.
    local_asked: bool,
    /// When the settings last named another server; answers to earlier inquiries are ignored.
    settings_changed_at: Option<Instant>,
    /// When the holder of an address was last asked for because of a rival announcement.
    rival_asked_at: Option<Instant>,
}

impl Inquiries {
    /// Records the time of the first event.
    pub(super) fn begin(&mut self, now: Instant) {
        self.began_at.get_or_insert(now);
    }

    /// Returns whether an announcement that arrives now was made since the daemon started. An earlier
    /// one may be of a server whose departure a former incarnation of the daemon acknowledged.
    pub(super) fn is_announced_since_start(&self, now: Instant) -> bool {
        self.began_at
            .is_some_and(|at| now.saturating_duration_since(at) >= ANNOUNCEMENT_DELAY_LIMIT)
    }

    /// Starts over, because the settings name another server.
    pub(super) fn restart(&mut self, now: Instant) {
        self.local_asked = false;
        self.settings_changed_at = Some(now);
    }
}

impl GuardState {
    /// Asks the server that the settings name before it announces itself, and the servers that
    /// announced themselves before their health path was known.
    pub(super) fn inquire_local(&mut self, actions: &mut Vec<GuardAction>) {
        if self.inquiries.local_asked {
            return;
        }
        let present = self.servers.iter().filter(|(_, server)| !server.gone);
        let unconfirmed = present.filter(|(_, server)| !server.is_confirmed());
        let unconfirmed: Vec<BackendServerId> = unconfirmed.map(|(name, _)| name.clone()).collect();
        for name in unconfirmed {
            self.inquiries.local_asked |=
                self.withhold_until_confirmed(&name, actions) == Presence::Asked;
        }
        let Some(address) = self.settings.server_address else {
            return;
        };
        if self.servers.values().any(|server| !server.gone) {
            return;
        }
        let service = self.settings.server_service.clone();
        self.inquiries.local_asked |= self.inquire(address, &service, actions);
    }

    /// Returns whether the servers of a service can be asked for their health.
    pub(super) fn has_health_path(&self, service: &ServiceId) -> bool {
        let contract = self.view.services.get(service);
        contract.is_some_and(|contract| !contract.health_path.is_empty())
    }

    /// Asks for a server's health; returns whether its service has a health path.
    fn inquire(
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

    /// Asks which server holds an address where a server announces itself that started before the
    /// known holder, because the clock may have been set back.
    pub(super) fn inquire_rival(
        &mut self,
        now: Instant,
        rival: &Announcement,
        actions: &mut Vec<GuardAction>,
    ) {
        let asked_at = self.inquiries.rival_asked_at;
        if !self.settings.inquire || asked_at.is_some_and(|at| now < at + RIVAL_INQUIRY_INTERVAL) {
            return;
        }
        self.inquiries.rival_asked_at = Some(now);
        self.inquire(rival.address, &rival.service, actions);
    }

    /// Handles the answer to an inquiry. It names the present holder of the address and overrides
    /// delayed announcements. An answer of a server that reports that it is unhealthy is ignored.
    pub(super) fn handle_inquiry_end(
        &mut self,
        now: Instant,
        (address, asked_at): (SocketAddr, Instant),
        report: Option<HealthReport>,
        actions: &mut Vec<GuardAction>,
    ) {
        for server in self.servers.values_mut() {
            if server.presence == Presence::Asked && server.announcement.address == address {
                server.presence = Presence::Unconfirmed;
            }
        }
        let Some(report) = report.filter(|report| report.healthy) else {
            return;
        };
        if self.is_outdated(address, asked_at, &report.server) {
            return;
        }
        self.mark_others_gone(now, address, &report.server, actions, |_| true);
        if self.check_contradiction(address, &report.server, actions) {
            return;
        }
        match self.servers.contains_key(&report.server) {
            true => self.confirm_server(now, address, &report.server),
            false => self.add_unannounced(now, address, report, actions),
        }
    }

    /// Returns whether another holder of the address was first seen, or the settings named another
    /// server, after the inquiry was sent.
    fn is_outdated(&self, address: SocketAddr, asked_at: Instant, name: &BackendServerId) -> bool {
        let renamed = self
            .inquiries
            .settings_changed_at
            .is_some_and(|at| asked_at < at);
        let mut others = self.other_servers_at(address, name);
        renamed || others.any(|other| other.seen_at > asked_at)
    }

    /// Confirms a known server that its health answer names.
    fn confirm_server(&mut self, now: Instant, address: SocketAddr, name: &BackendServerId) {
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let held = &server.announcement;
        let elsewhere = held.address != address;
        if elsewhere || self.has_left(now, name, held.started_at_ms) {
            return;
        }
        if let Some(server) = self.servers.get_mut(name) {
            server.presence = Presence::Confirmed;
            if std::mem::take(&mut server.gone) {
                server.renewed_at = now;
            }
        }
    }

    /// Registers a server that a health answer names before it has announced itself.
    fn add_unannounced(
        &mut self,
        now: Instant,
        address: SocketAddr,
        report: HealthReport,
        actions: &mut Vec<GuardAction>,
    ) {
        let name = report.server.clone();
        let named = self.settings.server_address == Some(address);
        if !named || self.has_left(now, &name, 0) {
            return;
        }
        let announcement = Announcement {
            server: report.server,
            service: self.settings.server_service.clone(),
            address,
            slots_count: report.slots_count.unwrap_or(1).max(1),
            cold: report.cold,
            ..Default::default()
        };
        if announcement.check().is_err() {
            return;
        }
        self.handle_announcement(now, announcement, actions);
        if let Some(server) = self.servers.get_mut(&name) {
            server.presence = Presence::Confirmed;
        }
    }

    /// Asks for the health of an announced server, and returns how far it is confirmed until then.
    pub(super) fn inquire_presence(
        &self,
        announcement: &Announcement,
        actions: &mut Vec<GuardAction>,
    ) -> Presence {
        if !self.settings.inquire {
            return Presence::Confirmed;
        }
        match self.inquire(announcement.address, &announcement.service, actions) {
            true => Presence::Asked,
            false => Presence::Unconfirmed,
        }
    }

    /// Withholds work from a known server until it is confirmed.
    pub(super) fn withhold_until_confirmed(
        &mut self,
        name: &BackendServerId,
        actions: &mut Vec<GuardAction>,
    ) -> Presence {
        let Some(server) = self.servers.get(name) else {
            return Presence::Unconfirmed;
        };
        let presence = self.inquire_presence(&server.announcement, actions);
        if let Some(server) = self.servers.get_mut(name) {
            server.presence = presence;
        }
        presence
    }
}
