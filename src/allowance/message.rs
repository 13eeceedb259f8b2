//! Messages, events and actions of the allowance duty.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::record::EscrowRecord;
use crate::contract::View;
use crate::error::ErrorKind;
use crate::link::{
    BorrowAnswer, BorrowRequest, LeaseAnswer, LeaseRequest, LinkError, PeerAnswer, PeerName,
    PeerReply, PeerRequest,
};
use crate::membership::Fleet;
use crate::types::{BackendServerId, DaemonId, Offset, OrganisationId, RequestId, ServiceId};

/// Number of a call, unique within one daemon's allowance and direction.
pub type CallId = u64;

/// Messages to the allowance thread.
pub enum AllowanceMessage {
    /// An event from another duty of this daemon.
    Event(AllowanceEvent),
    /// A request from a peer for tokens, permits or a lease.
    Asked {
        /// Peer that sent the request.
        from: PeerName,
        /// Request; only `Borrow` and `Lease` are accepted.
        request: PeerRequest,
        /// Callback that sends the answer.
        reply: PeerReply,
    },
    /// Makes the thread return when the daemon stops.
    Stop,
}

/// Events that the allowance state handles.
#[derive(Debug, Clone)]
pub enum AllowanceEvent {
    /// A request needs one token.
    Take {
        /// Request that waits for the token.
        request: RequestId,
        /// Organisation whose rate and burst apply.
        organisation: OrganisationId,
    },
    /// Health requests or renews an ejection permit.
    Permit {
        /// Service of the backend server.
        service: ServiceId,
        /// Backend server on this VM that is to be ejected.
        server: BackendServerId,
    },
    /// Health gives an ejection permit back.
    PermitEnded {
        /// Service of the backend server.
        service: ServiceId,
        /// Backend server that no longer needs a permit.
        server: BackendServerId,
    },
    /// A new version of the contracts takes effect.
    View(Arc<View>),
    /// The set of known daemons and servers changed.
    Fleet(Arc<Fleet>),
    /// A read of the escrow stream was answered.
    Read {
        /// When the read was sent.
        asked_at: Instant,
        /// Records with their offsets; `None` for a record that cannot be decoded.
        records: Vec<(Offset, Option<EscrowRecord>)>,
        /// Whether the read reached the end of the stream.
        whole: bool,
    },
    /// A peer requests tokens or permits.
    Borrow {
        /// Number of the call, for the answer.
        call: CallId,
        /// Peer that sent the request.
        from: PeerName,
        /// Tokens or permits requested.
        request: BorrowRequest,
    },
    /// A holder requests a lease.
    Lease {
        /// Number of the call, for the answer.
        call: CallId,
        /// Holder, and the grantor that it asks.
        request: LeaseRequest,
    },
    /// A call to a peer was answered or failed.
    Answered {
        /// Number that the `Call` action gave.
        call: CallId,
        /// Answer of the peer, or why there is none.
        answer: Result<PeerAnswer, LinkError>,
    },
    /// This daemon begins to leave and hands its partitions to others.
    Leave,
    /// The time that `next_at` returned has come.
    Tick,
}

/// Actions that the allowance duty carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum AllowanceAction {
    /// Grants a token to a request.
    Grant {
        /// Request that gets the token.
        request: RequestId,
    },
    /// Refuses a token to a request.
    Refuse {
        /// Request that is refused.
        request: RequestId,
        /// Whether the rate is exceeded or holders could not be reached.
        kind: ErrorKind,
        /// How long the caller should wait before it tries again.
        retry_after: Duration,
    },
    /// Answers health about an ejection permit.
    Permit {
        /// Service of the backend server.
        service: ServiceId,
        /// Backend server that the permit is for.
        server: BackendServerId,
        /// Until when the server may stay ejected; `None` if refused.
        holds_until: Option<Instant>,
    },
    /// Sends a request to a peer.
    Call {
        /// Number of the call, for its `Answered` event.
        call: CallId,
        /// Peer that is called.
        to: DaemonId,
        /// Request for tokens, permits or a lease.
        request: PeerRequest,
    },
    /// Answers a peer's `Borrow` request.
    Lend {
        /// Number of the peer's call.
        call: CallId,
        /// Tokens or permits granted.
        answer: BorrowAnswer,
    },
    /// Answers a peer's `Lease` request.
    Leased {
        /// Number of the peer's call.
        call: CallId,
        /// Duration of the lease, or a refusal.
        answer: LeaseAnswer,
    },
    /// Appends a record to the escrow stream.
    Append(EscrowRecord),
    /// Increments the counter of this name.
    Count(&'static str),
}

/// Receives answers about ejection permits.
pub trait PermitReader: Send {
    /// Receives the answer to a requested or renewed permit; `None` means refused.
    fn permit(&self, service: &ServiceId, server: &BackendServerId, holds_until: Option<Instant>);
}

/// Permit reader of a daemon without health checks; ignores all answers.
#[derive(Debug, Default, Clone, Copy)]
pub struct NoPermitReader;

impl PermitReader for NoPermitReader {
    fn permit(&self, _service: &ServiceId, _server: &BackendServerId, _until: Option<Instant>) {}
}
