//! One request taken from a listener, with the means to read its body and to answer it.

use std::net::SocketAddr;

use bytes::Bytes;

use super::http::HeaderPair;

/// A whole answer: status, headers and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, without those of the connection.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: Vec<u8>,
}

/// Parts of a body as they come; an error after the last one of a body that was cut.
pub type BodyParts = async_channel::Receiver<std::io::Result<Bytes>>;

/// The body of a request.
#[derive(Debug, Clone)]
pub enum RequestBody {
    /// It has come whole.
    Whole(Bytes),
    /// It still comes. A source that ends before that length was cut.
    Parts {
        /// Its length.
        length_bytes: u64,
        /// The parts.
        parts: BodyParts,
    },
}

/// A request that waits for its answer. One that is dropped unanswered is answered
/// as a fault of this daemon, of which it is not known whether it ran.
pub trait Exchange: Send {
    /// The body. Parts can be taken once.
    fn body(&self) -> RequestBody;
    /// Calls `left` once if the caller leaves before its answer, from a thread that must not wait.
    fn watch(&mut self, left: Box<dyn FnOnce() + Send>);
    /// Sends a whole answer and ends the exchange.
    fn answer(self: Box<Self>, answer: WholeAnswer);
}

/// Request line and headers, as they came.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RawHead {
    /// Method.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Headers in order.
    pub headers: Vec<HeaderPair>,
    /// Length of the body where it is known.
    pub body_bytes: Option<u64>,
    /// The caller's address.
    pub peer: Option<SocketAddr>,
}
