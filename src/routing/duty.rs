//! The routing thread: carries out the decisions of routing by calls to guards and peers.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};

use super::admission::Unnamed;
use super::choice::ServerChoice;
use super::forward::{self, AttemptJob, GuardCallContext};
use super::log::{log_attempt, log_caller_left, log_end};
use super::message::{HeldRequest, Outcome, RoutingAction, RoutingEvent, RoutingMessage};
use super::origin::Origin;
use super::state::RoutingState;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::feed::{FeedEvent, FeedMessage, FeedPosition};
use crate::guard::{GuardEvent, GuardMessage};
use crate::link::PeerCaller;
use crate::metrics::Metrics;
use crate::reload::ReloadMessage;
use crate::ring::{Reports, RingSender};
use crate::settings::routing::RoutingSettings;
use crate::types::{DaemonId, RequestId, ServiceId};
use crate::wire::client::Caller;
use crate::wire::dialect::Dialect;

/// Settings, interfaces and rings that the routing thread needs.
pub struct RoutingContext {
    /// Settings of routing at the start.
    pub settings: RoutingSettings,
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// Service of the backend server on this VM, in whose name requests are sent, empty if there is
    /// none; with `None`, the service of the server that announces itself is used.
    pub origin: Option<ServiceId>,
    /// Ring of the thread that reads the settings file; `None` if the settings come from no file.
    pub reload: Option<RingSender<ReloadMessage>>,
    /// Clock by which deadlines, waits and timings are measured.
    pub clock: Arc<dyn Clock>,
    /// Takes the counters and timings of routing.
    pub metrics: Metrics,
    /// Builds the answers to callers.
    pub dialect: Arc<dyn Dialect>,
    /// Makes the calls to guards.
    pub caller: Arc<dyn Caller>,
    /// Settings and identity for the calls to guards.
    pub forward: GuardCallContext,
    /// Most calls to guards that may be open at a time.
    pub call_limit_count: usize,
    /// Most open calls whose bodies are too long to be kept.
    pub upload_limit_count: usize,
    /// Ring of the configuration feed, which receives reports of guards that have read further.
    pub feed: RingSender<FeedMessage>,
    /// Ring of the guard on this VM.
    pub guard: RingSender<GuardMessage>,
    /// Calls guards and homes of idempotency keys at other daemons.
    pub peers: Arc<dyn PeerCaller>,
    /// Ring of this thread itself, through which answers of peers arrive.
    pub own_ring: RingSender<RoutingMessage>,
    /// Notified when no request is open any more, once the thread drains.
    pub drained: Sender<()>,
}

/// State of the thread: the decisions, with the calls and exchanges of open requests.
pub(super) struct RoutingDuty<'a> {
    /// Interfaces and rings of the thread.
    pub(super) context: &'a RoutingContext,
    /// Decides what is done.
    state: RoutingState,
    /// Heads, bodies and exchanges of open requests.
    pub(super) held: HashMap<RequestId, Box<HeldRequest>>,
    /// Calls to guards that have not ended.
    call_count: usize,
    /// Open calls whose bodies are too long to be kept.
    upload_count: usize,
    /// Service of the backend server on this VM.
    pub(super) origin: Origin,
    /// Requests that wait for a read of the settings, in the order of their arrival.
    pub(super) unnamed: VecDeque<Unnamed>,
    /// Whether the process is about to end, so that no request waits any more.
    pub(super) ending: bool,
    /// Whether a read of the settings was asked for and has not ended.
    pub(super) read_pending: bool,
    /// Offset up to which the configuration was read.
    view: FeedPosition,
    /// Requests whose callers have left and that were not ended yet.
    pub(super) left: Reports<RequestId>,
}

