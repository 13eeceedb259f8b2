//! One daemon: makes the rings, starts a thread for each duty, and stops them in order.

mod beside;
mod borders;
mod common;
mod entry;
mod fleet;
mod health;
mod listeners;
mod newest;
mod operator;
mod peers;
mod readers;
mod reload;
mod rings;
mod start;

pub use borders::{Borders, NewestStore, Store};
pub use reload::SettingsDesk;
pub use start::{start, start_with, Daemon};
