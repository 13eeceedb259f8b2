//! Authenticates messages between daemons with HMAC-SHA-256 under the fleet's secret, and hashes
//! API keys.

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use crate::types::KeyHash;

/// The fleet's secret as an HMAC key. It is never sent and never logged.
#[derive(Clone)]
pub struct FleetKey(Hmac<Sha256>);

impl FleetKey {
    /// Returns the key for the secret of the settings.
    pub fn new(secret: &str) -> FleetKey {
        FleetKey(Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length"))
    }

    /// Returns the proof for some fields. The length of each field is signed before it, so that
    /// bytes can't move from one field to the next.
    pub fn sign(&self, fields: &[&[u8]]) -> [u8; 32] {
        let mut mac = self.0.clone();
        for field in fields {
            mac.update(&(field.len() as u64).to_le_bytes());
            mac.update(field);
        }
        mac.finalize().into_bytes().into()
    }

    /// Returns whether a proof is the one for these fields; compares in constant time.
    pub fn verify(&self, fields: &[&[u8]], proof: &[u8; 32]) -> bool {
        use subtle::ConstantTimeEq;
        self.sign(fields).ct_eq(proof).into()
    }
}

/// Returns the SHA-256 hash by which an API key is identified.
pub fn hash_key(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}
