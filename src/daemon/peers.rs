//! Passes requests between this daemon's duties and other daemons.

use super::rings::RingSenders;
use crate::allowance::AllowanceMessage;
use crate::feed::FeedMessage;
use crate::guard::{GuardEvent, GuardMessage};
use crate::health::HealthMessage;
use crate::idempotency::IdempotencyMessage;
use crate::journal::JournalEvent;
use crate::link::{
    LinkError, LinkMessage, PeerAnswer, PeerCaller, PeerHandler, PeerName, PeerReply, PeerRequest,
};
use crate::membership::MembershipCall;
use crate::rollout::RolloutMessage;
use crate::types::DaemonId;

/// Passes each request of a peer to the duty that answers it. If the ring of the duty is full, the
/// request is refused.
pub(super) struct PeerDispatch {
    /// Rings of the duties that answer requests of peers.
    pub(super) rings: RingSenders,
    /// Whether the configuration is read from a feed and not from the log.
    pub(super) reads_feed: bool,
}

impl PeerHandler for PeerDispatch {
    fn handle(&self, from: &PeerName, request: PeerRequest, reply: PeerReply) {
        let offer_to_guard = |event| match self.rings.guard.offer(GuardMessage::Event(event)) {
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
            PeerRequest::Claim(claim) => {
                let message = IdempotencyMessage::Claim { claim, reply };
                if let Err(IdempotencyMessage::Claim { reply, .. }) =
                    self.rings.idempotency.offer(message)
                {
                    reply(Err(LinkError::Refused));
                }
            }
            PeerRequest::Cancel(request) => reply(offer_to_guard(GuardEvent::Cancel(request))),
            PeerRequest::Poison(reports) => {
                let from = from.daemon.clone();
                reply(offer_to_guard(GuardEvent::PoisonReported { from, reports }));
            }
            PeerRequest::Records(request) => {
                if self.reads_feed {
                    let message = FeedMessage::Asked {
                        from: from.daemon.clone(),
                        request,
                        reply,
                    };
                    if let Err(FeedMessage::Asked { reply, .. }) = self.rings.feed.offer(message) {
                        reply(Err(LinkError::Refused));
                    }
                    return;
                }
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
                let event = JournalEvent::TombstonesReceived { hashes };
                let taken = self.rings.journal.offer(event).is_ok();
                reply(match taken {
                    true => Ok(PeerAnswer::Done),
                    false => Err(LinkError::Refused),
                });
            }
            PeerRequest::Rollout(call) => {
                let message = RolloutMessage::Called { call, reply };
                if let Err(RolloutMessage::Called { reply, .. }) = self.rings.rollout.offer(message)
                {
                    reply(Err(LinkError::Refused));
                }
            }
            PeerRequest::Summary(service) => {
                let asked = HealthMessage::SummaryRequested { service, reply };
                if let Err(HealthMessage::SummaryRequested { reply, .. }) =
                    self.rings.health.offer(asked)
                {
                    reply(Err(LinkError::Refused));
                }
            }
            request @ (PeerRequest::Borrow(_) | PeerRequest::Lease(_)) => {
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
            PeerRequest::Gossip(_)
            | PeerRequest::Compare(_)
            | PeerRequest::Members(_)
            | PeerRequest::Probe(_) => {
                let asked = MembershipCall::RequestReceived {
                    from: from.clone(),
                    request,
                    reply,
                };
                let refused = self.rings.membership_calls.offer(asked);
                if let Err(MembershipCall::RequestReceived { reply, .. }) = refused {
                    reply(Err(LinkError::Refused));
                }
            }
        }
    }
}

/// Calls daemons by name: this daemon through its rings, all others through the link.
pub(super) struct FleetCaller {
    /// Name of this daemon.
    pub(super) own: DaemonId,
    /// Rings of the link and of the duties that answer calls to this daemon.
    pub(super) rings: RingSenders,
}

impl PeerCaller for FleetCaller {
    fn call(&self, to: &DaemonId, request: PeerRequest, reply: PeerReply) -> bool {
        if *to == self.own {
            return self.call_own(request, reply);
        }
        let to = to.clone();
        let call = LinkMessage::Call { to, request, reply };
        self.rings.link.offer(call).is_ok()
    }
}

impl FleetCaller {
    /// Passes a request to the duty of this daemon that answers it. Returns false if it was
    /// refused.
    fn call_own(&self, request: PeerRequest, reply: PeerReply) -> bool {
        match request {
            PeerRequest::Fence(request) => {
                let message = GuardMessage::Fence { request, reply };
                self.rings.guard.offer(message).is_ok()
            }
            PeerRequest::Cancel(request) => {
                let message = GuardMessage::Event(GuardEvent::Cancel(request));
                self.rings.guard.offer(message).is_ok()
            }
            PeerRequest::Claim(claim) => {
                let message = IdempotencyMessage::Claim { claim, reply };
                self.rings.idempotency.offer(message).is_ok()
            }
            _ => false,
        }
    }
}
