//! Calls to peers that have not been answered.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::message::CallId;
use crate::link::PeerName;
use crate::types::{OrganisationId, ServiceId};

/// Why a peer was called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Purpose {
    /// For a promise of the grantor.
    Lease,
    /// To find out whether it lives.
    Probe,
    /// For tokens.
    Tokens(OrganisationId),
    /// For permits.
    Permits(ServiceId),
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenCall {
    /// The peer.
    pub to: PeerName,
    /// When it was sent; what the answer grants counts from then.
    pub sent_at: Instant,
    /// Why.
    pub purpose: Purpose,
}

/// The open calls. Every answer is taken once.
#[derive(Debug, Default)]
pub struct Calls {
    next: CallId,
    open: HashMap<CallId, OpenCall>,
}

impl Calls {
    /// Notes a call and gives its number.
    pub fn open(&mut self, call: OpenCall) -> CallId {
        self.next += 1;
        self.open.insert(self.next, call);
        self.next
    }

    /// Takes the call that an answer belongs to; none for an answer that came before.
    pub fn close(&mut self, call: CallId) -> Option<OpenCall> {
        self.open.remove(&call)
    }

    /// Forgets calls that an earlier life made for its partitions; their answers are not for this one.
    pub fn forget_lease_calls(&mut self) {
        self.open
            .retain(|_, call| !matches!(call.purpose, Purpose::Lease | Purpose::Probe));
    }

    /// Forgets calls whose answer could grant nothing any more.
    pub fn forget_expired(&mut self, now: Instant) {
        self.open
            .retain(|_, call| now < call.sent_at + CALL_LIFETIME);
    }
}

const CALL_LIFETIME: Duration = Duration::from_secs(30);
