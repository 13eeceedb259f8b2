//! Headers of a request between an entry and a guard.

use std::time::Duration;

use base64::prelude::{Engine, BASE64_URL_SAFE_NO_PAD};
use serde::{Deserialize, Serialize};

use crate::contract::check::DEADLINE_LIMIT_MS;
use crate::types::{
    Attempt, BackendServerId, DaemonId, Fingerprint, Incarnation, Offset, OrganisationId,
    RequestId, RouteId, ServiceId,
};
use crate::wire::http::{header, HeaderPair};
use crate::wire::proof::FleetKey;

/// Start of the names of all headers between daemons. A caller's header with it is dropped.
pub const PREFIX: &str = "x-banyanbeam-";
/// Header by which a backend server learns the organisation.
pub const ORGANISATION: &str = "x-banyanbeam-organisation";
/// Header with the request id, on every hop and in every answer.
pub const REQUEST: &str = "x-banyanbeam-request";
/// Header with the remaining deadline in milliseconds.
pub const DEADLINE_MS: &str = "x-banyanbeam-deadline-ms";
/// Header with the kind of a guard's refusal.
pub const KIND: &str = "x-banyanbeam-kind";
/// Header with whether the request ran.
pub const RAN: &str = "x-banyanbeam-ran";
/// Header with the head of a request, and the fleet's proof of it.
const HEAD: &str = "x-banyanbeam-head";
/// Header with the time until a refused request would have its slot, in milliseconds.
pub const WAIT_MS: &str = "x-banyanbeam-wait-ms";
/// How a guard is to treat one attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptTerms {
    /// It is refused rather than let wait longer than this for a slot; none waits to its deadline.
    pub wait_limit_ms: Option<u32>,
    /// Whether its entry goes on looking for a free slot if it is refused.
    #[serde(rename = "looks")]
    pub seeks_free_slot: bool,
    /// Whether it may go to a server of which it is not known whether it has mended.
    pub may_probe: bool,
    /// Whether its entry knows of no other server that would take it.
    pub last_resort: bool,
    /// Whether an earlier attempt has reached a server.
    pub repeat: bool,
    /// Whether a server may have asked for it because of a repeat that it ran.
    pub of_repeat: bool,
}

/// What an entry tells a guard about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 1.
    pub attempt: Attempt,
    /// The organisation; empty on open routes.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceId,
    /// The route.
    pub route: RouteId,
    /// The backend server that must run it.
    pub server: BackendServerId,
    /// The organisation's share under overload.
    pub weight_share: u32,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether a person waits for the answer.
    pub foreground: bool,
    /// Service of the backend server on the VM where the request began; empty where there is none.
    pub origin: ServiceId,
    /// Urgency, 0 being the greatest.
    pub rank: u8,
    /// How the guard is to treat it.
    pub terms: AttemptTerms,
    /// The daemon that sends it.
    pub entry: DaemonId,
    /// Offset up to which that daemon has read the configuration.
    pub view: Offset,
    /// The life of the guard that the entry means; another life refuses the request.
    pub incarnation: Incarnation,
    /// Tells equal requests: hash of organisation, route, target and body.
    pub fingerprint: Fingerprint,
    /// What is left of its deadline.
    pub remaining: Duration,
}

impl ForwardHead {
    /// The head as a header, with the fleet's proof behind it.
    pub fn encode(&self, key: &FleetKey) -> HeaderPair {
        let mut bytes = postcard::to_stdvec(self).expect("plain values have a binary form");
        let proof = key.sign(&[&bytes]);
        bytes.extend_from_slice(&proof);
        (HEAD.to_owned(), BASE64_URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Reads the head; none where it is missing, malformed or without a good proof.
    pub fn decode(headers: &[HeaderPair], key: &FleetKey) -> Option<ForwardHead> {
        let text = header(headers, HEAD)?;
        let bytes = BASE64_URL_SAFE_NO_PAD.decode(text).ok()?;
        let (head, proof) = bytes.split_last_chunk::<PROOF_BYTES>()?;
        if !key.verify(&[head], proof) {
            return None;
        }
        let mut head: ForwardHead = postcard::from_bytes(head).ok()?;
        head.remaining = head.remaining.min(REMAINING_LIMIT);
        Some(head)
    }
}

const PROOF_BYTES: usize = 32;
/// Longest deadline of a request.
const REMAINING_LIMIT: Duration = Duration::from_millis(DEADLINE_LIMIT_MS);

/// Drops the fleet's own headers from an answer.
pub fn strip_fleet_headers(headers: &mut Vec<HeaderPair>) {
    headers.retain(|(name, _)| !name.starts_with(PREFIX));
}

#[cfg(test)]
mod tests;
