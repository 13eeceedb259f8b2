//! Events and actions of the allowance duty.

use std::sync::Arc;
use std::time::Duration;

use crate::contract::View;
use crate::types::{OrganisationId, RequestId};

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
    /// A new view is in force.
    View(Arc<View>),
    /// The daemon stops.
    Stop,
}

/// What the allowance duty does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowanceAction {
    /// The request has its token.
    Grant {
        /// The request.
        request: RequestId,
    },
    /// No token within the organisation's rate and burst.
    Refuse {
        /// The request.
        request: RequestId,
        /// When a token may be there.
        retry_after: Duration,
    },
}
