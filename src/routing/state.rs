//! Decisions of routing: the life of a request over its attempts.
//!
//! A request that may not be repeated has at most one attempt that may have started. When the
//! guard of an attempt is lost, the guard is asked to fence it; only its word that the attempt
//! never starts lets the request go on. An idempotency key is claimed at its home before the
//! first attempt, and given back only when no attempt can have started.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::{smallvec, SmallVec};

use super::budget::RetryBudget;
use super::choice::ServerChoice;
use super::limits::has_arrived;
use super::message::{AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent, Target};
use super::own_repeats::OwnRepeats;
use super::parked::Parked;
use crate::error::{ErrorKind, Ran};
use crate::idempotency::HomeMap;
use crate::link::{ClaimRequest, ClaimStep};
use crate::membership::Fleet;
use crate::settings::routing::RoutingSettings;
use crate::types::{Attempt, BackendServerId, DaemonId, Incarnation, RequestId};
use crate::wire::exchange::WholeAnswer;
use crate::wire::forward::AttemptTerms;

/// Actions of one event.
pub type RoutingActions = SmallVec<[RoutingAction; 2]>;

/// State of routing.
pub struct RoutingState {
    pub(super) settings: RoutingSettings,
    pub(super) choice: Box<dyn ServerChoice>,
    /// Where daemons are and in which life; never older than what the choice knows.
    pub(super) fleet: Arc<Fleet>,
    /// Homes in that fleet, made when first needed.
    pub(super) homes: Option<HomeMap>,
    pub(super) budget: RetryBudget,
    pub(super) requests: HashMap<RequestId, RequestState>,
    own_repeats: OwnRepeats,
    pub(super) parked: Parked,
    /// Whether the daemon leaves soon.
    pub(super) leaving: bool,
    /// Whether the daemon is about to end; no attempt is made any more.
    pub(super) closing: bool,
}

pub(super) struct RequestState {
    pub(super) plan: Arc<RequestPlan>,
    /// When it came to routing.
    pub(super) arrived_at: Instant,
    pub(super) phase: Phase,
    /// The last attempt; 0 before the first.
    pub(super) attempt: Attempt,
    /// Servers that get no further attempt.
    pub(super) tried: SmallVec<[BackendServerId; 4]>,
    /// Servers that had no free slot.
    pub(super) busy: SmallVec<[BackendServerId; 4]>,
    /// How the guard is to treat the present attempt.
    pub(super) terms: AttemptTerms,
    /// Servers that were reached, or refused it though no other was left.
    pub(super) spent: SmallVec<[BackendServerId; 4]>,
    /// Attempts that reached a server, or may have.
    pub(super) arrived_count: u32,
    /// A server's answer that tells of its failure, until a better one comes.
    pub(super) failed_answer: Option<WholeAnswer>,
    /// The home that granted the idempotency key.
    pub(super) claimed_at: Option<DaemonId>,
    /// Whether the server on this VM may have made it for a repeat that it runs.
    pub(super) of_repeat: bool,
    /// Guards that refused a repeat of it for want of budget.
    pub(super) spent_count: u32,
    /// Whether an attempt may have started. Never returns to false.
    pub(super) may_have_run: bool,
    /// Servers that died while they ran the request.
    pub(super) death_count: u32,
    /// Whether the body can be sent again.
    pub(super) resendable: bool,
    /// Whether the caller left.
    pub(super) abandoned: bool,
}

pub(super) enum Phase {
    /// Nothing was done yet.
    New,
    /// The home of the idempotency key is asked.
    Claiming { home: DaemonId },
    /// An attempt is under way.
    Sent {
        target: Target,
        incarnation: Incarnation,
    },
    /// Every server is left alone for now; `kind` is what the last of them was refused as.
    Parked { kind: ErrorKind },
    /// The guard of a lost attempt is asked to fence it.
    Fencing { kind: ErrorKind },
}

