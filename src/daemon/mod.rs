//! Assembles one daemon: creates the rings, starts the threads of all duties, and stops them in
//! order.

mod entry;
mod fleet;
mod health;
mod interfaces;
mod join;
mod journal_dispatch;
mod keyed_store;
mod listeners;
mod local_servers;
mod operator;
mod peers;
mod reload;
mod rings;
mod rollout;
mod shared;
mod start;

pub use interfaces::{Interfaces, KeyedStore, Store};
pub use start::{start, start_with, Daemon};
