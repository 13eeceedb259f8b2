//! Events and actions of the quota duty.

use std::sync::Arc;
use std::time::Duration;

use crate::contract::View;
use crate::error::ErrorKind;
use crate::membership::Fleet;
use crate::types::{DaemonId, OrganisationId, RequestId};

/// Identifies a peer's call until it is answered.
pub type CallId = u64;

/// Inputs to the decisions of the quota.
#[derive(Debug, Clone)]
pub enum QuotaEvent {
    /// A request asks for one token.
    Take {
        /// The request that asks.
        request: RequestId,
        /// The organisation whose token it needs.
        organisation: OrganisationId,
    },
    /// A peer asks this daemon, as the home of an organisation, for tokens.
    Borrow {
        /// The peer's call, under which it is answered.
        call: CallId,
        /// The organisation whose tokens are asked for.
        organisation: OrganisationId,
        /// Most tokens that the peer takes.
        count: u32,
    },
    /// The home answered a request for tokens, or the call failed.
    Borrowed {
        /// The organisation whose tokens were asked for.
        organisation: OrganisationId,
        /// What the home lent; none if the call failed.
        loan: Option<Loan>,
    },
    /// The time that `QuotaState::next_tick_at` returned has come.
    Tick,
    /// A new view of the configuration is in force.
    View(Arc<View>),
    /// The fleet has changed.
    Fleet(Arc<Fleet>),
}

/// What a home lends on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// Number of tokens lent; 0 if there are none.
    pub count: u32,
    /// When to ask again if no token was lent.
    pub retry_after: Duration,
}

/// Outputs of the decisions of the quota.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaAction {
    /// Informs the front that a request has its token.
    Grant {
        /// The request that may go on.
        request: RequestId,
    },
    /// Informs the front that a request gets no token.
    Refuse {
        /// The request to be refused.
        request: RequestId,
        /// Why there is no token.
        kind: ErrorKind,
        /// When a token may be available.
        retry_after: Duration,
    },
    /// Asks the home of an organisation for tokens.
    Borrow {
        /// The home to be asked.
        to: DaemonId,
        /// The organisation whose tokens are asked for.
        organisation: OrganisationId,
        /// Most tokens that this daemon takes.
        count: u32,
    },
    /// Answers a peer's request for tokens.
    Lend {
        /// The call to be answered.
        call: CallId,
        /// What the peer is lent.
        loan: Loan,
    },
    /// Informs a peer that this daemon is not the home of the organisation.
    Decline {
        /// The call to be answered.
        call: CallId,
    },
    /// Increments the counter of this name.
    Count(&'static str),
}
