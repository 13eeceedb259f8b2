//! Handles news that this daemon is known in a later incarnation than that of this process.
//!
//! A later incarnation at the guard and link addresses of this process has ended, since this
//! process holds both sockets: it takes a greater number and goes on. A later incarnation at other
//! addresses may be running, so this process yields to it: it neither publishes its description nor
//! refutes suspicions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::message::{DaemonEntry, IncarnationRaised, MembershipAction, NewsSource, Summary};
use super::state::MembershipState;
use crate::incarnation::{
    is_valid_incarnation, later_incarnation, INCARNATION_GAP_COUNT, INCARNATION_LIMIT,
};
use crate::types::Incarnation;

/// Latest incarnation of this daemon that others know, later than that of this process.
#[derive(Debug, Clone)]
pub(super) struct LaterIncarnation {
    incarnation: Incarnation,
    /// Addresses of its guard and its link; `None` while only its number is known.
    addresses: Option<(SocketAddr, SocketAddr)>,
    /// Where the incarnation was learnt from.
    source: NewsSource,
}

/// Least time between two raises of the number, in case two processes have the same addresses after
/// all. No shorter than `INCARNATION_GAP_COUNT` milliseconds.
const RAISE_WAIT: Duration = Duration::from_secs(1);

impl MembershipState {
    /// Returns whether a later incarnation of this daemon is known.
    pub(super) fn is_superseded(&self) -> bool {
        self.later_incarnation.is_some()
    }

    /// Returns when this daemon may take a number above a later incarnation at its own addresses.
    pub(super) fn next_raise_at(&self) -> Option<Instant> {
        let later = self.later_incarnation.as_ref()?;
        self.has_ended(later).then_some(self.raise_at)
    }

    /// Handles a peer's summary of this daemon: refutes a suspicion, records a later incarnation.
    pub(super) fn receive_own_summary(&mut self, now: Instant, summary: &Summary) {
        if summary.incarnation > self.own.incarnation {
            let later = LaterIncarnation {
                incarnation: summary.incarnation,
                addresses: None,
                source: NewsSource::Peer,
            };
            return self.receive_later_incarnation(now, later);
        }
        if summary.incarnation < self.own.incarnation || self.is_superseded() {
            return;
        }
        let round = self
            .members
            .get(&self.own.daemon)
            .map_or(0, |own| own.round);
        if summary.suspect && summary.round >= round {
            self.members.refute(&self.own.daemon, summary.round);
            self.add_rumour(now, self.own.daemon.clone());
            self.count("membership.refuted");
        }
    }

    /// Records a later incarnation named in a description of this daemon that came from a peer or
    /// from the platform.
    pub(super) fn receive_own_entry(
        &mut self,
        now: Instant,
        entry: &DaemonEntry,
        source: NewsSource,
    ) {
        if entry.incarnation <= self.own.incarnation {
            return;
        }
        let later = LaterIncarnation {
            incarnation: entry.incarnation,
            addresses: Some((entry.guard_address, entry.link_address)),
            source,
        };
        self.receive_later_incarnation(now, later);
    }

    /// Records a later incarnation, and requests its description if its addresses are unknown.
    fn receive_later_incarnation(&mut self, now: Instant, later: LaterIncarnation) {
        let known = self.later_incarnation.as_ref();
        let known = known.map(|known| (known.incarnation, known.addresses.is_some()));
        let news = (later.incarnation, later.addresses.is_some());
        if is_valid_incarnation(later.incarnation) && known < Some(news) {
            self.later_incarnation = Some(later);
            self.raise_incarnation(now);
        }
        if let (None, Some(later)) = (known, &self.later_incarnation) {
            self.actions.push(MembershipAction::Superseded {
                incarnation: self.own.incarnation,
                later: later.incarnation,
            });
            self.count("membership.superseded");
        }
        let later = self.later_incarnation.as_ref();
        let daemon = self.own.daemon.clone();
        match later.is_some_and(|later| later.addresses.is_none()) {
            true => drop(self.missing.entry(daemon).or_default()),
            false => drop(self.missing.remove(&daemon)),
        }
    }

    /// Takes a number above a later incarnation that has ended, and spreads it at once.
    pub(super) fn raise_incarnation(&mut self, now: Instant) {
        let over = self
            .later_incarnation
            .clone()
            .filter(|later| self.has_ended(later));
        let Some(over) = over.filter(|_| now >= self.raise_at) else {
            return;
        };
        let gap_count = self.random.random_range(0..INCARNATION_GAP_COUNT);
        let Some(next) = later_incarnation(over.incarnation, gap_count) else {
            return;
        };
        let raised = IncarnationRaised {
            earlier: self.own.incarnation,
            ended: over.incarnation,
            later: next,
            source: over.source,
        };
        self.later_incarnation = None;
        self.raise_at = now + RAISE_WAIT;
        self.actions
            .push(MembershipAction::IncarnationRaised(raised));
        self.count("membership.life.raised");
        self.own.incarnation = next;
        self.announce_change(now);
        // The guard and the link receive the number with the snapshot.
        self.snapshot_at = now;
        self.publish(now);
        for partner in self.partners.clone() {
            self.gossip_with(now, partner);
        }
    }

    /// Returns whether an incarnation was at the addresses of this process, and a greater number is
    /// left. An unspecified address proves nothing, since any process may name it.
    fn has_ended(&self, later: &LaterIncarnation) -> bool {
        let own = (self.own.guard_address, self.own.link_address);
        let named = !own.0.ip().is_unspecified() && !own.1.ip().is_unspecified();
        let surpassable = later.incarnation < INCARNATION_LIMIT;
        named && surpassable && later.addresses == Some(own)
    }

    /// Returns the known description of a peer if its request came from an earlier incarnation.
    pub(super) fn later_incarnation_of(
        &self,
        peer: &crate::link::PeerName,
    ) -> Option<Arc<DaemonEntry>> {
        let entry = &self.members.get(&peer.daemon)?.entry;
        (entry.incarnation > peer.incarnation).then(|| entry.clone())
    }
}
