//! What daemons ask each other, free of any encoding.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::health::ServerSummary;
use crate::membership::{CompareAnswer, CompareRequest, Gossip, MembersAnswer, MembersRequest};
use crate::types::{
    Attempt, DaemonId, Fingerprint, Incarnation, KeyHash, Offset, OrganisationId, RequestId,
    ServiceId,
};

/// One life of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerName {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// What an entry borrows from a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum EscrowId {
    /// Request tokens of an organisation.
    Organisation(OrganisationId),
    /// Ejection permits of a service.
    Service(ServiceId),
}

/// Asks a holder for tokens or permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BorrowRequest {
    /// Of what.
    pub escrow: EscrowId,
    /// How many at most.
    pub count: u32,
}

/// What a holder lends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BorrowAnswer {
    /// How many; 0 for none.
    pub count: u32,
    /// They lapse this long after the request was sent.
    pub lapses_after: Duration,
    /// When to ask again after none.
    pub retry_after: Duration,
}

/// Asks a custodian for its word that it appends no reclaim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The holder that asks.
    pub holder: PeerName,
    /// The custodian that is asked, in the life that the log names.
    pub grantor: PeerName,
}

/// A custodian's word.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseAnswer {
    /// No reclaim is appended for this long after the request was sent; none refuses.
    pub holds_for: Option<Duration>,
}

/// Asks a guard to keep a request from starting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt; earlier ones are fenced with it.
    pub attempt: Attempt,
    /// The life of the guard that the attempt was sent to.
    pub incarnation: Incarnation,
}

/// What a guard knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceAnswer {
    /// It did not start and never will.
    Fenced,
    /// It runs.
    Running,
    /// It ended; the answer was lost.
    Ended,
    /// This guard is another life, or no longer keeps what it knew.
    Unknown,
}

/// What is asked about an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// The request wants to run under the key.
    Take,
    /// The request truly did not run, so another may take the key.
    Release,
}

/// Asks the home daemon of an idempotency key whether a request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// What is asked.
    pub step: ClaimStep,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The caller's idempotency key.
    pub idempotency_key: String,
    /// The request that would run.
    pub request: RequestId,
}

/// The home daemon's word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request may run; to a release, that the key is free.
    Granted,
    /// Another request holds the key.
    Taken {
        /// That request.
        by: RequestId,
    },
    /// The home has changed and can't know.
    Unknown,
}

/// Asks a peer for records of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordsRequest {
    /// The stream.
    pub stream: String,
    /// First offset wanted.
    pub from: Offset,
    /// Most records.
    pub limit_count: u32,
}

/// Records of a stream, or a checkpoint where the records are no longer kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordsAnswer {
    /// A checkpoint to start from, as JSON; it stands for all records below its offset.
    pub checkpoint: Option<String>,
    /// The records, in order.
    pub records: Vec<crate::journal::LogRecord>,
    /// Offset to ask from next.
    pub next: Offset,
}

/// A request of one daemon to another.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerRequest {
    /// Tokens or permits.
    Borrow(BorrowRequest),
    /// A custodian's word.
    Lease(LeaseRequest),
    /// Keeps a request from starting.
    Fence(FenceRequest),
    /// The caller left; the request may end.
    Cancel(RequestId),
    /// May this idempotency key run.
    Claim(ClaimRequest),
    /// Records of a stream.
    Records(RecordsRequest),
    /// Withdrawn keys, spread without the log.
    Tombstones(Vec<KeyHash>),
    /// Fingerprints of requests that were running when backend servers died.
    Poison(Vec<PoisonReport>),
    /// What the servers of this service beside the peer met lately.
    Summary(ServiceId),
    /// What changed among the daemons.
    Gossip(Gossip),
    /// Looks for what differs between two views of the fleet.
    Compare(CompareRequest),
    /// A page of the fleet, for a daemon that knows none of it.
    Members(MembersRequest),
    /// Does that daemon answer the peer that is asked?
    Probe(DaemonId),
}

impl PeerRequest {
    /// Whether it only tells who is in the fleet; a daemon that is behind catches up by it.
    pub fn is_membership_request(&self) -> bool {
        matches!(
            self,
            PeerRequest::Gossip(_)
                | PeerRequest::Compare(_)
                | PeerRequest::Members(_)
                | PeerRequest::Probe(_)
        )
    }
}

/// One death of a backend server while a request ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoisonReport {
    /// Hash of organisation, route and body.
    pub fingerprint: Fingerprint,
    /// Distinct deaths seen.
    pub death_count: u32,
    /// How long the report holds from now.
    pub holds_for: Duration,
}

/// The answer to a `PeerRequest` of the same name.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerAnswer {
    /// To `Borrow`.
    Borrow(BorrowAnswer),
    /// To `Promise`.
    Lease(LeaseAnswer),
    /// To `Fence`.
    Fence(FenceAnswer),
    /// To `Claim`.
    Claim(ClaimAnswer),
    /// To `Records`.
    Records(RecordsAnswer),
    /// To `Summary`: one for each server of the service beside the answerer.
    Summary(Vec<ServerSummary>),
    /// To `Gossip`.
    Gossip(Gossip),
    /// To `Compare`.
    Compare(CompareAnswer),
    /// To `Members`.
    Members(MembersAnswer),
    /// To `Probe`: whether the daemon answered.
    Probe(bool),
    /// To all others.
    Done,
}

/// Why a call to a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LinkError {
    /// No connection, so the call was not sent.
    #[error("the peer can't be reached")]
    Unreachable,
    /// No answer in time; the peer may have acted.
    #[error("the peer did not answer in time")]
    Silent,
    /// The peer refused the call.
    #[error("the peer refused the call")]
    Refused,
}

/// Takes the answer of a call, once.
pub type PeerReply = Box<dyn FnOnce(Result<PeerAnswer, LinkError>) + Send>;

/// Calls daemons, this one included.
pub trait PeerCaller: Send + Sync {
    /// Sends a request; `reply` may be called from any thread. False means that it was not sent
    /// and that `reply` is never called.
    fn call(&self, to: &DaemonId, request: PeerRequest, reply: PeerReply) -> bool;
}

/// Answers peers' requests.
pub trait PeerHandler: Send + Sync {
    /// Takes a request of an authenticated peer; `reply` may be called from any thread.
    fn handle(&self, from: &PeerName, request: PeerRequest, reply: PeerReply);
}

/// What happens to the link.
pub enum LinkMessage {
    /// A duty calls a peer.
    Call {
        /// The peer.
        to: DaemonId,
        /// The request.
        request: PeerRequest,
        /// Takes the answer.
        reply: PeerReply,
    },
    /// Membership calls whichever daemon answers at a seed address.
    CallSeed {
        /// The address of a peer link.
        address: std::net::SocketAddr,
        /// The request.
        request: PeerRequest,
        /// Takes the answer.
        reply: PeerReply,
    },
    /// Where daemons are.
    Fleet(std::sync::Arc<crate::membership::Fleet>),
    /// The duty ends.
    Stop,
}
