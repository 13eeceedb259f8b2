//! The allowance thread.

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

/// What the allowance needs of the world.
pub struct AllowanceContext {
    /// What it is made of.
    pub options: AllowanceOptions,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// Where answers go.
    pub front: RingSender<FrontMessage>,
    /// Appends records.
    pub journal: RingSender<JournalEvent>,
    /// Calls peers.
    pub link: RingSender<LinkMessage>,
    /// This duty's own ring, for peers' answers.
    pub own: RingSender<AllowanceMessage>,
    /// Takes answers about ejection permits.
    pub permits: Box<dyn PermitReader>,
}

/// Runs the duty until it is told to stop.
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

const IDLE: Duration = Duration::from_secs(60);

struct Duty {
    context: AllowanceContext,
    state: AllowanceState,
    replies: HashMap<CallId, PeerReply>,
    next_reply: CallId,
}

impl Duty {
    /// Handles an event, and the events that carrying out its actions brings about.
    fn handle(&mut self, event: AllowanceEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.context.clock.now();
            for action in self.state.handle(now, event) {
                events.extend(self.carry_out(action));
            }
        }
    }

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

    fn reply(&mut self, call: CallId, answer: PeerAnswer) {
        if let Some(reply) = self.replies.remove(&call) {
            reply(Ok(answer));
        }
    }

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
