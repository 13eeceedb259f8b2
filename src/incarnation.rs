//! Rules for incarnation numbers: which number a starting daemon takes, which numbers are valid,
//! and which ones the running process has used.
//!
//! An incarnation is one run of a daemon. Its number is the wall clock at the start, in
//! milliseconds since the epoch, unless a later number is already known; the greater number
//! replaces the lesser.

use smallvec::SmallVec;

use crate::types::Incarnation;

/// Greatest valid incarnation number, in milliseconds since the epoch: the end of the year 9999.
/// Greater numbers are rejected, since no clock shows them and no later number could follow.
pub const INCARNATION_LIMIT: Incarnation = 253_402_300_799_999;
/// Bound of the random distance between a raised number and the number it replaces. Two processes
/// that replace the same incarnation thus rarely take the same number. Numbers are milliseconds, so
/// incarnations that follow each other by a second or more do not run ahead of the clock.
pub const INCARNATION_GAP_COUNT: u64 = 1_000;

/// Returns whether a number is a valid incarnation.
pub fn is_valid_incarnation(number: Incarnation) -> bool {
    number <= INCARNATION_LIMIT
}

/// Returns a number above a known one, or `None` if no valid number is left above it. `gap_count`
/// is the random distance; it is reduced where fewer numbers are left.
pub fn later_incarnation(known: Incarnation, gap_count: u64) -> Option<Incarnation> {
    let left_count = INCARNATION_LIMIT.checked_sub(known)?;
    let fitting_count = gap_count.checked_rem(left_count)?;
    Some(known + 1 + fitting_count)
}

/// Returns the number of an incarnation that starts now: the wall clock, or a number above the last
/// known incarnation where the clock is behind it.
pub fn first_incarnation(wall_ms: u64, last_life: Incarnation, gap_count: u64) -> Incarnation {
    if wall_ms > last_life {
        return wall_ms.min(INCARNATION_LIMIT);
    }
    later_incarnation(last_life, gap_count).unwrap_or(wall_ms)
}

/// The incarnation numbers that this process has used. A message addressed to any other number was
/// meant for another process.
#[derive(Debug, Clone)]
pub struct OwnIncarnations {
    /// In ascending order; the last one is the current number.
    used: SmallVec<[Incarnation; 2]>,
}

/// Most numbers that are kept. A message for a dropped number is refused, as if it were meant for
/// another process.
const USED_LIMIT_COUNT: usize = 16;

impl OwnIncarnations {
    /// Creates the record of a process that started with this number.
    pub fn new(first: Incarnation) -> OwnIncarnations {
        OwnIncarnations {
            used: SmallVec::from_slice(&[first]),
        }
    }

    /// Returns whether this process uses the number now or used it earlier.
    pub fn contains(&self, number: Incarnation) -> bool {
        self.used.contains(&number)
    }

    /// Makes a number the current one. Ignores a number that is not greater than the current one.
    pub fn raise(&mut self, number: Incarnation) {
        if self.used.last().is_some_and(|last| *last >= number) {
            return;
        }
        if self.used.len() == USED_LIMIT_COUNT {
            self.used.remove(0);
        }
        self.used.push(number);
    }
}

#[cfg(test)]
mod tests;
