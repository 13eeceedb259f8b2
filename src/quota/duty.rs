//! The quota thread: carries out the decisions of the quota by calls to peers and answers to the
//! front.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;

use super::message::{CallId, Loan, QuotaAction, QuotaEvent};
use super::state::QuotaState;
use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::clock::Clock;
use crate::front::{FrontEvent, FrontMessage};
use crate::link::{
    BorrowAnswer, BorrowRequest, EscrowId, LinkError, LinkMessage, PeerAnswer, PeerReply,
    PeerRequest,
};
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::quota::QuotaSettings;
use crate::types::{DaemonId, OrganisationId};

/// Settings, interfaces and rings that the quota thread needs.
pub struct QuotaContext {
    /// Settings of the quota.
    pub settings: QuotaSettings,
    /// Id of this daemon.
    pub own_daemon: DaemonId,
    /// Clock by which waits and loans are measured.
    pub clock: Arc<dyn Clock>,
    /// Takes the counters of the quota.
    pub metrics: Metrics,
    /// Ring of the front, which waits for the tokens of its requests.
    pub front: RingSender<FrontMessage>,
    /// Ring of the link, which calls the homes.
    pub link: RingSender<LinkMessage>,
    /// Ring of this thread itself, through which answers of homes arrive.
    pub answers: RingSender<QuotaEvent>,
}

/// State of the thread: the decisions, with the calls of peers that wait for an answer.
struct QuotaDuty {
    /// Interfaces and rings of the thread.
    context: QuotaContext,
    /// Decides on tokens and loans.
    state: QuotaState,
    /// Peers' calls that are not answered yet.
    replies: HashMap<CallId, PeerReply>,
    /// Id of the last call of a peer; ids count up.
    last_call: CallId,
}

/// Runs the thread until it receives `Stop` or a ring is closed.
pub fn run(
    context: QuotaContext,
    messages: &Receiver<AllowanceMessage>,
    answers: &Receiver<QuotaEvent>,
) {
    let mut duty = QuotaDuty {
        state: QuotaState::new(context.settings.clone(), context.own_daemon.clone()),
        context,
        replies: HashMap::new(),
        last_call: 0,
    };
    loop {
        let now = duty.context.clock.now();
        let next_tick_at = duty.state.next_tick_at();
        let wait = next_tick_at.map_or(IDLE_WAIT, |at| at.saturating_duration_since(now));
        let event = crossbeam::select! {
            default(wait) => Some(QuotaEvent::Tick),
            recv(answers) -> answer => match answer {
                Ok(event) => Some(event),
                Err(_) => return,
            },
            recv(messages) -> message => match message {
                Ok(AllowanceMessage::Stop) | Err(_) => return,
                Ok(message) => duty.event_of(message),
            },
        };
        let Some(event) = event else {
            continue;
        };
        let now = duty.context.clock.now();
        for action in duty.state.handle(now, event) {
            duty.carry_out(action);
        }
    }
}

/// Longest wait for a message while no tick is due.
const IDLE_WAIT: Duration = Duration::from_secs(60);

impl QuotaDuty {
    /// Returns the event that a message carries; refuses peers' calls that the quota does not
    /// serve.
    fn event_of(&mut self, message: AllowanceMessage) -> Option<QuotaEvent> {
        match message {
            AllowanceMessage::Event(AllowanceEvent::Take {
                request,
                organisation,
            }) => Some(QuotaEvent::Take {
                request,
                organisation,
            }),
            AllowanceMessage::Event(AllowanceEvent::View(view)) => Some(QuotaEvent::View(view)),
            AllowanceMessage::Event(AllowanceEvent::Fleet(fleet)) => Some(QuotaEvent::Fleet(fleet)),
            AllowanceMessage::Asked {
                request:
                    PeerRequest::Borrow(BorrowRequest {
                        escrow: EscrowId::Organisation(organisation),
                        count,
                    }),
                reply,
                ..
            } => {
                self.last_call += 1;
                self.replies.insert(self.last_call, reply);
                Some(QuotaEvent::Borrow {
                    call: self.last_call,
                    organisation,
                    count,
                })
            }
            AllowanceMessage::Asked { reply, .. } => {
                reply(Err(LinkError::Refused));
                None
            }
            AllowanceMessage::Event(_) | AllowanceMessage::Stop => None,
        }
    }

    /// Carries out an action that the decisions returned.
    fn carry_out(&mut self, action: QuotaAction) {
        let context = &self.context;
        match action {
            QuotaAction::Grant { request } => {
                let event = FrontEvent::TokenGranted { request };
                context.front.deliver(FrontMessage::Event(event));
            }
            QuotaAction::Refuse {
                request,
                kind,
                retry_after,
            } => {
                let event = FrontEvent::TokenRefused {
                    request,
                    kind,
                    retry_after,
                };
                context.front.deliver(FrontMessage::Event(event));
            }
            QuotaAction::Borrow {
                to,
                organisation,
                count,
            } => self.borrow(to, organisation, count),
            QuotaAction::Lend { call, loan } => {
                if let Some(reply) = self.replies.remove(&call) {
                    reply(Ok(PeerAnswer::Borrow(BorrowAnswer {
                        count: loan.count,
                        lapses_after: Duration::from_millis(context.settings.loan_ms),
                        retry_after: loan.retry_after,
                    })));
                }
            }
            QuotaAction::Decline { call } => {
                if let Some(reply) = self.replies.remove(&call) {
                    reply(Err(LinkError::Refused));
                }
            }
            QuotaAction::Count(name) => context.metrics.count(name),
        }
    }

    /// Asks a home for tokens; its answer arrives as `QuotaEvent::Borrowed`.
    fn borrow(&self, to: DaemonId, organisation: OrganisationId, count: u32) {
        let answers = self.context.answers.clone();
        let asked = organisation.clone();
        let request = PeerRequest::Borrow(BorrowRequest {
            escrow: EscrowId::Organisation(organisation.clone()),
            count,
        });
        let reply: PeerReply = Box::new(move |answer| {
            let loan = match answer {
                Ok(PeerAnswer::Borrow(lent)) => Some(Loan {
                    count: lent.count,
                    retry_after: lent.retry_after,
                }),
                _ => None,
            };
            answers.deliver(QuotaEvent::Borrowed {
                organisation: asked,
                loan,
            });
        });
        let call = LinkMessage::Call { to, request, reply };
        if self.context.link.offer(call).is_err() {
            self.context.metrics.count("quota.borrow.dropped");
            self.context.answers.deliver(QuotaEvent::Borrowed {
                organisation,
                loan: None,
            });
        }
    }
}
