//! What a daemon keeps while the store's era is new, until operators have written it again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::era::FeedPosition;
use super::kept::{version, Kept};
use super::message::{EraReport, FeedAction, Snapshot};
use super::state::FeedState;
use crate::types::DomainId;

impl FeedState {
    /// Keeps what is in force beside the first snapshot of a new era, until operators have written it
    /// again.
    pub(super) fn enter_era(
        &mut self,
        now: Instant,
        snapshot: &mut Snapshot,
        actions: &mut Vec<FeedAction>,
    ) {
        self.settles_at = Some(now + Duration::from_millis(self.settings.era_settle_ms));
        self.ask_at.get_or_insert(now + self.peer_patience());
        let mut kept = Kept::in_force(&self.snapshot);
        if let Some(others) = &snapshot.kept {
            kept.merge(others);
        }
        if kept.is_empty() {
            return;
        }
        let shown = |domain: &&DomainId| snapshot.domains_out.contains(*domain);
        let hidden_count = kept
            .domains_out
            .iter()
            .filter(|domain| !shown(domain))
            .count();
        let orders = kept.rollouts.keys();
        let orders = orders.filter(|service| !snapshot.rollouts.contains_key(*service));
        actions.push(FeedAction::EraEntered(EraReport {
            era: snapshot.era,
            before: self.snapshot.position(),
            next: snapshot.next,
            in_force: version(kept.document.as_ref()),
            stored: version(snapshot.document.as_ref()),
            kept_count: hidden_count + orders.count(),
        }));
        snapshot.kept = Some(Arc::new(kept));
    }

    /// Drops what is kept from earlier eras once operators had their time to write it again and the
    /// store shows a configuration at least as late.
    pub(super) fn settle(&mut self, now: Instant, actions: &mut Vec<FeedAction>) {
        if self.settles_at.is_some_and(|at| now >= at) {
            self.settles_at = None;
        }
        let Some(kept) = self
            .snapshot
            .kept
            .as_ref()
            .filter(|_| self.settles_at.is_none())
        else {
            return;
        };
        let stored = self.snapshot.document.as_ref();
        if stored.is_none() || version(stored) < version(kept.document.as_ref()) {
            return;
        }
        let before = Kept::in_force(&self.snapshot);
        Arc::make_mut(&mut self.snapshot).kept = None;
        actions.push(FeedAction::KeptDropped);
        if Kept::in_force(&self.snapshot) != before {
            self.push_view(actions);
        }
    }

    /// Adds what a peer keeps from earlier eras to what this daemon keeps in the same era.
    pub(super) fn merge_kept(&mut self, others: &Kept, actions: &mut Vec<FeedAction>) {
        let before = Kept::in_force(&self.snapshot);
        let mut kept = self.snapshot.kept.as_deref().cloned().unwrap_or_default();
        kept.merge(others);
        Arc::make_mut(&mut self.snapshot).kept = Some(Arc::new(kept));
        if Kept::in_force(&self.snapshot) != before {
            self.push_view(actions);
        }
    }

    /// Returns the position after which a peer is asked for the configuration. While an era is new, a
    /// peer that has read as far may still keep something that this daemon doesn't know.
    pub(super) fn asked_position(&self) -> FeedPosition {
        let mut position = self.snapshot.position();
        if self.settles_at.is_some() {
            position.next = 0;
        }
        position
    }
}
