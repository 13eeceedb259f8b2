//! The membership thread: feeds events into the state and carries out its actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use crossbeam::select;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::message::{
    CallTarget, DaemonEntry, DaemonRecord, Fleet, MembershipAction, MembershipCall,
    MembershipEvent, Ticket,
};
use super::state::MembershipState;
use crate::clock::Clock;
use crate::link::{LinkError, PeerReply, PeerRequest};
use crate::metrics::Metrics;
use crate::settings::membership::MembershipSettings;

/// Sends membership calls to peers. The answer comes back as `MembershipCall::CallEnded`.
pub trait MembershipCaller: Send {
    /// Starts a call without blocking. A call that can't be started is dropped.
    fn call(&self, ticket: Ticket, to: CallTarget, request: PeerRequest);
}

/// Callback that passes a new snapshot to another thread without blocking. Returns `false` if the
/// ring of that thread is full, and is then called again.
pub type FleetReader = Box<dyn Fn(&Arc<Fleet>) -> bool + Send>;

/// Settings and interfaces that the membership thread runs with.
pub struct MembershipContext {
    /// Settings that the membership state is created with.
    pub settings: MembershipSettings,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Counters that membership increments.
    pub metrics: Metrics,
    /// Writes the record of this daemon to the platform.
    pub publish: Box<dyn Fn(&DaemonRecord) + Send>,
    /// Callbacks that receive every new snapshot.
    pub readers: Vec<FleetReader>,
    /// Sends calls to peers.
    pub peers: Box<dyn MembershipCaller>,
}

/// Time until a reader whose ring was full is called again.
const READER_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// State of the membership thread.
struct MembershipDuty<'a> {
    /// Settings and interfaces of the thread.
    context: &'a MembershipContext,
    /// Decides on members and messages.
    state: MembershipState,
    /// Callbacks of received requests that are not answered yet.
    replies: HashMap<Ticket, PeerReply>,
    /// Ticket of the last received request.
    last_ticket: Ticket,
    /// Newest snapshot of the fleet.
    fleet: Arc<Fleet>,
    /// Indices of the readers that have not taken the newest snapshot yet.
    lagging_readers: Vec<usize>,
}

/// Runs the membership thread until it receives `Stop` or its event ring is closed.
pub fn run(
    context: &MembershipContext,
    own: DaemonEntry,
    events: &Receiver<MembershipEvent>,
    calls: &Receiver<MembershipCall>,
) {
    let random = ChaCha8Rng::from_rng(&mut rand::rng());
    let now = context.clock.now();
    let mut duty = MembershipDuty {
        context,
        state: MembershipState::new(context.settings.clone(), own, random, now),
        replies: HashMap::new(),
        last_ticket: 0,
        fleet: Arc::default(),
        lagging_readers: Vec::new(),
    };
    loop {
        match duty.next_event(events, calls) {
            Some(MembershipEvent::Stop) | None => return,
            Some(event) => duty.handle(event),
        }
    }
}

impl MembershipDuty<'_> {
    /// Waits for the next event, or for the time of the next tick; `None` if the rings are closed.
    fn next_event(
        &mut self,
        events: &Receiver<MembershipEvent>,
        calls: &Receiver<MembershipCall>,
    ) -> Option<MembershipEvent> {
        let now = self.context.clock.now();
        let mut wait = self.state.next_tick_at().saturating_duration_since(now);
        if !self.lagging_readers.is_empty() {
            wait = wait.min(READER_RETRY_INTERVAL);
        }
        select! {
            recv(events) -> event => event.ok(),
            recv(calls) -> call => match call {
                Ok(call) => Some(self.event_from_call(call)),
                Err(_) => match events.recv_timeout(wait) {
                    Ok(event) => Some(event),
                    Err(RecvTimeoutError::Timeout) => Some(MembershipEvent::Tick),
                    Err(RecvTimeoutError::Disconnected) => None,
                },
            },
            default(wait) => Some(MembershipEvent::Tick),
        }
    }

    /// Converts a message of the link to an event; keeps the reply callback of a request.
    fn event_from_call(&mut self, call: MembershipCall) -> MembershipEvent {
        match call {
            MembershipCall::CallEnded { ticket, result } => {
                MembershipEvent::CallEnded { ticket, result }
            }
            MembershipCall::RequestReceived {
                from,
                request,
                reply,
            } => {
                self.last_ticket += 1;
                self.replies.insert(self.last_ticket, reply);
                MembershipEvent::RequestReceived {
                    ticket: self.last_ticket,
                    from,
                    request,
                }
            }
        }
    }

    /// Handles an event, and offers the newest snapshot to the readers that lack it.
    fn handle(&mut self, event: MembershipEvent) {
        for action in self.state.handle(self.context.clock.now(), event) {
            self.carry_out(action);
        }
        let fleet = &self.fleet;
        let readers = &self.context.readers;
        self.lagging_readers.retain(|place| !readers[*place](fleet));
    }

    /// Carries out an action that the state returned.
    fn carry_out(&mut self, action: MembershipAction) {
        match action {
            MembershipAction::Publish(record) => (self.context.publish)(&record),
            MembershipAction::FleetChanged(fleet) => {
                self.fleet = fleet;
                self.lagging_readers = (0..self.context.readers.len()).collect();
            }
            MembershipAction::Call {
                ticket,
                to,
                request,
            } => self.context.peers.call(ticket, to, request),
            MembershipAction::Reply { ticket, answer } => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    reply(answer.ok_or(LinkError::Refused));
                }
            }
            MembershipAction::Count(name) => self.context.metrics.count(name),
            MembershipAction::Superseded { incarnation, later } => {
                log::warn!(life = incarnation, later; "life_superseded");
            }
            MembershipAction::IncarnationRaised(raised) => log::warn!(
                earlier = raised.earlier,
                heard = raised.ended,
                later = raised.later,
                heard_from = raised.source.name();
                "life_raised"
            ),
        }
    }
}
