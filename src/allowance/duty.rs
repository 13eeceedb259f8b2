//! Runs the allowance thread: feeds messages to the state and carries out its actions.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};

use super::message::{AllowanceAction, AllowanceEvent, AllowanceMessage, CallId, PermitReader};
use super::state::{AllowanceOptions, AllowanceState};
use crate::clock::Clock;
use crate::front::{FrontEvent, FrontMessage};
use crate::journal::{JournalEvent, ESCROW};
use crate::link::{LinkError, LinkMessage, PeerAnswer, PeerReply, PeerRequest};
use crate::metrics::Metrics;
use crate::ring::RingSender;

/// Parameters and connections of the allowance thread.
pub struct AllowanceContext {
    /// Parameters of the allowance state.
    pub options: AllowanceOptions,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Counters that the duty increments.
    pub metrics: Metrics,
    /// Receives grants and refusals of requests.
    pub front: RingSender<FrontMessage>,
    /// Appends records to the escrow stream.
    pub journal: RingSender<JournalEvent>,
    /// Sends calls to peers.
    pub link: RingSender<LinkMessage>,
    /// This duty's own ring, through which answers of peers return.
    pub own: RingSender<AllowanceMessage>,
    /// Receives answers about ejection permits.
    pub permits: Box<dyn PermitReader>,
}

/// Runs the duty until it receives `Stop` or its ring is closed.
pub fn run(context: AllowanceContext, messages: &Receiver<AllowanceMessage>) {
    let mut duty = Duty {
        state: AllowanceState::new(context.options.clone()),
        context,
        replies: HashMap::new(),
        next_reply: 0,
    };
    loop {
        let now = duty.context.clock.now();
        let wait = duty
            .state
            .next_at()
            .map_or(IDLE, |at| at.saturating_duration_since(now));
        let event = match messages.recv_timeout(wait) {
            Ok(AllowanceMessage::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => AllowanceEvent::Tick,
            Ok(AllowanceMessage::Event(event)) => event,
            Ok(AllowanceMessage::Asked {
                from,
                request,
                reply,
            }) => match duty.asked(from, request, reply) {
                Some(event) => event,
                None => continue,
            },
        };
        duty.handle(event);
    }
}

/// Longest wait for a message while no tick is due.
const IDLE: Duration = Duration::from_secs(60);

/// The state with its connections and the unanswered requests of peers.
struct Duty {
    context: AllowanceContext,
    state: AllowanceState,
    /// Callbacks of peers' requests that have not been answered.
    replies: HashMap<CallId, PeerReply>,
    /// Number of the next request from a peer.
    next_reply: CallId,
}

impl Duty {
    /// Handles an event, and the events that result from its actions.
    fn handle(&mut self, event: AllowanceEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.context.clock.now();
            for action in self.state.handle(now, event) {
                events.extend(self.carry_out(action));
            }
        }
    }

    /// Turns a peer's request into an event; refuses a request of another kind.
    fn asked(
        &mut self,
        from: crate::link::PeerName,
        request: PeerRequest,
        reply: PeerReply,
    ) -> Option<AllowanceEvent> {
        let call = self.next_reply;
        self.next_reply += 1;
        let event = match request {
            PeerRequest::Borrow(request) => AllowanceEvent::Borrow {
                call,
                from,
                request,
            },
            PeerRequest::Lease(request) => AllowanceEvent::Lease { call, request },
            _ => {
                reply(Err(LinkError::Refused));
                return None;
            }
        };
        self.replies.insert(call, reply);
        Some(event)
    }

    /// Carries out an action; returns the event of a call that could not be sent.
    fn carry_out(&mut self, action: AllowanceAction) -> Option<AllowanceEvent> {
        let context = &self.context;
        match action {
            AllowanceAction::Grant { request } => {
                context
                    .front
                    .deliver(FrontMessage::Event(FrontEvent::TokenGranted { request }));
            }
            AllowanceAction::Refuse {
                request,
                kind,
                retry_after,
            } => {
                context
                    .front
                    .deliver(FrontMessage::Event(FrontEvent::TokenRefused {
                        request,
                        kind,
                        retry_after,
                    }));
            }
            AllowanceAction::Permit {
                service,
                server,
                holds_until,
            } => context.permits.permit(&service, &server, holds_until),
            AllowanceAction::Call { call, to, request } => return self.call(call, to, request),
            AllowanceAction::Lend { call, answer } => {
                self.reply(call, PeerAnswer::Borrow(answer));
            }
            AllowanceAction::Leased { call, answer } => {
                self.reply(call, PeerAnswer::Lease(answer));
            }
            AllowanceAction::Append(record) => self.append(&record),
            AllowanceAction::Count(name) => context.metrics.count(name),
        }
        None
    }

    /// Sends a request to a peer; its answer returns as an `Answered` event.
    fn call(
        &self,
        call: CallId,
        to: crate::types::DaemonId,
        request: PeerRequest,
    ) -> Option<AllowanceEvent> {
        let own = self.context.own.clone();
        let reply: PeerReply = Box::new(move |answer| {
            let event = AllowanceEvent::Answered { call, answer };
            own.deliver(AllowanceMessage::Event(event));
        });
        let message = LinkMessage::Call { to, request, reply };
        self.context.metrics.count("allowance.call.sent");
        match self.context.link.offer(message) {
            Ok(()) => None,
            Err(_) => Some(AllowanceEvent::Answered {
                call,
                answer: Err(LinkError::Unreachable),
            }),
        }
    }

    /// Answers a peer's request, once.
    fn reply(&mut self, call: CallId, answer: PeerAnswer) {
        if let Some(reply) = self.replies.remove(&call) {
            reply(Ok(answer));
        }
    }

    /// Sends a record to the journal to be appended, or counts it as refused.
    fn append(&self, record: &super::EscrowRecord) {
        let body = serde_json::to_string(record).expect("plain values become JSON");
        let event = JournalEvent::Append {
            stream: ESCROW,
            body,
        };
        self.context.metrics.count("allowance.record.sent");
        if self.context.journal.offer(event).is_err() {
            self.context.metrics.count("allowance.record.refused");
        }
    }
}
