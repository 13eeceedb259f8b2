//! Call that cancels a request at its backend server when nobody waits for it any more.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::wire::client::{Call, OutgoingBody};

/// Longest wait for the connection to a server, and for its answer.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Greatest length of the answer, whose body is not used.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024;

/// Returns the call that cancels the request of this path at a server.
pub(super) fn cancel_call(address: SocketAddr, path: String, now: Instant) -> Call {
    Call {
        address,
        method: "DELETE".to_owned(),
        target: path,
        host: None,
        headers: Vec::new(),
        body: OutgoingBody::Whole(Default::default()),
        connect_timeout: CANCEL_TIMEOUT,
        deadline_at: now + 2 * CANCEL_TIMEOUT,
        answer_limit_bytes: ANSWER_LIMIT_BYTES,
        reuse_idle: Duration::ZERO,
        reconnect_check: false,
        check: None,
    }
}
