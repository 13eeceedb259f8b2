//! Rate and burst of organisations, counted at one daemon each.
//!
//! The home of an organisation is the daemon with the highest rendezvous score for its name. Every
//! other daemon borrows tokens from the home, a few at a time. A daemon that does not reach the
//! home goes on with its own small part of the rate. Nothing of it has to last: a new home starts
//! with an empty bucket.

pub mod duty;
pub mod entry_quota;
pub mod message;
pub mod state;

pub use message::{QuotaAction, QuotaEvent};
pub use state::QuotaState;

#[cfg(test)]
mod tests;
