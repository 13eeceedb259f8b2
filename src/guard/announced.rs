//! What servers say of themselves, in which order it counts, and what the view adds to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use super::message::{Announcement, GuardAction, IgnoredBecause};
use super::server::{Proof, ServerState};
use super::state::GuardState;
use crate::contract::View;
use crate::error::ErrorKind;
use crate::membership::ServerEntry;
use crate::settings::guard::GuardSettings;
use crate::types::{BackendServerId, ServiceId};

impl GuardState {
    pub(super) fn announced(
        &mut self,
        now: Instant,
        announcement: Announcement,
        actions: &mut Vec<GuardAction>,
    ) {
        let name = announcement.server.clone();
        if let Some(reason) = self.ignored_because(now, &announcement) {
            if reason == IgnoredBecause::Replaced {
                self.ask_rival(now, &announcement, actions);
            }
            actions.push(GuardAction::AnnouncementIgnored {
                announcement,
                reason,
            });
            return;
        }
        if self.is_news(&announcement) {
            actions.push(GuardAction::ServerSeen(announcement.clone()));
        }
        self.replace_others(now, &announcement, actions);
        let announcement = self.held_to_departure(now, announcement);
        match self.servers.contains_key(&name) {
            true => self.renewed(now, &name, announcement, actions),
            false => self.first_heard(now, name, announcement, actions),
        }
    }

    fn first_heard(
        &mut self,
        now: Instant,
        name: BackendServerId,
        announcement: Announcement,
        actions: &mut Vec<GuardAction>,
    ) {
        let mut state = ServerState::new(&self.settings, announcement, now);
        state.proof = self.ask_for_proof(&state.announcement, actions);
        state.cold_rate_per_s = self.cold_rate_per_s(&state.announcement.service);
        self.servers.insert(name, state);
    }

    fn renewed(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        announcement: Announcement,
        actions: &mut Vec<GuardAction>,
    ) {
        let address = announcement.address;
        let draining = announcement.draining;
        let has_rival = self.others_at(address, name).next().is_some();
        let cold_rate_per_s = self.cold_rate_per_s(&announcement.service);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.cold_rate_per_s = cold_rate_per_s;
        let is_earlier = announcement.started_at_ms < server.announcement.started_at_ms;
        let becomes_proven = match server.proof {
            Proof::Proven => false,
            Proof::Lacking => true,
            Proof::Asked => !has_rival,
        };
        let new_incarnation = server.renew(now, announcement);
        if becomes_proven {
            server.proof = Proof::Proven;
        }
        if new_incarnation {
            actions.extend(self.deaths.confirm(now, name));
        }
        if is_earlier {
            self.hold_back(name, actions);
        } else if becomes_proven {
            self.end_others(now, address, name, actions, |_| true);
        }
        if draining {
            self.refuse_waiting(now, name, ErrorKind::NoServer, actions);
        }
        self.pump(now, name, actions);
    }

    /// A server that has said it leaves is held to that for the rest of its life.
    fn held_to_departure(&mut self, now: Instant, announcement: Announcement) -> Announcement {
        let Announcement {
            server,
            started_at_ms,
            draining,
            ..
        } = &announcement;
        if *draining {
            self.departures.add(now, server, *started_at_ms);
        }
        let draining = *draining || self.has_left(now, server, *started_at_ms);
        Announcement {
            draining,
            ..announcement
        }
    }

    /// Why the announcement does not count: it is not of the server that the settings name, it is
    /// an earlier one of the same life, or of a server whose address another has since taken.
    fn ignored_because(&self, now: Instant, announcement: &Announcement) -> Option<IgnoredBecause> {
        if let Some(reason) = self.contradiction(announcement) {
            return Some(reason);
        }
        let own = self.servers.get(&announcement.server);
        if own.is_some_and(|known| known.is_of_earlier_incarnation(announcement)) {
            return Some(IgnoredBecause::EarlierIncarnation);
        }
        if own.is_some_and(|known| known.has_said_later(announcement)) {
            return Some(IgnoredBecause::Outdated);
        }
        let mut holders = self.others_at(announcement.address, &announcement.server);
        let replaced = holders.any(|holder| {
            let held = &holder.announcement;
            !held.draining
                && announcement.started_at_ms < held.started_at_ms
                && now.saturating_duration_since(holder.renewed_at) < self.ttl()
        });
        replaced.then_some(IgnoredBecause::Replaced)
    }

