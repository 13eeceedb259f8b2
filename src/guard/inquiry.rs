//! Whether a server that this life of the daemon has not seen yet may be given work.
//!
//! A daemon that has just started remembers no departure, and an announcement may be late. So the
//! server is asked for its health, which names it. Where its health is no help, a second
//! announcement proves it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::message::{Announcement, GuardAction};
use super::server::Proof;
use super::state::GuardState;
use crate::types::{BackendServerId, ServiceId};
use crate::wire::dialect::HealthReport;

/// Least time between two questions about servers that started before the holder of their address.
const RIVAL_WAIT: Duration = Duration::from_secs(1);

/// What was asked of servers so far.
#[derive(Debug, Default)]
pub(super) struct Inquiries {
    /// Whether the server that the settings name was asked.
    started: bool,
    /// What was asked before this tells of a server that other settings named.
    named_at: Option<Instant>,
    rival_asked_at: Option<Instant>,
}

impl Inquiries {
    /// The settings name another server.
    pub(super) fn start_anew(&mut self, now: Instant) {
        self.started = false;
        self.named_at = Some(now);
    }
}

impl GuardState {
    /// Asks the server that the settings name, before it announces itself, and those that have
    /// announced themselves before their health path was known.
    pub(super) fn inquire_local(&mut self, actions: &mut Vec<GuardAction>) {
        if self.inquiries.started {
            return;
        }
        let present = self.servers.iter().filter(|(_, server)| !server.gone);
        let unproven = present.filter(|(_, server)| !server.is_proven());
        let unproven: Vec<BackendServerId> = unproven.map(|(name, _)| name.clone()).collect();
        for name in unproven {
            self.inquiries.started |= self.hold_back(&name, actions) == Proof::Asked;
        }
        let Some(address) = self.settings.server_address else {
            return;
        };
        if self.servers.values().any(|server| !server.gone) {
            return;
        }
        let service = self.settings.server_service.clone();
        self.inquiries.started |= self.inquire(address, &service, actions);
    }

    /// Asks for a server's health; says whether it has a path for that.
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

    /// Asks who holds an address where a server announces itself that started before the holder:
    /// its clock may have been set back.
    pub(super) fn ask_rival(
        &mut self,
        now: Instant,
        rival: &Announcement,
        actions: &mut Vec<GuardAction>,
    ) {
        let asked_at = self.inquiries.rival_asked_at;
        if !self.settings.inquire || asked_at.is_some_and(|at| now < at + RIVAL_WAIT) {
            return;
        }
        self.inquiries.rival_asked_at = Some(now);
        self.inquire(rival.address, &rival.service, actions);
    }

    /// Takes the answer. It names who holds the address, whatever came late. A server that says it
    /// is not well is left to its announcements.
    pub(super) fn inquired(
        &mut self,
        now: Instant,
        (address, asked_at): (SocketAddr, Instant),
        report: Option<HealthReport>,
        actions: &mut Vec<GuardAction>,
    ) {
        for server in self.servers.values_mut() {
            if server.proof == Proof::Asked && server.announcement.address == address {
                server.proof = Proof::Lacking;
            }
        }
        let Some(report) = report.filter(|report| report.healthy) else {
            return;
        };
        if self.is_outrun(address, asked_at, &report.server) {
            return;
        }
        self.end_others(now, address, &report.server, actions, |_| true);
        match self.servers.contains_key(&report.server) {
            true => self.confirm_known(now, address, &report.server),
            false => self.enter_unannounced(now, address, report, actions),
        }
    }

    /// Whether an answer is older than what has been seen since: another holder of the address, or
    /// settings that name another server.
    fn is_outrun(&self, address: SocketAddr, asked_at: Instant, name: &BackendServerId) -> bool {
        let renamed = self.inquiries.named_at.is_some_and(|at| asked_at < at);
        let mut others = self.others_at(address, name);
        renamed || others.any(|other| other.seen_at > asked_at)
    }

    /// Its health names a server that is known.
    fn confirm_known(&mut self, now: Instant, address: SocketAddr, name: &BackendServerId) {
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let held = &server.announcement;
        let elsewhere = held.address != address;
        if elsewhere || self.has_left(now, name, held.started_at_ms) {
            return;
        }
        if let Some(server) = self.servers.get_mut(name) {
            server.proof = Proof::Proven;
            if std::mem::take(&mut server.gone) {
                server.renewed_at = now;
            }
        }
    }

    /// Its health names a server that has not announced itself yet.
    fn enter_unannounced(
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
        self.announced(now, announcement, actions);
        if let Some(server) = self.servers.get_mut(&name) {
            server.proof = Proof::Proven;
        }
    }

    /// Asks whether a server is there; what is known of that meanwhile.
    pub(super) fn ask_for_proof(
        &self,
        announcement: &Announcement,
        actions: &mut Vec<GuardAction>,
    ) -> Proof {
        if !self.settings.inquire {
            return Proof::Proven;
        }
        match self.inquire(announcement.address, &announcement.service, actions) {
            true => Proof::Asked,
            false => Proof::Lacking,
        }
    }

    /// Holds a known server back until it is proven.
    pub(super) fn hold_back(
        &mut self,
        name: &BackendServerId,
        actions: &mut Vec<GuardAction>,
    ) -> Proof {
        let Some(server) = self.servers.get(name) else {
            return Proof::Lacking;
        };
        let proof = self.ask_for_proof(&server.announcement, actions);
        if let Some(server) = self.servers.get_mut(name) {
            server.proof = proof;
        }
        proof
    }
}
