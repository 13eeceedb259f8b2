//! Tracks calls to peers that have not been answered.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::message::CallId;
use crate::link::PeerName;
use crate::types::{OrganisationId, ServiceId};

/// Why a peer was called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Purpose {
    /// To request a lease from the grantor.
    Lease,
    /// To find out whether the peer answers before it gets partitions.
    Probe,
    /// To borrow tokens of an organisation.
    Tokens(OrganisationId),
    /// To request ejection permits of a service.
    Permits(ServiceId),
}

/// A call that has not been answered yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenCall {
    /// Peer that was called.
    pub to: PeerName,
    /// When the call was sent; what the answer grants is counted from this time.
    pub sent_at: Instant,
    /// Why the peer was called.
    pub purpose: Purpose,
}

/// The unanswered calls by number. Each is answered at most once.
#[derive(Debug, Default)]
pub struct Calls {
    /// Number of the newest call.
    last: CallId,
    open: HashMap<CallId, OpenCall>,
}

impl Calls {
    /// Records a call and returns its number.
    pub fn open(&mut self, call: OpenCall) -> CallId {
        self.last += 1;
        self.open.insert(self.last, call);
        self.last
    }

    /// Removes and returns the call that an answer belongs to; `None` if it was answered before.
    pub fn close(&mut self, call: CallId) -> Option<OpenCall> {
        self.open.remove(&call)
    }

    /// Removes the lease requests and probes of an earlier incarnation; their answers are not valid
    /// for the present one.
    pub fn forget_lease_calls(&mut self) {
        self.open
            .retain(|_, call| !matches!(call.purpose, Purpose::Lease | Purpose::Probe));
    }

    /// Removes calls that are too old for their answers to grant anything.
    pub fn forget_expired(&mut self, now: Instant) {
        self.open
            .retain(|_, call| now < call.sent_at + CALL_LIFETIME);
    }
}

/// Age at which an unanswered call is removed.
const CALL_LIFETIME: Duration = Duration::from_secs(30);
