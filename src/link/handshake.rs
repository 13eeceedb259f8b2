//! Proof that both ends of a connection belong to the fleet.
//!
//! Each end sends a nonce and signs both names, both nonces and its direction, so that a proof
//! serves one connection, one pair of lives and one end only.

use super::message::PeerName;
use crate::wire::proof::FleetKey;

pub(super) const NONCE_BYTES: usize = 32;
pub(super) type Nonce = [u8; NONCE_BYTES];

/// Which end of the connection signs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Caller,
    Answerer,
}

impl End {
    fn label(self) -> &'static [u8] {
        match self {
            End::Caller => b"banyanbeam peer caller 1",
            End::Answerer => b"banyanbeam peer answerer 1",
        }
    }
}

/// What both ends sign.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Transcript {
    pub(super) caller: PeerName,
    pub(super) caller_nonce: Nonce,
    pub(super) answerer: PeerName,
    pub(super) answerer_nonce: Nonce,
}

impl Transcript {
    pub(super) fn sign(&self, key: &FleetKey, end: End) -> [u8; 32] {
        self.with_fields(end, |fields| key.sign(fields))
    }

    pub(super) fn verify(&self, key: &FleetKey, end: End, proof: &[u8]) -> bool {
        let Ok(proof) = <&[u8; 32]>::try_from(proof) else {
            return false;
        };
        self.with_fields(end, |fields| key.verify(fields, proof))
    }

    fn with_fields<T>(&self, end: End, body: impl FnOnce(&[&[u8]]) -> T) -> T {
        let caller_incarnation = self.caller.incarnation.to_le_bytes();
        let answerer_incarnation = self.answerer.incarnation.to_le_bytes();
        body(&[
            end.label(),
            self.caller.daemon.as_bytes(),
            &caller_incarnation,
            &self.caller_nonce,
            self.answerer.daemon.as_bytes(),
            &answerer_incarnation,
            &self.answerer_nonce,
        ])
    }
}

pub(super) fn new_nonce() -> Nonce {
    rand::random()
}
