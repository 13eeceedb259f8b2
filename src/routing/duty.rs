//! The routing thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};

use super::choice::ServerChoice;
use super::forward::ForwardJob;
use super::message::{
    AttemptOutcome, HeldRequest, Outcome, RoutingAction, RoutingEvent, RoutingMessage,
};
use super::state::RoutingState;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::front::duty::AnswerJob;
use crate::link::{
    ClaimRequest, ClaimStep, FenceRequest, PeerAnswer, PeerCaller, PeerReply, PeerRequest,
};
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::routing::RoutingSettings;
use crate::types::{format_id, DaemonId, RequestId};
use crate::wire::exchange::{Exchange, WholeAnswer};
use crate::wire::forward::{RAN, REQUEST};

/// What routing needs of the world.
pub struct RoutingContext {
    /// Its settings.
    pub settings: RoutingSettings,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// The threads that carry attempts.
    pub forwards: RingSender<ForwardJob>,
    /// The threads that carry attempts with long bodies, which their callers may send slowly.
    pub uploads: RingSender<ForwardJob>,
    /// The threads that write answers.
    pub answers: RingSender<AnswerJob>,
    /// Guards and homes of idempotency keys.
    pub peers: Arc<dyn PeerCaller>,
    /// Where peers' answers come in: this duty's own ring.
    pub own: RingSender<RoutingMessage>,
    /// Hears when routing has nothing left to do, once it drains.
    pub drained: Sender<()>,
}

/// The thread's own part: what the decisions need not see.
struct RoutingDuty<'a> {
    context: &'a RoutingContext,
    state: RoutingState,
    held: HashMap<RequestId, Box<HeldRequest>>,
}

/// Runs the duty until it is told to stop.
pub fn run(
    context: &RoutingContext,
    choice: Box<dyn ServerChoice>,
    messages: &Receiver<RoutingMessage>,
) {
    let mut duty = RoutingDuty {
        context,
        state: RoutingState::new(context.settings.clone(), choice),
        held: HashMap::new(),
    };
    let mut draining = false;
    for message in messages {
        match message {
            RoutingMessage::Stop => return,
            RoutingMessage::Drain => draining = true,
            RoutingMessage::Event(event) => duty.decide(event),
            RoutingMessage::Dispatch {
                plan,
                head,
                mut exchange,
            } => {
                duty.watch(plan.request, &mut *exchange);
                let held = HeldRequest {
                    head,
                    exchange,
                    body: None,
                    body_spent: false,
                };
                duty.held.insert(plan.request, Box::new(held));
                duty.decide(RoutingEvent::Dispatch(plan));
            }
            RoutingMessage::Attempted { event, held } => {
                duty.held.insert(held.head.request, held);
                duty.decide(event);
            }
        }
        if draining && duty.state.open_count() == 0 {
            // One word is enough; a full channel holds it already.
            let _ = context.drained.try_send(());
        }
    }
}

