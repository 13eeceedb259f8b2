//! Decisions of the configuration duty: what is in force, and when peers are asked.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use super::era::FeedPosition;
use super::kept::Kept;
use super::message::{
    ConfigurationItem, FeedAction, FeedEvent, FeedRead, Snapshot, NOTIFIED_COUNT,
};
use super::role::ReadRole;
use super::{FeedError, Page};
use crate::contract::View;
use crate::membership::Fleet;
use crate::settings::feed::FeedSettings;
use crate::types::DaemonId;

/// State of the configuration at one daemon.
#[derive(Clone)]
pub struct FeedState {
    /// Settings of the calls to peers.
    pub(super) settings: FeedSettings,
    /// Id of this daemon.
    own_daemon: DaemonId,
    /// Chooses the peer to be asked.
    random: ChaCha8Rng,
    /// The configuration in force. Its position never decreases.
    pub(super) snapshot: Arc<Snapshot>,
    /// Whether the platform answered the last read of the feed.
    reachable: bool,
    /// Whether a peer is being asked.
    asking: bool,
    /// A peer that has read further, and up to where.
    ahead: Option<(DaemonId, FeedPosition)>,
    /// When a peer is to be asked; none if there is no reason to.
    pub(super) ask_at: Option<Instant>,
    /// Until when other daemons' reads may hang or wait in vain, since a read of this one has failed.
    others_may_hang_until: Option<Instant>,
    /// Part of this daemon in the reads of the fleet.
    role: ReadRole,
    /// Until when operators may write again what a store that has returned from a copy has lost; none
    /// in an era that the store has been in for long.
    pub(super) settles_at: Option<Instant>,
    /// The fleet, from which peers are chosen.
    fleet: Arc<Fleet>,
}

impl FeedState {
    /// Creates the state of a daemon that has no configuration yet.
    pub fn new(settings: FeedSettings, own_daemon: DaemonId, random: ChaCha8Rng) -> FeedState {
        FeedState {
            settings,
            own_daemon,
            random,
            snapshot: Arc::default(),
            reachable: true,
            asking: false,
            ahead: None,
            ask_at: None,
            others_may_hang_until: None,
            role: ReadRole::default(),
            settles_at: None,
            fleet: Arc::default(),
        }
    }

    /// Returns the configuration in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns when the next `Tick` is due; none if nothing is.
    pub fn next_tick_at(&self) -> Option<Instant> {
        let ask_at = self.ask_at.filter(|_| !self.asking);
        let due = [ask_at, self.settles_at];
        due.into_iter().flatten().min()
    }

    /// Applies one event and returns the actions that follow from it.
    pub fn handle(&mut self, now: Instant, event: FeedEvent) -> Vec<FeedAction> {
        let mut actions = Vec::new();
        match event {
            FeedEvent::Read(read) => self.read(now, read, &mut actions),
            FeedEvent::PeerAhead { peer, next } => {
                self.peer_ahead(now + self.peer_patience(), peer, next);
            }
            // A peer notifies others since reads of theirs may hang.
            FeedEvent::PeerNotified { peer, next } => self.peer_ahead(now, peer, next),
            FeedEvent::PeerAnswered(snapshot) => self.peer_answered(now, snapshot, &mut actions),
            FeedEvent::EraBegan(era) if era > self.snapshot.era => {
                // The own read may wait for long; a peer may have read already.
                self.ask_at.get_or_insert(now + self.peer_patience());
            }
            FeedEvent::EraBegan(_) => {}
            FeedEvent::Fleet(fleet) => self.update_fleet(fleet, &mut actions),
            FeedEvent::Tick => {}
        }
        self.settle(now, &mut actions);
        self.ask(now, &mut actions);
        actions
    }

    /// Takes up to where a peer has read. It is asked at `ask_at` if it has read further.
    fn peer_ahead(&mut self, ask_at: Instant, peer: DaemonId, next: FeedPosition) {
        if next <= self.snapshot.position() || !next.is_valid() {
            return;
        }
        self.ahead = Some((peer, next));
        self.ask_at = Some(self.ask_at.map_or(ask_at, |at| at.min(ask_at)));
    }

