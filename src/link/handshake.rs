//! Mutual authentication of the two ends of a peer connection.
//!
//! Each end sends a nonce and signs both names, both nonces and its own role, so that a proof is
//! valid for one connection, one pair of incarnations and one end only.

use super::message::PeerName;
use crate::wire::proof::FleetKey;

/// Length of a nonce.
pub(super) const NONCE_BYTES: usize = 32;
/// Random bytes that tie a proof to one connection.
pub(super) type Nonce = [u8; NONCE_BYTES];

/// The end of a connection that signs a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    Caller,
    Answerer,
}

impl Role {
    /// Returns the bytes that identify the role in a proof.
    fn label(self) -> &'static [u8] {
        match self {
            Role::Caller => b"banyanbeam peer caller 1",
            Role::Answerer => b"banyanbeam peer answerer 1",
        }
    }
}

/// The names and nonces that both ends sign.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Transcript {
    pub(super) caller: PeerName,
    pub(super) caller_nonce: Nonce,
    pub(super) answerer: PeerName,
    pub(super) answerer_nonce: Nonce,
}

impl Transcript {
    /// Returns the proof of the end with that role.
    pub(super) fn sign(&self, key: &FleetKey, role: Role) -> [u8; 32] {
        self.with_fields(role, |fields| key.sign(fields))
    }

    /// Returns whether `proof` is the proof of the end with that role.
    pub(super) fn verify(&self, key: &FleetKey, role: Role, proof: &[u8]) -> bool {
        let Ok(proof) = <&[u8; 32]>::try_from(proof) else {
            return false;
        };
        self.with_fields(role, |fields| key.verify(fields, proof))
    }

    /// Calls `body` with the fields that the end with that role signs, in order.
    fn with_fields<T>(&self, role: Role, body: impl FnOnce(&[&[u8]]) -> T) -> T {
        let caller_incarnation = self.caller.incarnation.to_le_bytes();
        let answerer_incarnation = self.answerer.incarnation.to_le_bytes();
        body(&[
            role.label(),
            self.caller.daemon.as_bytes(),
            &caller_incarnation,
            &self.caller_nonce,
            self.answerer.daemon.as_bytes(),
            &answerer_incarnation,
            &self.answerer_nonce,
        ])
    }
}

/// Returns a random nonce for one connection.
pub(super) fn new_nonce() -> Nonce {
    rand::random()
}
