//! The membership thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use crossbeam::select;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::message::{
    CallTarget, DaemonEntry, Fleet, MembershipAction, MembershipCall, MembershipEvent, Ticket,
};
use super::state::MembershipState;
use crate::clock::Clock;
use crate::link::{LinkError, PeerReply, PeerRequest};
use crate::metrics::Metrics;
use crate::settings::membership::MembershipSettings;

/// Carries calls to peers. The answer comes back as `MembershipCall::CallEnded`.
pub trait MembershipCaller: Send {
    /// Makes a call; must not wait. A call that can't be made is dropped.
    fn call(&self, ticket: Ticket, to: CallTarget, request: PeerRequest);
}

/// Takes a new snapshot without waiting; says whether it was taken.
pub type FleetReader = Box<dyn Fn(&Arc<Fleet>) -> bool + Send>;

/// What membership needs of the world.
pub struct MembershipContext {
    /// Its settings.
    pub settings: MembershipSettings,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// Appends the description of this daemon to the platform's log.
    pub publish: Box<dyn Fn(&DaemonEntry) + Send>,
    /// Take new snapshots.
    pub readers: Vec<FleetReader>,
    /// Calls peers.
    pub peers: Box<dyn MembershipCaller>,
}

/// Wait before a reader whose ring was full is tried again.
const READER_RETRY_INTERVAL: Duration = Duration::from_millis(20);

struct Duty<'a> {
    context: &'a MembershipContext,
    state: MembershipState,
    /// Requests of peers without an answer yet.
    replies: HashMap<Ticket, PeerReply>,
    next_ticket: Ticket,
    /// The last snapshot.
    fleet: Arc<Fleet>,
    /// Readers, by place, whose ring was full when the last snapshot came.
    lagging_readers: Vec<usize>,
}

/// Runs the duty until it is told to stop.
pub fn run(
    context: &MembershipContext,
    own: DaemonEntry,
    events: &Receiver<MembershipEvent>,
    calls: &Receiver<MembershipCall>,
) {
    let random = ChaCha8Rng::from_rng(&mut rand::rng());
    let now = context.clock.now();
    let mut duty = Duty {
        context,
        state: MembershipState::new(context.settings.clone(), own, random, now),
        replies: HashMap::new(),
        next_ticket: 0,
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

impl Duty<'_> {
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
                Ok(call) => Some(self.take_call(call)),
                Err(_) => match events.recv_timeout(wait) {
                    Ok(event) => Some(event),
                    Err(RecvTimeoutError::Timeout) => Some(MembershipEvent::Tick),
                    Err(RecvTimeoutError::Disconnected) => None,
                },
            },
            default(wait) => Some(MembershipEvent::Tick),
        }
    }

    fn take_call(&mut self, call: MembershipCall) -> MembershipEvent {
        match call {
            MembershipCall::CallEnded { ticket, result } => {
                MembershipEvent::CallEnded { ticket, result }
            }
            MembershipCall::RequestReceived {
                from,
                request,
                reply,
            } => {
                self.next_ticket += 1;
                self.replies.insert(self.next_ticket, reply);
                MembershipEvent::RequestReceived {
                    ticket: self.next_ticket,
                    from,
                    request,
                }
            }
        }
    }

    fn handle(&mut self, event: MembershipEvent) {
        for action in self.state.handle(self.context.clock.now(), event) {
            self.carry_out(action);
        }
        let fleet = &self.fleet;
        let readers = &self.context.readers;
        self.lagging_readers.retain(|place| !readers[*place](fleet));
    }

    fn carry_out(&mut self, action: MembershipAction) {
        match action {
            MembershipAction::Publish(entry) => (self.context.publish)(&entry),
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
