//! Serves the operators' API: contracts, keys, failure domains, the status and the audit trail.

pub mod accept;
pub mod client;
pub mod duty;
pub mod floor;
pub mod message;
pub mod publish;
pub mod state;

pub use message::{OperatorAnswer, OperatorEvent, OperatorMessage, OperatorRequest};

#[cfg(test)]
mod tests;
