//! Ensures that the callback of each call is called exactly once.

use super::message::{LinkError, PeerAnswer, PeerReply};

/// The callback of a call that has no result yet. When dropped, it completes the call with
/// `Silent` if the call may have reached the peer, and with `Unreachable` if it was not sent.
pub(super) struct PendingReply {
    /// Taken when the callback is called, so that it is called once.
    reply: Option<PeerReply>,
    /// Whether the peer may have received the call.
    sent: bool,
}

impl PendingReply {
    pub(super) fn new(reply: PeerReply) -> PendingReply {
        PendingReply {
            reply: Some(reply),
            sent: false,
        }
    }

    /// Records that the peer may have received the call from now on.
    pub(super) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Calls the callback with the result of the call.
    pub(super) fn complete(mut self, result: Result<PeerAnswer, LinkError>) {
        self.call_back(result);
    }

    /// Calls the callback, unless it was called before.
    fn call_back(&mut self, result: Result<PeerAnswer, LinkError>) {
        if let Some(reply) = self.reply.take() {
            reply(result);
        }
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        let error = match self.sent {
            true => LinkError::Silent,
            false => LinkError::Unreachable,
        };
        self.call_back(Err(error));
    }
}
