//! Calls of routing to other daemons: cancellations, fences and claims of idempotency keys.

use super::duty::RoutingDuty;
use super::message::{RoutingEvent, RoutingMessage};
use crate::link::{ClaimRequest, ClaimStep, FenceRequest, PeerAnswer, PeerReply, PeerRequest};
use crate::types::{DaemonId, RequestId};

impl RoutingDuty<'_> {
    /// Asks a guard to end the attempts at a request. A failure is counted.
    pub(super) fn cancel(&self, to: &DaemonId, request: RequestId) {
        self.context.metrics.count("routing.cancel");
        let metrics = self.context.metrics.clone();
        let reply: PeerReply = Box::new(move |answer| {
            if answer.is_err() {
                metrics.count("routing.cancel.failed");
            }
        });
        let cancel = PeerRequest::Cancel(request);
        if !self.context.peers.call(to, cancel, reply) {
            self.context.metrics.count("routing.cancel.failed");
        }
    }

    /// Asks a guard to fence an attempt, or returns the failure if the link takes no call.
    pub(super) fn fence(&self, to: &DaemonId, fence: FenceRequest) -> Option<RoutingEvent> {
        self.context.metrics.count("routing.fence");
        let FenceRequest {
            request, attempt, ..
        } = fence;
        let own = self.context.own_ring.clone();
        let fenced = move |answer| RoutingEvent::Fenced {
            request,
            attempt,
            answer,
        };
        let reply: PeerReply = Box::new(move |answer| {
            let answer = match answer {
                Ok(PeerAnswer::Fence(answer)) => Some(answer),
                _ => None,
            };
            own.deliver(RoutingMessage::Event(fenced(answer)));
        });
        let sent = self
            .context
            .peers
            .call(to, PeerRequest::Fence(fence), reply);
        (!sent).then(|| fenced(None))
    }

    /// Sends a claim to the home of a key, or returns the failure if the link takes no call.
    pub(super) fn claim(&self, to: &DaemonId, claim: ClaimRequest) -> Option<RoutingEvent> {
        let ClaimRequest { request, step, .. } = claim;
        let own = self.context.own_ring.clone();
        let claimed = move |answer| RoutingEvent::Claimed { request, answer };
        let reply: PeerReply = Box::new(move |answer| {
            let answer = match answer {
                Ok(PeerAnswer::Claim(answer)) => Some(answer),
                _ => None,
            };
            if step == ClaimStep::Take {
                own.deliver(RoutingMessage::Event(claimed(answer)));
            }
        });
        let sent = self
            .context
            .peers
            .call(to, PeerRequest::Claim(claim), reply);
        (!sent && step == ClaimStep::Take).then(|| claimed(None))
    }
}
