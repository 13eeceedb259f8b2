//! Rate and burst of each organisation.

pub mod bucket;
pub mod duty;
pub mod message;
pub mod state;

pub use message::{AllowanceAction, AllowanceEvent};

#[cfg(test)]
mod tests;
