//! What a peer tells of the fleet, and what of it is news.

use std::sync::Arc;
use std::time::Instant;

use smallvec::SmallVec;

use super::members::Told;
use super::message::{DaemonEntry, Delta, NewsSource, Summary};
use super::state::MembershipState;
use crate::types::DaemonId;

/// What was learnt of a peer's message.
#[derive(Debug, Default)]
pub(super) struct Learnt {
    /// Daemons of which the peer knows too little.
    pub(super) outdated: Vec<DaemonId>,
    /// Bit `n` is set where summary `n` was no news.
    pub(super) known: u64,
}

impl MembershipState {
    /// Takes what a peer tells.
    pub(super) fn learn(
        &mut self,
        now: Instant,
        summaries: &[Summary],
        deltas: &[Arc<Delta>],
        entries: Vec<Arc<DaemonEntry>>,
    ) -> Learnt {
        let mut learnt = Learnt::default();
        let mut fresh: SmallVec<[DaemonId; 4]> = SmallVec::new();
        for entry in entries {
            if entry.check().is_err() {
                self.count("membership.entry.refused");
                continue;
            }
            if entry.daemon == self.own.daemon {
                self.receive_own_entry(now, &entry, NewsSource::Peer);
                continue;
            }
            let daemon = entry.daemon.clone();
            let mut sound = summaries.iter().filter(|found| found.is_sound());
            let summary = sound.find(|found| found.daemon == daemon);
            self.missing.remove(&daemon);
            if self.members.receive_entry(now, entry, summary) {
                self.add_rumour(now, daemon.clone());
                fresh.push(daemon);
            }
        }
        for delta in deltas {
            if delta.check().is_err() {
                self.count("membership.entry.refused");
                continue;
            }
            let is_own = delta.daemon == self.own.daemon;
            if !is_own && self.members.receive_delta(now, delta) {
                self.missing.remove(&delta.daemon);
                self.add_rumour(now, delta.daemon.clone());
                fresh.push(delta.daemon.clone());
            }
        }
        for (index, summary) in summaries.iter().enumerate() {
            if !summary.is_sound() {
                self.count("membership.entry.refused");
                continue;
            }
            if summary.daemon == self.own.daemon {
                self.told_of_self(now, summary);
                continue;
            }
            let told = self.members.receive_summary(now, summary);
            if told.changed {
                self.add_rumour(now, summary.daemon.clone());
            }
            if told == Told::default() && !fresh.contains(&summary.daemon) {
                learnt.known |= 1_u64.checked_shl(index as u32).unwrap_or(0);
            }
            if told.outdated {
                learnt.outdated.push(summary.daemon.clone());
            }
            if told.wanted {
                self.missing.entry(summary.daemon.clone()).or_default();
            }
        }
        learnt
    }
}
