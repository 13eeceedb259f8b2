//! Chooses the partners: the few daemons that this daemon gossips with.

use std::time::Instant;

use rand::seq::IteratorRandom;
use rand::Rng;

use super::state::MembershipState;
use crate::types::DaemonId;

/// Probability that a new partner is chosen from any failure domain instead of the own one.
const FAR_PARTNER_SHARE: f64 = 0.5;

impl MembershipState {
    /// Replaces partners that are gone, and one random partner each time `partner_ms` has passed.
    pub(super) fn refresh_partners(&mut self, now: Instant) {
        if now >= self.partner_at {
            self.partner_at = self.later(now, self.settings.partner_ms);
            if self.partners.len() >= self.settings.partner_count {
                let index = self.random.random_range(0..self.partners.len());
                self.partners.remove(index);
            }
        }
        let members = &self.members;
        let present = |daemon: &DaemonId| members.get(daemon).is_some_and(|m| m.is_present());
        self.partners.retain(present);
        // This daemon itself is among the members.
        let wanted_count = self.settings.partner_count.min(self.members.count() - 1);
        while self.partners.len() < wanted_count {
            let far = self.random.random_bool(FAR_PARTNER_SHARE);
            let Some(daemon) = self.choose(|domain, own| far || domain == own) else {
                break;
            };
            self.partners.push(daemon);
        }
    }

    /// Returns a random present daemon that is no partner yet, one that fits if there is any.
    fn choose(&mut self, fits: impl Fn(&str, &str) -> bool) -> Option<DaemonId> {
        let free = self.members.iter().filter(|member| {
            let daemon = &member.entry.daemon;
            member.is_present() && *daemon != self.own.daemon && !self.partners.contains(daemon)
        });
        let fitting = free
            .clone()
            .filter(|member| fits(&member.entry.domain, &self.own.domain));
        let chosen = fitting
            .choose(&mut self.random)
            .or_else(|| free.choose(&mut self.random));
        chosen.map(|member| member.entry.daemon.clone())
    }
}
