//! A body that must be read before a deadline.

use std::io::{ErrorKind, Read};
use std::time::Instant;

/// Reads from a source until a deadline; an error afterwards, so that a slow sender ends too.
pub struct DeadlineReader<'a> {
    source: &'a mut dyn Read,
    deadline_at: Instant,
}

impl<'a> DeadlineReader<'a> {
    /// A reader of this source until then.
    pub fn new(source: &'a mut dyn Read, deadline_at: Instant) -> DeadlineReader<'a> {
        DeadlineReader {
            source,
            deadline_at,
        }
    }
}

impl Read for DeadlineReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if Instant::now() >= self.deadline_at {
            return Err(ErrorKind::TimedOut.into());
        }
        self.source.read(buffer)
    }
}
