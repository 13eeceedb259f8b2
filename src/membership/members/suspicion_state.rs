//! Transitions of a member's suspicion state: suspicion, refutation and expiry.

use std::time::{Duration, Instant};

use super::{Member, Members};
use crate::types::DaemonId;

impl Members {
    /// Suspects a daemon in its current round; the suspicion is spread to the fleet.
    pub(in crate::membership) fn suspect(&mut self, now: Instant, daemon: &DaemonId) {
        self.update(daemon, |member| {
            member.suspect = true;
            member.suspected_at.get_or_insert(now);
        });
    }

    /// Suspects a daemon without spreading the suspicion, since only this daemon cannot reach it.
    pub(in crate::membership) fn mark_suspected_locally(
        &mut self,
        now: Instant,
        daemon: &DaemonId,
    ) {
        self.update(daemon, |member| {
            member.suspected_locally = true;
            member.suspected_at.get_or_insert(now);
        });
    }

    /// Records a sign of life of a daemon. Ends a local suspicion; a suspicion that was spread gets
    /// its full time again to be refuted.
    pub(in crate::membership) fn confirm_alive(&mut self, now: Instant, daemon: &DaemonId) {
        self.update(daemon, |member| {
            member.suspected_locally = false;
            member.suspected_at = member.suspect.then_some(now);
            if !member.entry.leaving {
                member.gone_at = None;
            }
        });
    }

    /// Ends all local suspicions.
    pub(in crate::membership) fn clear_suspected_locally(&mut self, now: Instant) {
        let suspected_locally: Vec<DaemonId> = self
            .suspected()
            .filter(|member| member.suspected_locally)
            .map(|member| member.entry.daemon.clone())
            .collect();
        for daemon in suspected_locally {
            self.confirm_alive(now, &daemon);
        }
    }

    /// Returns the members with a suspicion of either kind.
    fn suspected(&self) -> impl Iterator<Item = &Member> {
        self.suspected
            .iter()
            .filter_map(|daemon| self.members.get(daemon))
    }

    /// Extends every suspicion by the time for which this process was paused.
    pub(in crate::membership) fn postpone(&mut self, pause: Duration) {
        for member in self.members.values_mut() {
            if let Some(suspected_at) = &mut member.suspected_at {
                *suspected_at += pause;
            }
        }
    }

    /// Returns when the next suspicion expires, for suspicions that last `limit`.
    pub(in crate::membership) fn next_lapse_at(&self, limit: Duration) -> Option<Instant> {
        let open = self.suspected().filter(|member| member.is_present());
        open.filter_map(|member| member.suspected_at)
            .min()
            .map(|suspected_at| suspected_at + limit)
    }

    /// Marks daemons as gone whose suspicion was not refuted within `limit`. Returns their ids.
    pub(in crate::membership) fn lapse(&mut self, now: Instant, limit: Duration) -> Vec<DaemonId> {
        let lapsed: Vec<DaemonId> = self
            .suspected()
            .filter(|member| member.is_present())
            .filter(|member| {
                member
                    .suspected_at
                    .is_some_and(|suspected_at| now >= suspected_at + limit)
            })
            .map(|member| member.entry.daemon.clone())
            .collect();
        for daemon in &lapsed {
            self.update(daemon, |member| member.gone_at = Some(now));
        }
        lapsed
    }

    /// Raises the round of the own daemon above the round in which it is suspected.
    pub(in crate::membership) fn refute(&mut self, own: &DaemonId, round: u32) {
        self.update(own, |member| {
            member.round = round.saturating_add(1);
            member.suspect = false;
            member.suspected_at = None;
        });
    }
}
