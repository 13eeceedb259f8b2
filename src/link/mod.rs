//! Control connections between daemons: authentication, calls with answers, and detection of
//! silent connections and suspect peers.

pub mod codec;
pub mod duty;
pub mod message;
pub mod state;

mod accepted;
mod caller;
mod connection;
mod handshake;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod peer_capnp;
mod reply;
mod socket;

pub use message::{
    BorrowAnswer, BorrowRequest, ClaimAnswer, ClaimRequest, ClaimStep, EscrowId, FenceAnswer,
    FenceRequest, LeaseAnswer, LeaseRequest, LinkError, LinkMessage, PeerAnswer, PeerCaller,
    PeerHandler, PeerName, PeerReply, PeerRequest, RecordsAnswer, RecordsRequest,
};

#[cfg(test)]
mod tests;
