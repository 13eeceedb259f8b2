//! The guard's thread: feeds events to the decisions and carries out their actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};

use super::forward::{self, ServerCallContext, StartJob};
use super::log::{log_announcement_ignored, log_call_end, log_server_seen, log_servers, LogName};
use super::message::{
    AnnounceVerdict, AttemptKey, GuardAction, GuardEvent, GuardMessage, ServerOutcome,
};
use super::state::GuardState;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::feed::SharedPosition;
use crate::front::answer::refusal;
use crate::health::{request_end, OutcomeObserver, StartedRequest};
use crate::link::{LinkMessage, PeerReply};
use crate::membership::{Fleet, MembershipEvent};
use crate::metrics::Metrics;
use crate::ring::{Reports, RingSender};
use crate::routing::{RoutingEvent, RoutingMessage};
use crate::settings::guard::GuardSettings;
use crate::types::{format_id, DaemonId, Incarnation};
use crate::wire::client::{CallHandle, Caller};
use crate::wire::exchange::{Exchange, RawHead};
use crate::wire::forward::ForwardHead;
use crate::wire::http::header;

/// Dependencies of the guard's thread.
pub struct GuardContext {
    /// Settings of the guard.
    pub settings: GuardSettings,
    /// Name of this daemon.
    pub daemon: DaemonId,
    /// Incarnation with which the daemon started.
    pub incarnation: Incarnation,
    /// Clock from which events get their time.
    pub clock: Arc<dyn Clock>,
    /// Counters and timings of the guard.
    pub metrics: Metrics,
    /// Makes the calls to the servers, cancellations included.
    pub caller: Arc<dyn Caller>,
    /// Settings and dialect of the calls to the servers.
    pub forward: ServerCallContext,
    /// Receives the starts and ends of requests, to detect unhealthy servers.
    pub outcomes: Box<dyn OutcomeObserver>,
    /// Ring of membership, which spreads the servers on this VM.
    pub membership: RingSender<MembershipEvent>,
    /// This thread's own ring, for events from callbacks.
    pub own_ring: RingSender<GuardMessage>,
    /// Ring of routing on this VM.
    pub routing: RingSender<RoutingMessage>,
    /// Ring of the link to other daemons.
    pub link: RingSender<LinkMessage>,
    /// Offset up to which this daemon has read the configuration; the thread updates it.
    pub view: Arc<SharedPosition>,
    /// Receives a signal when a draining guard has nothing left to do.
    pub drained: Sender<()>,
}

/// A request that waits for its start, with the data that the decisions do not need.
struct HeldRequest {
    head: ForwardHead,
    raw: RawHead,
    exchange: Box<dyn Exchange>,
}

/// A running call to a server; dropping it ends the call.
pub(super) struct OpenCall {
    _handle: CallHandle,
    /// Names of the request and its server in log lines.
    name: LogName,
}

/// State of the thread: the decisions together with the calls and exchanges that they are about.
pub(super) struct GuardDuty<'a> {
    pub(super) context: &'a GuardContext,
    pub(super) state: GuardState,
    /// Requests that have not started yet.
    held: HashMap<AttemptKey, HeldRequest>,
    /// Calls that are running.
    pub(super) calls: HashMap<AttemptKey, OpenCall>,
    /// Daemons of the fleet and their servers, as last received.
    pub(super) fleet: Arc<Fleet>,
    /// Incarnation of this daemon in that fleet.
    pub(super) incarnation: Incarnation,
    /// Receives the answer to the fence request that is being handled.
    pub(super) fence_reply: Option<PeerReply>,
    /// Receives the verdict on the announcement that is being handled.
    announcer: Option<Sender<AnnounceVerdict>>,
    /// Attempts whose entry daemons have left and that were not ended yet.
    pub(super) left: Reports<AttemptKey>,
}

/// Runs the thread until it receives `Stop` or its ring is closed.
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
        left: Reports::default(),
    };
    loop {
        let now = context.clock.now();
        let wait = duty
            .state
            .next_tick_at()
            .map_or(IDLE_WAIT, |at| at.saturating_duration_since(now));
        match messages.recv_timeout(wait) {
            Ok(GuardMessage::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => duty.handle_event(GuardEvent::Tick),
            Ok(message) => duty.handle_message(message),
        }
        for key in duty.left.take() {
            duty.handle_event(GuardEvent::EntryLeft(key));
        }
    }
}

/// Longest wait for a message while no tick is due.
const IDLE_WAIT: Duration = Duration::from_secs(60);

