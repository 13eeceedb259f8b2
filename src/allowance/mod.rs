//! Rate and burst of each organisation.

pub mod bucket;
pub mod custody;
pub mod duty;
pub mod message;
pub mod record;
pub mod replay;
pub mod seat;
pub mod state;

pub use message::{AllowanceAction, AllowanceEvent, AllowanceMessage, PermitReader};
pub use record::EscrowRecord;

#[cfg(test)]
mod tests;
