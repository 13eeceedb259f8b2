//! State machine of membership: decides who is a member, who is suspected, and which messages are
//! sent. Takes events and returns actions; does no I/O.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::budget::ByteBudget;
use super::full_sync::FullSync;
use super::gossip::OpenCall;
use super::members::Members;
use super::message::{
    DaemonEntry, DaemonRecord, MembershipAction, MembershipEvent, NewsSource, ServerDeparture,
    ServerEntry, Ticket, FULL_SHARE_PERMILLE,
};
use super::own_incarnation::LaterIncarnation;
use super::rumours::Rumours;
use super::suspicion::FailureEvidence;
use crate::link::LinkError;
use crate::settings::membership::MembershipSettings;
use crate::types::{BackendServerId, DaemonId};

/// Membership as one daemon knows it, with the timers and calls that maintain it.
pub struct MembershipState {
    /// Intervals and limits of membership.
    pub(super) settings: MembershipSettings,
    /// Source of the random choices and of the jitter of timers.
    pub(super) random: ChaCha8Rng,
    /// Description of this daemon.
    pub(super) own: DaemonEntry,
    /// Departures of servers on this VM, published beside the description.
    departures: Vec<ServerDeparture>,
    /// Shares that health set, in thousandths, for servers that are on this VM now.
    shares: BTreeMap<BackendServerId, u16>,
    /// All known daemons, including this one.
    pub(super) members: Members,
    /// News to be spread by gossip.
    pub(super) rumours: Rumours,
    /// Bytes that gossip and comparisons may send.
    pub(super) budget: ByteBudget,
    /// Bytes that pages for other daemons may take.
    pub(super) page_budget: ByteBudget,
    /// Calls that have not ended yet.
    pub(super) calls: BTreeMap<Ticket, OpenCall>,
    /// Ticket of the last call.
    last_ticket: Ticket,
    /// Daemons that this daemon gossips with, in turn.
    pub(super) partners: Vec<DaemonId>,
    /// Descriptions that peers have and this daemon lacks, with the time of the last request.
    pub(super) missing: BTreeMap<DaemonId, Option<Instant>>,
    /// Evidence against daemons that did not answer.
    pub(super) failures: BTreeMap<DaemonId, FailureEvidence>,
    /// The full sync, until it is complete.
    pub(super) full_sync: Option<FullSync>,
    /// Earliest start of the next full sync.
    pub(super) full_sync_allowed_at: Instant,
    /// When this daemon last gossiped with a partner.
    pub(super) gossiped_at: Instant,
    /// When gossip is due next.
    pub(super) gossip_at: Instant,
    /// When a partner is replaced next.
    pub(super) partner_at: Instant,
    /// When a gone daemon or a seed is called next.
    pub(super) heal_at: Instant,
    /// Earliest start of the next comparison.
    pub(super) compare_at: Instant,
    /// When the own description is published next.
    publish_at: Instant,
    /// When the record is published that the platform's store may have lost; a record that is read
    /// back may be an older one and does not postpone this.
    rewrite_at: Option<Instant>,
    /// When gone daemons are forgotten and lost calls expired next.
    sweep_at: Instant,
    /// Earliest time of the next snapshot.
    pub(super) snapshot_at: Instant,
    /// End of the last pause of this process; calls sent earlier are no evidence of a failure.
    pub(super) resumed_at: Instant,
    /// When a peer last answered or sent a request.
    pub(super) contact_at: Instant,
    /// Later incarnation of this daemon; set while this process is superseded.
    pub(super) later_incarnation: Option<LaterIncarnation>,
    /// Earliest time at which the incarnation number may be raised.
    pub(super) raise_at: Instant,
    /// Actions of the event that is being handled.
    pub(super) actions: Vec<MembershipAction>,
}

/// A tick that is late by this much means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Interval of forgetting gone daemons and expiring lost calls.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// Doublings of the fleet size, from one daemon, for which the times of the settings are meant;
/// times grow in larger fleets.
pub(super) const TYPICAL_DOUBLINGS: u32 = 6;

