//! All known daemons, and the rules by which news of them is merged.
//!
//! A later incarnation replaces an earlier one. Within an incarnation, a greater version replaces
//! the description, and a greater round, or a suspicion in the same round, replaces the suspicion
//! state. Both orders are total, so the order in which news arrives makes no difference.

mod suspicion_state;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::delta::{applies, apply, difference, join};
use super::digest::{digest, tree_position};
use super::message::{DaemonEntry, Delta, Fleet, Summary};
use crate::types::{DaemonId, Incarnation};

/// One known daemon: its description and suspicion state.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) entry: Arc<DaemonEntry>,
    /// Suspicion round, raised by the daemon itself to refute a suspicion.
    pub(super) round: u32,
    /// Whether it is suspected in this round; spread to the fleet.
    pub(super) suspect: bool,
    /// Whether only this daemon suspects it; not spread to the fleet.
    pub(super) suspected_locally: bool,
    /// When the suspicion of either kind began; `None` while there is none.
    pub(super) suspected_at: Option<Instant>,
    /// When it became gone, because a suspicion was not refuted in time or because it is leaving.
    pub(super) gone_at: Option<Instant>,
    /// Delta to the current version, if it is small.
    pub(super) delta: Option<Arc<Delta>>,
    /// Position in the digest tree.
    pub(super) tree_position: u64,
    /// Digest of the member's summary.
    digest: u64,
}

impl Member {
    fn new(entry: Arc<DaemonEntry>) -> Member {
        let tree_position = tree_position(&entry.daemon);
        let mut member = Member {
            entry,
            round: 0,
            suspect: false,
            suspected_locally: false,
            suspected_at: None,
            gone_at: None,
            delta: None,
            tree_position,
            digest: 0,
        };
        member.digest = digest(tree_position, &member.summary());
        member
    }

    pub(super) fn summary(&self) -> Summary {
        Summary {
            daemon: self.entry.daemon.clone(),
            incarnation: self.entry.incarnation,
            version: self.entry.version,
            round: self.round,
            suspect: self.suspect,
        }
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns whether the daemon counts as present, that is not gone.
    pub(super) fn is_present(&self) -> bool {
        self.gone_at.is_none()
    }

    /// Returns the description for snapshots; a gone daemon is shown as leaving, so that it gets no
    /// new requests.
    fn visible_entry(&self) -> Arc<DaemonEntry> {
        if self.entry.leaving || self.is_present() {
            return self.entry.clone();
        }
        Arc::new(DaemonEntry {
            leaving: true,
            ..(*self.entry).clone()
        })
    }
}

/// What is kept of a forgotten daemon, so that old news does not add it again.
#[derive(Debug, Clone, Copy)]
struct ForgottenMember {
    incarnation: Incarnation,
    version: u64,
    round: u32,
    /// When the daemon was forgotten.
    at: Instant,
}

/// Result of merging a summary.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct SummaryResult {
    /// The suspicion state was new.
    pub(super) changed: bool,
    /// The version of the description is new and must be requested.
    pub(super) wanted: bool,
    /// The peer has an older state than this daemon.
    pub(super) outdated: bool,
}

/// All known daemons, their common digest, and the snapshot made from them.
#[derive(Debug, Default)]
pub(super) struct Members {
    members: BTreeMap<DaemonId, Member>,
    forgotten: BTreeMap<DaemonId, ForgottenMember>,
    /// Members whose `suspected_at` is set.
    suspected: BTreeSet<DaemonId>,
    /// Exclusive or of the digests of all members.
    digest: u64,
    /// Snapshot that is kept up to date.
    fleet: Fleet,
    /// Whether the snapshot has changed since it was last taken.
    changed: bool,
}

impl Members {
    pub(super) fn get(&self, daemon: &DaemonId) -> Option<&Member> {
        self.members.get(daemon)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Member> + Clone {
        self.members.values()
    }

    /// Returns the members after an id, in order of ids.
    pub(super) fn after(&self, daemon: &DaemonId) -> impl Iterator<Item = &Member> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.members
            .range((Excluded(daemon.clone()), Unbounded))
            .map(|(_, member)| member)
    }

    pub(super) fn count(&self) -> usize {
        self.members.len()
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the snapshot if it has changed since it was last taken.
    pub(super) fn take_changed(&mut self) -> Option<Arc<Fleet>> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        Some(Arc::new(self.fleet.clone()))
    }

    pub(super) fn is_changed(&self) -> bool {
        self.changed
    }

    /// Changes one member and updates the digest, the set of suspected members and the snapshot.
    fn update(&mut self, daemon: &DaemonId, body: impl FnOnce(&mut Member)) {
        let Some(member) = self.members.get_mut(daemon) else {
            return;
        };
        self.digest ^= member.digest;
        body(member);
        member.digest = digest(member.tree_position, &member.summary());
        self.digest ^= member.digest;
        match member.suspected_at.is_some() {
            true => self.suspected.insert(daemon.clone()),
            false => self.suspected.remove(daemon),
        };
        let visible_entry = member.visible_entry();
        if self.fleet.daemons.get(daemon) != Some(&visible_entry) {
            self.fleet.daemons.insert(daemon.clone(), visible_entry);
            self.changed = true;
        }
    }

