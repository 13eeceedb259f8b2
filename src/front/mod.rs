//! HTTP front end for callers: receives and authenticates requests, and states in each refusal
//! whether the request may have run.

pub mod accept;
pub mod answer;
pub mod check;
pub mod duty;
pub mod message;
pub mod state;

pub use message::{FrontAction, FrontEvent, FrontMessage, RequestHead};

#[cfg(test)]
mod tests;
