//! Events of a home daemon, and messages to its thread.

use std::sync::Arc;

use crate::link::{ClaimRequest, PeerReply};
use crate::membership::Fleet;

/// Input of the decisions of a home daemon.
#[derive(Debug, Clone)]
pub enum IdempotencyEvent {
    /// An entry daemon claims a key or releases it; the answer is the only result.
    Claim(ClaimRequest),
    /// The known daemons changed, and with them the homes of keys.
    Fleet(Arc<Fleet>),
}

/// Message to the thread of a home daemon: an event together with the callback for its answer.
pub enum IdempotencyMessage {
    /// An entry daemon claims a key or releases it.
    Claim {
        /// Key, request and whether the key is taken or released.
        claim: ClaimRequest,
        /// Callback that receives the answer.
        reply: PeerReply,
    },
    /// The known daemons changed.
    Fleet(Arc<Fleet>),
    /// Ends the thread of the home daemon.
    Stop,
}
