//! Rate and burst of each organisation, and ejection permits, over the whole fleet.
//!
//! The escrow stream of the platform's log gives a fixed number of partitions to daemons. A partition holds
//! shards of organisations; entries without tokens borrow from the partitions' holders.

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
