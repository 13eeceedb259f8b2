//! Computes the fingerprint by which guards recognise equal requests.

use sha2::{Digest, Sha256};

use super::message::{HeldRequest, RequestPlan};
use crate::types::Fingerprint;

/// Returns the hash of organisation, route, target and body. Of a body that is too large to be
/// kept, only the length is hashed.
pub fn fingerprint(plan: &RequestPlan, held: &HeldRequest) -> Fingerprint {
    let mut hash = Sha256::new();
    for field in [&*plan.organisation, &*plan.route, &held.head.target] {
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field.as_bytes());
    }
    match &held.body {
        Some(body) => hash.update(body),
        None => hash.update(held.head.body_bytes.to_le_bytes()),
    }
    hash.finalize().into()
}
