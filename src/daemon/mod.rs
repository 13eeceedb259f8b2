//! One daemon: makes the rings, starts a thread for each duty, and stops them in order.

mod readers;
mod start;

pub use start::{start, Daemon};
