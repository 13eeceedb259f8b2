//! One daemon: makes the rings, starts a thread for each duty, and stops them in order.

mod entry;
mod fleet;
mod health;
mod interfaces;
mod journal_dispatch;
mod keyed_store;
mod listeners;
mod local_servers;
mod operator;
mod peers;
mod reload;
mod rings;
mod shared;
mod start;

pub use interfaces::{Interfaces, KeyedStore, Store};
pub use reload::SettingsUpdater;
pub use start::{start, start_with, Daemon};
