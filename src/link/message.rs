//! Requests and answers between daemons, independent of their encoding, and the traits to send and
//! to handle them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::health::ServerSummary;
use crate::membership::{CompareAnswer, CompareRequest, Gossip, MembersAnswer, MembersRequest};
use crate::rollout::{RolloutCall, RolloutReport};
use crate::types::{
    Attempt, DaemonId, Fingerprint, Incarnation, KeyHash, Offset, OrganisationId, RequestId,
    ServiceId, StoreEra,
};

/// Identifies one run of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerName {
    /// Id of the daemon, the same in all its runs.
    pub daemon: DaemonId,
    /// Number of the run; a later run has a greater one.
    pub incarnation: Incarnation,
}

/// The allowance that an entry borrows from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum EscrowId {
    /// Request tokens of an organisation.
    Organisation(OrganisationId),
    /// Ejection permits of a service.
    Service(ServiceId),
}

/// Asks the holder of an allowance for tokens or permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BorrowRequest {
    /// The allowance to borrow from.
    pub escrow: EscrowId,
    /// Greatest number of tokens or permits wanted.
    pub count: u32,
}

/// The tokens or permits that a holder lends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BorrowAnswer {
    /// Number of tokens or permits lent; 0 for none.
    pub count: u32,
    /// Time after the request was sent at which they lapse.
    pub lapses_after: Duration,
    /// Time to wait before asking again when none were lent.
    pub retry_after: Duration,
}

/// Asks the grantor for a lease: for its duration the grantor does not append a reclaim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The holder that asks for the lease.
    pub holder: PeerName,
    /// The daemon that grants the lease, with the incarnation that the log names.
    pub grantor: PeerName,
}

/// A grantor's answer to a `LeaseRequest`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseAnswer {
    /// Duration of the lease, counted from when the request was sent; `None` refuses.
    pub holds_for: Option<Duration>,
}

/// Asks a guard to prevent a request from starting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceRequest {
    /// Id of the request to fence.
    pub request: RequestId,
    /// Number of the attempt; earlier attempts are fenced with it.
    pub attempt: Attempt,
    /// Incarnation of the guard that the attempt was sent to.
    pub incarnation: Incarnation,
}

/// What a guard knows about a request that it was asked to fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceAnswer {
    /// The request did not start and never will.
    Fenced,
    /// The request is running.
    Running,
    /// The request ended; the answer was lost.
    Ended,
    /// The guard has another incarnation, or no longer keeps the request's record.
    Unknown,
}

/// Which step of an idempotency key's claim is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// Takes the key for the request, which wants to run under it.
    Take,
    /// Frees the key for other requests, because the request certainly did not run.
    Release,
}

/// Asks the home daemon of an idempotency key whether a request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Whether the key is to be taken or released.
    pub step: ClaimStep,
    /// The organisation that the key belongs to.
    pub organisation: OrganisationId,
    /// The caller's idempotency key.
    pub idempotency_key: String,
    /// The request that wants to run under the key, or did not run.
    pub request: RequestId,
}

/// The home daemon's answer to a `ClaimRequest`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request may run; in answer to a release, the key is free.
    Granted,
    /// Another request holds the key.
    Taken {
        /// The request that holds the key.
        by: RequestId,
    },
    /// The key's home has changed, so this daemon can't know who holds the key.
    Unknown,
}

/// Asks a peer for records of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordsRequest {
    /// Name of the stream.
    pub stream: String,
    /// Offset of the first record wanted.
    pub from: Offset,
    /// Era of the platform's store that the offset belongs to.
    pub era: StoreEra,
    /// Greatest number of records in the answer.
    pub limit_count: u32,
}

/// Records of a stream, or a checkpoint where the records are no longer kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordsAnswer {
    /// A checkpoint to start from, as JSON; it replaces all records below its offset.
    pub checkpoint: Option<String>,
    /// The records, by ascending offset.
    pub records: Vec<crate::journal::LogRecord>,
    /// Offset to ask from in the next request.
    pub next: Offset,
}