impl RoutingState {
    /// Routing with nothing to route to yet.
    pub fn new(settings: RoutingSettings, choice: Box<dyn ServerChoice>) -> RoutingState {
        RoutingState {
            budget: RetryBudget::new(&settings),
            settings,
            choice,
            fleet: Arc::default(),
            homes: None,
            requests: HashMap::new(),
            own_repeats: OwnRepeats::default(),
            parked: Parked::default(),
            leaving: false,
            closing: false,
        }
    }

    /// Takes one event and gives what is to be done.
    pub fn handle(&mut self, now: Instant, event: RoutingEvent) -> RoutingActions {
        match event {
            RoutingEvent::Dispatch(plan) => self.dispatch(now, plan),
            RoutingEvent::Attempted {
                request,
                attempt,
                outcome,
                elapsed,
                resendable,
            } => self.attempted(now, request, attempt, outcome, elapsed, resendable),
            RoutingEvent::Fenced {
                request,
                attempt,
                answer,
            } => self.fenced(now, request, attempt, answer),
            RoutingEvent::Claimed { request, answer } => self.claimed(now, request, answer),
            RoutingEvent::CallerLeft(request) => self.caller_left(request),
            RoutingEvent::Tick => self.wake_due(now),
            RoutingEvent::OwnServerRepeats => {
                self.own_repeats.add(now);
                SmallVec::new()
            }
            RoutingEvent::Closing => self.close(),
            RoutingEvent::Leaving => {
                self.leaving = true;
                SmallVec::new()
            }
            RoutingEvent::View(view) => {
                self.choice.view(view);
                SmallVec::new()
            }
            RoutingEvent::Fleet(fleet) => {
                self.fleet = fleet.clone();
                self.homes = None;
                self.choice.fleet(fleet);
                SmallVec::new()
            }
        }
    }

    /// When `Tick` is due next.
    pub fn next_tick_at(&self) -> Option<Instant> {
        self.parked.next_at()
    }

    /// Requests that have not ended.
    pub fn open_count(&self) -> usize {
        self.requests.len()
    }

    fn dispatch(&mut self, now: Instant, plan: RequestPlan) -> RoutingActions {
        self.budget.dispatched(&plan.service);
        let request = plan.request;
        let of_repeat = is_own_call(&plan) && self.own_repeats.take(now);
        let state = RequestState {
            of_repeat,
            spent_count: 0,
            plan: Arc::new(plan),
            arrived_at: now,
            phase: Phase::New,
            attempt: 0,
            tried: SmallVec::new(),
            busy: SmallVec::new(),
            terms: AttemptTerms::default(),
            spent: SmallVec::new(),
            arrived_count: 0,
            failed_answer: None,
            claimed_at: None,
            may_have_run: false,
            death_count: 0,
            resendable: true,
            abandoned: false,
        };
        match &state.plan.idempotency_key {
            Some(key) if !state.plan.repeatable => {
                let key = key.clone();
                self.claim(request, state, key)
            }
            _ => self.send(now, request, state, ErrorKind::NoServer),
        }
    }

    /// Sends the next attempt, or ends the request with `kind` where no server is left.
    pub(super) fn send(
        &mut self,
        now: Instant,
        request: RequestId,
        mut state: RequestState,
        kind: ErrorKind,
    ) -> RoutingActions {
        let Some((target, terms)) = self.pick(now, &state) else {
            return match self.park(now, request, state, kind) {
                Ok(()) => RoutingActions::new(),
                Err(state) => self.finish_failed(request, state, kind, None),
            };
        };
        state.terms = terms;
        let daemon = self.fleet.daemons.get(&target.daemon);
        let incarnation = daemon.map_or(0, |daemon| daemon.incarnation);
        state.attempt += 1;
        state.tried.push(target.server.clone());
        self.choice.sent(now, &state.plan, &target);
        let action = RoutingAction::Send {
            plan: state.plan.clone(),
            attempt: state.attempt,
            target: target.clone(),
            incarnation,
            until: self.attempt_until(now, &state),
            terms,
        };
        state.phase = Phase::Sent {
            target,
            incarnation,
        };
        self.requests.insert(request, state);
        smallvec![action]
    }

