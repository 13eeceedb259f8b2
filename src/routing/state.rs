//! Decisions of routing: follows each request through its attempts until it ends.
//!
//! A request that may not be repeated has at most one attempt that may have started. If contact to
//! the guard of such an attempt is lost, the guard is asked to fence the attempt; the request goes
//! on only if the guard confirms that the attempt never starts. An idempotency key is claimed at
//! its home before the first attempt, and released only if no attempt can have started.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::{smallvec, SmallVec};

use super::budget::RetryBudget;
use super::choice::ServerChoice;
use super::exposure::TrialCounts;
use super::message::{RequestPlan, RoutingAction, RoutingEvent, Target};
use super::own_repeats::OwnRepeats;
use super::parked::Parked;
use crate::error::ErrorKind;
use crate::idempotency::HomeMap;
use crate::membership::Fleet;
use crate::settings::routing::RoutingSettings;
use crate::types::{Attempt, BackendServerId, DaemonId, Incarnation, RequestId};
use crate::wire::exchange::WholeAnswer;
use crate::wire::forward::AttemptTerms;

/// The actions that one event leads to, in the order in which they are carried out.
pub type RoutingActions = SmallVec<[RoutingAction; 2]>;

/// Holds every open request of this entry, with the choice of server and the retry budget.
pub struct RoutingState {
    /// Limits and waits of routing, as last read.
    pub(super) settings: RoutingSettings,
    /// Chooses the server of each attempt.
    pub(super) choice: Box<dyn ServerChoice>,
    /// Addresses and incarnations of daemons; never older than the fleet that `choice` has.
    pub(super) fleet: Arc<Fleet>,
    /// Homes of idempotency keys in `fleet`, computed on first use.
    pub(super) homes: Option<HomeMap>,
    /// Limits retries at each service.
    pub(super) budget: RetryBudget,
    /// The open requests, by their ids.
    pub(super) requests: HashMap<RequestId, RequestState>,
    /// Attributes calls of the server on this VM to the repeats that it runs.
    own_repeats: OwnRepeats,
    /// When parked requests try the servers again.
    pub(super) parked: Parked,
    /// When the process ends; none while the daemon does not leave the fleet.
    pub(super) ends_at: Option<Instant>,
    /// Whether the process is about to end; no further attempt is made.
    pub(super) closing: bool,
}

/// State of one open request: its attempts, the servers tried, and its idempotency key.
pub(super) struct RequestState {
    /// What the request asks for and by when.
    pub(super) plan: Arc<RequestPlan>,
    /// When the request was dispatched to routing.
    pub(super) arrived_at: Instant,
    /// What the request waits for.
    pub(super) phase: Phase,
    /// Number of the last attempt; 0 before the first.
    pub(super) attempt: Attempt,
    /// Servers that get no further attempt at this request.
    pub(super) tried: SmallVec<[BackendServerId; 4]>,
    /// Servers that had no free slot when the request looked for one.
    pub(super) busy: SmallVec<[BackendServerId; 4]>,
    /// How the guard is to treat the present attempt.
    pub(super) terms: AttemptTerms,
    /// Servers that even a last resort or a parked request does not ask again: those that the
    /// request reached or may have reached, and those that refused it as a last resort.
    pub(super) exhausted: SmallVec<[BackendServerId; 4]>,
    /// Attempts that reached a server, or may have.
    pub(super) reached_count: u32,
    /// An answer with a failure status, kept in case the repeat brings no answer at all.
    pub(super) failed_answer: Option<WholeAnswer>,
    /// The home that granted the idempotency key.
    pub(super) claim_home: Option<DaemonId>,
    /// Whether the server on this VM may have made this call while it ran a repeat.
    pub(super) of_repeat: bool,
    /// Guards that refused a repeat of the request because their retry budget was used up.
    pub(super) budget_refusal_count: u32,
    /// Guards that refused the request because they had no room; their servers are not known to
    /// fail.
    pub(super) full_refusal_count: u32,
    /// Whether the request was sent to a failing server because the healthy ones had no room.
    pub(super) tried_failing: bool,
    /// The shortest wait for a slot that any guard has reported.
    pub(super) shortest_wait: Option<Duration>,
    /// Whether an attempt may have started. Never returns to false.
    pub(super) may_have_run: bool,
    /// Servers whose process crashed while it ran the request.
    pub(super) death_count: u32,
    /// Whether the body can be sent again.
    pub(super) resendable: bool,
    /// Whether the caller closed its connection.
    pub(super) abandoned: bool,
    /// Whether the guard was asked to take back the present attempt, as the process ends.
    pub(super) taken_back: bool,
}

