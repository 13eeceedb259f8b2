//! What a script does to the fleet, and how messages fare.

use std::time::Duration;

use crate::contract::OrganisationContract;

/// What a script does to the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A daemon starts, in a new process.
    Start(usize),
    /// A daemon goes on under a greater number of its process.
    Raise(usize),
    /// A daemon ends without a word.
    Crash(usize),
    /// A daemon begins a planned stop.
    Leave(usize),
    /// A daemon is stopped by the machine for a while, and goes on.
    Pause(usize, Duration),
    /// The log stops answering, or answers again.
    LogDown(bool),
    /// Messages between two daemons are lost, or pass again.
    Cut(usize, usize, bool),
    /// Messages of one daemon to another are lost, or pass again.
    CutOneWay(usize, usize, bool),
    /// A daemon can't reach the log, or can again.
    LogCut(usize, bool),
    /// A contract is published; daemons read it one after the other.
    Publish(OrganisationContract),
}

/// How messages fare.
#[derive(Debug, Clone)]
pub struct NetworkOptions {
    /// Seed of every choice.
    pub seed: u64,
    /// Failure domains; daemons go round.
    pub domain_count: usize,
    /// Daemons at most.
    pub daemon_count: usize,
    /// Shortest and longest way of a message between daemons.
    pub delay: (Duration, Duration),
    /// Shortest and longest way to the log.
    pub log_delay: (Duration, Duration),
    /// Share of messages lost.
    pub loss_share: f64,
    /// Share of messages and records that arrive twice.
    pub duplicate_share: f64,
    /// Share of records that arrive late, by up to `late`.
    pub late_share: f64,
    /// How late.
    pub late: Duration,
}

impl Default for NetworkOptions {
    fn default() -> Self {
        NetworkOptions {
            seed: 1,
            domain_count: 3,
            daemon_count: 9,
            delay: (Duration::from_micros(100), Duration::from_micros(900)),
            log_delay: (Duration::from_millis(2), Duration::from_millis(20)),
            loss_share: 0.0,
            duplicate_share: 0.0,
            late_share: 0.0,
            late: Duration::from_secs(8),
        }
    }
}
