//! Limits the bytes that membership sends, and estimates the encoded size of its messages.
//!
//! The sizes follow the Cap'n Proto encoding, which counts in words of 8 bytes.

use std::time::Instant;

use super::message::{DaemonEntry, Delta, Summary};

/// Token bucket of bytes: a rate and a burst.
#[derive(Debug)]
pub(super) struct ByteBudget {
    /// Bytes that the bucket is refilled with per second.
    rate_bytes_per_s: f64,
    /// Capacity of the bucket.
    burst_bytes: f64,
    /// Negative after an answer that was sent although the budget was spent.
    left_bytes: f64,
    /// When the bucket was last refilled.
    filled_at: Instant,
}

impl ByteBudget {
    pub(super) fn new(rate_bytes_per_s: u64, burst_bytes: u64, now: Instant) -> ByteBudget {
        ByteBudget {
            rate_bytes_per_s: rate_bytes_per_s as f64,
            burst_bytes: burst_bytes as f64,
            left_bytes: burst_bytes as f64,
            filled_at: now,
        }
    }

    /// Refills the bucket and returns the bytes that may be sent now.
    pub(super) fn left_bytes(&mut self, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let filled = self.left_bytes + elapsed * self.rate_bytes_per_s;
        self.left_bytes = filled.min(self.burst_bytes);
        self.left_bytes.max(0.0) as usize
    }

    /// Takes bytes out of the bucket, even if it becomes negative.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.left_bytes -= bytes as f64;
    }
}

/// Bytes of the call and release frames of one exchange, without content.
pub(super) const EXCHANGE_BYTES: usize = 176;
/// Bytes of the answer frame of one exchange, without content.
pub(super) const ANSWER_BYTES: usize = 136;
/// Bytes of one word of the encoding.
const WORD_BYTES: usize = 8;
/// Words of a summary in a list, without its texts.
const SUMMARY_WORDS: usize = 5;
/// Words of a description in a list, without its texts and servers.
const ENTRY_WORDS: usize = 18;
/// Words of a server in a description, without its texts.
const SERVER_WORDS: usize = 4;
/// Words of a delta in a list, without its texts and servers.
const DELTA_WORDS: usize = 8;

/// Returns the words of a text, which ends with a zero byte.
fn text_words(text: &str) -> usize {
    (text.len() + 1).div_ceil(WORD_BYTES)
}

/// Returns the encoded bytes of an id in a list.
pub(super) fn name_bytes(name: &str) -> usize {
    (1 + text_words(name)) * WORD_BYTES
}

/// Returns the encoded bytes of a summary in a list.
pub(super) fn summary_bytes(summary: &Summary) -> usize {
    (SUMMARY_WORDS + text_words(&summary.daemon)) * WORD_BYTES
}

/// Returns the encoded bytes of a delta in a list.
pub(super) fn delta_bytes(delta: &Delta) -> usize {
    let mut words = DELTA_WORDS + text_words(&delta.daemon);
    for server in &delta.servers {
        words += SERVER_WORDS + text_words(&server.server) + text_words(&server.service);
    }
    let removed: usize = delta.removed.iter().map(|name| name_bytes(name)).sum();
    words * WORD_BYTES + removed
}

/// Returns the encoded bytes of a description in a list.
pub(super) fn entry_bytes(entry: &DaemonEntry) -> usize {
    let mut words = ENTRY_WORDS + text_words(&entry.daemon) + text_words(&entry.domain);
    for server in &entry.servers {
        words += SERVER_WORDS + text_words(&server.server) + text_words(&server.service);
    }
    words * WORD_BYTES
}
