//! Gossip: exchanges news with a few partners, and handles all requests and answers of peers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::budget::{
    delta_bytes, entry_bytes, name_bytes, summary_bytes, ANSWER_BYTES, EXCHANGE_BYTES,
};
use super::message::{CallTarget, DaemonEntry, Gossip, MembershipAction, Summary, Ticket};
use super::rumours::send_limit_count;
use super::state::{MembershipState, TYPICAL_DOUBLINGS};
use crate::link::{LinkError, PeerAnswer, PeerName, PeerRequest};
use crate::types::DaemonId;

/// A call to a peer that has not ended yet.
#[derive(Debug, Clone)]
pub(super) struct OpenCall {
    pub(super) to: CallTarget,
    pub(super) purpose: CallPurpose,
    pub(super) sent_at: Instant,
}

/// CallPurpose of a call, which decides how its answer is handled.
#[derive(Debug, Clone)]
pub(super) enum CallPurpose {
    /// Exchanges news; holds the daemons whose summaries were sent.
    Gossip { sent: Vec<DaemonId> },
    /// Compares the children of this node of the digest tree.
    Compare { depth: u8, prefix: u64 },
    /// Requests a page of a full sync.
    Page,
    /// Asks a helper whether it reaches this daemon (an indirect probe).
    AskHelper(DaemonId),
    /// Probes a daemon for the peer whose request has this ticket.
    Help(Ticket),
}

/// Most summaries of news in one message.
const SUMMARY_LIMIT_COUNT: usize = 12;
/// Most descriptions that are requested in one message.
pub(super) const WANTED_LIMIT_COUNT: usize = 8;
/// Part of the budget that descriptions leave free for news and comparisons.
const RESERVE_BYTES: usize = 2 * EXCHANGE_BYTES;
/// Bytes of a summary and a delta with ids of typical length.
const TYPICAL_NEWS_BYTES: usize = 192;
/// Time after which a requested description that did not arrive is requested again.
const ENTRY_RETRY_INTERVAL: Duration = Duration::from_millis(700);

impl MembershipState {
    /// Queues news of a daemon for gossip and brings the next gossip forward.
    pub(super) fn add_rumour(&mut self, now: Instant, daemon: DaemonId) {
        self.rumours.add(daemon);
        let soonest = self.gossiped_at + Duration::from_millis(self.settings.gossip_ms);
        self.gossip_at = self.gossip_at.min(soonest.max(now));
    }

    /// Gossips with the next partner if gossip is due and within the budget.
    pub(super) fn gossip(&mut self, now: Instant) {
        if now < self.gossip_at {
            return;
        }
        let wait_ms = match self.rumours.is_empty() {
            true => self.idle_gossip_ms(),
            false => self.settings.gossip_ms,
        };
        self.gossip_at = self.later(now, wait_ms);
        if self.budget.left_bytes(now) < 2 * EXCHANGE_BYTES {
            self.count("membership.budget.spent");
            return;
        }
        if self.partners.is_empty() {
            return;
        }
        self.partners.rotate_left(1);
        let partner = self.partners[0].clone();
        self.gossiped_at = now;
        self.gossip_with(now, partner);
    }

    /// Sends queued news to a peer; its answer carries the peer's news.
    pub(super) fn gossip_with(&mut self, now: Instant, to: DaemonId) {
        let gossip = self.compose_gossip(now, &to);
        self.send_gossip(now, CallTarget::Daemon(to), gossip);
    }

    /// Sends a gossip message and takes its bytes out of the budget.
    pub(super) fn send_gossip(&mut self, now: Instant, to: CallTarget, gossip: Gossip) {
        self.budget.spend(EXCHANGE_BYTES + gossip_bytes(&gossip));
        let sent = gossip.summaries.iter();
        let sent = sent.map(|summary| summary.daemon.clone()).collect();
        self.call(
            now,
            to,
            CallPurpose::Gossip { sent },
            PeerRequest::Gossip(gossip),
        );
    }

    /// Starts a call to a peer and remembers it until it ends.
    pub(super) fn call(
        &mut self,
        now: Instant,
        to: CallTarget,
        purpose: CallPurpose,
        request: PeerRequest,
    ) {
        let ticket = self.new_ticket();
        let open = OpenCall {
            to: to.clone(),
            purpose,
            sent_at: now,
        };
        self.calls.insert(ticket, open);
        self.actions.push(MembershipAction::Call {
            ticket,
            to,
            request,
        });
    }

