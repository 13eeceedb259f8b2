//! Limits the rate and burst of organisations, each counted at one daemon.
//!
//! The home of an organisation is the daemon with the highest rendezvous score for its name. Every
//! other daemon borrows tokens from the home, a few at a time. A daemon that can't reach the home
//! continues with its own small share of the rate. No state needs to persist: a new home starts
//! with an empty bucket.

pub mod duty;
pub mod entry_quota;
pub mod message;
pub mod state;

pub use message::{QuotaAction, QuotaEvent};
pub use state::QuotaState;

#[cfg(test)]
mod tests;
