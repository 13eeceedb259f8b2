//! Takes tokens for requests that enter on this daemon, from its own shards or borrowed from other
//! holders.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::calls::{OpenCall, Purpose};
use super::loan::{
    BorrowRound, BorrowedTokens, PendingBorrow, WaitingRequest, DEFAULT_RETRY_AFTER,
    MIN_ROUND_INTERVAL,
};
use super::message::{AllowanceAction, CallId};
use super::partition;
use super::record::PartitionId;
use super::state::AllowanceState;
use crate::contract::OrganisationContract;
use crate::error::ErrorKind;
use crate::link::{BorrowAnswer, BorrowRequest, EscrowId, PeerName, PeerRequest};
use crate::types::{DaemonId, OrganisationId, RequestId};

/// Borrowed tokens and waiting requests of all organisations.
#[derive(Debug, Default)]
pub struct EntryTokens {
    organisations: HashMap<OrganisationId, BorrowedTokens>,
    /// When to look at an organisation again; outdated timers do no harm.
    timers: BinaryHeap<Reverse<(Instant, OrganisationId)>>,
}

impl EntryTokens {
    /// Returns when the next organisation is due.
    pub fn next_at(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Forgets organisations that had no requests lately.
    pub fn sweep(&mut self, now: Instant) {
        self.organisations.retain(|_, tokens| !tokens.is_idle(now));
    }

    /// Returns an organisation's tokens and waiting requests, created if needed.
    fn tokens_of(&mut self, organisation: &OrganisationId) -> &mut BorrowedTokens {
        self.organisations.entry(organisation.clone()).or_default()
    }

    /// Sets a timer for an organisation.
    fn schedule(&mut self, at: Instant, organisation: &OrganisationId) {
        self.timers.push(Reverse((at, organisation.clone())));
    }

    /// Removes the first timer if it is due, and returns its organisation.
    fn pop_due(&mut self, now: Instant) -> Option<OrganisationId> {
        if self.next_at()? > now {
            return None;
        }
        self.timers
            .pop()
            .map(|Reverse((_, organisation))| organisation)
    }
}

impl AllowanceState {
    /// Queues a request for a token, and grants or refuses what can be decided at once.
    pub(super) fn take_token(
        &mut self,
        now: Instant,
        request: RequestId,
        organisation: OrganisationId,
        actions: &mut Vec<AllowanceAction>,
    ) {
        let view = self.view.clone();
        let Some(contract) = view.organisations.get(&organisation) else {
            actions.push(AllowanceAction::Refuse {
                request,
                kind: ErrorKind::RateExceeded,
                retry_after: DEFAULT_RETRY_AFTER,
            });
            return;
        };
        let wait = Duration::from_millis(self.settings.borrow_wait_ms);
        let limit_count = self.settings.waiting_limit_count;
        let tokens = self.entry.tokens_of(&organisation);
        tokens.note_request(now);
        let closed = tokens
            .closed_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        if tokens.waiting.len() >= limit_count {
            actions.push(AllowanceAction::Refuse {
                request,
                kind: tokens.refusal(),
                retry_after: closed.max(MIN_ROUND_INTERVAL),
            });
            return;
        }
        let until = now + wait;
        tokens.waiting.push_back(WaitingRequest { request, until });
        self.grant_waiting(now, contract, actions);
        self.continue_round(now, contract, actions);
        let waits = !self.entry.tokens_of(&organisation).waiting.is_empty();
        if waits {
            self.entry.schedule(until, &organisation);
        }
    }

    /// Grants, refuses or asks on behalf of every organisation whose timer is due.
    pub(super) fn handle_due_organisations(
        &mut self,
        now: Instant,
        actions: &mut Vec<AllowanceAction>,
    ) {
        let view = self.view.clone();
        while let Some(organisation) = self.entry.pop_due(now) {
            let Some(contract) = view.organisations.get(&organisation) else {
                continue;
            };
            if !self.entry.organisations.contains_key(&organisation) {
                continue;
            }
            self.grant_waiting(now, contract, actions);
            self.refuse_timed_out(now, &organisation, actions);
            self.continue_round(now, contract, actions);
        }
    }

    /// Handles the answer to a call for tokens; `lent` is `None` if the call failed.
    pub(super) fn handle_borrow_answer(
        &mut self,
        now: Instant,
        (call, sent_at): (CallId, Instant),
        organisation: &OrganisationId,
        lent: Option<BorrowAnswer>,
        actions: &mut Vec<AllowanceAction>,
    ) {
        let longest = self.times.loan_time;
        let tokens = self.entry.tokens_of(organisation);
        if let Some(lent) = &lent {
            let time = lent.lapses_after.min(longest);
            if lent.count > 0 && sent_at + time > now {
                tokens.add_loan(sent_at, lent.count, time);
            }
        }
        if let Some(round) = &mut tokens.round {
            round.answered(call, lent.as_ref());
        }
        let view = self.view.clone();
        let Some(contract) = view.organisations.get(organisation) else {
            return;
        };
        self.grant_waiting(now, contract, actions);
        self.continue_round(now, contract, actions);
    }

    /// Grants waiting requests, from borrowed tokens first because those lapse.
    fn grant_waiting(
        &mut self,
        now: Instant,
        contract: &OrganisationContract,
        actions: &mut Vec<AllowanceAction>,
    ) {
        let tokens = self.entry.tokens_of(&contract.organisation);
        while !tokens.waiting.is_empty() {
            let took = tokens.take(now)
                || self
                    .lender
                    .take(now, &self.view, &self.leases, contract)
                    .is_ok();
            if !took {
                return;
            }
            if let Some(WaitingRequest { request, .. }) = tokens.waiting.pop_front() {
                actions.push(AllowanceAction::Grant { request });
            }
        }
    }

