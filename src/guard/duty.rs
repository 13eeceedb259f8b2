//! The guard's thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};

use super::cancel::CancelJob;
use super::forward::StartJob;
use super::message::{
    AttemptKey, GuardAction, GuardEvent, GuardMessage, GuardRequest, ServerOutcome,
};
use super::state::GuardState;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::front::duty::AnswerJob;
use crate::health::{request_end, OutcomeReader, StartedRequest};
use crate::link::message::PoisonReport;
use crate::link::{FenceAnswer, LinkMessage, PeerAnswer, PeerReply, PeerRequest};
use crate::membership::{Fleet, MembershipEvent};
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::guard::GuardSettings;
use crate::types::{DaemonId, Incarnation, ServiceId};
use crate::wire::call::CallError;
use crate::wire::exchange::{Exchange, RawHead};
use crate::wire::forward::ForwardHead;

/// What the guard needs of the world.
pub struct GuardContext {
    /// Its settings.
    pub settings: GuardSettings,
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// The threads that call servers.
    pub starts: RingSender<StartJob>,
    /// The thread that cancels at servers.
    pub cancels: RingSender<CancelJob>,
    /// The threads that write refusals.
    pub answers: RingSender<AnswerJob>,
    /// Learns what requests meet.
    pub outcomes: Box<dyn OutcomeReader>,
    /// Membership.
    pub membership: RingSender<MembershipEvent>,
    /// Where hang-ups of entries come in: this duty's own ring.
    pub own: RingSender<GuardMessage>,
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

/// The thread's own part: what the decisions need not see.
struct GuardDuty<'a> {
    context: &'a GuardContext,
    state: GuardState,
    held: HashMap<AttemptKey, HeldRequest>,
    fleet: Arc<Fleet>,
    /// Who waits for the fence of the event in hand.
    fence_reply: Option<PeerReply>,
}

/// Runs the duty until it is told to stop.
pub fn run(context: &GuardContext, messages: &Receiver<GuardMessage>) {
    let mut duty = GuardDuty {
        state: GuardState::new(context.settings.clone(), context.incarnation),
        context,
        held: HashMap::new(),
        fleet: Arc::default(),
        fence_reply: None,
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
            GuardMessage::Fleet(fleet) => self.fleet = fleet,
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

    fn decide(&mut self, event: GuardEvent) {
        let now = self.context.clock.now();
        if let GuardEvent::Finished {
            key,
            outcome,
            elapsed,
        } = &event
        {
            let end = request_end(*outcome);
            self.context.outcomes.finished(*key, end, *elapsed);
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
            return self.answer(exchange, key, ErrorKind::OutcomeUnknown, None);
        }
        self.watch(key, &mut *exchange);
        let deadline_at = arrived_at + head.remaining;
        let event = GuardEvent::Arrived(describe(&head, deadline_at));
        let held = HeldRequest {
            head,
            raw,
            exchange,
            deadline_at,
        };
        self.held.insert(key, held);
        self.decide(event);
    }

    /// Hears if the entry leaves. A full ring loses that, counted; the request then runs on.
    fn watch(&self, key: AttemptKey, exchange: &mut dyn Exchange) {
        let own = self.context.own.clone();
        exchange.watch(Box::new(move || {
            let _ = own.offer(GuardMessage::Event(GuardEvent::Left(key)));
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
                    self.answer(held.exchange, key, kind, retry_after);
                }
            }
            GuardAction::Servers(servers) => {
                self.context.outcomes.servers(&servers);
                let event = MembershipEvent::Local(servers);
                self.context.membership.deliver(event);
            }
            GuardAction::FenceAnswered(answer) => self.fence_answered(answer),
            GuardAction::CancelServer { request, address } => {
                let job = CancelJob { request, address };
                if self.context.cancels.offer(job).is_err() {
                    self.context.metrics.count("guard.cancel.dropped");
                }
            }
            GuardAction::Report { service, reports } => self.report(&service, &reports),
            GuardAction::Drained => {
                // One word is enough; a full channel holds it already.
                let _ = self.context.drained.try_send(());
            }
        }
    }

    fn start(&mut self, key: AttemptKey, address: std::net::SocketAddr) {
        let Some(held) = self.held.remove(&key) else {
            return;
        };
        self.context.outcomes.started(StartedRequest {
            key,
            server: held.head.server.clone(),
            service: held.head.service.clone(),
            route: held.head.route.clone(),
        });
        let job = StartJob {
            head: held.head,
            raw: held.raw,
            exchange: held.exchange,
            address,
            deadline_at: held.deadline_at,
        };
        if let Err(job) = self.context.starts.offer(job) {
            self.answer(job.exchange, key, ErrorKind::Busy, None);
            self.decide(GuardEvent::Finished {
                key,
                outcome: ServerOutcome::Failed(CallError::Unwritable),
                elapsed: Duration::ZERO,
            });
        }
    }

    fn fence_answered(&mut self, answer: FenceAnswer) {
        self.context
            .metrics
            .count(&format!("guard.fence.{answer:?}").to_lowercase());
        if let Some(reply) = self.fence_reply.take() {
            reply(Ok(PeerAnswer::Fence(answer)));
        }
    }

    fn report(&self, service: &ServiceId, reports: &[PoisonReport]) {
        self.context.metrics.count("guard.death");
        for daemon in self.fleet.daemons.values() {
            let serves = daemon
                .servers
                .iter()
                .any(|server| server.service == *service);
            if !serves || daemon.daemon == self.context.daemon {
                continue;
            }
            let call = LinkMessage::Call {
                to: daemon.daemon.clone(),
                request: PeerRequest::Poison(reports.to_vec()),
                reply: Box::new(|_| {}),
            };
            if self.context.link.offer(call).is_err() {
                self.context.metrics.count("guard.report.dropped");
            }
        }
    }

    fn answer(
        &self,
        exchange: Box<dyn Exchange>,
        key: AttemptKey,
        kind: ErrorKind,
        retry_after: Option<Duration>,
    ) {
        let metrics = &self.context.metrics;
        metrics.count(&format!("guard.refused.{}", kind.code()));
        let answer = refusal(key.0, kind, retry_after);
        if let Err(job) = self.context.answers.offer(AnswerJob { exchange, answer }) {
            metrics.count("guard.answer.inline");
            job.exchange.answer(job.answer);
        }
    }
}

fn describe(head: &ForwardHead, deadline_at: Instant) -> GuardRequest {
    GuardRequest {
        request: head.request,
        attempt: head.attempt,
        incarnation: head.incarnation,
        organisation: head.organisation.clone(),
        weight_share: head.weight_share,
        route: head.route.clone(),
        server: head.server.clone(),
        repeatable: head.repeatable,
        foreground: head.foreground,
        fingerprint: head.fingerprint,
        deadline_at,
    }
}