    /// Takes the fleet, and the role in it.
    fn update_fleet(&mut self, fleet: Arc<Fleet>, actions: &mut Vec<FeedAction>) {
        self.fleet = fleet;
        let role = ReadRole::new(&self.fleet, &self.own_daemon);
        if role != self.role {
            self.role = role;
            actions.push(FeedAction::Role(role));
        }
    }

    /// Takes the result of a read of the feed.
    fn read(
        &mut self,
        now: Instant,
        read: FeedRead<ConfigurationItem>,
        actions: &mut Vec<FeedAction>,
    ) {
        let reachable = !matches!(read, FeedRead::Failed(FeedError::Unavailable(_)));
        if reachable != self.reachable {
            self.reachable = reachable;
            actions.push(FeedAction::Reachable(reachable));
        }
        let before = self.snapshot.position();
        match read {
            FeedRead::Newest(page) => {
                let base = Snapshot {
                    kept: self
                        .snapshot
                        .kept
                        .clone()
                        .filter(|_| page.era == self.snapshot.era),
                    ..Default::default()
                };
                self.apply(now, base, page, actions);
            }
            // Only the newest items show what the store holds in a new era.
            FeedRead::Followed(page) if page.era == self.snapshot.era => {
                let mut base = (*self.snapshot).clone();
                if let Some(kept) = &mut base.kept {
                    let kept = Arc::make_mut(kept);
                    page.items.iter().for_each(|item| kept.record_named(item));
                }
                self.apply(now, base, page, actions);
            }
            FeedRead::Followed(_) => {}
            FeedRead::Failed(_) if !reachable => {
                self.ask_at.get_or_insert(now);
                self.others_may_hang_until = Some(now + self.longest_read());
            }
            FeedRead::Failed(FeedError::Truncated) => {
                // A record that was deleted at once did not end the waits of other daemons' reads.
                self.others_may_hang_until = Some(now + self.longest_read());
            }
            FeedRead::Failed(_) => {}
        }
        let others_may_hang = self.others_may_hang_until.is_some_and(|until| now < until);
        if self.snapshot.position() > before && others_may_hang {
            self.notify_peers(actions);
        }
        if reachable && self.ahead.is_none() && self.settles_at.is_none() {
            self.ask_at = None;
        }
    }

    /// Puts the items of a page in force on top of `base`. Ignores a page that does not reach
    /// beyond the configuration in force.
    fn apply(
        &mut self,
        now: Instant,
        base: Snapshot,
        page: Page<ConfigurationItem>,
        actions: &mut Vec<FeedAction>,
    ) {
        if page.position() <= self.snapshot.position() || !page.position().is_valid() {
            return;
        }
        let mut snapshot = base;
        for item in page.items {
            match item {
                ConfigurationItem::Document(document) => snapshot.document = Some(document),
                ConfigurationItem::DomainOut(domain) => {
                    snapshot.domains_out.insert(domain);
                }
                ConfigurationItem::DomainIn(domain) => {
                    snapshot.domains_out.remove(&domain);
                }
                ConfigurationItem::RolloutOrdered(order) => {
                    snapshot.rollouts.insert(order.service.clone(), order);
                }
                ConfigurationItem::RolloutWithdrawn(service) => {
                    snapshot.rollouts.remove(&service);
                }
                ConfigurationItem::Unreadable { key, problem } => {
                    actions.push(FeedAction::Unreadable { key, problem });
                }
            }
        }
        snapshot.next = page.next;
        snapshot.era = page.era;
        self.put_in_force(now, snapshot, actions);
    }

    /// Puts a snapshot of this era or a later one in force.
    fn put_in_force(
        &mut self,
        now: Instant,
        mut snapshot: Snapshot,
        actions: &mut Vec<FeedAction>,
    ) {
        if snapshot.era > self.snapshot.era {
            self.enter_era(now, &mut snapshot, actions);
        } else if snapshot.document.is_none() {
            // A read that lacks the newest record must not take the configuration away.
            snapshot.document = self.snapshot.document.clone();
        }
        let ahead = self.ahead.take();
        self.ahead = ahead.filter(|(_, next)| *next > snapshot.position());
        self.snapshot = Arc::new(snapshot);
        self.push_view(actions);
    }

