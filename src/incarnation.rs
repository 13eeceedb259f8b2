//! Numbers of a daemon's lives: which one a start takes, which one outranks another, and which ones
//! a process has borne.

use smallvec::SmallVec;

use crate::types::Incarnation;

/// The greatest number of a life, in milliseconds since the epoch: the end of the year 9999. Greater
/// ones, which no clock shows, are not believed.
pub const INCARNATION_LIMIT: Incarnation = 253_402_300_799_999;
/// A life lies up to so many numbers above one that it outranks, by chance, so that two processes that
/// outrank the same life hardly bear one number. Numbers are milliseconds: a second of them keeps
/// lives that follow each other by a second or more from running ahead of the clock.
pub const INCARNATION_GAP_COUNT: u64 = 1_000;

/// Whether a life of this number can have begun.
pub fn is_valid_incarnation(number: Incarnation) -> bool {
    number <= INCARNATION_LIMIT
}

/// A number above a known one; none above the greatest. `gap_count` is drawn by chance, and made to
/// fit where fewer numbers are left.
pub fn later_incarnation(known: Incarnation, gap_count: u64) -> Option<Incarnation> {
    let left_count = INCARNATION_LIMIT.checked_sub(known)?;
    let fitting_count = gap_count.checked_rem(left_count)?;
    Some(known + 1 + fitting_count)
}

/// The number of a life that begins now, above the last one that is known.
pub fn first_incarnation(wall_ms: u64, last_life: Incarnation, gap_count: u64) -> Incarnation {
    if wall_ms > last_life {
        return wall_ms.min(INCARNATION_LIMIT);
    }
    later_incarnation(last_life, gap_count).unwrap_or(wall_ms)
}

/// The numbers that this process has borne, so that what is meant for another life is told apart.
#[derive(Debug, Clone)]
pub struct OwnIncarnations {
    /// In order; the last one is borne now.
    borne: SmallVec<[Incarnation; 2]>,
}

/// Numbers that are kept. One that was dropped counts as another life's, which is refused.
const USED_LIMIT_COUNT: usize = 16;

impl OwnIncarnations {
    /// The lives of a process that has begun with this number.
    pub fn new(first: Incarnation) -> OwnIncarnations {
        OwnIncarnations {
            borne: SmallVec::from_slice(&[first]),
        }
    }

    /// Whether this process bears the number, or has borne it.
    pub fn contains(&self, number: Incarnation) -> bool {
        self.borne.contains(&number)
    }

    /// This process bears a new number. One that is not greater changes nothing.
    pub fn raise(&mut self, number: Incarnation) {
        if self.borne.last().is_some_and(|last| *last >= number) {
            return;
        }
        if self.borne.len() == USED_LIMIT_COUNT {
            self.borne.remove(0);
        }
        self.borne.push(number);
    }
}

#[cfg(test)]
mod tests;
