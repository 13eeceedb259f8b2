//! The routing thread.

use std::collections::HashMap;
use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::choice::ServerChoice;
use super::forward::ForwardJob;
use super::message::{HeldRequest, Outcome, RoutingAction, RoutingEvent, RoutingMessage};
use super::state::RoutingState;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::front::duty::AnswerJob;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::routing::RoutingSettings;
use crate::types::{format_id, RequestId};
use crate::wire::exchange::WholeAnswer;
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
    /// The threads that write answers.
    pub answers: RingSender<AnswerJob>,
}

/// Runs the duty until it is told to stop.
pub fn run(
    context: &RoutingContext,
    choice: Box<dyn ServerChoice>,
    messages: &Receiver<RoutingMessage>,
) {
    let mut state = RoutingState::new(context.settings.clone(), choice);
    let mut held: HashMap<RequestId, Box<HeldRequest>> = HashMap::new();
    for message in messages {
        let event = match message {
            RoutingMessage::Stop => return,
            RoutingMessage::Event(event) => event,
            RoutingMessage::Dispatch {
                plan,
                head,
                exchange,
            } => {
                held.insert(
                    plan.request,
                    Box::new(HeldRequest {
                        head,
                        exchange,
                        body: None,
                    }),
                );
                RoutingEvent::Dispatch(plan)
            }
            RoutingMessage::Attempted {
                event,
                held: returned,
            } => {
                held.insert(returned.head.request, returned);
                event
            }
        };
        if let Some(action) = state.handle(context.clock.now(), event) {
            carry_out(context, &mut held, action);
        }
    }
}

fn carry_out(
    context: &RoutingContext,
    held: &mut HashMap<RequestId, Box<HeldRequest>>,
    action: RoutingAction,
) {
    match action {
        RoutingAction::Send {
            plan,
            attempt,
            target,
            incarnation,
        } => {
            let request = plan.request;
            let Some(taken) = held.remove(&request) else {
                return;
            };
            let job = ForwardJob {
                plan,
                attempt,
                target,
                incarnation,
                held: taken,
            };
            if let Err(job) = context.forwards.offer(job) {
                finish(context, request, *job.held, failed(ErrorKind::Busy));
            }
        }
        RoutingAction::Finish { request, outcome } => {
            if let Some(taken) = held.remove(&request) {
                finish(context, request, *taken, outcome);
            }
        }
    }
}

fn failed(kind: ErrorKind) -> Outcome {
    Outcome::Failed {
        kind,
        retry_after: None,
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
    if context
        .answers
        .offer(AnswerJob {
            exchange: held.exchange,
            answer,
        })
        .is_err()
    {
        context.metrics.count("routing.answer.dropped");
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