impl GuardDuty<'_> {
    /// Handles a message, which is an event for the decisions or concerns the thread itself.
    fn handle_message(&mut self, message: GuardMessage) {
        match message {
            GuardMessage::Event(event) => self.handle_event(event),
            GuardMessage::Fleet(fleet) => self.apply_fleet(fleet),
            GuardMessage::Announce { event, verdict } => {
                self.announcer = Some(verdict);
                self.handle_event(event);
                self.answer_announcer(Ok(()));
            }
            GuardMessage::Fence { request, reply } => {
                self.fence_reply = Some(reply);
                self.handle_event(GuardEvent::Fence(request));
            }
            GuardMessage::Arrived {
                head,
                raw,
                exchange,
                arrived_at,
            } => self.handle_arrival(head, raw, exchange, arrived_at),
            GuardMessage::EntriesLeft | GuardMessage::Stop => {}
        }
    }

    /// Passes an event to the decisions and carries out the actions that follow.
    pub(super) fn handle_event(&mut self, event: GuardEvent) {
        let now = self.context.clock.now();
        if let GuardEvent::View(view) = &event {
            self.context.view.set(view.position());
        }
        if let GuardEvent::Finished {
            key,
            outcome,
            elapsed,
        } = &event
        {
            let name = self.calls.remove(key).map(|call| call.name);
            log_call_end(&name.unwrap_or_default(), key.1, *outcome, *elapsed);
            self.context.metrics.time("guard.call", *elapsed);
            let end = request_end(*outcome);
            self.context.outcomes.request_finished(*key, end, *elapsed);
        }
        for action in self.state.handle(now, event) {
            self.carry_out(action);
        }
    }

    /// Holds a request that arrived and lets the state decide on it.
    fn handle_arrival(
        &mut self,
        head: ForwardHead,
        raw: RawHead,
        mut exchange: Box<dyn Exchange>,
        arrived_at: Instant,
    ) {
        let key = (head.request, head.attempt);
        if !exchange.caller_waits() {
            return self.context.metrics.count("guard.entry_left");
        }
        if self.held.contains_key(&key) {
            let name = self.log_name(&head, &raw);
            return self.refuse(exchange, (key, &name), ErrorKind::OutcomeUnknown, None);
        }
        if head.origin.is_empty() && self.context.forward.dialect.needs_origin() {
            let name = self.log_name(&head, &raw);
            return self.refuse(exchange, (key, &name), ErrorKind::NoServer, None);
        }
        self.watch_entry(key, &mut *exchange);
        let event = GuardEvent::Arrived(forward::guard_request(&head, arrived_at));
        let held = HeldRequest {
            head,
            raw,
            exchange,
        };
        self.held.insert(key, held);
        self.handle_event(event);
    }

    /// Returns the names of a request and its server for log lines.
    fn log_name(&self, head: &ForwardHead, raw: &RawHead) -> LogName {
        let name = self.context.forward.dialect.caller_header_names().request;
        let caller_id = name.and_then(|name| header(&raw.headers, name));
        LogName {
            request: caller_id.map_or_else(|| format_id(head.request), str::to_owned),
            server: head.server.to_string(),
        }
    }

    /// Carries out an action that the decisions returned.
    fn carry_out(&mut self, action: GuardAction) {
        match action {
            GuardAction::Start {
                key,
                address,
                until,
            } => self.start_call(key, address, until),
            GuardAction::Refuse {
                key,
                kind,
                retry_after,
            } => {
                if let Some(held) = self.held.remove(&key) {
                    let name = self.log_name(&held.head, &held.raw);
                    self.refuse(held.exchange, (key, &name), kind, retry_after);
                }
            }
            GuardAction::ReportServers(servers) => {
                log_servers(&servers);
                self.context.outcomes.servers_changed(&servers);
                let event = MembershipEvent::Local(servers);
                self.context.membership.deliver(event);
            }
            GuardAction::ReportDepartures(departures) => {
                let event = MembershipEvent::Departures(departures);
                self.context.membership.deliver(event);
            }
            GuardAction::ServerSeen(announcement) => log_server_seen(&announcement),
            GuardAction::AnnouncementIgnored {
                announcement,
                reason,
            } => {
                let name = reason.name();
                let metrics = &self.context.metrics;
                metrics.count(&format!("guard.announcement.ignored.{name}"));
                log_announcement_ignored(&announcement, reason);
                self.answer_announcer(Err(reason));
            }
            GuardAction::ServiceContradicted(contradicted) => {
                log::warn!(contradicted; "service_contradicted");
                let message = RoutingMessage::ServiceContradicted(contradicted);
                self.context.routing.deliver(message);
            }
            GuardAction::RepeatStarted => {
                let event = RoutingMessage::Event(RoutingEvent::OwnServerRepeats);
                // If the ring is full, the calls of this one repeat are not counted.
                let _ = self.context.routing.offer(event);
            }
            GuardAction::FenceAnswered(answer) => self.reply_to_fence(answer),
            GuardAction::CancelServer {
                key,
                address,
                repeatable,
            } => self.cancel_at_server(key, address, repeatable),
            GuardAction::Inquire { address, path } => self.inquire(address, path),
            GuardAction::ReportPoison { service, reports } => self.send_report(&service, &reports),
            GuardAction::Drained => {
                // One signal is enough; a full channel holds it already.
                let _ = self.context.drained.try_send(());
            }
        }
    }

    /// Sends the verdict to the listener thread that waits for it, once.
    fn answer_announcer(&mut self, verdict: AnnounceVerdict) {
        if let Some(announcer) = self.announcer.take() {
            // The listener thread may have ended.
            let _ = announcer.send(verdict);
        }
    }

    /// Makes the call for an attempt that the decisions have started.
    fn start_call(&mut self, key: AttemptKey, address: std::net::SocketAddr, until: Instant) {
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
            deadline_at: until,
        };
        if self.calls.len() >= self.context.settings.worker_count {
            self.context.metrics.count("guard.call.limit");
            let name = self.log_name(&job.head, &job.raw);
            self.refuse(job.exchange, (key, &name), ErrorKind::Busy, None);
            return self.abandon_start(key);
        }
        let name = self.log_name(&job.head, &job.raw);
        let headers = forward::caller_headers(&job.raw);
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
            // Dropping the callback drops the exchange, and its entry daemon gets an error.
            Err(_) => self.abandon_start(key),
        }
    }

    /// Ends a request that was started but whose call could not be made.
    fn abandon_start(&mut self, key: AttemptKey) {
        self.handle_event(GuardEvent::Finished {
            key,
            outcome: ServerOutcome::Abandoned,
            elapsed: Duration::ZERO,
        });
    }

    /// Counts and logs a refusal, and answers the entry daemon.
    fn refuse(
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
        exchange.answer(refusal(key.0, kind, retry_after));
    }
}