    /// Merges a description with its suspicion state. Returns whether it was news.
    pub(super) fn receive_entry(
        &mut self,
        now: Instant,
        entry: Arc<DaemonEntry>,
        summary: Option<&Summary>,
    ) -> bool {
        let standing = summary.filter(|found| found.incarnation == entry.incarnation);
        let round = standing.map_or(0, |found| found.round);
        let suspect = standing.is_some_and(|found| found.suspect);
        if self.is_forgotten(&entry.daemon, entry.incarnation, round, suspect) {
            return false;
        }
        let daemon = entry.daemon.clone();
        match self.members.get(&daemon) {
            Some(known) => {
                let known = (known.entry.incarnation, known.entry.version);
                if known >= (entry.incarnation, entry.version) {
                    return false;
                }
            }
            None => {
                let member = Member::new(entry.clone());
                self.digest ^= member.digest;
                self.members.insert(daemon.clone(), member);
            }
        }
        self.forgotten.remove(&daemon);
        self.update(&daemon, |member| {
            if entry.incarnation > member.entry.incarnation {
                *member = Member::new(entry);
            } else if entry.version > member.entry.version {
                let change = difference(&member.entry, &entry);
                member.delta = join(member.delta.as_deref(), change);
                member.entry = entry;
            }
            if (round, suspect) > (member.round, member.suspect) {
                set_suspicion(member, now, round, suspect);
            }
            if member.entry.leaving && member.gone_at.is_none() {
                member.gone_at = Some(now);
            }
        });
        true
    }

    /// Applies a delta to a description. Returns whether it was news.
    pub(super) fn receive_delta(&mut self, now: Instant, delta: &Arc<Delta>) -> bool {
        let Some(member) = self.members.get(&delta.daemon) else {
            return false;
        };
        if !applies(delta, &member.entry) {
            return false;
        }
        self.update(&delta.daemon, |member| {
            member.entry = Arc::new(apply(delta, &member.entry));
            member.delta = join(member.delta.as_deref(), (**delta).clone());
            if member.entry.leaving && member.gone_at.is_none() {
                member.gone_at = Some(now);
            }
        });
        true
    }

    /// Merges the suspicion state of a peer's summary, and compares the versions.
    pub(super) fn receive_summary(&mut self, now: Instant, summary: &Summary) -> SummaryResult {
        let Some(member) = self.members.get(&summary.daemon) else {
            let forgotten = self.is_forgotten(
                &summary.daemon,
                summary.incarnation,
                summary.round,
                summary.suspect,
            );
            return SummaryResult {
                wanted: !forgotten,
                ..Default::default()
            };
        };
        let entry = &member.entry;
        if summary.incarnation != entry.incarnation {
            return SummaryResult {
                wanted: summary.incarnation > entry.incarnation,
                outdated: summary.incarnation < entry.incarnation,
                ..Default::default()
            };
        }
        let theirs = (summary.round, summary.suspect);
        let ours = (member.round, member.suspect);
        let result = SummaryResult {
            changed: theirs > ours,
            wanted: summary.version > entry.version,
            outdated: summary.version < entry.version || theirs < ours,
        };
        if result.changed {
            self.update(&summary.daemon, |member| {
                set_suspicion(member, now, summary.round, summary.suspect);
            });
        }
        result
    }

    /// Removes daemons that were gone for `limit`, and the records of daemons that were forgotten
    /// that long ago. Never removes the own daemon.
    pub(super) fn forget(&mut self, now: Instant, own: &DaemonId, limit: Duration) {
        self.forgotten.retain(|_, kept| now < kept.at + limit);
        let old: Vec<DaemonId> = self
            .iter()
            .filter(|member| member.gone_at.is_some_and(|at| now >= at + limit))
            .map(|member| member.entry.daemon.clone())
            .filter(|daemon| daemon != own)
            .collect();
        for daemon in old {
            let Some(member) = self.members.remove(&daemon) else {
                continue;
            };
            self.digest ^= member.digest;
            self.suspected.remove(&daemon);
            self.fleet.daemons.remove(&daemon);
            self.changed = true;
            let kept = ForgottenMember {
                incarnation: member.entry.incarnation,
                version: member.entry.version,
                round: member.round,
                at: now,
            };
            self.forgotten.insert(daemon, kept);
        }
    }

    /// Returns whether news is about a forgotten state, or is a suspicion of a forgotten daemon.
    fn is_forgotten(
        &self,
        daemon: &DaemonId,
        incarnation: Incarnation,
        round: u32,
        suspect: bool,
    ) -> bool {
        let Some(kept) = self.forgotten.get(daemon) else {
            return false;
        };
        suspect || (incarnation, round) <= (kept.incarnation, kept.round)
    }

    /// Returns the last state of a forgotten daemon as a suspicion, which only the daemon itself
    /// can refute.
    pub(super) fn forgotten_summary(&self, daemon: &DaemonId) -> Option<Summary> {
        self.forgotten.get(daemon).map(|kept| Summary {
            daemon: daemon.clone(),
            incarnation: kept.incarnation,
            version: kept.version,
            round: kept.round,
            suspect: true,
        })
    }
}

/// Sets the suspicion state of a member. The end of a suspicion makes it present again unless it is
/// leaving.
fn set_suspicion(member: &mut Member, now: Instant, round: u32, suspect: bool) {
    member.round = round;
    member.suspect = suspect;
    member.suspected_at = suspect.then_some(now);
    if suspect {
        return;
    }
    member.suspected_locally = false;
    if !member.entry.leaving {
        member.gone_at = None;
    }
}
