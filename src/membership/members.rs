//! All daemons known, and the rules by which news of them is merged.
//!
//! A later life replaces an earlier one. Within a life, a greater version replaces the
//! description, and a greater round, or a suspicion in the same round, replaces the standing. Both
//! orders are total, so the order in which news arrives makes no difference.

mod suspicion_state;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::delta::{applies, apply, difference, join};
use super::digest::{digest, tree_position};
use super::message::{DaemonEntry, Delta, Fleet, Summary};
use crate::types::{DaemonId, Incarnation};

/// One daemon.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) entry: Arc<DaemonEntry>,
    /// Raised by the daemon itself, to refute a suspicion.
    pub(super) round: u32,
    /// Whether the fleet was told that it is suspected in this round.
    pub(super) suspect: bool,
    /// Whether this daemon alone suspects it; not told.
    pub(super) suspected_locally: bool,
    /// Since when one of the two holds; none while neither does.
    pub(super) suspected_at: Option<Instant>,
    /// Since when it counts as gone, for want of a refutation or because it leaves.
    pub(super) gone_at: Option<Instant>,
    /// What led to the present version, where it is little.
    pub(super) delta: Option<Arc<Delta>>,
    pub(super) tree_position: u64,
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

    /// Whether calls to it make sense.
    pub(super) fn is_present(&self) -> bool {
        self.gone_at.is_none()
    }

    /// The description as routing gets it: one that is gone takes no new work.
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

/// What is kept of a forgotten daemon, so that old news does not bring it back.
#[derive(Debug, Clone, Copy)]
struct ForgottenMember {
    incarnation: Incarnation,
    version: u64,
    round: u32,
    at: Instant,
}

/// What a summary told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct SummaryResult {
    /// The standing is news.
    pub(super) changed: bool,
    /// The description that it names is not known.
    pub(super) wanted: bool,
    /// The peer knows less than this daemon.
    pub(super) outdated: bool,
}

/// All daemons known.
#[derive(Debug, Default)]
pub(super) struct Members {
    members: BTreeMap<DaemonId, Member>,
    forgotten: BTreeMap<DaemonId, ForgottenMember>,
    /// Members whose `since` is set.
    suspected: BTreeSet<DaemonId>,
    digest: u64,
    fleet: Fleet,
    /// Whether the snapshot has changed since it was taken.
    changed: bool,
}

impl Members {
    pub(super) fn get(&self, daemon: &DaemonId) -> Option<&Member> {
        self.members.get(daemon)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Member> + Clone {
        self.members.values()
    }

    /// Members after a name, in order of names.
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

    /// The snapshot, where it has changed since it was last taken.
    pub(super) fn take_changed(&mut self) -> Option<Arc<Fleet>> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        Some(Arc::new(self.fleet.clone()))
    }

    pub(super) fn is_changed(&self) -> bool {
        self.changed
    }

    /// Changes one member and all that depends on it.
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

    /// Takes a description with its standing. Says whether it was news.
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

    /// Takes a change of a description. Says whether it was news.
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

    /// Takes a summary of a peer.
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
        let told = SummaryResult {
            changed: theirs > ours,
            wanted: summary.version > entry.version,
            outdated: summary.version < entry.version || theirs < ours,
        };
        if told.changed {
            self.update(&summary.daemon, |member| {
                set_suspicion(member, now, summary.round, summary.suspect);
            });
        }
        told
    }

    /// Forgets daemons that are gone for long, and what was kept of forgotten ones.
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

    /// The last standing of a forgotten daemon, as a suspicion that only the daemon refutes.
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
