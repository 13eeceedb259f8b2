//! Hands peers' requests to the duties that answer them.

use super::rings::Rings;
use crate::allowance::AllowanceMessage;
use crate::guard::{GuardEvent, GuardMessage};
use crate::health::HealthMessage;
use crate::journal::JournalEvent;
use crate::link::{LinkError, PeerAnswer, PeerHandler, PeerName, PeerReply, PeerRequest};

/// Knows which duty answers which request.
pub(super) struct PeerDispatch {
    pub(super) rings: Rings,
}

impl PeerHandler for PeerDispatch {
    fn handle(&self, from: &PeerName, request: PeerRequest, reply: PeerReply) {
        let guard = |event| match self.rings.guard.offer(GuardMessage::Event(event)) {
            Ok(()) => Ok(PeerAnswer::Done),
            Err(_) => Err(LinkError::Refused),
        };
        match request {
            PeerRequest::Fence(request) => {
                let message = GuardMessage::Fence { request, reply };
                if let Err(GuardMessage::Fence { reply, .. }) = self.rings.guard.offer(message) {
                    reply(Err(LinkError::Refused));
                }
            }
            PeerRequest::Cancel(request) => reply(guard(GuardEvent::Cancel(request))),
            PeerRequest::Poison(reports) => {
                let from = from.daemon.clone();
                reply(guard(GuardEvent::Poison { from, reports }));
            }
            PeerRequest::Records(request) => {
                let event = JournalEvent::PeerAsked {
                    from: from.clone(),
                    request,
                    reply,
                };
                if let Err(JournalEvent::PeerAsked { reply, .. }) = self.rings.journal.offer(event)
                {
                    reply(Err(LinkError::Refused));
                }
            }
            PeerRequest::Tombstones(hashes) => {
                let event = JournalEvent::Tombstones { hashes };
                let taken = self.rings.journal.offer(event).is_ok();
                reply(match taken {
                    true => Ok(PeerAnswer::Done),
                    false => Err(LinkError::Refused),
                });
            }
            PeerRequest::Summary(service) => {
                let asked = HealthMessage::Asked { service, reply };
                if let Err(HealthMessage::Asked { reply, .. }) = self.rings.health.offer(asked) {
                    reply(Err(LinkError::Refused));
                }
            }
            request @ (PeerRequest::Borrow(_) | PeerRequest::Promise(_)) => {
                let message = AllowanceMessage::Asked {
                    from: from.clone(),
                    request,
                    reply,
                };
                let offered = self.rings.allowance.offer(message);
                if let Err(AllowanceMessage::Asked { reply, .. }) = offered {
                    reply(Err(LinkError::Refused));
                }
            }
            _ => reply(Err(LinkError::Refused)),
        }
    }
}
