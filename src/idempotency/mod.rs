//! The home daemon of a caller's idempotency key: records the key before its request starts.

pub mod duty;
pub mod home;
pub mod message;
pub mod state;

pub use home::HomeMap;
pub use message::{IdempotencyEvent, IdempotencyMessage};

#[cfg(test)]
mod tests;
