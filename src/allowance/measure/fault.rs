//! Faults that scenarios inject, and the conditions of the simulated network.

use std::time::Duration;

use crate::contract::OrganisationContract;

/// A fault or another change that a scenario applies to the fleet. Daemons are given by index; a
/// `bool` starts (true) or ends (false) the condition.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Starts a daemon under a new incarnation.
    Start(usize),
    /// Raises the incarnation of a running daemon.
    Raise(usize),
    /// Ends a daemon without notice.
    Crash(usize),
    /// Begins the planned stop of a daemon.
    Leave(usize),
    /// Stops a daemon's process for this long, as a paused VM does.
    Pause(usize, Duration),
    /// Stops or restores the log.
    LogDown(bool),
    /// Loses all messages between two daemons.
    Cut(usize, usize, bool),
    /// Loses all messages from the first daemon to the second.
    CutOneWay(usize, usize, bool),
    /// Cuts one daemon off from the log.
    LogCut(usize, bool),
    /// Publishes a contract; each daemon reads it after its own delay.
    Publish(OrganisationContract),
}

/// Size of the simulated fleet, and the delays and losses of its messages.
#[derive(Debug, Clone)]
pub struct NetworkOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of failure domains, to which daemons are assigned in turn.
    pub domain_count: usize,
    /// Number of daemons, running or not.
    pub daemon_count: usize,
    /// Shortest and longest delay of a message between daemons.
    pub delay: (Duration, Duration),
    /// Shortest and longest delay of a message to or from the log.
    pub log_delay: (Duration, Duration),
    /// Share of messages between daemons that are lost.
    pub loss_share: f64,
    /// Share of messages and records that arrive twice.
    pub duplicate_share: f64,
    /// Share of records that arrive late, by up to `late`.
    pub late_share: f64,
    /// Longest extra delay of a late record.
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