impl MembershipState {
    /// Creates the membership of a daemon that knows only itself.
    pub fn new(
        settings: MembershipSettings,
        own: DaemonEntry,
        random: ChaCha8Rng,
        now: Instant,
    ) -> MembershipState {
        let mut members = Members::default();
        members.receive_entry(now, Arc::new(own.clone()), None);
        let burst_bytes = settings.gossip_burst_bytes;
        let page_burst_bytes = settings
            .page_bytes_per_s
            .max(u64::from(settings.page_bytes));
        MembershipState {
            budget: ByteBudget::new(settings.gossip_bytes_per_s, burst_bytes, now),
            page_budget: ByteBudget::new(settings.page_bytes_per_s, page_burst_bytes, now),
            settings,
            random,
            own,
            departures: Vec::new(),
            shares: BTreeMap::new(),
            members,
            rumours: Rumours::default(),
            calls: BTreeMap::new(),
            last_ticket: 0,
            partners: Vec::new(),
            missing: BTreeMap::new(),
            failures: BTreeMap::new(),
            full_sync: Some(FullSync::new(now)),
            full_sync_allowed_at: now,
            gossiped_at: now,
            gossip_at: now,
            partner_at: now,
            heal_at: now,
            compare_at: now,
            publish_at: now,
            rewrite_at: None,
            sweep_at: now + SWEEP_INTERVAL,
            snapshot_at: now,
            resumed_at: now,
            contact_at: now,
            later_incarnation: None,
            raise_at: now,
            actions: Vec::new(),
        }
    }

