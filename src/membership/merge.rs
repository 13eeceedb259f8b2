//! Merges the news in a peer's message and reports what was new to either side.

use std::sync::Arc;
use std::time::Instant;

use smallvec::SmallVec;

use super::members::SummaryResult;
use super::message::{DaemonEntry, Delta, NewsSource, Summary};
use super::state::MembershipState;
use crate::types::DaemonId;

/// Result of merging a peer's message.
#[derive(Debug, Default)]
pub(super) struct MergeResult {
    /// Daemons of which the peer knows an older state.
    pub(super) outdated: Vec<DaemonId>,
    /// Bit `n` is set if summary `n` was already known.
    pub(super) known: u64,
}

impl MembershipState {
    /// Merges the descriptions, deltas and summaries of a peer's message. Queues news for gossip
    /// and marks unknown descriptions as missing.
    pub(super) fn merge_news(
        &mut self,
        now: Instant,
        summaries: &[Summary],
        deltas: &[Arc<Delta>],
        entries: Vec<Arc<DaemonEntry>>,
    ) -> MergeResult {
        let mut merged = MergeResult::default();
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
            let mut within_bounds = summaries.iter().filter(|found| found.is_within_bounds());
            let summary = within_bounds.find(|found| found.daemon == daemon);
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
            if !summary.is_within_bounds() {
                self.count("membership.entry.refused");
                continue;
            }
            if summary.daemon == self.own.daemon {
                self.receive_own_summary(now, summary);
                continue;
            }
            let result = self.members.receive_summary(now, summary);
            if result.changed {
                self.add_rumour(now, summary.daemon.clone());
            }
            if result == SummaryResult::default() && !fresh.contains(&summary.daemon) {
                merged.known |= 1_u64.checked_shl(index as u32).unwrap_or(0);
            }
            if result.outdated {
                merged.outdated.push(summary.daemon.clone());
            }
            if result.wanted {
                self.missing.entry(summary.daemon.clone()).or_default();
            }
        }
        merged
    }
}
