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
    /// Guards that refused it for want of room, whose servers are sound as far as is known.
    pub(super) full_count: u32,
    /// Whether it was sent to a failing server for want of room at sound ones.
    pub(super) asked_failing: bool,
    /// The shortest wait for a slot that a guard named.
    pub(super) shortest_wait: Option<Duration>,
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
            RoutingEvent::Settings(settings) => {
                self.budget.take_settings(&settings);
                self.choice.update_settings(&settings);
                self.settings = *settings;
                SmallVec::new()
            }
            RoutingEvent::Closing => self.close(),
            RoutingEvent::Leaving => {
                self.leaving = true;
                SmallVec::new()
            }
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
            full_count: 0,
            asked_failing: false,
            shortest_wait: None,
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
            return self.park(now, request, state, kind);
        };
        state.terms = terms;
        state.asked_failing |= terms.last_resort && state.full_count > 0;
        let daemon = self.fleet.daemons.get(&target.daemon);
        let incarnation = daemon.map_or(0, |daemon| daemon.incarnation);
        state.attempt += 1;
        state.tried.push(target.server.clone());
        self.choice.attempt_sent(now, &state.plan, &target);
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
        if state.full_count < FULL_LIMIT_COUNT {
            if let Some(picked) = self.pick_sound(now, state, terms) {
                return Some(picked);
            }
        }
        if state.full_count > 0 && !may_ask_failing(state) {
            return None;
        }
        terms.last_resort = true;
        let target = self.choice.pick_tripped(now, &state.plan, &state.spent)?;
        Some((target, terms))
    }

    /// The next server among those that are not left alone.
    fn pick_sound(
        &mut self,
        now: Instant,
        state: &RequestState,
        mut terms: AttemptTerms,
    ) -> Option<(Target, AttemptTerms)> {
        if self.may_look(state) {
            let mut passed = state.tried.clone();
            passed.extend(state.busy.iter().cloned());
            let looked = self.choice.pick(now, &state.plan, &passed);
            if let Some(target) = looked.filter(|target| !self.choice.is_busy(now, target)) {
                let share = self.settings.free_slot_wait_share;
                terms.seeks_free_slot = true;
                terms.wait_limit_ms = Some(self.part_of_target_ms(now, state, share));
                return Some((target, terms));
            }
        }
        let target = self.choice.pick(now, &state.plan, &state.tried)?;
        let share = self.settings.queue_wait_share;
        // The work of the server that waits for a call would be lost with it.
        if share > 0.0 && !is_own_call(&state.plan) {
            terms.wait_limit_ms = Some(self.part_of_target_ms(now, state, share));
        }
        Some((target, terms))
    }

    /// Whether the request looks for a server with a free slot before it waits for one.
    fn may_look(&self, state: &RequestState) -> bool {
        state.plan.body_bytes <= FREE_SLOT_BODY_BYTES
            && state.busy.len() < self.settings.free_slot_tries_count
    }

    fn part_of_target_ms(&self, now: Instant, state: &RequestState, share: f64) -> u32 {
        self.target(now, state).mul_f64(share).as_millis() as u32
    }

    /// When the answer is wanted, from the arrival of the request.
    pub(super) fn target(&self, now: Instant, state: &RequestState) -> Duration {
        match state.plan.target.is_zero() {
            true => state.plan.deadline_at.saturating_duration_since(now) / TARGET_DIVISOR,
            false => state.plan.target,
        }
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
}

/// Whether a request asks a failing server where sound ones are full: once, if it may run twice.
/// Such a server has free slots and still answers some.
fn may_ask_failing(state: &RequestState) -> bool {
    state.plan.repeatable && !state.asked_failing
}

/// Whether a request may be one that the server on this VM made: those carry no key.
pub(super) fn is_own_call(plan: &RequestPlan) -> bool {
    plan.organisation.is_empty()
}

/// Part of its deadline that stands for the target of a route without one.
const TARGET_DIVISOR: u32 = 4;

/// Full queues after which the service counts as full.
const FULL_LIMIT_COUNT: u32 = 2;

/// Requests with longer bodies do not look around for a free slot: each look carries the body.
const FREE_SLOT_BODY_BYTES: u64 = 8_192;

/// Lowest status that tells of a server's failure.
pub(super) const FAILURE_STATUS: u16 = 500;