    /// Builds the view of what is in force.
    pub(super) fn push_view(&self, actions: &mut Vec<FeedAction>) {
        let force = Kept::in_force(&self.snapshot);
        let Some(document) = &force.document else {
            return;
        };
        let mut view = View::from_document(self.snapshot.next, document, force.domains_out);
        view.era = self.snapshot.era;
        view.rollouts = force.rollouts;
        actions.push(FeedAction::View(Arc::new(view)));
    }

    /// Takes a peer's answer and puts its configuration in force if it is newer.
    fn peer_answered(
        &mut self,
        now: Instant,
        snapshot: Option<Snapshot>,
        actions: &mut Vec<FeedAction>,
    ) {
        self.asking = false;
        let snapshot = snapshot.filter(|snapshot| snapshot.position().is_valid());
        if let Some(snapshot) = snapshot {
            self.take_snapshot(now, snapshot, actions);
        }
        let again = !self.reachable || self.settles_at.is_some();
        self.ask_at = match (again, self.ahead.is_some()) {
            // A peer that has read further was found while another one was asked.
            (_, true) => Some(now + self.peer_patience()),
            (true, false) => Some(now + self.ask_interval()),
            (false, false) => None,
        };
    }

    /// Puts a peer's configuration in force if it is newer, and takes what the peer keeps from earlier
    /// eras.
    fn take_snapshot(
        &mut self,
        now: Instant,
        mut snapshot: Snapshot,
        actions: &mut Vec<FeedAction>,
    ) {
        let settling = self.settles_at.is_some() && snapshot.era == self.snapshot.era;
        if let Some(others) = snapshot.kept.take_if(|_| snapshot.era <= self.snapshot.era) {
            if settling {
                self.merge_kept(&others, actions);
            }
        }
        if snapshot.position() <= self.snapshot.position() {
            return;
        }
        if snapshot.era == self.snapshot.era {
            snapshot.kept = self.snapshot.kept.clone();
        }
        self.put_in_force(now, snapshot, actions);
        self.notify_peers(actions);
    }

    /// Notifies some peers of the configuration in force, since they may not have learnt of it either.
    fn notify_peers(&mut self, actions: &mut Vec<FeedAction>) {
        let others = other_daemons(&self.fleet, &self.own_daemon);
        let peers = others.choose_multiple(&mut self.random, NOTIFIED_COUNT);
        if peers.is_empty() {
            return;
        }
        actions.push(FeedAction::Notify {
            peers: peers.into_iter().cloned().collect(),
            next: self.snapshot.position(),
        });
    }

    /// Asks the peer that is ahead, or any peer while the platform does not answer.
    fn ask(&mut self, now: Instant, actions: &mut Vec<FeedAction>) {
        if self.asking || self.ask_at.is_none_or(|at| now < at) {
            return;
        }
        let ahead = self.ahead.take().map(|(peer, _)| peer);
        let Some(peer) = ahead.or_else(|| self.random_peer()) else {
            self.ask_at = Some(now + self.ask_interval());
            return;
        };
        self.asking = true;
        self.ask_at = None;
        actions.push(FeedAction::Ask {
            peer,
            from: self.asked_position(),
        });
    }

    /// Returns a random peer that does not leave the fleet.
    fn random_peer(&mut self) -> Option<DaemonId> {
        let others = other_daemons(&self.fleet, &self.own_daemon);
        others.choose(&mut self.random).cloned()
    }

    /// Returns how long a read of any daemon lasts at most.
    fn longest_read(&self) -> Duration {
        Duration::from_millis(self.settings.wait_ms + self.settings.timeout_ms)
    }

    /// Returns how long the feed may take to show what a peer has already read.
    pub(super) fn peer_patience(&self) -> Duration {
        Duration::from_millis(self.settings.peer_patience_ms)
    }

    /// Returns the interval between calls to peers while the platform does not answer.
    fn ask_interval(&self) -> Duration {
        Duration::from_millis(self.settings.peer_ask_ms)
    }
}

/// Returns the other daemons that do not leave the fleet.
fn other_daemons<'a>(fleet: &'a Fleet, own: &'a DaemonId) -> impl Iterator<Item = &'a DaemonId> {
    let others = fleet.daemons.values();
    let others = others.filter(move |daemon| daemon.daemon != *own && !daemon.leaving);
    others.map(|daemon| &daemon.daemon)
}
