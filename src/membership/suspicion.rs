//! Failure detection: from an unanswered call to a suspicion, confirmed by indirect probes.
//!
//! A failed call may only mean a bad network path. A suspicion is spread only if a helper answers
//! that it cannot reach the daemon either, and the daemon itself refutes it when it learns of it.

use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rand::Rng;

use super::budget::EXCHANGE_BYTES;
use super::gossip::{CallPurpose, OpenCall};
use super::message::{CallTarget, Gossip, Ticket};
use super::state::{MembershipState, TYPICAL_DOUBLINGS};
use crate::link::{LinkError, PeerAnswer, PeerRequest};
use crate::types::DaemonId;

/// Evidence against a daemon that did not answer.
#[derive(Debug, Default)]
pub(super) struct FailureEvidence {
    /// Consecutive calls without an answer.
    failed_count: u32,
    /// When helpers were asked; answers to earlier requests no longer count.
    asked_at: Option<Instant>,
    /// Helpers whose call has not ended.
    pending_count: u32,
    /// Helpers that cannot reach it either.
    unreachable_count: u32,
}

/// Consecutive unanswered calls, each on a new connection, after which helpers are asked.
const FAILED_LIMIT_COUNT: u32 = 2;
/// Time without contact to any peer after which this daemon may itself have been cut off.
const ISOLATION_TIME: Duration = Duration::from_secs(2);
/// Probability that an attempt to heal a network partition goes to a seed.
const SEED_SHARE: f64 = 0.1;

impl MembershipState {
    /// Returns how long a suspicion waits for its refutation; longer in large fleets.
    pub(super) fn suspect_limit(&self) -> Duration {
        Duration::from_millis(self.settings.suspect_ms) * self.doublings() / TYPICAL_DOUBLINGS
    }

    /// Records a sign of life of a daemon. The first contact after an isolation ends all local
    /// suspicions.
    pub(super) fn record_contact(&mut self, now: Instant, daemon: &DaemonId) {
        if now > self.contact_at + ISOLATION_TIME {
            self.members.clear_suspected_locally(now);
        }
        self.contact_at = now;
        self.failures.remove(daemon);
        let Some(member) = self.members.get(daemon) else {
            return;
        };
        if member.suspected_at.is_some() || member.gone_at.is_some() {
            self.members.confirm_alive(now, daemon);
        }
    }

    /// Records an unanswered call: repeats the first one, asks helpers after the second.
    pub(super) fn record_failed_call(&mut self, now: Instant, call: &OpenCall) {
        let CallTarget::Daemon(daemon) = &call.to else {
            return;
        };
        let present = self
            .members
            .get(daemon)
            .is_some_and(|found| found.is_present());
        if call.sent_at < self.resumed_at || !present {
            return;
        }
        let failure = self.failures.entry(daemon.clone()).or_default();
        failure.failed_count += 1;
        if failure.failed_count < FAILED_LIMIT_COUNT {
            let again = Gossip {
                digest: self.members.digest(),
                ..Default::default()
            };
            return self.send_gossip(now, call.to.clone(), again);
        }
        if failure.pending_count == 0 {
            self.ask_helpers(now, daemon);
        }
    }

    /// Asks random partners to probe a daemon. Without partners the suspicion stays local.
    fn ask_helpers(&mut self, now: Instant, daemon: &DaemonId) {
        let helper_count = self.settings.helper_count;
        let helpers: Vec<DaemonId> = self
            .partners
            .iter()
            .filter(|partner| *partner != daemon && !self.failures.contains_key(*partner))
            .cloned()
            .choose_multiple(&mut self.random, helper_count);
        if helpers.is_empty() {
            self.failures.remove(daemon);
            self.members.mark_suspected_locally(now, daemon);
            return;
        }
        if let Some(failure) = self.failures.get_mut(daemon) {
            failure.asked_at = Some(now);
            failure.pending_count = helpers.len() as u32;
            failure.unreachable_count = 0;
        }
        for helper in helpers {
            self.budget.spend(EXCHANGE_BYTES);
            let purpose = CallPurpose::AskHelper(daemon.clone());
            let request = PeerRequest::Probe(daemon.clone());
            self.call(now, CallTarget::Daemon(helper), purpose, request);
        }
    }

    /// Evaluates the answer of a helper. If the helper reached the daemon, the daemon is only
    /// dropped as a partner. After the last answer it is suspected, and only locally unless a
    /// helper confirmed that it cannot reach it.
    pub(super) fn handle_helper_answer(
        &mut self,
        now: Instant,
        (daemon, asked_at): (DaemonId, Instant),
        result: &Result<PeerAnswer, LinkError>,
    ) {
        let failure = self.failures.get_mut(&daemon);
        let Some(failure) = failure.filter(|found| found.asked_at == Some(asked_at)) else {
            return;
        };
        match result {
            Ok(PeerAnswer::Probe(true)) => {
                // Only the path from this daemon is bad, so another partner is chosen.
                self.failures.remove(&daemon);
                self.partners.retain(|partner| *partner != daemon);
                return self.count("membership.path.bad");
            }
            Ok(PeerAnswer::Probe(false)) => failure.unreachable_count += 1,
            _ => {}
        }
        failure.pending_count -= 1;
        if failure.pending_count > 0 {
            return;
        }
        let is_unreachable = failure.unreachable_count > 0;
        self.failures.remove(&daemon);
        if !is_unreachable {
            return self.members.mark_suspected_locally(now, &daemon);
        }
        self.members.suspect(now, &daemon);
        self.add_rumour(now, daemon);
        self.count("membership.suspect");
    }

    /// Probes a daemon for a peer that could not reach it.
    pub(super) fn probe_for_peer(&mut self, now: Instant, ticket: Ticket, daemon: DaemonId) {
        self.budget.spend(EXCHANGE_BYTES);
        let request = PeerRequest::Probe(daemon.clone());
        self.call(
            now,
            CallTarget::Daemon(daemon),
            CallPurpose::Help(ticket),
            request,
        );
    }

    /// Gossips with a gone daemon or a seed now and then, so that the halves of a network partition
    /// find each other again.
    pub(super) fn heal(&mut self, now: Instant) {
        if now < self.heal_at {
            return;
        }
        self.heal_at = self.later(now, self.settings.heal_ms);
        if self.random.random_bool(SEED_SHARE) {
            let seeds = self.settings.seed_addresses.iter();
            if let Some(seed) = seeds.choose(&mut self.random).copied() {
                let gossip = Gossip {
                    summaries: self.summary(&self.own.daemon).into_iter().collect(),
                    digest: self.members.digest(),
                    ..Default::default()
                };
                return self.send_gossip(now, CallTarget::Seed(seed), gossip);
            }
        }
        let gone = self.members.iter().filter(|member| {
            let planned = member.entry.leaving;
            !planned && !member.is_present() && member.entry.daemon != self.own.daemon
        });
        let daemon = gone
            .choose(&mut self.random)
            .map(|member| member.entry.daemon.clone());
        if let Some(daemon) = daemon {
            self.gossip_with(now, daemon);
        }
    }
}
