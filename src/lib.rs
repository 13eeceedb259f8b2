//! banyanbeam: a fleet of proxies in front of backend servers with gray failures.
//!
//! Each duty has a module of its own. In it, `state` makes the decisions, `message` defines the
//! events that go in and the actions that come out, and `duty` is the thread that carries the
//! actions out.

pub mod allowance;
pub mod audit;
pub mod cli;
pub mod clock;
pub mod contract;
pub mod daemon;
pub mod demo;
pub mod error;
pub mod feed;
pub mod front;
pub mod guard;
pub mod health;
pub mod idempotency;
pub mod incarnation;
pub mod journal;
pub mod link;
pub mod load;
pub mod measure;
pub mod membership;
pub mod metrics;
pub mod operator;
pub mod quota;
pub mod ready;
pub mod reload;
pub mod report_once;
pub mod request_trace;
pub mod ring;
pub mod rollout;
pub mod routing;
pub mod settings;
pub mod standin;
pub mod types;
pub mod wire;

#[cfg(test)]
mod test_support;
