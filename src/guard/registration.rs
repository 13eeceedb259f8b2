//! Registration of backend servers: which announcements are accepted, which server holds an
//! address, and what the settings and the view require of a server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::message::{Announcement, GuardAction, IgnoredBecause};
use super::server::{Presence, ServerState};
use super::state::GuardState;
use crate::contract::View;
use crate::error::ErrorKind;
use crate::membership::ServerEntry;
use crate::rollout::RolloutStep;
use crate::settings::guard::GuardSettings;
use crate::types::{BackendServerId, ServiceId};

impl GuardState {
    /// Accepts an announcement and registers or renews its server, or ignores it.
    pub(super) fn handle_announcement(
        &mut self,
        now: Instant,
        announcement: Announcement,
        actions: &mut Vec<GuardAction>,
    ) {
        let name = announcement.server.clone();
        if let Some(reason) = self.ignore_reason(now, &announcement) {
            match reason {
                IgnoredBecause::Replaced => self.inquire_rival(now, &announcement, actions),
                IgnoredBecause::OtherService => {
                    self.record_contradiction(now, &announcement, actions);
                }
                _ => {}
            }
            actions.push(GuardAction::AnnouncementIgnored {
                announcement,
                reason,
            });
            return;
        }
        self.end_contradiction_by_announcement(now, &announcement, actions);
        if self.is_new_server(&announcement) {
            actions.push(GuardAction::ServerSeen(announcement.clone()));
        }
        self.mark_replaced_gone(now, &announcement, actions);
        let announcement = self.apply_departure(now, announcement);
        match self.servers.contains_key(&name) {
            true => self.renew_server(now, &name, announcement, actions),
            false => self.add_server(now, name, announcement, actions),
        }
    }

    /// Registers a server that was not known before.
    fn add_server(
        &mut self,
        now: Instant,
        name: BackendServerId,
        announcement: Announcement,
        actions: &mut Vec<GuardAction>,
    ) {
        let mut state = ServerState::new(&self.settings, announcement, now);
        state.presence = self.inquire_presence(&state.announcement, actions);
        state.cold_rate_per_s = self.cold_rate_per_s(&state.announcement.service);
        state.rollout_step = self.rollout_step(now, &state.announcement);
        self.servers.insert(name, state);
    }

    /// Renews a known server with an announcement that was accepted.
    fn renew_server(
        &mut self,
        now: Instant,
        name: &BackendServerId,
        announcement: Announcement,
        actions: &mut Vec<GuardAction>,
    ) {
        let address = announcement.address;
        let draining = announcement.draining;
        let rollout_step = self.rollout_step(now, &announcement);
        let has_rival = self.other_servers_at(address, name).next().is_some();
        let cold_rate_per_s = self.cold_rate_per_s(&announcement.service);
        let since_start = self.inquiries.is_announced_since_start(now);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.cold_rate_per_s = cold_rate_per_s;
        server.rollout_step = rollout_step;
        let is_earlier = announcement.started_at_ms < server.announcement.started_at_ms;
        let service_changed = announcement.service != server.announcement.service;
        let becomes_confirmed = match server.presence {
            Presence::Confirmed => false,
            Presence::Unconfirmed => since_start,
            Presence::Asked => since_start && !has_rival,
        };
        let asks_again = server.presence == Presence::Unconfirmed && !becomes_confirmed;
        let new_incarnation = server.renew(now, announcement);
        if becomes_confirmed {
            server.presence = Presence::Confirmed;
        }
        if new_incarnation {
            actions.extend(self.deaths.confirm_deaths(now, name));
        }
        if is_earlier || (asks_again && !draining) {
            self.withhold_until_confirmed(name, actions);
        } else if becomes_confirmed {
            self.mark_others_gone(now, address, name, actions, |_| true);
        }
        if service_changed {
            self.refuse_waiting(now, name, ErrorKind::ServerReplaced, actions);
        }
        if draining || rollout_step == RolloutStep::Closed {
            self.refuse_waiting(now, name, ErrorKind::NoServer, actions);
        }
        self.start_waiting(now, name, actions);
    }

