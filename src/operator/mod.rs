//! Operators' requests: contracts, keys, failure domains, and questions about what was decided.

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
