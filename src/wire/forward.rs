//! Headers of a request that an entry forwards to a guard.

use std::time::Duration;

use base64::prelude::{Engine, BASE64_URL_SAFE_NO_PAD};
use serde::{Deserialize, Serialize};

use crate::contract::check::DEADLINE_LIMIT_MS;
use crate::feed::FeedPosition;
use crate::types::{
    Attempt, BackendServerId, DaemonId, Fingerprint, Incarnation, Offset, OrganisationId,
    RequestId, RouteId, ServiceId, StoreEra,
};
use crate::wire::http::{header, HeaderPair};
use crate::wire::proof::FleetKey;

/// Prefix of the names of all headers between daemons. A caller's header with it is dropped.
pub const PREFIX: &str = "x-banyanbeam-";
/// Header that names to a backend server the organisation that sent the request.
pub const ORGANISATION: &str = "x-banyanbeam-organisation";
/// Header with the request id, on every hop and in every answer.
pub const REQUEST: &str = "x-banyanbeam-request";
/// Header with the remaining deadline in milliseconds.
pub const DEADLINE_MS: &str = "x-banyanbeam-deadline-ms";
/// Header with the error kind of a guard's refusal.
pub const KIND: &str = "x-banyanbeam-kind";
/// Header that says whether the request ran.
pub const RAN: &str = "x-banyanbeam-ran";
/// Header with the encoded `ForwardHead` of a request and its proof.
const HEAD: &str = "x-banyanbeam-head";
/// Header of a refusal with the time until the request would have got a slot, in milliseconds.
pub const WAIT_MS: &str = "x-banyanbeam-wait-ms";

/// Header of a guard's answer with the position up to which its daemon has read the configuration:
/// `ERA:OFFSET`, or only the offset where the store tells no era.
pub const VIEW: &str = "x-banyanbeam-view";

/// Options of one attempt that the guard must follow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptTerms {
    /// Longest wait for a slot, after which the attempt is refused; `None` waits to the deadline.
    pub wait_limit_ms: Option<u32>,
    /// Whether the entry looks for a free slot elsewhere if the attempt is refused.
    #[serde(rename = "looks")]
    pub seeks_free_slot: bool,
    /// Whether the attempt may be sent to a server that may not have recovered yet.
    pub may_probe: bool,
    /// Whether the entry knows of no other server that would take the request.
    pub last_resort: bool,
    /// Whether an earlier attempt of the request has reached a server.
    pub repeat: bool,
    /// Whether the request may have been sent by a backend server because it ran a repeat.
    pub of_repeat: bool,
}

/// Description of a forwarded request that the entry sends to the guard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt, starting at 1.
    pub attempt: Attempt,
    /// The organisation that sent the request; empty on open routes.
    pub organisation: OrganisationId,
    /// The service that the request is for.
    pub service: ServiceId,
    /// The route of the service that the request matched.
    pub route: RouteId,
    /// The backend server that must run it.
    pub server: BackendServerId,
    /// Weight by which the organisation gets its share under overload.
    pub weight_share: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether a person waits for the answer.
    pub foreground: bool,
    /// Service of the backend server on the VM where the request originated; empty without one.
    pub origin: ServiceId,
    /// Urgency of the request; 0 is the most urgent.
    pub rank: u8,
    /// Options of this attempt.
    pub terms: AttemptTerms,
    /// The daemon that forwards the request.
    pub entry: DaemonId,
    /// Offset up to which that daemon has read the configuration stream.
    pub view: Offset,
    /// Incarnation of the guard that the request is for; a guard with another one refuses it.
    pub incarnation: Incarnation,
    /// Identifies equal requests: hash of organisation, route, target and body.
    pub fingerprint: Fingerprint,
    /// Time left until the request's deadline.
    pub remaining: Duration,
    /// If the entry can send the request to another server: the time after which a run counts as
    /// hung where the usual time of its route is not known. `None` lets the run last to the deadline.
    /// Daemons that do not know it ignore it, and heads without it are read as `None`.
    pub hung_after: Option<Duration>,
    /// Era of the store that `view` belongs to. A later field than `hung_after`; read as 0 if missing.
    pub era: StoreEra,
}

impl ForwardHead {
    /// Returns the position up to which the entry has read the configuration.
    pub fn position(&self) -> FeedPosition {
        FeedPosition {
            era: self.era,
            next: self.view,
        }
    }

    /// Encodes the head and the proof appended to it as a header.
    pub fn encode(&self, key: &FleetKey) -> HeaderPair {
        let mut bytes = postcard::to_stdvec(self).expect("plain values have a binary form");
        let proof = key.sign(&[&bytes]);
        bytes.extend_from_slice(&proof);
        (HEAD.to_owned(), BASE64_URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Decodes the head from a request's headers; `None` if it is missing, malformed or without a
    /// valid proof. Limits the remaining time to the longest possible deadline.
    pub fn decode(headers: &[HeaderPair], key: &FleetKey) -> Option<ForwardHead> {
        let text = header(headers, HEAD)?;
        let mut bytes = BASE64_URL_SAFE_NO_PAD.decode(text).ok()?;
        let (head, proof) = bytes.split_last_chunk::<PROOF_BYTES>()?;
        if !key.verify(&[head], proof) {
            return None;
        }
        // Bytes after the last field are ignored, so the zeros stand for missing last fields.
        let head_bytes = head.len();
        bytes.truncate(head_bytes);
        bytes.extend_from_slice(&[0; LATER_FIELD_COUNT]);
        let mut head: ForwardHead = postcard::from_bytes(&bytes).ok()?;
        head.remaining = head.remaining.min(REMAINING_LIMIT);
        Some(head)
    }
}

/// Fields that daemons of earlier versions do not send, each one byte long when it is 0 or `None`.
const LATER_FIELD_COUNT: usize = 2;
/// Length of the proof at the end of the header.
const PROOF_BYTES: usize = 32;
/// Longest deadline that a contract allows.
const REMAINING_LIMIT: Duration = Duration::from_millis(DEADLINE_LIMIT_MS);

/// Removes the headers that are only for daemons, so that they don't reach the caller.
pub fn strip_fleet_headers(headers: &mut Vec<HeaderPair>) {
    headers.retain(|(name, _)| !name.starts_with(PREFIX));
}

#[cfg(test)]
mod tests;
