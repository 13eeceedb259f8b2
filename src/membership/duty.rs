//! The membership thread.

use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::message::{DaemonEntry, Fleet, MembershipAction, MembershipEvent};
use super::state::MembershipState;
use crate::clock::Clock;

/// What membership needs of the world.
pub struct MembershipContext {
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Tells the fleet about this daemon.
    pub publish: Box<dyn Fn(&DaemonEntry) + Send>,
    /// Takes a new snapshot.
    pub changed: Box<dyn Fn(Arc<Fleet>) + Send>,
}

/// Runs the duty until it is told to stop.
pub fn run(context: &MembershipContext, own: DaemonEntry, events: &Receiver<MembershipEvent>) {
    let mut state = MembershipState::new(own);
    for event in events {
        let stop = matches!(event, MembershipEvent::Stop);
        for action in state.handle(context.clock.now(), event) {
            match action {
                MembershipAction::Publish(entry) => (context.publish)(&entry),
                MembershipAction::Changed(fleet) => (context.changed)(fleet),
            }
        }
        if stop {
            return;
        }
    }
}