    /// Starts or continues a round if requests wait. Between rounds, refuses those that cannot wait
    /// for the next one.
    fn continue_round(
        &mut self,
        now: Instant,
        contract: &OrganisationContract,
        actions: &mut Vec<AllowanceAction>,
    ) {
        let organisation = &contract.organisation;
        let tokens = self.entry.tokens_of(organisation);
        if tokens.waiting.is_empty() {
            if tokens.round.as_ref().is_some_and(|r| r.pending.is_none()) {
                tokens.round = None;
            }
            return;
        }
        if tokens.round.is_none() {
            if tokens.closed_until.is_some_and(|until| now < until) {
                return self.refuse_unservable(now, organisation, actions);
            }
            let round = self.new_round(now, contract);
            self.entry.tokens_of(organisation).round = Some(round);
        }
        self.ask_next_holder(now, organisation, actions);
    }

    /// Calls the next holder for tokens, or ends the round after the last one.
    fn ask_next_holder(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        actions: &mut Vec<AllowanceAction>,
    ) {
        let window = Duration::from_millis(self.settings.batch_ms);
        let patience = now + Duration::from_millis(self.settings.patience_ms);
        let tokens = self.entry.tokens_of(organisation);
        let count = tokens.batch_count(now, window);
        let Some(round) = &mut tokens.round else {
            return;
        };
        if round.pending.as_ref().is_some_and(|p| now < p.until) {
            return;
        }
        round.partial |= round.pending.is_some();
        let Some(to) = round.holders_left.pop() else {
            let closed_until = now + round.retry_after.max(MIN_ROUND_INTERVAL);
            tokens.closed_until = Some(closed_until);
            tokens.partial = round.partial;
            tokens.round = None;
            self.entry.schedule(closed_until, organisation);
            return self.refuse_unservable(now, organisation, actions);
        };
        let call = self.calls.open(OpenCall {
            to: PeerName {
                daemon: to.clone(),
                incarnation: 0,
            },
            sent_at: now,
            purpose: Purpose::Tokens(organisation.clone()),
        });
        round.pending = Some(PendingBorrow {
            call,
            to: to.clone(),
            count,
            until: patience,
        });
        self.entry.schedule(patience, organisation);
        actions.push(AllowanceAction::Call {
            call,
            to,
            request: PeerRequest::Borrow(BorrowRequest {
                escrow: EscrowId::Organisation(organisation.clone()),
                count,
            }),
        });
    }

    /// Returns a round over the reachable holders of the organisation's shards. Those in this
    /// daemon's own failure domain are asked first.
    fn new_round(&mut self, now: Instant, contract: &OrganisationContract) -> BorrowRound {
        let partition_count = self.leases.ledger().partitions().len() as PartitionId;
        let shard_count = self.view.shard_count(contract);
        let own_wait = self
            .lender
            .wait_for_token(now, &self.view, &self.leases, contract);
        let mut holders_left: SmallVec<[DaemonId; 3]> = SmallVec::new();
        let mut partial = false;
        for partition in
            partition::partitions_of(&contract.organisation, shard_count, partition_count)
        {
            let Some(holder) = self.leases.ledger().holder_of(partition) else {
                partial = true;
                continue;
            };
            if holder.daemon == self.own.name.daemon {
                partial |= !self.leases.may_spend(now, partition);
                continue;
            }
            if holders_left.contains(&holder.daemon) {
                continue;
            }
            if !self.assignment.is_reachable(now, &holder.daemon) {
                partial = true;
                continue;
            }
            holders_left.push(holder.daemon.clone());
        }
        let is_near = |daemon: &DaemonId| {
            let entry = self.fleet.daemons.get(daemon);
            entry.is_some_and(|entry| entry.domain == self.own.domain)
        };
        holders_left.sort_by_key(is_near);
        BorrowRound {
            holders_left,
            pending: None,
            retry_after: own_wait.min(DEFAULT_RETRY_AFTER),
            partial,
        }
    }

    /// Refuses waiting requests whose wait ends before the next round may begin.
    fn refuse_unservable(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        actions: &mut Vec<AllowanceAction>,
    ) {
        let tokens = self.entry.tokens_of(organisation);
        let Some(closed_until) = tokens.closed_until else {
            return;
        };
        let retry_after = closed_until.saturating_duration_since(now);
        let kind = tokens.refusal();
        tokens.waiting.retain(|waiting| {
            let unservable = waiting.until <= closed_until;
            if unservable {
                actions.push(AllowanceAction::Refuse {
                    request: waiting.request,
                    kind,
                    retry_after,
                });
            }
            !unservable
        });
    }

    /// Refuses waiting requests whose wait has ended.
    fn refuse_timed_out(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        actions: &mut Vec<AllowanceAction>,
    ) {
        let tokens = self.entry.tokens_of(organisation);
        let kind = tokens.refusal();
        while tokens.waiting.front().is_some_and(|w| w.until <= now) {
            if let Some(WaitingRequest { request, .. }) = tokens.waiting.pop_front() {
                actions.push(AllowanceAction::Refuse {
                    request,
                    kind,
                    retry_after: MIN_ROUND_INTERVAL,
                });
            }
        }
    }
}
