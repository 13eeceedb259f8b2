//! The view in force: contracts, keys, routes and failure domains.
//!
//! A pure function of a prefix of the configuration stream: every reader applies the same rule to
//! the same records and comes to the same view. It has no thread; the journal duty owns the view
//! and hands out snapshots.

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
