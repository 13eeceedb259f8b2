//! Events of idempotency.

use std::sync::Arc;

use crate::link::{ClaimRequest, PeerReply};
use crate::membership::Fleet;

/// What happens to a home.
#[derive(Debug, Clone)]
pub enum IdempotencyEvent {
    /// An entry claims a key or gives it back. The answer is the event's only action.
    Claim(ClaimRequest),
    /// The fleet changed.
    Fleet(Arc<Fleet>),
}

/// An event, with what the state need not see.
pub enum IdempotencyMessage {
    /// A claim, with who waits for the answer.
    Claim {
        /// The claim.
        claim: ClaimRequest,
        /// Takes the answer.
        reply: PeerReply,
    },
    /// The fleet changed.
    Fleet(Arc<Fleet>),
    /// The duty ends.
    Stop,
}