impl RoutingDuty<'_> {
    /// Hears if the caller leaves. A full ring loses that, counted; the request then runs on.
    fn watch(&self, request: RequestId, exchange: &mut dyn Exchange) {
        let own = self.context.own.clone();
        let metrics = self.context.metrics.clone();
        exchange.watch(Box::new(move || {
            metrics.count("routing.caller_left");
            let _ = own.offer(RoutingMessage::Event(RoutingEvent::CallerLeft(request)));
        }));
    }

    fn decide(&mut self, event: RoutingEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.state.handle(self.context.clock.now(), event) {
                events.extend(self.carry_out(action));
            }
        }
    }

    /// Carries an action out; gives the event that follows at once, if any.
    fn carry_out(&mut self, action: RoutingAction) -> Option<RoutingEvent> {
        match action {
            RoutingAction::Send {
                plan,
                attempt,
                target,
                incarnation,
                until,
            } => {
                let held = self.held.remove(&plan.request)?;
                self.send(ForwardJob {
                    plan,
                    attempt,
                    target,
                    incarnation,
                    until,
                    held,
                })
            }
            RoutingAction::Fence { to, fence } => self.fence(&to, fence),
            RoutingAction::Claim { to, claim } => self.claim(&to, claim),
            RoutingAction::Cancel { to, request } => {
                self.context.metrics.count("routing.cancel");
                let told = PeerRequest::Cancel(request);
                self.context.peers.call(&to, told, Box::new(|_| {}));
                None
            }
            RoutingAction::Finish { request, outcome } => {
                if let Some(held) = self.held.remove(&request) {
                    finish(self.context, request, *held, outcome);
                }
                None
            }
        }
    }

    /// Hands an attempt to the threads that carry it. Without a free one it did not run.
    fn send(&mut self, job: ForwardJob) -> Option<RoutingEvent> {
        let ring = if job.held.has_long_body() {
            &self.context.uploads
        } else {
            &self.context.forwards
        };
        let job = ring.offer(job).err()?;
        let event = RoutingEvent::Attempted {
            request: job.plan.request,
            attempt: job.attempt,
            outcome: AttemptOutcome::NotRun {
                kind: ErrorKind::Busy,
                retry_after: None,
                by_guard: false,
            },
            elapsed: Duration::ZERO,
            resendable: false,
        };
        self.held.insert(job.plan.request, job.held);
        Some(event)
    }

    fn fence(&self, to: &DaemonId, fence: FenceRequest) -> Option<RoutingEvent> {
        self.context.metrics.count("routing.fence");
        let FenceRequest {
            request, attempt, ..
        } = fence;
        let own = self.context.own.clone();
        let fenced = move |answer| RoutingEvent::Fenced {
            request,
            attempt,
            answer,
        };
        let reply: PeerReply = Box::new(move |answer| {
            let answer = match answer {
                Ok(PeerAnswer::Fence(answer)) => Some(answer),
                _ => None,
            };
            own.deliver(RoutingMessage::Event(fenced(answer)));
        });
        let sent = self
            .context
            .peers
            .call(to, PeerRequest::Fence(fence), reply);
        (!sent).then(|| fenced(None))
    }

    fn claim(&self, to: &DaemonId, claim: ClaimRequest) -> Option<RoutingEvent> {
        let ClaimRequest { request, step, .. } = claim;
        let own = self.context.own.clone();
        let claimed = move |answer| RoutingEvent::Claimed { request, answer };
        let reply: PeerReply = Box::new(move |answer| {
            let answer = match answer {
                Ok(PeerAnswer::Claim(answer)) => Some(answer),
                _ => None,
            };
            if step == ClaimStep::Take {
                own.deliver(RoutingMessage::Event(claimed(answer)));
            }
        });
        let sent = self
            .context
            .peers
            .call(to, PeerRequest::Claim(claim), reply);
        (!sent && step == ClaimStep::Take).then(|| claimed(None))
    }
}

fn finish(context: &RoutingContext, request: RequestId, held: HeldRequest, outcome: Outcome) {
    let answer = match outcome {
        Outcome::Answered(answer) => served(request, answer),
        Outcome::Failed { kind, retry_after } => {
            context
                .metrics
                .count(&format!("routing.failed.{}", kind.code()));
            refusal(request, kind, retry_after)
        }
    };
    context.metrics.time(
        "routing.request",
        context.clock.now() - held.head.arrived_at,
    );
    let exchange = held.exchange;
    if let Err(job) = context.answers.offer(AnswerJob { exchange, answer }) {
        context.metrics.count("routing.answer.inline");
        job.exchange.answer(job.answer);
    }
}

/// The server's answer with the request id and the word that it ran.
fn served(request: RequestId, mut answer: WholeAnswer) -> WholeAnswer {
    answer
        .headers
        .retain(|(name, _)| !name.starts_with(crate::wire::forward::PREFIX));
    answer
        .headers
        .push((REQUEST.to_owned(), format_id(request)));
    answer.headers.push((RAN.to_owned(), "yes".to_owned()));
    answer
}