    /// Returns the digest of this daemon's view; equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.members.digest()
    }

    /// Returns the description of this daemon.
    pub fn own(&self) -> &DaemonEntry {
        &self.own
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, event: MembershipEvent) -> Vec<MembershipAction> {
        self.detect_pause(now);
        match event {
            MembershipEvent::Local(servers) => self.update_local_servers(now, servers),
            MembershipEvent::Departures(departures) => self.update_departures(now, departures),
            MembershipEvent::ShareChanged {
                server,
                share_permille,
            } => {
                self.shares.insert(server, share_permille);
                self.update_local_servers(now, self.own.servers.clone());
            }
            MembershipEvent::EntryReceived(entry) => self.receive_published_entry(now, entry),
            MembershipEvent::StoreReturned => self.plan_rewrite(now),
            MembershipEvent::Leave => self.leave(now),
            MembershipEvent::RequestReceived {
                ticket,
                from,
                request,
            } => self.handle_request(now, ticket, &from, request),
            MembershipEvent::CallEnded { ticket, result } => {
                self.handle_call_end(now, ticket, result)
            }
            MembershipEvent::Tick => self.tick(now),
            MembershipEvent::Stop => {}
        }
        self.emit_snapshot(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when the next `Tick` is due.
    pub fn next_tick_at(&self) -> Instant {
        let mut next = self.gossip_at.min(self.partner_at).min(self.heal_at);
        next = next.min(self.sweep_at);
        if !self.is_superseded() {
            next = next.min(self.publish_at);
            next = self.rewrite_at.map_or(next, |at| next.min(at));
        }
        if let Some(full_sync) = &self.full_sync {
            next = next.min(full_sync.next_at());
        }
        if let Some(expiry_at) = self.members.next_expiry_at(self.suspect_limit()) {
            next = next.min(expiry_at);
        }
        if let Some(raise_at) = self.next_raise_at() {
            next = next.min(raise_at);
        }
        if self.members.is_changed() {
            next = next.min(self.snapshot_at);
        }
        next
    }

    /// Detects a pause of this process by a late event, and extends all suspicions by it.
    fn detect_pause(&mut self, now: Instant) {
        let late = now.saturating_duration_since(self.next_tick_at());
        if late < PAUSE_THRESHOLD {
            return;
        }
        self.resumed_at = now;
        self.members.postpone(late);
        self.count("membership.pause");
    }

    /// Does everything that is due now: expiry, publishing, gossip, syncs and probes.
    fn tick(&mut self, now: Instant) {
        let limit = self.suspect_limit();
        for _ in self.members.expire_suspicions(now, limit) {
            self.count("membership.gone");
        }
        let rewrites = self.rewrite_at.is_some_and(|at| now >= at);
        if (rewrites || now >= self.publish_at) && !self.is_superseded() {
            self.publish(now);
        }
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            let forget = Duration::from_millis(self.settings.forget_ms);
            self.members.forget(now, &self.own.daemon, forget);
            self.missing.clear();
            self.expire_calls(now);
        }
        self.raise_incarnation(now);
        self.refresh_partners(now);
        self.request_page(now);
        self.heal(now);
        self.gossip(now);
    }

    /// Ends calls whose end was lost inside this process, as if the peer had been silent.
    fn expire_calls(&mut self, now: Instant) {
        let expired: Vec<Ticket> = self
            .calls
            .iter()
            .filter(|(_, call)| now >= call.sent_at + SWEEP_INTERVAL)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            self.handle_call_end(now, ticket, Err(LinkError::Silent));
        }
    }

    /// Emits a snapshot if one is due and the fleet has changed.
    fn emit_snapshot(&mut self, now: Instant) {
        if now < self.snapshot_at {
            return;
        }
        if let Some(fleet) = self.members.take_changed() {
            self.snapshot_at = now + Duration::from_millis(self.settings.snapshot_ms);
            self.actions.push(MembershipAction::FleetChanged(fleet));
        }
    }

    /// Takes the servers on this VM, with the shares set by health; spreads a change.
    fn update_local_servers(&mut self, now: Instant, mut servers: Vec<ServerEntry>) {
        self.shares
            .retain(|name, _| servers.iter().any(|server| server.server == *name));
        for server in &mut servers {
            let share_permille = self.shares.get(&server.server).copied();
            server.share_permille = share_permille.unwrap_or(FULL_SHARE_PERMILLE);
        }
        if servers == self.own.servers {
            return;
        }
        let others = !same_servers(&servers, &self.own.servers);
        self.own.servers = servers;
        self.announce_change(now);
        if others && self.settings.publish_change_ms > 0 && !self.is_superseded() {
            let soon = self.later(now, self.settings.publish_change_ms);
            self.publish_at = self.publish_at.min(soon);
        }
    }

    /// Takes the departures to be kept and publishes them at once: this process may end at any time.
    fn update_departures(&mut self, now: Instant, departures: Vec<ServerDeparture>) {
        self.departures = departures;
        if self.settings.publish_change_ms > 0 && !self.is_superseded() {
            self.publish_at = now;
        }
    }

    /// Raises the version of this daemon's description and spreads it.
    pub(super) fn announce_change(&mut self, now: Instant) {
        self.own.version += 1;
        let entry = Arc::new(self.own.clone());
        self.members.receive_entry(now, entry, None);
        self.add_rumour(now, self.own.daemon.clone());
    }

    /// Marks this daemon as leaving, publishes that and gossips it to all partners.
    fn leave(&mut self, now: Instant) {
        self.own.leaving = true;
        self.announce_change(now);
        if !self.is_superseded() {
            self.publish(now);
        }
        for partner in self.partners.clone() {
            self.gossip_with(now, partner);
        }
    }

    /// Publishes this daemon's description on the platform; repeated soon unless it is read back.
    pub(super) fn publish(&mut self, now: Instant) {
        self.publish_at = self.later(now, self.settings.publish_retry_ms);
        if self.rewrite_at.take_if(|at| now >= *at).is_some() {
            self.count("membership.rewritten");
        }
        let record = DaemonRecord {
            entry: self.own.clone(),
            departures: self.departures.clone(),
        };
        self.actions.push(MembershipAction::Publish(record));
    }

    /// Plans to publish the record again after the platform's store has lost some. All daemons do so at
    /// once, so each waits at random, longer in a larger fleet.
    fn plan_rewrite(&mut self, now: Instant) {
        let daemon_count = self.members.count().max(1) as u64;
        let spread_ms = self.settings.rewrite_interval_ms * daemon_count;
        let wait_ms = self.random.random_range(0..=spread_ms);
        self.rewrite_at = Some(now + Duration::from_millis(wait_ms));
    }

    /// Merges a description read from the platform. Reading back the own one postpones the next
    /// publication.
    fn receive_published_entry(&mut self, now: Instant, entry: DaemonEntry) {
        if entry.check().is_err() {
            return self.count("membership.entry.refused");
        }
        if entry.daemon == self.own.daemon {
            let same_life = entry.incarnation == self.own.incarnation;
            let same_words = entry.leaving == self.own.leaving
                && same_servers(&entry.servers, &self.own.servers);
            if same_life && same_words {
                self.publish_at = self.later(now, self.settings.publish_ms);
            }
            return self.receive_own_entry(now, &entry, NewsSource::Platform);
        }
        let daemon = entry.daemon.clone();
        if self.members.receive_entry(now, Arc::new(entry), None) {
            self.add_rumour(now, daemon);
        }
    }

    /// Returns the doublings of the fleet size from one daemon, at least `TYPICAL_DOUBLINGS`.
    pub(super) fn doublings(&self) -> u32 {
        self.members.count().max(1).ilog2().max(TYPICAL_DOUBLINGS)
    }

    /// Emits an action that increments the counter `name`.
    pub(super) fn count(&mut self, name: &'static str) {
        self.actions.push(MembershipAction::Count(name));
    }

    /// Returns a ticket that no earlier call has.
    pub(super) fn new_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Returns the time `wait_ms` from now, randomised over a quarter of the wait so that daemons
    /// do not act in step.
    pub(super) fn later(&mut self, now: Instant, wait_ms: u64) -> Instant {
        let spread_ms = wait_ms / 4;
        let wait_ms = wait_ms - spread_ms / 2 + self.random.random_range(0..=spread_ms);
        now + Duration::from_millis(wait_ms)
    }
}

/// Returns whether both lists name the same servers in the same order, whatever their load.
fn same_servers(some: &[ServerEntry], others: &[ServerEntry]) -> bool {
    let pairs = some.iter().zip(others);
    some.len() == others.len()
        && pairs
            .into_iter()
            .all(|(one, other)| one.server == other.server)
}
