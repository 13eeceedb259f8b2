//! Idempotency keys: the home daemon of a key records it before the request starts, so that no
//! second request runs under the same key.

pub mod duty;
pub mod home;
pub mod message;
pub mod state;

pub use home::HomeMap;
pub use message::{IdempotencyEvent, IdempotencyMessage};

#[cfg(test)]
mod tests;
