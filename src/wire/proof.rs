//! Proof that a message comes from a daemon of the fleet: an HMAC under the fleet's secret.

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use crate::types::KeyHash;

/// The fleet's secret, ready for use. It is never sent and never logged.
#[derive(Clone)]
pub struct FleetKey(Hmac<Sha256>);

impl FleetKey {
    /// Takes the secret of the settings.
    pub fn new(secret: &str) -> FleetKey {
        FleetKey(Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length"))
    }

    /// Proof for some fields, each bounded by its length.
    pub fn sign(&self, fields: &[&[u8]]) -> [u8; 32] {
        let mut mac = self.0.clone();
        for field in fields {
            mac.update(&(field.len() as u64).to_le_bytes());
            mac.update(field);
        }
        mac.finalize().into_bytes().into()
    }

    /// Whether the proof belongs to the fields, compared in constant time.
    pub fn verify(&self, fields: &[&[u8]], proof: &[u8; 32]) -> bool {
        use subtle::ConstantTimeEq;
        self.sign(fields).ct_eq(proof).into()
    }
}

/// Hash under which a key is known.
pub fn hash_key(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}
