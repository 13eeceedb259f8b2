//! Enforces the rate and burst of each organisation, and the ejection permits of each service, over
//! the whole fleet.
//!
//! The escrow stream of the platform's log assigns a fixed number of partitions to daemons. A
//! partition contains shards of organisations. A daemon without tokens for a request borrows them
//! from the holders of the organisation's partitions.

pub mod assignment;
pub mod bucket;
pub mod calls;
pub mod duty;
pub mod entry;
pub mod leases;
pub mod lender;
pub mod loan;
pub mod measure;
pub mod message;
pub mod partition;
pub mod permit;
pub mod record;
pub mod replay;
pub mod state;

pub use message::{AllowanceAction, AllowanceEvent, AllowanceMessage, PermitReader};
pub use record::EscrowRecord;

#[cfg(test)]
mod tests;
