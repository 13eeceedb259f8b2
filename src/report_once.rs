//! Remembers what was logged of input that can't be used, so that the same fault read again and
//! again does not fill the log.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Faults that are told apart. Those beyond are not logged.
const REPORT_LIMIT_COUNT: usize = 256;
/// Longest text of such input in a log line or an answer.
const TEXT_LIMIT_BYTES: usize = 256;

/// Faults that were logged.
#[derive(Debug, Default)]
pub struct ReportOnce {
    reported: BTreeSet<u64>,
}

impl ReportOnce {
    /// Whether a fault of this source was not reported yet. It counts as reported from now on.
    pub fn is_new(&mut self, source: &str, problem: &str) -> bool {
        if self.reported.len() >= REPORT_LIMIT_COUNT {
            return false;
        }
        let mut hasher = DefaultHasher::new();
        (source, problem).hash(&mut hasher);
        self.reported.insert(hasher.finish())
    }
}

/// The start of a text of any length.
pub fn shortened(text: &str) -> &str {
    let mut end = text.len().min(TEXT_LIMIT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

#[cfg(test)]
mod tests;
