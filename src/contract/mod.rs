//! The view in force: contracts, keys, routes and failure domains.
//!
//! The view is a pure function of a prefix of the configuration stream: every reader applies the
//! same rule to the same records and gets the same view. This module has no thread; the journal
//! duty owns the view and hands out snapshots.

pub mod check;
pub mod checkpoint;
pub mod document;
pub mod measure;
pub mod message;
pub mod routes;
pub mod state;

pub use check::{check_change, ContractError};
pub use document::{CallerLimits, Document};
pub use message::{
    short_hash, AppliedChange, Change, ChangeVerdict, KeyLookup, ObjectId, ObjectState,
    OrganisationContract, Record, RouteContract, ServiceContract, SplitPart,
};
pub use state::View;

#[cfg(test)]
mod tests;
