//! The guard's thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};

use super::cancel::CancelJob;
use super::forward::{self, ServerCallContext, StartJob};
use super::log::{log_end, log_ignored, log_seen, log_servers, LogName};
use super::message::{
    AnnounceVerdict, AttemptKey, GuardAction, GuardEvent, GuardMessage, ServerOutcome,
};
use super::state::GuardState;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::front::duty::AnswerJob;
use crate::health::{request_end, OutcomeObserver, StartedRequest};
use crate::link::{LinkMessage, PeerReply};
use crate::membership::{Fleet, MembershipEvent};
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::routing::{RoutingEvent, RoutingMessage};
use crate::settings::guard::GuardSettings;
use crate::types::{format_id, DaemonId, Incarnation};
use crate::wire::client::{CallHandle, Caller};
use crate::wire::exchange::{Exchange, RawHead};
use crate::wire::forward::ForwardHead;
use crate::wire::http::header;

/// What the guard needs of the world.
pub struct GuardContext {
    /// Its settings.
    pub settings: GuardSettings,
    /// The daemon.
    pub daemon: DaemonId,
    /// The life that it began with.
    pub incarnation: Incarnation,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// Calls servers.
    pub caller: Arc<dyn Caller>,
    /// What calls to servers need.
    pub forward: ServerCallContext,
    /// The thread that cancels at servers.
    pub cancels: RingSender<CancelJob>,
    /// The threads that write refusals.
    pub answers: RingSender<AnswerJob>,
    /// Learns what requests meet.
    pub outcomes: Box<dyn OutcomeObserver>,
    /// Membership.
    pub membership: RingSender<MembershipEvent>,
    /// Where hang-ups of entries come in: this duty's own ring.
    pub own_ring: RingSender<GuardMessage>,
    /// Routing on this VM.
    pub routing: RingSender<RoutingMessage>,
    /// The link to other daemons.
    pub link: RingSender<LinkMessage>,
    /// Hears when a draining guard has nothing left to do.
    pub drained: Sender<()>,
}

struct HeldRequest {
    head: ForwardHead,
    raw: RawHead,
    exchange: Box<dyn Exchange>,
    deadline_at: Instant,
}

/// A call that runs; dropping it ends the call.
struct OpenCall {
    _handle: CallHandle,
    /// The request and its server, as logs name them.
    name: LogName,
}

/// The thread's own part: what the decisions need not see.
pub(super) struct GuardDuty<'a> {
    pub(super) context: &'a GuardContext,
    pub(super) state: GuardState,
    held: HashMap<AttemptKey, HeldRequest>,
    /// Calls that run.
    calls: HashMap<AttemptKey, OpenCall>,
    pub(super) fleet: Arc<Fleet>,
    /// The life of the daemon in the last fleet.
    pub(super) incarnation: Incarnation,
    /// Who waits for the fence of the event in hand.
    pub(super) fence_reply: Option<PeerReply>,
    /// Who waits for the verdict on the announcement in hand.
    announcer: Option<Sender<AnnounceVerdict>>,
}

