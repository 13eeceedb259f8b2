//! Events and actions of the allowance duty.

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

/// Number of a call between the state and its duty.
pub type CallId = u64;

/// What the allowance thread receives.
pub enum AllowanceMessage {
    /// An event of this daemon.
    Event(AllowanceEvent),
    /// A peer asks for tokens, permits or a promise.
    Asked {
        /// The peer.
        from: PeerName,
        /// `Borrow` or `Lease`.
        request: PeerRequest,
        /// Takes the answer.
        reply: PeerReply,
    },
    /// The daemon stops.
    Stop,
}

/// What happens to the allowance.
#[derive(Debug, Clone)]
pub enum AllowanceEvent {
    /// A request asks for one token.
    Take {
        /// The request.
        request: RequestId,
        /// Whose token.
        organisation: OrganisationId,
    },
    /// Health asks for an ejection permit, or renews it.
    Permit {
        /// The service.
        service: ServiceId,
        /// The backend server beside this daemon.
        server: BackendServerId,
    },
    /// Health gives an ejection permit back.
    PermitEnded {
        /// The service.
        service: ServiceId,
        /// The backend server.
        server: BackendServerId,
    },
    /// A new view is in force.
    View(Arc<View>),
    /// The fleet changed.
    Fleet(Arc<Fleet>),
    /// A read of the escrow stream ended.
    Read {
        /// When the read was sent.
        asked_at: Instant,
        /// The records, with their offsets; none where a record can't be read.
        records: Vec<(Offset, Option<EscrowRecord>)>,
        /// Whether the read reached the end of the stream.
        whole: bool,
    },
    /// A peer asks for tokens or permits.
    Borrow {
        /// Names the answer.
        call: CallId,
        /// The peer.
        from: PeerName,
        /// What it asks.
        request: BorrowRequest,
    },
    /// A holder asks for a promise.
    Lease {
        /// Names the answer.
        call: CallId,
        /// What it asks.
        request: LeaseRequest,
    },
    /// A peer answered a call, or did not.
    Answered {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Result<PeerAnswer, LinkError>,
    },
    /// This daemon leaves: its partitions go to others.
    Leave,
    /// The time asked for has come.
    Tick,
}

/// What the allowance duty does.
#[derive(Debug, Clone, PartialEq)]
pub enum AllowanceAction {
    /// The request has its token.
    Grant {
        /// The request.
        request: RequestId,
    },
    /// No token for the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Over the rate, or out of reach.
        kind: ErrorKind,
        /// When a token may be there.
        retry_after: Duration,
    },
    /// Answers health about a permit.
    Permit {
        /// The service.
        service: ServiceId,
        /// The backend server.
        server: BackendServerId,
        /// Until when the server may stay ejected; none refuses.
        holds_until: Option<Instant>,
    },
    /// Calls a peer.
    Call {
        /// Names the answer.
        call: CallId,
        /// The peer.
        to: DaemonId,
        /// The request.
        request: PeerRequest,
    },
    /// Answers a peer's `Borrow`.
    Lend {
        /// The call.
        call: CallId,
        /// The answer.
        answer: BorrowAnswer,
    },
    /// Answers a peer's `Lease`.
    Leased {
        /// The call.
        call: CallId,
        /// The answer.
        answer: LeaseAnswer,
    },
    /// Appends a record to the escrow stream.
    Append(EscrowRecord),
    /// Counts something.
    Count(&'static str),
}

/// Takes answers about ejection permits.
pub trait PermitReader: Send {
    /// The answer to an asked or renewed permit; no time refuses it.
    fn permit(&self, service: &ServiceId, server: &BackendServerId, holds_until: Option<Instant>);
}

/// A reader for a daemon without health.
#[derive(Debug, Default, Clone, Copy)]
pub struct NoPermitReader;

impl PermitReader for NoPermitReader {
    fn permit(&self, _service: &ServiceId, _server: &BackendServerId, _until: Option<Instant>) {}
}
