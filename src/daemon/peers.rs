//! Hands peers' requests to the duties that answer them.

use super::rings::Rings;
use crate::link::{LinkError, PeerHandler, PeerName, PeerReply, PeerRequest};

/// Knows which duty answers which request.
pub(super) struct PeerDispatch {
    pub(super) rings: Rings,
}

impl PeerHandler for PeerDispatch {
    fn handle(&self, from: &PeerName, request: PeerRequest, reply: PeerReply) {
        let _ = (&self.rings, from, request);
        reply(Err(LinkError::Refused));
    }
}
