//! A request that a listener has received, with the means to read its body and to answer it.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;

use super::http::HeaderPair;

/// A complete HTTP answer: status, headers and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WholeAnswer {
    /// HTTP status code of the answer.
    pub status: u16,
    /// Headers in order, without those that concern a single connection.
    pub headers: Vec<HeaderPair>,
    /// The complete body, not encoded for transfer. A body that a client received is charged to the
    /// client's memory budget until its last clone is dropped.
    pub body: Bytes,
}

/// Receives the parts of a body as they arrive; a body that was cut off ends with an error.
pub type BodyParts = async_channel::Receiver<std::io::Result<Bytes>>;

/// The body of a request.
#[derive(Debug, Clone)]
pub enum RequestBody {
    /// The body has arrived completely.
    Whole(Bytes),
    /// The body is still arriving. If the parts end before the length, it was cut off.
    Parts {
        /// Announced length of the body.
        length_bytes: u64,
        /// The parts of the body, in order.
        parts: BodyParts,
    },
}

/// A request that waits for its answer. If it is dropped unanswered, the caller gets an internal
/// error, which leaves open whether the request ran.
pub trait Exchange: Send {
    /// Returns the body. The parts of a body that is still arriving can be received only once.
    fn body(&self) -> RequestBody;
    /// Returns whether the caller still waits for the answer.
    fn caller_waits(&self) -> bool;
    /// Registers `on_disconnect`, which is called once if the caller disconnects before its answer.
    /// It is called on a thread that must not be blocked.
    fn watch(&mut self, on_disconnect: Box<dyn FnOnce() + Send>);
    /// Sends a complete answer and ends the exchange.
    fn answer(self: Box<Self>, answer: WholeAnswer);
}

/// Request line and headers of a request as received, with the caller's address.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RawHead {
    /// HTTP method as received.
    pub method: String,
    /// Path of the request with its query.
    pub target: String,
    /// Headers in order, with names in lower case.
    pub headers: Vec<HeaderPair>,
    /// Length of the body, if it is known.
    pub body_bytes: Option<u64>,
    /// Address from which the caller connected.
    pub peer: Option<SocketAddr>,
    /// When the first bytes of the request may have arrived, or earlier; `None` if it is not known.
    pub began_at: Option<Instant>,
}