/// A request of one daemon to another.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerRequest {
    /// Borrows tokens or permits.
    Borrow(BorrowRequest),
    /// Asks for a lease.
    Lease(LeaseRequest),
    /// Prevents a request from starting.
    Fence(FenceRequest),
    /// Informs a guard that the request's caller has disconnected, so the request may be ended.
    Cancel(RequestId),
    /// Takes or releases an idempotency key.
    Claim(ClaimRequest),
    /// Reads records of a stream.
    Records(RecordsRequest),
    /// Spreads hashes of withdrawn keys without the log.
    Tombstones(Vec<KeyHash>),
    /// Spreads the fingerprints of requests that were running when backend servers crashed.
    Poison(Vec<PoisonReport>),
    /// Asks for recent request statistics of this service's backend servers on the peer's VM.
    Summary(ServiceId),
    /// Exchanges changes of the membership.
    Gossip(Gossip),
    /// Compares digests, to find where two daemons' views of the fleet differ.
    Compare(CompareRequest),
    /// Asks for a page of the fleet's description, for a daemon that knows none of it.
    Members(MembersRequest),
    /// Asks the peer to check whether that daemon answers it.
    Probe(DaemonId),
    /// Tells the peer the step of a roll-out, and asks for what its servers answered.
    Rollout(RolloutCall),
}

impl PeerRequest {
    /// Returns whether the request only exchanges membership. Such requests are allowed to and from
    /// earlier incarnations, because a daemon that is behind catches up by them.
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

/// Reports that backend servers crashed while a request with this fingerprint ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoisonReport {
    /// Hash of organisation, route and body.
    pub fingerprint: Fingerprint,
    /// Number of distinct crashes seen.
    pub death_count: u32,
    /// Time from now for which the report is valid.
    pub holds_for: Duration,
}

/// The answer to a `PeerRequest` of the same name.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerAnswer {
    /// Answers `PeerRequest::Borrow` with the tokens or permits lent.
    Borrow(BorrowAnswer),
    /// Answers `PeerRequest::Lease` with the lease's duration or a refusal.
    Lease(LeaseAnswer),
    /// Answers `PeerRequest::Fence` with the state of the request.
    Fence(FenceAnswer),
    /// Answers `PeerRequest::Claim` with whether the request may run.
    Claim(ClaimAnswer),
    /// Answers `PeerRequest::Records` with records or a checkpoint.
    Records(RecordsAnswer),
    /// Answers `PeerRequest::Summary` with one summary for each of the service's backend servers on
    /// the answerer's VM.
    Summary(Vec<ServerSummary>),
    /// Answers `PeerRequest::Gossip` with a gossip message of the answerer.
    Gossip(Gossip),
    /// Answers `PeerRequest::Compare` with the parts that differ.
    Compare(CompareAnswer),
    /// Answers `PeerRequest::Members` with one page of the fleet's description.
    Members(MembersAnswer),
    /// Answers `PeerRequest::Probe` with whether the daemon answered.
    Probe(bool),
    /// Answers `PeerRequest::Rollout` with the evidence of the service's servers on the answerer's VM.
    Rollout(RolloutReport),
    /// Acknowledges a request of any other kind.
    Done,
}

/// Why a call to a peer has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LinkError {
    /// The call was not sent, because there was no connection or a limit was reached.
    #[error("the peer can't be reached")]
    Unreachable,
    /// The peer did not answer in time; it may have acted on the call.
    #[error("the peer did not answer in time")]
    Silent,
    /// The peer refused the call, could not read it, or its answer was over the size limit.
    #[error("the peer refused the call")]
    Refused,
}

/// Callback that takes the answer of a call or the reason for its failure, once.
pub type PeerReply = Box<dyn FnOnce(Result<PeerAnswer, LinkError>) + Send>;

/// Sends calls to daemons, including this one.
pub trait PeerCaller: Send + Sync {
    /// Sends a request; `reply` may be called from any thread. Returns false if the request was not
    /// sent; `reply` is never called then.
    fn call(&self, to: &DaemonId, request: PeerRequest, reply: PeerReply) -> bool;
}

/// Answers the requests of peers.
pub trait PeerHandler: Send + Sync {
    /// Handles a request of an authenticated peer; `reply` may be called from any thread.
    fn handle(&self, from: &PeerName, request: PeerRequest, reply: PeerReply);
}

/// A message to the link's thread.
pub enum LinkMessage {
    /// Calls a peer on behalf of another duty.
    Call {
        /// The daemon to call.
        to: DaemonId,
        /// The request to send.
        request: PeerRequest,
        /// Callback that takes the answer.
        reply: PeerReply,
    },
    /// Calls whichever daemon answers at a seed address, on behalf of membership.
    CallSeed {
        /// Address of a daemon's peer link.
        address: std::net::SocketAddr,
        /// The request to send.
        request: PeerRequest,
        /// Callback that takes the answer.
        reply: PeerReply,
    },
    /// Passes the link a new snapshot of the fleet, with the daemons' addresses and incarnations.
    Fleet(std::sync::Arc<crate::membership::Fleet>),
    /// Ends the link's thread.
    Stop,
}