/// What an open request waits for.
pub(super) enum Phase {
    /// The request was dispatched, and nothing was sent for it yet.
    New,
    /// The home of the idempotency key was asked for the claim.
    Claiming { home: DaemonId },
    /// An attempt is under way at the server of `target`.
    Sent {
        target: Target,
        incarnation: Incarnation,
        sent_at: Instant,
    },
    /// Every server is closed for now; `kind` is the error of the last refusal.
    Parked { kind: ErrorKind },
    /// Contact to the guard of the attempt was lost, and the guard is asked to fence it; `kind` is
    /// the error of the loss.
    Fencing { kind: ErrorKind },
}

impl RoutingState {
    /// Creates a state with no open requests and an empty fleet.
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
            ends_at: None,
            closing: false,
        }
    }

    /// Applies one event and returns the actions that follow from it.
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
            RoutingEvent::CallerLeft(request) => self.caller_left(now, request),
            RoutingEvent::Tick => {
                let mut actions = self.wake_due(now);
                actions.extend(self.take_back_late(now));
                actions
            }
            RoutingEvent::OwnServerRepeats => {
                self.own_repeats.record_repeat(now);
                SmallVec::new()
            }
            RoutingEvent::Settings(settings) => {
                self.budget.update_settings(&settings);
                self.choice.update_settings(&settings);
                self.settings = *settings;
                SmallVec::new()
            }
            RoutingEvent::Closing => self.close(),
            RoutingEvent::Leaving { ends_at } => {
                self.ends_at = Some(ends_at);
                SmallVec::new()
            }
            RoutingEvent::Ending => self.end_all(),
            RoutingEvent::View(view) => {
                self.choice.update_view(view);
                SmallVec::new()
            }
            RoutingEvent::Fleet(fleet) => {
                self.fleet = fleet.clone();
                self.homes = None;
                self.choice.update_fleet(fleet);
                SmallVec::new()
            }
        }
    }

    /// Returns when the next `Tick` is due, if any is.
    pub fn next_tick_at(&self) -> Option<Instant> {
        let take_back_at = self.next_take_back_at();
        self.parked.next_at().into_iter().chain(take_back_at).min()
    }

    /// Returns the attempts sent since the last call to services that have servers under trial.
    pub fn take_trial_counts(&mut self) -> TrialCounts {
        self.choice.take_trial_counts()
    }

    /// Returns how many requests have not ended.
    pub fn open_count(&self) -> usize {
        self.requests.len()
    }

    /// Starts a request: claims its idempotency key first if it has one and may not be repeated.
    fn dispatch(&mut self, now: Instant, plan: RequestPlan) -> RoutingActions {
        self.budget.record_dispatch(&plan.service);
        let request = plan.request;
        let of_repeat = is_own_call(&plan) && self.own_repeats.take_call(now);
        let state = RequestState {
            of_repeat,
            budget_refusal_count: 0,
            full_refusal_count: 0,
            tried_failing: false,
            shortest_wait: None,
            plan: Arc::new(plan),
            arrived_at: now,
            phase: Phase::New,
            attempt: 0,
            tried: SmallVec::new(),
            busy: SmallVec::new(),
            terms: AttemptTerms::default(),
            exhausted: SmallVec::new(),
            reached_count: 0,
            failed_answer: None,
            claim_home: None,
            may_have_run: false,
            death_count: 0,
            resendable: true,
            abandoned: false,
            taken_back: false,
        };
        match &state.plan.idempotency_key {
            Some(key) if !state.plan.repeatable => {
                let key = key.clone();
                self.claim(request, state, key)
            }
            _ => self.send(now, request, state, ErrorKind::NoServer),
        }
    }

    /// Sends the next attempt. If no server is left, parks the request or ends it with `kind`.
    pub(super) fn send(
        &mut self,
        now: Instant,
        request: RequestId,
        mut state: RequestState,
        kind: ErrorKind,
    ) -> RoutingActions {
        if self.would_outlast_stop(now, &state.plan) {
            return self.finish_failed(request, state, ErrorKind::Stopping, None);
        }
        let Some((target, terms)) = self.pick(now, &state) else {
            return self.park(now, request, state, kind);
        };
        state.terms = terms;
        state.tried_failing |= terms.last_resort && state.full_refusal_count > 0;
        let daemon = self.fleet.daemons.get(&target.daemon);
        let incarnation = daemon.map_or(0, |daemon| daemon.incarnation);
        state.attempt += 1;
        state.taken_back = false;
        state.tried.push(target.server.clone());
        self.choice.attempt_sent(now, &state.plan, &target);
        let action = RoutingAction::Send {
            plan: state.plan.clone(),
            attempt: state.attempt,
            target: target.clone(),
            incarnation,
            until: self.attempt_until(now, &state),
            terms,
            hung_after: self.hung_after(now, &state),
        };
        state.phase = Phase::Sent {
            target,
            incarnation,
            sent_at: now,
        };
        self.requests.insert(request, state);
        smallvec![action]
    }

    /// Picks the next server, and the terms on which its guard takes the attempt. If several guards
    /// had no free slot, the request queues at the server that seems best. If every server is
    /// closed after failures, one of them is asked as a last resort.
    fn pick(&mut self, now: Instant, state: &RequestState) -> Option<(Target, AttemptTerms)> {
        let mut terms = AttemptTerms {
            may_probe: state.plan.repeatable,
            repeat: state.reached_count > 0,
            of_repeat: state.of_repeat,
            ..Default::default()
        };
        if state.full_refusal_count < FULL_REFUSAL_LIMIT_COUNT {
            if let Some(picked) = self.pick_available(now, state, terms) {
                return Some(picked);
            }
        }
        if state.full_refusal_count > 0 && !may_try_failing(state) {
            return None;
        }
        terms.last_resort = true;
        let target = self
            .choice
            .pick_tripped(now, &state.plan, &state.exhausted)?;
        Some((target, terms))
    }

    /// Picks the next server among those that are not closed.
    fn pick_available(
        &mut self,
        now: Instant,
        state: &RequestState,
        mut terms: AttemptTerms,
    ) -> Option<(Target, AttemptTerms)> {
        if self.may_seek_free_slot(state) {
            let mut excluded = state.tried.clone();
            excluded.extend(state.busy.iter().cloned());
            let candidate = self.choice.pick(now, &state.plan, &excluded);
            if let Some(target) = candidate.filter(|target| !self.choice.is_busy(now, target)) {
                let share = self.settings.free_slot_wait_share;
                terms.seeks_free_slot = true;
                terms.wait_limit_ms = Some(self.target_share_ms(now, state, share));
                return Some((target, terms));
            }
        }
        let target = self.choice.pick(now, &state.plan, &state.tried)?;
        terms.wait_limit_ms = self.queue_wait_limit_ms(now, state);
        Some((target, terms))
    }

    /// Returns whether the request tries servers with a free slot before it queues at one.
    fn may_seek_free_slot(&self, state: &RequestState) -> bool {
        state.plan.body_bytes <= FREE_SLOT_BODY_BYTES
            && state.busy.len() < self.settings.free_slot_tries_count
    }

    /// Returns a share of the target time in milliseconds.
    pub(super) fn target_share_ms(&self, now: Instant, state: &RequestState, share: f64) -> u32 {
        self.target_time(now, state).mul_f64(share).as_millis() as u32
    }

    /// Returns the time within which the answer is wanted, counted from the arrival of the request.
    pub(super) fn target_time(&self, now: Instant, state: &RequestState) -> Duration {
        match state.plan.target.is_zero() {
            true => state.plan.deadline_at.saturating_duration_since(now) / TARGET_DIVISOR,
            false => state.plan.target,
        }
    }
}

/// Returns whether a request may be sent to a failing server because the healthy ones have no room:
/// once, if it may run twice. Such a server has free slots and still answers some requests.
fn may_try_failing(state: &RequestState) -> bool {
    state.plan.repeatable && !state.tried_failing
}

/// Returns whether a request may come from the server on this VM; its calls carry no key.
pub(super) fn is_own_call(plan: &RequestPlan) -> bool {
    plan.organisation.is_empty()
}

/// Without a target time on the route, the target is the time left to the deadline divided by this.
const TARGET_DIVISOR: u32 = 4;

/// Refusals for lack of room after which the whole service counts as full.
pub(super) const FULL_REFUSAL_LIMIT_COUNT: u32 = 2;

/// Requests with longer bodies do not look for a free slot, since each try sends the body.
const FREE_SLOT_BODY_BYTES: u64 = 8_192;

/// Lowest HTTP status that counts as a failure of the server.
pub(super) const FAILURE_STATUS: u16 = 500;