    /// The next server, and how its guard is to treat the attempt. When several had no free slot,
    /// the request waits at the one that seems best; when all were left alone after failures, one
    /// of them is asked all the same.
    fn pick(&mut self, now: Instant, state: &RequestState) -> Option<(Target, AttemptTerms)> {
        let mut terms = AttemptTerms {
            may_probe: state.plan.repeatable,
            repeat: state.arrived_count > 0,
            of_repeat: state.of_repeat,
            ..Default::default()
        };
        let short = state.plan.body_bytes <= FREE_SLOT_BODY_BYTES;
        if short && state.busy.len() < self.settings.free_slot_tries_count {
            let mut passed = state.tried.clone();
            passed.extend(state.busy.iter().cloned());
            if let Some(target) = self.choice.pick(now, &state.plan, &passed) {
                terms.no_wait = !self.choice.is_busy(now, &target);
                return Some((target, terms));
            }
        }
        if let Some(target) = self.choice.pick(now, &state.plan, &state.tried) {
            return Some((target, terms));
        }
        terms.last_resort = true;
        let target = self.choice.pick_tripped(now, &state.plan, &state.spent)?;
        Some((target, terms))
    }

    /// When an attempt is given up, so that there is time left for another.
    fn attempt_until(&self, now: Instant, state: &RequestState) -> Instant {
        let deadline_at = state.plan.deadline_at;
        // A daemon that leaves breaks off nothing at which a server may be at work, and without a
        // retry in the budget there is no other attempt to leave time for.
        let may_retry = !self.leaving && self.budget.has(&state.plan.service);
        if !state.plan.repeatable || !may_retry || !self.has_attempt_left(now, state) {
            return deadline_at;
        }
        match self.choice.patience(&state.plan) {
            Some(patience) if now + patience * 2 <= deadline_at => now + patience,
            _ => deadline_at,
        }
    }

    fn attempted(
        &mut self,
        now: Instant,
        request: RequestId,
        attempt: Attempt,
        outcome: AttemptOutcome,
        elapsed: Duration,
        resendable: bool,
    ) -> RoutingActions {
        let Some(mut state) = self.requests.remove(&request) else {
            return SmallVec::new();
        };
        let (target, incarnation) = match &state.phase {
            Phase::Sent {
                target,
                incarnation,
            } if state.attempt == attempt => (target.clone(), *incarnation),
            _ => {
                self.requests.insert(request, state);
                return SmallVec::new();
            }
        };
        state.resendable = resendable;
        self.choice
            .ended(now, &state.plan, &target, &outcome, elapsed);
        match outcome {
            AttemptOutcome::Answered(answer) => {
                state.arrived_count += 1;
                let failed = answer.status >= FAILURE_STATUS;
                // Two servers that fail alike point at the request.
                let again = self.settings.retry_failed_answers && state.failed_answer.is_none();
                if failed && state.plan.repeatable && again && !state.abandoned {
                    state.may_have_run = true;
                    state.spent.push(target.server);
                    state.failed_answer = Some(answer);
                    return self.repeat(now, request, state, ErrorKind::OutcomeUnknown);
                }
                if !failed {
                    self.wake_service(now, &state.plan.service);
                }
                self.finish_answered(request, &state, answer)
            }
            AttemptOutcome::NotRun {
                kind,
                retry_after,
                by_guard,
            } => {
                if state.terms.no_wait && by_guard && kind == ErrorKind::Busy {
                    state.busy.extend(state.tried.pop());
                    return self.send(now, request, state, kind);
                }
                if has_arrived(kind) {
                    state.arrived_count += 1;
                }
                state.spent_count += u32::from(kind == ErrorKind::RetriesSpent);
                if has_arrived(kind) || state.terms.last_resort {
                    state.spent.push(target.server);
                }
                if self.may_go_elsewhere(now, &state, kind) {
                    return self.send(now, request, state, kind);
                }
                self.finish_failed(request, state, kind, retry_after)
            }
            AttemptOutcome::Unknown { kind, by_guard } => {
                if !by_guard && !state.plan.repeatable {
                    return self.fence(request, state, &target, incarnation, kind);
                }
                state.may_have_run = true;
                state.arrived_count += 1;
                state.spent.push(target.server.clone());
                state.death_count += u32::from(kind == ErrorKind::ServerDied);
                let mut actions = self.repeat(now, request, state, kind);
                if !by_guard {
                    let to = target.daemon.clone();
                    actions.push(RoutingAction::Cancel { to, request });
                }
                actions
            }
        }
    }

