//! Limit on the time that a server may take for a request which another server can run instead.
//!
//! It answers the load of servers that hang on a few of their requests and answer the others in
//! their usual time. Without it, such a request holds its slot until the deadline, when there is no
//! time left to ask another server, and the work of a server that waits for it is lost as well.

use std::time::Duration;

/// A run that lasts longer than this many mean times of its route counts as hung.
const HUNG_FACTOR: u32 = 4;
/// If the deadline is near, a run of this many mean times already counts as hung.
const EARLIEST_HUNG_FACTOR: u32 = 3;
/// Mean times that remain for the run at another server.
const RESERVE_FACTOR: u32 = 2;
/// No run is ended earlier than this, however short the mean: a busy VM pauses its processes.
const SHORTEST_LIMIT: Duration = Duration::from_millis(100);

/// Returns the time after which a run counts as hung.
pub(super) fn hung_time(mean: Duration) -> Duration {
    (mean * HUNG_FACTOR).max(SHORTEST_LIMIT)
}

/// Returns after what time a run is ended; none if it may last until its deadline, because there is
/// no time for another run after it.
pub(super) fn run_limit(mean: Duration, left: Duration) -> Option<Duration> {
    let limit = hung_time(mean).min(left.saturating_sub(mean * RESERVE_FACTOR));
    let earliest = (mean * EARLIEST_HUNG_FACTOR).max(SHORTEST_LIMIT);
    (limit >= earliest).then_some(limit)
}

/// Returns after what time a run is ended while the mean time of its route is not known: after half
/// of the time left, if that is not before `hung_after`.
pub(super) fn first_run_limit(hung_after: Duration, left: Duration) -> Option<Duration> {
    let limit = left / 2;
    (limit >= hung_after.max(SHORTEST_LIMIT)).then_some(limit)
}

#[cfg(test)]
mod tests;
