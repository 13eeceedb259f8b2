//! Remembers which faults of invalid input were logged, so that a fault that is read again and
//! again does not fill the log.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Most faults that are remembered; further ones are not logged.
const REPORT_LIMIT_COUNT: usize = 256;
/// Longest text of invalid input in a log line or an answer.
const TEXT_LIMIT_BYTES: usize = 256;

/// Set of the faults that were logged, as hashes; bounded by `REPORT_LIMIT_COUNT`.
#[derive(Debug, Default)]
pub struct ReportOnce {
    reported: BTreeSet<u64>,
}

impl ReportOnce {
    /// Returns whether this fault of this source was not reported before, and marks it as
    /// reported. Returns false for all faults once the set is full.
    pub fn is_new(&mut self, source: &str, problem: &str) -> bool {
        if self.reported.len() >= REPORT_LIMIT_COUNT {
            return false;
        }
        let mut hasher = DefaultHasher::new();
        (source, problem).hash(&mut hasher);
        self.reported.insert(hasher.finish())
    }
}

/// Returns the start of a text, at most `TEXT_LIMIT_BYTES` long and cut between characters.
pub fn shortened(text: &str) -> &str {
    let mut end = text.len().min(TEXT_LIMIT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

#[cfg(test)]
mod tests;
