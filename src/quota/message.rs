//! Events and actions of the quota duty.

use std::sync::Arc;
use std::time::Duration;

use crate::contract::View;
use crate::error::ErrorKind;
use crate::membership::Fleet;
use crate::types::{DaemonId, OrganisationId, RequestId};

/// Names a call until it is answered.
pub type CallId = u64;

/// What happens to the quota.
#[derive(Debug, Clone)]
pub enum QuotaEvent {
    /// A request asks for one token.
    Take {
        /// The request.
        request: RequestId,
        /// Whose token.
        organisation: OrganisationId,
    },
    /// A peer asks this daemon as the home of an organisation.
    Borrow {
        /// Names the answer.
        call: CallId,
        /// Whose tokens.
        organisation: OrganisationId,
        /// How many at most.
        count: u32,
    },
    /// The home answered, or did not.
    Borrowed {
        /// Whose tokens.
        organisation: OrganisationId,
        /// What it lent; none without an answer.
        loan: Option<Loan>,
    },
    /// The time of `next_tick_at` has come.
    Tick,
    /// A new view is in force.
    View(Arc<View>),
    /// The fleet changed.
    Fleet(Arc<Fleet>),
}

/// What a home lends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// How many tokens; 0 for none.
    pub count: u32,
    /// When to ask again after none.
    pub retry_after: Duration,
}

/// What the quota duty does.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaAction {
    /// The request has its token.
    Grant {
        /// The request.
        request: RequestId,
    },
    /// No token for the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        kind: ErrorKind,
        /// When a token may be there.
        retry_after: Duration,
    },
    /// Asks the home of an organisation.
    Borrow {
        /// The home.
        to: DaemonId,
        /// Whose tokens.
        organisation: OrganisationId,
        /// How many at most.
        count: u32,
    },
    /// Answers a peer.
    Lend {
        /// The call.
        call: CallId,
        /// The answer.
        loan: Loan,
    },
    /// Tells a peer that this daemon is not the home.
    Decline {
        /// The call.
        call: CallId,
    },
    /// Counts something.
    Count(&'static str),
}
