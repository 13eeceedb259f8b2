//! The guard's thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};

use super::forward::StartJob;
use super::message::{GuardAction, GuardEvent, GuardMessage, GuardRequest};
use super::state::GuardState;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::front::duty::AnswerJob;
use crate::membership::MembershipEvent;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::guard::GuardSettings;
use crate::types::RequestId;
use crate::wire::exchange::{Exchange, RawHead};
use crate::wire::forward::ForwardHead;

/// What the guard needs of the world.
pub struct GuardContext {
    /// Its settings.
    pub settings: GuardSettings,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// The threads that call servers.
    pub starts: RingSender<StartJob>,
    /// The threads that write refusals.
    pub answers: RingSender<AnswerJob>,
    /// Membership.
    pub membership: RingSender<MembershipEvent>,
}

struct HeldRequest {
    head: ForwardHead,
    raw: RawHead,
    exchange: Box<dyn Exchange>,
    deadline_at: Instant,
}

/// Runs the duty until it is told to stop.
pub fn run(context: &GuardContext, messages: &Receiver<GuardMessage>) {
    let mut state = GuardState::new(context.settings.clone());
    let mut held: HashMap<RequestId, HeldRequest> = HashMap::new();
    loop {
        let now = context.clock.now();
        let wait = state
            .next_tick_at()
            .map_or(IDLE, |at| at.saturating_duration_since(now));
        let event = match messages.recv_timeout(wait) {
            Ok(GuardMessage::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => GuardEvent::Tick,
            Ok(GuardMessage::Event(event)) => event,
            Ok(GuardMessage::Arrived {
                head,
                raw,
                exchange,
                arrived_at,
            }) => {
                let deadline_at = arrived_at + head.remaining;
                let event = GuardEvent::Arrived(describe(&head, deadline_at));
                held.insert(
                    head.request,
                    HeldRequest {
                        head,
                        raw,
                        exchange,
                        deadline_at,
                    },
                );
                event
            }
        };
        for action in state.handle(context.clock.now(), event) {
            carry_out(context, &mut held, action);
        }
    }
}

const IDLE: Duration = Duration::from_secs(60);

fn describe(head: &ForwardHead, deadline_at: Instant) -> GuardRequest {
    GuardRequest {
        request: head.request,
        organisation: head.organisation.clone(),
        weight_share: head.weight_share,
        route: head.route.clone(),
        server: head.server.clone(),
        repeatable: head.repeatable,
        deadline_at,
    }
}

fn carry_out(
    context: &GuardContext,
    held: &mut HashMap<RequestId, HeldRequest>,
    action: GuardAction,
) {
    match action {
        GuardAction::Start { request, address } => {
            let Some(taken) = held.remove(&request) else {
                return;
            };
            let HeldRequest {
                head,
                raw,
                exchange,
                deadline_at,
            } = taken;
            // As many threads as slots are the operator's to set; the ring takes what waits.
            context.starts.deliver(StartJob {
                head,
                raw,
                exchange,
                address,
                deadline_at,
            });
        }
        GuardAction::Refuse { request, kind } => refuse(context, held, request, kind),
        GuardAction::Servers(servers) => {
            context.membership.deliver(MembershipEvent::Local(servers))
        }
    }
}

fn refuse(
    context: &GuardContext,
    held: &mut HashMap<RequestId, HeldRequest>,
    request: RequestId,
    kind: ErrorKind,
) {
    context
        .metrics
        .count(&format!("guard.refused.{}", kind.code()));
    let Some(taken) = held.remove(&request) else {
        return;
    };
    let answer = refusal(request, kind, None);
    if context
        .answers
        .offer(AnswerJob {
            exchange: taken.exchange,
            answer,
        })
        .is_err()
    {
        context.metrics.count("guard.answer.dropped");
    }
}