    /// Composes a message of queued news for a peer, within the budget.
    fn compose_gossip(&mut self, now: Instant, to: &DaemonId) -> Gossip {
        let left_bytes = self.budget.left_bytes(now).saturating_sub(EXCHANGE_BYTES);
        let count = (left_bytes / TYPICAL_NEWS_BYTES).min(SUMMARY_LIMIT_COUNT);
        let limit_count = send_limit_count(self.members.count());
        let mut summaries: Vec<Summary> = self.suspicion_of(to).into_iter().collect();
        let mut deltas = Vec::new();
        for daemon in self.rumours.take(count, limit_count) {
            let Some(member) = self.members.get(&daemon) else {
                continue;
            };
            summaries.push(member.summary());
            deltas.extend(member.delta.clone());
        }
        Gossip {
            summaries,
            deltas,
            wanted: self.take_missing(now, WANTED_LIMIT_COUNT),
            digest: self.members.digest(),
            ..Default::default()
        }
    }

    /// Returns up to `count` missing descriptions that were not requested recently, and marks them
    /// as requested now.
    pub(super) fn take_missing(&mut self, now: Instant, count: usize) -> Vec<DaemonId> {
        let mut wanted = Vec::new();
        for (daemon, asked_at) in &mut self.missing {
            if wanted.len() == count {
                break;
            }
            if asked_at.is_some_and(|at| now < at + ENTRY_RETRY_INTERVAL) {
                continue;
            }
            *asked_at = Some(now);
            wanted.push(daemon.clone());
        }
        wanted
    }

    /// Returns the suspicion that a peer must receive in order to refute it, if there is one.
    fn suspicion_of(&self, peer: &DaemonId) -> Option<Summary> {
        let Some(member) = self.members.get(peer) else {
            return self.members.forgotten_summary(peer);
        };
        member.suspect.then(|| member.summary())
    }

    /// Returns the summary of a known daemon.
    pub(super) fn summary(&self, daemon: &DaemonId) -> Option<Summary> {
        self.members.get(daemon).map(|member| member.summary())
    }

    /// Returns the descriptions of some daemons, skipping those that exceed the budget.
    pub(super) fn entries_within_budget(
        &mut self,
        now: Instant,
        daemons: &[DaemonId],
    ) -> Vec<Arc<DaemonEntry>> {
        let mut left_bytes = self.budget.left_bytes(now).saturating_sub(RESERVE_BYTES);
        let mut entries = Vec::new();
        for daemon in daemons {
            let Some(member) = self.members.get(daemon) else {
                continue;
            };
            let bytes = entry_bytes(&member.entry);
            if bytes > left_bytes {
                continue;
            }
            left_bytes -= bytes;
            entries.push(member.entry.clone());
        }
        entries
    }

    /// Answers a request of a peer, or starts the probe that the answer depends on.
    pub(super) fn handle_request(
        &mut self,
        now: Instant,
        ticket: Ticket,
        from: &PeerName,
        request: PeerRequest,
    ) {
        // A request of an earlier incarnation is no sign that the later one is alive.
        if self.later_incarnation_of(from).is_none() {
            self.record_contact(now, &from.daemon);
        }
        let answer = match request {
            PeerRequest::Gossip(gossip) => Some(self.answer_gossip(now, from, gossip)),
            PeerRequest::Compare(compare) => self.answer_compare(&compare),
            PeerRequest::Members(page) => self.answer_page(now, &page),
            PeerRequest::Probe(daemon) => {
                if daemon != self.own.daemon {
                    return self.probe_for_peer(now, ticket, daemon);
                }
                Some(PeerAnswer::Probe(true))
            }
            _ => None,
        };
        self.actions
            .push(MembershipAction::Reply { ticket, answer });
    }

    /// Merges the gossip of a peer, and returns own news and the descriptions that it wants.
    fn answer_gossip(&mut self, now: Instant, from: &PeerName, gossip: Gossip) -> PeerAnswer {
        let merged = self.merge_news(now, &gossip.summaries, &gossip.deltas, gossip.entries);
        if self.members.get(&from.daemon).is_none() {
            self.missing.entry(from.daemon.clone()).or_default();
        }
        if gossip.digest == self.members.digest() {
            self.rumours.mark_all_known();
        }
        let mut answer = self.compose_gossip(now, &from.daemon);
        answer.entries = self.entries_within_budget(now, &gossip.wanted);
        answer.entries.extend(self.later_incarnation_of(from));
        answer.known = merged.known;
        self.add_summaries(&mut answer, &merged.outdated);
        self.budget.spend(ANSWER_BYTES + gossip_bytes(&answer));
        PeerAnswer::Gossip(answer)
    }

