//! The allowance thread.

use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::message::{AllowanceAction, AllowanceEvent};
use super::state::AllowanceState;
use crate::clock::Clock;
use crate::front::{FrontEvent, FrontMessage};
use crate::ring::RingSender;

/// What the allowance needs of the world.
pub struct AllowanceContext {
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Where answers go.
    pub front: RingSender<FrontMessage>,
}

/// Runs the duty until it is told to stop.
pub fn run(context: &AllowanceContext, events: &Receiver<AllowanceEvent>) {
    let mut state = AllowanceState::default();
    for event in events {
        if matches!(event, AllowanceEvent::Stop) {
            return;
        }
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
            }
        }
    }
}
