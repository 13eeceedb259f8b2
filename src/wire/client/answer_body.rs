//! Reads the body of an answer within its limit and the client's memory budget.

use bytes::Bytes;
use futures::future::{select, Either};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};

use super::CallError;
use crate::wire::memory_budget::{Evicted, MemoryHold};

/// Greatest capacity of a part. Parts are not moved when a body grows, and the allocator reuses them
/// for other bodies.
const PART_BYTES: usize = 64 * 1024;

/// The body of an answer that is arriving.
pub(super) struct AnswerBody {
    /// Bytes that have arrived, in order. The capacities are charged before memory is allocated.
    parts: Vec<Vec<u8>>,
    /// Sum of the capacities of the parts.
    capacity_bytes: usize,
    /// Sum of the lengths of the parts; at most `limit_bytes`.
    length_bytes: usize,
    /// Bytes of the answer's headers, which are charged together with the body.
    headers_bytes: usize,
    /// Greatest length of the body.
    limit_bytes: usize,
    /// Charges the answer to the budget.
    hold: MemoryHold,
}

impl AnswerBody {
    /// Returns an empty body, with the length of the answer's headers and the limit of its own.
    pub(super) fn new(headers_bytes: usize, limit_bytes: usize, hold: MemoryHold) -> AnswerBody {
        AnswerBody {
            parts: Vec::new(),
            capacity_bytes: 0,
            length_bytes: 0,
            headers_bytes,
            limit_bytes,
            hold,
        }
    }

    /// Reads the body to its end. Fails once the answer is evicted.
    pub(super) async fn read(mut self, mut incoming: Incoming) -> Result<Bytes, CallError> {
        self.hold.resize(self.headers_bytes)?;
        while let Some(frame) = self.next_frame(&mut incoming).await? {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if self.length_bytes + data.len() > self.limit_bytes {
                return Err(CallError::AnswerTooLarge);
            }
            self.append(&data)?;
        }
        Ok(self.joined()?)
    }

    /// Waits for the next frame; returns `None` at the end of the body.
    async fn next_frame(&self, incoming: &mut Incoming) -> Result<Option<Frame<Bytes>>, CallError> {
        let evicted = std::pin::pin!(self.hold.evicted());
        match select(incoming.frame(), evicted).await {
            Either::Left((None, _)) => Ok(None),
            Either::Left((Some(Ok(frame)), _)) => Ok(Some(frame)),
            Either::Left((Some(Err(_)), _)) => Err(CallError::ShortAnswer),
            Either::Right(_) => Err(CallError::Evicted),
        }
    }

    /// Appends bytes to the last part, and to new parts once it is full.
    fn append(&mut self, mut data: &[u8]) -> Result<(), Evicted> {
        self.length_bytes += data.len();
        while !data.is_empty() {
            let room_bytes = self.make_room(data.len())?;
            let (now, later) = data.split_at(room_bytes.min(data.len()));
            if let Some(part) = self.parts.last_mut() {
                part.extend_from_slice(now);
            }
            data = later;
        }
        Ok(())
    }

    /// Returns the room in the last part, which is above 0. A full part is followed by another one,
    /// but the first grows up to `PART_BYTES`, so that short bodies take little.
    fn make_room(&mut self, wanted_bytes: usize) -> Result<usize, Evicted> {
        let part_count = self.parts.len();
        let last = self.parts.last();
        let (full_bytes, room_bytes) =
            last.map_or((0, 0), |part| (part.len(), part.capacity() - part.len()));
        if room_bytes > 0 {
            return Ok(room_bytes);
        }
        let grows = part_count == 1 && full_bytes < PART_BYTES;
        let kept_bytes = if grows { full_bytes } else { 0 };
        let new_bytes = if part_count == 0 || grows {
            let doubled_bytes = kept_bytes * 2;
            doubled_bytes.max(kept_bytes + wanted_bytes).min(PART_BYTES)
        } else {
            PART_BYTES
        };
        self.charge(self.capacity_bytes - kept_bytes + new_bytes)?;
        if !grows {
            self.parts.push(Vec::new());
        }
        if let Some(part) = self.parts.last_mut() {
            part.reserve_exact(new_bytes - kept_bytes);
        }
        Ok(new_bytes - kept_bytes)
    }

    /// Charges the headers and this capacity of the body.
    fn charge(&mut self, capacity_bytes: usize) -> Result<(), Evicted> {
        self.capacity_bytes = capacity_bytes;
        self.hold.resize(self.headers_bytes + capacity_bytes)
    }

    /// Joins the parts, and releases each as it is copied.
    fn joined(mut self) -> Result<Bytes, Evicted> {
        let mut parts = std::mem::take(&mut self.parts);
        let whole = if parts.len() == 1 {
            let mut only = parts.remove(0);
            only.shrink_to_fit();
            only
        } else {
            let mut whole = Vec::with_capacity(self.length_bytes);
            parts.into_iter().for_each(|part| whole.extend(part));
            whole
        };
        self.charge(whole.capacity())?;
        self.hold.settle(whole)
    }
}

impl From<Evicted> for CallError {
    fn from(_: Evicted) -> CallError {
        CallError::Evicted
    }
}
