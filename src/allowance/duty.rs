//! The allowance thread.

use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::message::{AllowanceAction, AllowanceMessage, PermitReader};
use super::state::AllowanceState;
use crate::clock::Clock;
use crate::front::{FrontEvent, FrontMessage};
use crate::link::LinkError;
use crate::metrics::Metrics;
use crate::ring::RingSender;

/// What the allowance needs of the world.
pub struct AllowanceContext {
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// Where answers go.
    pub front: RingSender<FrontMessage>,
    /// Takes answers about ejection permits.
    pub permits: Box<dyn PermitReader>,
}

/// Runs the duty until it is told to stop.
pub fn run(context: &AllowanceContext, messages: &Receiver<AllowanceMessage>) {
    let mut state = AllowanceState::default();
    for message in messages {
        let event = match message {
            AllowanceMessage::Stop => return,
            AllowanceMessage::Event(event) => event,
            AllowanceMessage::Asked { reply, .. } => {
                reply(Err(LinkError::Refused));
                continue;
            }
        };
        for action in state.handle(context.clock.now(), event) {
            match action {
                AllowanceAction::Grant { request } => context
                    .front
                    .deliver(FrontMessage::Event(FrontEvent::Granted { request })),
                AllowanceAction::Refuse {
                    request,
                    retry_after,
                } => {
                    context
                        .front
                        .deliver(FrontMessage::Event(FrontEvent::Limited {
                            request,
                            retry_after,
                        }));
                }
                AllowanceAction::Permit {
                    service,
                    server,
                    holds_until,
                } => context.permits.permit(&service, &server, holds_until),
                AllowanceAction::Count(name) => context.metrics.count(name),
                AllowanceAction::Call { .. }
                | AllowanceAction::Lend { .. }
                | AllowanceAction::Promised { .. }
                | AllowanceAction::Append(_) => {}
            }
        }
    }
}
