//! One daemon: makes the rings, starts a thread for each duty, and stops them in order.

mod beside;
mod common;
mod entry;
mod fleet;
mod health;
mod operator;
mod peers;
mod readers;
mod rings;
mod start;

pub use start::{start, Daemon};