/// Runs the thread until it receives `Stop` or its ring is closed.
pub fn run(
    context: &RoutingContext,
    choice: Box<dyn ServerChoice>,
    messages: &Receiver<RoutingMessage>,
) {
    let mut duty = RoutingDuty {
        context,
        state: RoutingState::new(context.settings.clone(), choice),
        held: HashMap::new(),
        call_count: 0,
        upload_count: 0,
        origin: Origin::new(
            context.origin.clone(),
            context.dialect.needs_origin(),
            context.reload.is_some(),
        ),
        unnamed: VecDeque::new(),
        ending: false,
        read_pending: false,
        view: FeedPosition::default(),
        left: Reports::default(),
    };
    let mut draining = false;
    loop {
        let now = context.clock.now();
        let next_tick_at = duty.state.next_tick_at().into_iter();
        let next_tick_at = next_tick_at.chain(duty.next_expiry_at()).min();
        let wait = next_tick_at.map_or(IDLE_WAIT, |at| at.saturating_duration_since(now));
        let message = match messages.recv_timeout(wait) {
            Ok(message) => message,
            Err(RecvTimeoutError::Timeout) => RoutingMessage::Event(RoutingEvent::Tick),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        match message {
            RoutingMessage::Stop => return,
            RoutingMessage::Drain => draining = true,
            RoutingMessage::Service(read) => duty.confirm_origin(read),
            RoutingMessage::ServiceContradicted(contradicted) => {
                duty.origin.contradict(contradicted);
            }
            RoutingMessage::Event(event) => {
                duty.observe(&event);
                duty.decide(event);
            }
            RoutingMessage::Dispatch {
                plan,
                head,
                exchange,
            } => duty.admit(Unnamed::new(context.clock.now(), plan, head, exchange)),
            RoutingMessage::CallersLeft => {}
        }
        duty.refuse_expired();
        duty.end_left();
        if draining && duty.state.open_count() == 0 && duty.unnamed.is_empty() {
            // One notice is enough; if the channel is full, it already holds one.
            let _ = context.drained.try_send(());
        }
    }
}

/// Longest wait for a message while no tick is due.
const IDLE_WAIT: Duration = Duration::from_secs(60);

impl RoutingDuty<'_> {
    /// Records from an event what the thread itself keeps: open calls, origin and view.
    fn observe(&mut self, event: &RoutingEvent) {
        match event {
            RoutingEvent::Attempted {
                request,
                attempt,
                outcome,
                elapsed,
                ..
            } => {
                self.release_call(*request);
                if let Some(held) = self.held.get(request) {
                    log_attempt(&held.head, *attempt, outcome, *elapsed);
                }
            }
            RoutingEvent::CallerLeft(request) => {
                if let Some(held) = self.held.get(request) {
                    let progress = self.state.progress(*request);
                    log_caller_left(self.context, &held.head, progress);
                }
            }
            RoutingEvent::View(view) => self.view = view.position(),
            RoutingEvent::Fleet(fleet) => {
                let own = fleet.daemons.get(&self.context.daemon);
                let server = own.and_then(|own| own.servers.first());
                let service = server.map_or_else(|| "".into(), |server| server.service.clone());
                self.change_origin(|origin| origin.announce(service));
            }
            RoutingEvent::Ending => {
                self.ending = true;
                self.refuse_unnamed(ErrorKind::Stopping);
            }
            _ => {}
        }
    }

    /// Ends the requests whose callers have left.
    fn end_left(&mut self) {
        for request in self.left.take() {
            let event = RoutingEvent::CallerLeft(request);
            self.observe(&event);
            self.decide(event);
        }
    }

    /// Removes the ended call of a request from the counts.
    fn release_call(&mut self, request: RequestId) {
        let Some(held) = self.held.get_mut(&request) else {
            return;
        };
        if held.call.take().is_some() {
            self.call_count -= 1;
            self.upload_count -= usize::from(held.body.is_none());
        }
    }

    /// Applies an event and carries out its actions, with all events that follow at once.
    pub(super) fn decide(&mut self, event: RoutingEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.state.handle(self.context.clock.now(), event) {
                events.extend(self.carry_out(action));
            }
        }
        self.count_trials();
    }

    /// Counts the attempts at services that have servers under trial.
    fn count_trials(&mut self) {
        let counts = self.state.take_trial_counts();
        let metrics = &self.context.metrics;
        for (name, count) in [
            ("routing.trial.sent", counts.sent_count),
            ("routing.trial.withheld", counts.withheld_count),
        ] {
            if count > 0 {
                metrics.add(name, count);
            }
        }
    }

    /// Carries out an action and returns the event that follows at once, if any.
    fn carry_out(&mut self, action: RoutingAction) -> Option<RoutingEvent> {
        match action {
            RoutingAction::Send {
                plan,
                attempt,
                target,
                incarnation,
                until,
                terms,
                hung_after,
            } => self.send(AttemptJob {
                plan,
                attempt,
                target,
                incarnation,
                until,
                terms,
                hung_after,
            }),
            RoutingAction::Fence { to, fence } => self.fence(&to, fence),
            RoutingAction::Claim { to, claim } => self.claim(&to, claim),
            RoutingAction::Cancel { to, request } => {
                self.cancel(&to, request);
                None
            }
            RoutingAction::OwnCallFailed => {
                let event = GuardMessage::Event(GuardEvent::OwnCallFailed);
                // If the ring is full, the guard judges its server as if the call had gone well.
                let _ = self.context.guard.offer(event);
                None
            }
            RoutingAction::Finish { request, outcome } => {
                // The call of a request whose caller left is still open; it ends here.
                self.release_call(request);
                if let Some(held) = self.held.remove(&request) {
                    finish(self.context, request, *held, outcome);
                }
                None
            }
        }
    }

    /// Makes the call of an attempt, or returns the attempt's end if the call can't be made.
    fn send(&mut self, job: AttemptJob) -> Option<RoutingEvent> {
        let request = job.plan.request;
        let attempt = job.attempt;
        let failed = |kind| RoutingEvent::Attempted {
            request,
            attempt,
            outcome: forward::not_run(kind),
            elapsed: Duration::ZERO,
            resendable: false,
        };
        let held = self.held.get_mut(&request)?;
        log::info!(
            request = held.head.log_name(),
            attempt,
            server = &*job.target.server,
            to = &*job.target.daemon,
            origin = &*held.origin,
            view = self.view.next,
            wait_limit_ms:serde = job.terms.wait_limit_ms,
            last_resort = job.terms.last_resort;
            "attempt_sent"
        );
        let context = &self.context.forward;
        let call = match forward::prepare(context, &job, held, self.view) {
            Ok(call) => call,
            Err(kind) => return Some(failed(kind)),
        };
        let uploads = held.body.is_none();
        let full = self.call_count >= self.context.call_limit_count
            || (uploads && self.upload_count >= self.context.upload_limit_count);
        if full {
            self.context.metrics.count("routing.call.limit");
            return Some(failed(ErrorKind::Busy));
        }
        let own = self.context.own_ring.clone();
        let clock = self.context.clock.clone();
        let started_at = clock.now();
        let resendable = !held.body_spent;
        let (feed, peer, view) = (self.context.feed.clone(), job.target.daemon, self.view);
        let done = Box::new(move |result| {
            if let Some(next) = forward::peer_view(&result).filter(|next| *next > view) {
                let event = FeedEvent::PeerAhead { peer, next };
                // If the ring is full, a later answer or the feed itself brings the news.
                let _ = feed.offer(FeedMessage::Event(event));
            }
            own.deliver(RoutingMessage::Event(RoutingEvent::Attempted {
                request,
                attempt,
                outcome: forward::outcome_of(request, result),
                elapsed: clock.now().saturating_duration_since(started_at),
                resendable,
            }));
        });
        match self.context.caller.call(call, done) {
            Ok(handle) => {
                held.call = Some(handle);
                self.call_count += 1;
                self.upload_count += usize::from(uploads);
                None
            }
            Err(_) => Some(failed(ErrorKind::Busy)),
        }
    }
}

/// Logs and counts the end of a request and hands its answer to the writing threads.
pub(super) fn finish(
    context: &RoutingContext,
    request: RequestId,
    held: HeldRequest,
    outcome: Outcome,
) {
    log_end(context, &held, &outcome);
    let answer = match outcome {
        Outcome::Answered(answer) => context.dialect.caller_answer(request, answer),
        Outcome::Failed { kind, retry_after } => {
            context
                .metrics
                .count(&format!("routing.failed.{}", kind.code()));
            context
                .dialect
                .refusal(held.head.answer_to(), kind, retry_after)
        }
    };
    let elapsed = context.clock.now() - held.head.arrived_at;
    context.metrics.time("routing.request", elapsed);
    let by_service = format!("routing.request.{}", held.service);
    context.metrics.time(&by_service, elapsed);
    held.exchange.answer(answer);
}
