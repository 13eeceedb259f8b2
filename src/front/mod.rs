//! Callers' HTTP: takes requests, authenticates them, and gives true answers.

pub mod accept;
pub mod answer;
pub mod check;
pub mod duty;
pub mod message;
pub mod state;

pub use message::{FrontAction, FrontEvent, FrontMessage, RequestHead};

#[cfg(test)]
mod tests;