    /// Sends a request that may be repeated again, where the budget allows.
    fn repeat(
        &mut self,
        now: Instant,
        request: RequestId,
        state: RequestState,
        kind: ErrorKind,
    ) -> RoutingActions {
        if state.plan.repeatable && self.may_repeat(now, &state) {
            return self.send(now, request, state, kind);
        }
        self.finish_failed(request, state, kind, None)
    }

    fn caller_left(&mut self, request: RequestId) -> RoutingActions {
        let Some(state) = self.requests.get_mut(&request) else {
            return SmallVec::new();
        };
        state.abandoned = true;
        if let Phase::Parked { kind } = state.phase {
            let state = self.requests.remove(&request);
            return state.map_or_else(RoutingActions::new, |state| {
                self.finish_failed(request, state, kind, None)
            });
        }
        let Phase::Sent { target, .. } = &state.phase else {
            return SmallVec::new();
        };
        let to = target.daemon.clone();
        smallvec![RoutingAction::Cancel { to, request }]
    }

    fn finish_answered(
        &self,
        request: RequestId,
        state: &RequestState,
        answer: WholeAnswer,
    ) -> RoutingActions {
        let failed = answer.status >= FAILURE_STATUS;
        let outcome = Outcome::Answered(answer);
        let mut actions: RoutingActions = smallvec![RoutingAction::Finish { request, outcome }];
        if failed && is_failed_own_call(state) {
            actions.push(RoutingAction::OwnCallFailed);
        }
        actions
    }

    /// Ends the request without a server's answer. It is told as not run only if no attempt can
    /// have started; then its idempotency key is given back.
    pub(super) fn finish_failed(
        &mut self,
        request: RequestId,
        mut state: RequestState,
        kind: ErrorKind,
        retry_after: Option<Duration>,
    ) -> RoutingActions {
        if let Some(answer) = state.failed_answer.take() {
            return self.finish_answered(request, &state, answer);
        }
        let not_run = kind.ran() == Ran::No;
        let kind = if state.may_have_run && not_run {
            ErrorKind::OutcomeUnknown
        } else {
            kind
        };
        let usual = Some(self.settings.retry_after_ms).filter(|ms| *ms > 0);
        let retry_after = retry_after.or(usual.map(Duration::from_millis));
        let outcome = Outcome::Failed { kind, retry_after };
        let mut actions: RoutingActions = smallvec![RoutingAction::Finish { request, outcome }];
        if is_failed_own_call(&state) {
            actions.push(RoutingAction::OwnCallFailed);
        }
        if kind.ran() != Ran::No {
            return actions;
        }
        if let (Some(to), Some(key)) = (state.claimed_at, &state.plan.idempotency_key) {
            let claim = ClaimRequest {
                step: ClaimStep::Release,
                organisation: state.plan.organisation.clone(),
                idempotency_key: key.clone(),
                request,
            };
            actions.push(RoutingAction::Claim { to, claim });
        }
        actions
    }
}

/// Whether a request may be one that the server on this VM made: those carry no key.
fn is_own_call(plan: &RequestPlan) -> bool {
    plan.organisation.is_empty()
}

/// Whether a request that failed may have failed the server that asked for it.
fn is_failed_own_call(state: &RequestState) -> bool {
    is_own_call(&state.plan) && !state.abandoned
}

/// Requests with longer bodies do not look around for a free slot: each look carries the body.
const FREE_SLOT_BODY_BYTES: u64 = 8_192;

/// Lowest status that tells of a server's failure.
const FAILURE_STATUS: u16 = 500;