/// Runs the duty until it is told to stop.
pub fn run(context: &GuardContext, messages: &Receiver<GuardMessage>) {
    let mut duty = GuardDuty {
        state: GuardState::new(context.settings.clone(), context.incarnation),
        context,
        incarnation: context.incarnation,
        held: HashMap::new(),
        calls: HashMap::new(),
        fleet: Arc::default(),
        fence_reply: None,
        announcer: None,
    };
    loop {
        let now = context.clock.now();
        let wait = duty
            .state
            .next_tick_at()
            .map_or(IDLE, |at| at.saturating_duration_since(now));
        match messages.recv_timeout(wait) {
            Ok(GuardMessage::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => duty.decide(GuardEvent::Tick),
            Ok(message) => duty.take(message),
        }
    }
}

const IDLE: Duration = Duration::from_secs(60);

impl GuardDuty<'_> {
    fn take(&mut self, message: GuardMessage) {
        match message {
            GuardMessage::Event(event) => self.decide(event),
            GuardMessage::Fleet(fleet) => self.fleet_changed(fleet),
            GuardMessage::Announce { event, verdict } => {
                self.announcer = Some(verdict);
                self.decide(event);
                self.judge_announcement(Ok(()));
            }
            GuardMessage::Fence { request, reply } => {
                self.fence_reply = Some(reply);
                self.decide(GuardEvent::Fence(request));
            }
            GuardMessage::Arrived {
                head,
                raw,
                exchange,
                arrived_at,
            } => self.arrived(head, raw, exchange, arrived_at),
            GuardMessage::Stop => {}
        }
    }

    pub(super) fn decide(&mut self, event: GuardEvent) {
        let now = self.context.clock.now();
        if let GuardEvent::Finished {
            key,
            outcome,
            elapsed,
        } = &event
        {
            let name = self.calls.remove(key).map(|call| call.name);
            log_end(&name.unwrap_or_default(), key.1, *outcome, *elapsed);
            self.context.metrics.time("guard.call", *elapsed);
            let end = request_end(*outcome);
            self.context.outcomes.request_finished(*key, end, *elapsed);
        }
        for action in self.state.handle(now, event) {
            self.carry_out(action);
        }
    }

    fn arrived(
        &mut self,
        head: ForwardHead,
        raw: RawHead,
        mut exchange: Box<dyn Exchange>,
        arrived_at: Instant,
    ) {
        let key = (head.request, head.attempt);
        if self.held.contains_key(&key) {
            let name = self.log_name(&head, &raw);
            return self.answer(exchange, (key, &name), ErrorKind::OutcomeUnknown, None);
        }
        self.watch(key, &mut *exchange);
        let deadline_at = arrived_at + head.remaining;
        let event = GuardEvent::Arrived(forward::guard_request(&head, deadline_at));
        let held = HeldRequest {
            head,
            raw,
            exchange,
            deadline_at,
        };
        self.held.insert(key, held);
        self.decide(event);
    }

    fn log_name(&self, head: &ForwardHead, raw: &RawHead) -> LogName {
        let name = self.context.forward.dialect.caller_header_names().request;
        let caller_id = name.and_then(|name| header(&raw.headers, name));
        LogName {
            request: caller_id.map_or_else(|| format_id(head.request), str::to_owned),
            server: head.server.to_string(),
        }
    }

    /// Hears if the entry leaves. A full ring loses that, counted; the request then runs on.
    fn watch(&self, key: AttemptKey, exchange: &mut dyn Exchange) {
        let own = self.context.own_ring.clone();
        exchange.watch(Box::new(move || {
            let _ = own.offer(GuardMessage::Event(GuardEvent::EntryLeft(key)));
        }));
    }

    fn carry_out(&mut self, action: GuardAction) {
        match action {
            GuardAction::Start { key, address } => self.start(key, address),
            GuardAction::Refuse {
                key,
                kind,
                retry_after,
            } => {
                if let Some(held) = self.held.remove(&key) {
                    let name = self.log_name(&held.head, &held.raw);
                    self.answer(held.exchange, (key, &name), kind, retry_after);
                }
            }
            GuardAction::ReportServers(servers) => {
                log_servers(&servers);
                self.context.outcomes.servers_changed(&servers);
                let event = MembershipEvent::Local(servers);
                self.context.membership.deliver(event);
            }
            GuardAction::ServerSeen(announcement) => log_seen(&announcement),
            GuardAction::AnnouncementIgnored {
                announcement,
                reason,
            } => {
                let name = reason.name();
                let metrics = &self.context.metrics;
                metrics.count(&format!("guard.announcement.ignored.{name}"));
                log_ignored(&announcement, reason);
                self.judge_announcement(Err(reason));
            }
            GuardAction::RepeatStarted => {
                let event = RoutingMessage::Event(RoutingEvent::OwnServerRepeats);
                // Without room the calls of this one repeat go uncounted.
                let _ = self.context.routing.offer(event);
            }
            GuardAction::FenceAnswered(answer) => self.fence_answered(answer),
            GuardAction::CancelServer {
                key,
                address,
                repeatable,
            } => self.cancel(key, address, repeatable),
            GuardAction::Inquire { address, path } => self.inquire(address, path),
            GuardAction::ReportPoison { service, reports } => self.report(&service, &reports),
            GuardAction::Drained => {
                // One word is enough; a full channel holds it already.
                let _ = self.context.drained.try_send(());
            }
        }
    }

    /// Tells the verdict to who waits for it, once.
    fn judge_announcement(&mut self, verdict: AnnounceVerdict) {
        if let Some(announcer) = self.announcer.take() {
            // The listener may have ended.
            let _ = announcer.send(verdict);
        }
    }

    fn start(&mut self, key: AttemptKey, address: std::net::SocketAddr) {
        let Some(held) = self.held.remove(&key) else {
            return;
        };
        self.context.outcomes.request_started(StartedRequest {
            key,
            server: held.head.server.clone(),
            service: held.head.service.clone(),
            route: held.head.route.clone(),
        });
        let job = StartJob {
            head: held.head,
            raw: held.raw,
            exchange: held.exchange,
            deadline_at: held.deadline_at,
        };
        if self.calls.len() >= self.context.settings.worker_count {
            self.context.metrics.count("guard.call.limit");
            let name = self.log_name(&job.head, &job.raw);
            self.answer(job.exchange, (key, &name), ErrorKind::Busy, None);
            return self.unstarted(key);
        }
        let name = self.log_name(&job.head, &job.raw);
        let headers = forward::passed_headers(&job.raw);
        let call = forward::server_call(&self.context.forward, &job, &headers, address);
        let dialect = self.context.forward.dialect.clone();
        let own = self.context.own_ring.clone();
        let clock = self.context.clock.clone();
        let started_at = clock.now();
        let exchange = job.exchange;
        let done = Box::new(move |result| {
            let (outcome, answer) = forward::interpret_result(&*dialect, key.0, result);
            let elapsed = clock.now().saturating_duration_since(started_at);
            exchange.answer(answer);
            own.deliver(GuardMessage::Event(GuardEvent::Finished {
                key,
                outcome,
                elapsed,
            }));
        });
        match self.context.caller.call(call, done) {
            Ok(handle) => {
                let call = OpenCall {
                    _handle: handle,
                    name,
                };
                self.calls.insert(key, call);
            }
            // Dropping the callback drops the exchange, whose entry then hears of a fault.
            Err(_) => self.unstarted(key),
        }
    }

    /// A request that was started and whose call could not be made.
    fn unstarted(&mut self, key: AttemptKey) {
        self.decide(GuardEvent::Finished {
            key,
            outcome: ServerOutcome::Abandoned,
            elapsed: Duration::ZERO,
        });
    }

    /// Ends a request that runs and for which nobody waits. Without a word for it in the dialect
    /// the connection is closed, and only for requests that do no harm when they are cut.
    fn cancel(&mut self, key: AttemptKey, address: std::net::SocketAddr, repeatable: bool) {
        if let Some(path) = self.context.forward.dialect.cancel_path(key.0) {
            let job = CancelJob { path, address };
            if self.context.cancels.offer(job).is_err() {
                self.context.metrics.count("guard.cancel.dropped");
            }
            return;
        }
        if !repeatable || !self.calls.contains_key(&key) {
            return;
        }
        self.context.metrics.count("guard.cancel.closed");
        self.decide(GuardEvent::Finished {
            key,
            outcome: ServerOutcome::Abandoned,
            elapsed: Duration::ZERO,
        });
    }

    fn answer(
        &self,
        exchange: Box<dyn Exchange>,
        (key, name): (AttemptKey, &LogName),
        kind: ErrorKind,
        retry_after: Option<Duration>,
    ) {
        let metrics = &self.context.metrics;
        metrics.count(&format!("guard.refused.{}", kind.code()));
        let retry_after_ms = retry_after.map_or(0, |after| after.as_millis() as u64);
        let load = self
            .state
            .server_load(self.context.clock.now(), &name.server);
        metrics.count(&format!("guard.hold.{}", load.start_blocker.name()));
        log::info!(
            running_count = load.running_count,
            limit_count = load.limit_count,
            waiting_count = load.waiting_count,
            hold = load.start_blocker.name(),
            request = name.request,
            server = name.server,
            attempt = key.1,
            kind = kind.code(),
            retry_after_ms;
            "guard_refused"
        );
        let answer = refusal(key.0, kind, retry_after);
        if let Err(job) = self.context.answers.offer(AnswerJob { exchange, answer }) {
            metrics.count("guard.answer.inline");
            job.exchange.answer(job.answer);
        }
    }
}
