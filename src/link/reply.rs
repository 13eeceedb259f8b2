//! Keeps the promise that each call gets exactly one answer.

use super::message::{LinkError, PeerAnswer, PeerReply};

/// The answer that a caller waits for. A dropped one tells what is known.
pub(super) struct PendingReply {
    /// Taken when the answer is given; so it is given once.
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

    /// From here on the peer may have received the call.
    pub(super) fn mark_sent(&mut self) {
        self.sent = true;
    }

    pub(super) fn end(mut self, result: Result<PeerAnswer, LinkError>) {
        self.give(result);
    }

    fn give(&mut self, result: Result<PeerAnswer, LinkError>) {
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
        self.give(Err(error));
    }
}