    /// Records an announced departure. If departures are final, an announcement of an incarnation
    /// that has announced its departure before counts as draining.
    fn apply_departure(&mut self, now: Instant, announcement: Announcement) -> Announcement {
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

    /// Returns why the announcement is ignored: it contradicts the settings, it is older than one
    /// of the same server that was accepted, or another server has since taken the address.
    fn ignore_reason(&self, now: Instant, announcement: &Announcement) -> Option<IgnoredBecause> {
        if let Some(reason) = self.settings_contradiction(announcement) {
            return Some(reason);
        }
        let started_at_ms = announcement.started_at_ms;
        if self.is_before_contradiction(now, &announcement.server, started_at_ms) {
            return Some(IgnoredBecause::EarlierIncarnation);
        }
        let own = self.servers.get(&announcement.server);
        if own.is_some_and(|known| known.is_of_earlier_incarnation(announcement)) {
            return Some(IgnoredBecause::EarlierIncarnation);
        }
        if own.is_some_and(|known| known.has_later_announcement(announcement)) {
            return Some(IgnoredBecause::Outdated);
        }
        let mut holders = self.other_servers_at(announcement.address, &announcement.server);
        let replaced = holders.any(|holder| {
            let held = &holder.announcement;
            !held.draining
                && announcement.started_at_ms < held.started_at_ms
                && now.saturating_duration_since(holder.renewed_at) < self.announcement_ttl()
        });
        replaced.then_some(IgnoredBecause::Replaced)
    }

    /// Returns how the announcement contradicts the settings for the server on this VM. Settings
    /// take precedence, because an announcement may be delayed and come from the former holder of
    /// the address.
    pub(super) fn settings_contradiction(
        &self,
        announcement: &Announcement,
    ) -> Option<IgnoredBecause> {
        let GuardSettings {
            server_address,
            server_service,
            only_named_server,
            ..
        } = &self.settings;
        if server_address.map_or(*only_named_server, |named| named != announcement.address) {
            return Some(IgnoredBecause::OtherAddress);
        }
        let other = match server_service.is_empty() {
            true => *only_named_server,
            false => *server_service != announcement.service,
        };
        other.then_some(IgnoredBecause::OtherService)
    }

    /// Returns whether the announcement is of a server, incarnation or service not known before.
    fn is_new_server(&self, announcement: &Announcement) -> bool {
        self.servers.get(&announcement.server).is_none_or(|known| {
            let held = &known.announcement;
            held.started_at_ms != announcement.started_at_ms || held.service != announcement.service
        })
    }

    /// Applies reloaded settings and marks servers as gone that they no longer allow on this VM.
    pub(super) fn apply_settings(
        &mut self,
        now: Instant,
        settings: GuardSettings,
        actions: &mut Vec<GuardAction>,
    ) {
        self.retries.apply_settings(&settings);
        for server in self.servers.values_mut() {
            server.apply_settings(&settings);
        }
        let named = |settings: &GuardSettings| {
            (
                settings.server_address,
                settings.server_service.clone(),
                settings.only_named_server,
            )
        };
        let named_changed = named(&settings) != named(&self.settings);
        self.settings = settings;
        if named_changed {
            self.end_contradiction(actions);
            self.mark_contradicted_gone(now, actions);
            self.inquiries.restart(now);
            self.inquire_local(actions);
        }
    }

    /// Returns how long a server counts as present after its last announcement.
    pub(super) fn announcement_ttl(&self) -> Duration {
        Duration::from_millis(self.settings.announcement_ttl_ms)
    }

    /// Returns the service that the settings name for the server on this VM; empty for any.
    pub fn server_service(&self) -> &ServiceId {
        &self.settings.server_service
    }

    /// Marks servers as gone that the settings no longer allow on this VM.
    fn mark_contradicted_gone(&mut self, now: Instant, actions: &mut Vec<GuardAction>) {
        let present = self.servers.iter().filter(|(_, server)| !server.gone);
        let contradicted = present
            .filter(|(_, server)| self.settings_contradiction(&server.announcement).is_some());
        let names: Vec<BackendServerId> = contradicted.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.mark_gone(now, &name, actions);
        }
    }

    /// Marks the former holder of the address as gone, since the announcing server started later. A
    /// holder known only by its health may have started later still, so its health answer decides.
    fn mark_replaced_gone(
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
        self.mark_others_gone(now, address, name, actions, |holder| {
            holder.announcement.started_at_ms != 0 || !asks
        });
    }

    /// Returns the servers other than `name` that are present at an address.
    pub(super) fn other_servers_at<'a>(
        &'a self,
        address: SocketAddr,
        name: &'a BackendServerId,
    ) -> impl Iterator<Item = &'a ServerState> {
        let present = self.servers.iter().filter(|(_, server)| !server.gone);
        present
            .filter(move |(other, server)| *other != name && server.announcement.address == address)
            .map(|(_, server)| server)
    }

    /// Marks servers other than `name` at an address as gone where `ends` returns true.
    pub(super) fn mark_others_gone(
        &mut self,
        now: Instant,
        address: SocketAddr,
        name: &BackendServerId,
        actions: &mut Vec<GuardAction>,
        ends: impl Fn(&ServerState) -> bool,
    ) {
        let ended = self
            .other_servers_at(address, name)
            .filter(|other| ends(other));
        let ended: Vec<BackendServerId> = ended
            .map(|other| other.announcement.server.clone())
            .collect();
        for other in ended {
            self.mark_gone(now, &other, actions);
        }
    }

    /// Returns the cold rate from the contract of a service; 0 where it has none.
    pub(super) fn cold_rate_per_s(&self, service: &ServiceId) -> f64 {
        let contract = self.view.services.get(service);
        contract.map_or(0.0, |contract| contract.cold_rate_per_s)
    }

    /// Takes a new view and the cold rates of the contracts in it.
    pub(super) fn apply_view(&mut self, view: Arc<View>) {
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

    /// Reports the servers on this VM to membership when they have changed.
    pub(super) fn report_servers(&mut self, actions: &mut Vec<GuardAction>) {
        let takes_work = self.accepts_work();
        let present = self.servers.values().filter(|server| !server.gone);
        let entries: Vec<ServerEntry> = present
            .map(|server| server.server_entry(takes_work))
            .collect();
        if entries != self.reported_servers {
            self.reported_servers = entries.clone();
            actions.push(GuardAction::ReportServers(entries));
        }
    }
}
