//! Decisions of the configuration duty: what is in force, and when peers are asked.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use super::message::{ConfigurationItem, FeedAction, FeedEvent, FeedRead, Snapshot};
use super::{FeedError, Page};
use crate::contract::View;
use crate::membership::Fleet;
use crate::settings::feed::FeedSettings;
use crate::types::{DaemonId, Offset, OFFSET_LIMIT};

/// State of the configuration at one daemon.
pub struct FeedState {
    settings: FeedSettings,
    own: DaemonId,
    random: ChaCha8Rng,
    /// What is in force. Its `next` never falls.
    snapshot: Arc<Snapshot>,
    /// Whether the last read of the feed was answered.
    reachable: bool,
    /// Whether a peer is being asked.
    asking: bool,
    /// A peer that has read further, and how far.
    ahead: Option<(DaemonId, Offset)>,
    ask_at: Option<Instant>,
    fleet: Arc<Fleet>,
}

impl FeedState {
    /// A daemon that knows no configuration yet.
    pub fn new(settings: FeedSettings, own: DaemonId, random: ChaCha8Rng) -> FeedState {
        FeedState {
            settings,
            own,
            random,
            snapshot: Arc::default(),
            reachable: true,
            asking: false,
            ahead: None,
            ask_at: None,
            fleet: Arc::default(),
        }
    }

    /// What is in force.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// When `Tick` is due next.
    pub fn next_tick_at(&self) -> Option<Instant> {
        self.ask_at.filter(|_| !self.asking)
    }

    /// Takes one event and gives what is to be done.
    pub fn handle(&mut self, now: Instant, event: FeedEvent) -> Vec<FeedAction> {
        let mut actions = Vec::new();
        match event {
            FeedEvent::Read(read) => self.read(now, read, &mut actions),
            FeedEvent::PeerAhead { peer, next } => {
                if next > self.snapshot.next && next <= OFFSET_LIMIT {
                    self.ahead = Some((peer, next));
                    self.ask_at.get_or_insert(now + self.patience());
                }
            }
            FeedEvent::PeerAnswered(told) => self.told(now, told, &mut actions),
            FeedEvent::Fleet(fleet) => self.fleet = fleet,
            FeedEvent::Tick => {}
        }
        self.ask(now, &mut actions);
        actions
    }

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
        match read {
            FeedRead::Newest(page) => {
                let base = Snapshot::default();
                self.apply(base, page, actions);
            }
            FeedRead::Followed(page) => {
                let base = (*self.snapshot).clone();
                self.apply(base, page, actions);
            }
            FeedRead::Failed(_) if !reachable => {
                self.ask_at.get_or_insert(now);
            }
            FeedRead::Failed(_) => {}
        }
        if reachable && self.ahead.is_none() {
            self.ask_at = None;
        }
    }

    /// Puts the items of a page in force on top of `base`. A page that ends before what is in
    /// force already says nothing new.
    fn apply(
        &mut self,
        base: Snapshot,
        page: Page<ConfigurationItem>,
        actions: &mut Vec<FeedAction>,
    ) {
        if page.next <= self.snapshot.next || page.next > OFFSET_LIMIT {
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
                ConfigurationItem::Unreadable { key, problem } => {
                    actions.push(FeedAction::Unreadable { key, problem });
                }
            }
        }
        snapshot.next = page.next;
        self.put_in_force(snapshot, actions);
    }

    fn put_in_force(&mut self, mut snapshot: Snapshot, actions: &mut Vec<FeedAction>) {
        // What a reader without the newest record shows must not take the configuration away.
        if snapshot.document.is_none() {
            snapshot.document = self.snapshot.document.clone();
        }
        let ahead = self.ahead.take();
        self.ahead = ahead.filter(|(_, next)| *next > snapshot.next);
        self.snapshot = Arc::new(snapshot);
        let Some(document) = &self.snapshot.document else {
            return;
        };
        let domains_out = self.snapshot.domains_out.clone();
        let view = View::from_document(self.snapshot.next, document, domains_out);
        actions.push(FeedAction::View(Arc::new(view)));
    }

    fn told(&mut self, now: Instant, told: Option<Snapshot>, actions: &mut Vec<FeedAction>) {
        self.asking = false;
        self.ahead = None;
        self.ask_at = (!self.reachable).then(|| now + self.every());
        let newer = |told: &Snapshot| told.next > self.snapshot.next && told.next <= OFFSET_LIMIT;
        let Some(snapshot) = told.filter(newer) else {
            return;
        };
        self.put_in_force(snapshot, actions);
    }

    /// Asks the peer that is ahead, or any peer while the platform does not answer.
    fn ask(&mut self, now: Instant, actions: &mut Vec<FeedAction>) {
        if self.asking || self.ask_at.is_none_or(|at| now < at) {
            return;
        }
        let ahead = self.ahead.take().map(|(peer, _)| peer);
        let Some(peer) = ahead.or_else(|| self.any_peer()) else {
            self.ask_at = Some(now + self.every());
            return;
        };
        self.asking = true;
        self.ask_at = None;
        actions.push(FeedAction::Ask {
            peer,
            from: self.snapshot.next,
        });
    }

    fn any_peer(&mut self) -> Option<DaemonId> {
        let others = self
            .fleet
            .daemons
            .values()
            .filter(|daemon| daemon.daemon != self.own && !daemon.leaving);
        let chosen = others.choose(&mut self.random);
        chosen.map(|daemon| daemon.daemon.clone())
    }

    /// How long the feed itself may take to show what a peer has seen already.
    fn patience(&self) -> Duration {
        Duration::from_millis(self.settings.peer_patience_ms)
    }

    fn every(&self) -> Duration {
        Duration::from_millis(self.settings.peer_ask_ms)
    }
}