    /// Adds the summaries of the descriptions in a message, and of some other daemons.
    pub(super) fn add_summaries(&self, gossip: &mut Gossip, others: &[DaemonId]) {
        let described = gossip.entries.iter().map(|entry| &entry.daemon);
        for daemon in described.chain(others) {
            if gossip.summaries.iter().any(|found| found.daemon == *daemon) {
                continue;
            }
            gossip.summaries.extend(self.summary(daemon));
        }
    }

    /// Handles the answer or failure of a call, according to the purpose of the call.
    pub(super) fn handle_call_end(
        &mut self,
        now: Instant,
        ticket: Ticket,
        result: Result<PeerAnswer, LinkError>,
    ) {
        let Some(call) = self.calls.remove(&ticket) else {
            return;
        };
        if let (CallTarget::Daemon(daemon), true) = (&call.to, is_answered(&result)) {
            let daemon = daemon.clone();
            self.record_contact(now, &daemon);
        }
        match (call.purpose.clone(), result) {
            (CallPurpose::Gossip { sent }, Ok(PeerAnswer::Gossip(gossip))) => {
                for (index, daemon) in sent.iter().enumerate() {
                    if gossip.known.checked_shr(index as u32).unwrap_or(0) & 1 == 1 {
                        self.rumours.mark_known(daemon);
                    }
                }
                self.follow_up(now, call.to, gossip);
            }
            (CallPurpose::Compare { depth, prefix }, Ok(PeerAnswer::Compare(answer))) => {
                self.handle_compare_answer(now, call.to, (depth, prefix), &answer);
            }
            (CallPurpose::Page, result) => self.handle_page(now, result),
            (CallPurpose::AskHelper(daemon), result) => {
                self.handle_helper_answer(now, (daemon, call.sent_at), &result)
            }
            (CallPurpose::Help(ticket), result) => {
                let answer = Some(PeerAnswer::Probe(is_answered(&result)));
                self.actions
                    .push(MembershipAction::Reply { ticket, answer });
            }
            (CallPurpose::Gossip { .. }, Err(LinkError::Unreachable | LinkError::Silent)) => {
                self.record_failed_call(now, &call);
            }
            _ => {}
        }
    }

    /// Merges a gossip answer. Sends and requests the descriptions that either side lacks; if there
    /// are none and the digests differ, starts a comparison.
    fn follow_up(&mut self, now: Instant, to: CallTarget, answer: Gossip) {
        let merged = self.merge_news(now, &answer.summaries, &answer.deltas, answer.entries);
        let outdated = merged.outdated;
        if self.budget.left_bytes(now) < EXCHANGE_BYTES {
            return self.count("membership.budget.spent");
        }
        let entries = self.entries_within_budget(now, &answer.wanted);
        let wanted = self.take_missing(now, WANTED_LIMIT_COUNT);
        if wanted.is_empty() && outdated.is_empty() && entries.is_empty() {
            match answer.digest == self.members.digest() {
                true => self.rumours.mark_all_known(),
                false => self.compare(now, to),
            }
            return;
        }
        let mut gossip = Gossip {
            entries,
            wanted,
            digest: self.members.digest(),
            ..Default::default()
        };
        self.add_summaries(&mut gossip, &outdated);
        self.send_gossip(now, to, gossip);
    }

    /// Returns the interval of gossip without news; it grows with the size of the fleet.
    fn idle_gossip_ms(&self) -> u64 {
        self.settings.idle_gossip_ms * u64::from(self.doublings()) / u64::from(TYPICAL_DOUBLINGS)
    }
}

/// Returns whether the peer answered at all, even with a refusal.
pub(super) fn is_answered(result: &Result<PeerAnswer, LinkError>) -> bool {
    matches!(result, Ok(_) | Err(LinkError::Refused))
}

/// Returns the encoded bytes of the content of a gossip message.
fn gossip_bytes(gossip: &Gossip) -> usize {
    let summaries: usize = gossip.summaries.iter().map(summary_bytes).sum();
    let entries: usize = gossip.entries.iter().map(|entry| entry_bytes(entry)).sum();
    let wanted: usize = gossip.wanted.iter().map(|name| name_bytes(name)).sum();
    let deltas: usize = gossip.deltas.iter().map(|delta| delta_bytes(delta)).sum();
    summaries + entries + wanted + deltas
}