    /// What the settings say otherwise of the server on this VM. They go before announcements: one
    /// may be late and come from who had the address before.
    pub(super) fn contradiction(&self, announcement: &Announcement) -> Option<IgnoredBecause> {
        let GuardSettings {
            server_address,
            server_service,
            ..
        } = &self.settings;
        if server_address.is_some_and(|address| address != announcement.address) {
            return Some(IgnoredBecause::OtherAddress);
        }
        let other = !server_service.is_empty() && *server_service != announcement.service;
        other.then_some(IgnoredBecause::OtherService)
    }

    /// Whether the announcement tells of a server, or of a life of one, that is not known.
    fn is_news(&self, announcement: &Announcement) -> bool {
        self.servers.get(&announcement.server).is_none_or(|known| {
            let held = &known.announcement;
            held.started_at_ms != announcement.started_at_ms || held.service != announcement.service
        })
    }

    /// Takes other settings. Servers that they no longer allow on this VM are gone.
    pub(super) fn take_settings(
        &mut self,
        now: Instant,
        settings: GuardSettings,
        actions: &mut Vec<GuardAction>,
    ) {
        self.retries.take_settings(&settings);
        for server in self.servers.values_mut() {
            server.take_settings(&settings);
        }
        let named =
            |settings: &GuardSettings| (settings.server_address, settings.server_service.clone());
        let others_named = named(&settings) != named(&self.settings);
        self.settings = settings;
        if others_named {
            self.end_contradicted(now, actions);
            self.inquiries.start_anew(now);
            self.inquire_local(actions);
        }
    }

    /// Service of the servers on this VM by the settings; empty for any.
    pub fn server_service(&self) -> &ServiceId {
        &self.settings.server_service
    }

    fn end_contradicted(&mut self, now: Instant, actions: &mut Vec<GuardAction>) {
        let present = self.servers.iter().filter(|(_, server)| !server.gone);
        let contradicted =
            present.filter(|(_, server)| self.contradiction(&server.announcement).is_some());
        let names: Vec<BackendServerId> = contradicted.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.gone(now, &name, actions);
        }
    }

    /// A server that announces a later life than the holder of its address ends that one. A holder
    /// that is known by its health alone may be the later one; its health decides.
    fn replace_others(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        actions: &mut Vec<GuardAction>,
    ) {
        if announcement.started_at_ms == 0 {
            return;
        }
        let asks = self.settings.inquire;
        let (address, name) = (announcement.address, &announcement.server);
        self.end_others(now, address, name, actions, |holder| {
            holder.announcement.started_at_ms != 0 || !asks
        });
    }

    /// Servers other than `name` that are present at an address.
    pub(super) fn others_at<'a>(
        &'a self,
        address: SocketAddr,
        name: &'a BackendServerId,
    ) -> impl Iterator<Item = &'a ServerState> {
        let present = self.servers.iter().filter(|(_, server)| !server.gone);
        present
            .filter(move |(other, server)| *other != name && server.announcement.address == address)
            .map(|(_, server)| server)
    }

    /// Servers other than `name` at an address are gone, where `ends` says so.
    pub(super) fn end_others(
        &mut self,
        now: Instant,
        address: SocketAddr,
        name: &BackendServerId,
        actions: &mut Vec<GuardAction>,
        ends: impl Fn(&ServerState) -> bool,
    ) {
        let ended = self.others_at(address, name).filter(|other| ends(other));
        let ended: Vec<BackendServerId> = ended
            .map(|other| other.announcement.server.clone())
            .collect();
        for other in ended {
            self.gone(now, &other, actions);
        }
    }

    pub(super) fn cold_rate_per_s(&self, service: &ServiceId) -> f64 {
        let contract = self.view.services.get(service);
        contract.map_or(0.0, |contract| contract.cold_rate_per_s)
    }

    pub(super) fn view_changed(&mut self, view: Arc<View>) {
        self.view = view;
        let rates: Vec<(BackendServerId, f64)> = self
            .servers
            .iter()
            .map(|(name, server)| {
                let rate_per_s = self.cold_rate_per_s(&server.announcement.service);
                (name.clone(), rate_per_s)
            })
            .collect();
        for (name, rate_per_s) in rates {
            if let Some(server) = self.servers.get_mut(&name) {
                server.cold_rate_per_s = rate_per_s;
            }
        }
    }

    /// Tells membership of the servers on this VM when they change.
    pub(super) fn report_servers(&mut self, actions: &mut Vec<GuardAction>) {
        let takes_work = self.takes_work();
        let present = self.servers.values().filter(|server| !server.gone);
        let entries: Vec<ServerEntry> = present.map(|server| server.entry(takes_work)).collect();
        if entries != self.reported {
            self.reported = entries.clone();
            actions.push(GuardAction::ReportServers(entries));
        }
    }
}
