//! Reads the bodies of requests, whole or in parts, within the memory budget of the listener.

use std::net::SocketAddr;

use async_io::Timer;
use futures::future::{select, Either};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};

use super::read_ahead::BUFFER_LIMIT_BYTES;
use super::ListenerOptions;
use crate::error::ErrorKind;
use crate::wire::exchange::RawHead;
use crate::wire::memory_budget::{MemoryBudget, MemoryHold, SMALL_HOLD_BYTES};

/// The part of a body that is read before its request is delivered.
pub(super) enum EagerBody {
    /// The complete body, which may be empty.
    Whole(Bytes),
    /// Nothing, because the body is read in parts.
    Long {
        /// Announced length of the body.
        length_bytes: u64,
        /// Empty; charges the parts to the budget until it is dropped.
        charge: Bytes,
    },
}

/// Parts of a body that may be read before they are taken.
pub(super) const BODY_RING_COUNT: usize = 4;
/// Bytes that are charged for a body in parts: its ring, the part that waits for room in it, and the
/// buffers of the connection and of the HTTP library.
const STREAM_HOLD_BYTES: usize = (BODY_RING_COUNT + 3) * BUFFER_LIMIT_BYTES;

/// Reads a body completely before its request is delivered, so that a slow sender occupies no
/// other resources of the daemon. A longer body is left to be read in parts.
pub(super) async fn read_eager_body(
    options: &ListenerOptions,
    peer: SocketAddr,
    head: &mut RawHead,
    incoming: &mut Incoming,
) -> Result<EagerBody, ErrorKind> {
    let host = SocketAddr::new(peer.ip(), 0);
    let limit_bytes = options.eager_body_limit_bytes;
    match head.body_bytes {
        Some(0) => return Ok(EagerBody::Whole(Bytes::new())),
        Some(length_bytes) if length_bytes > limit_bytes => {
            return charge_stream(&options.budget, host, length_bytes);
        }
        None if !options.chunked_bodies => return Err(ErrorKind::LengthRequired),
        _ => {}
    }
    let mut body = HeldBody {
        budget: &options.budget,
        host,
        limit_bytes: limit_bytes as usize,
        bytes: Vec::new(),
        hold: None,
    };
    if let Some(length_bytes) = head.body_bytes {
        let reserved = body.reserve(length_bytes as usize);
        let has_room = options.budget.has_room(STREAM_HOLD_BYTES);
        if reserved.is_err() && options.stream_beyond_budget && has_room {
            options.metrics.count("listener.body.streamed");
            return charge_stream(&options.budget, host, length_bytes);
        }
        reserved?;
    }
    let reading = std::pin::pin!(body.read(incoming));
    let timeout = std::pin::pin!(Timer::after(options.body_timeout));
    let bytes = match select(reading, timeout).await {
        Either::Left((bytes, _)) => bytes?,
        Either::Right(_) => return Err(ErrorKind::ShortUpload),
    };
    head.body_bytes = Some(bytes.len() as u64);
    Ok(EagerBody::Whole(bytes))
}

/// Charges a body that is read in parts to the budget.
fn charge_stream(
    budget: &MemoryBudget,
    host: SocketAddr,
    length_bytes: u64,
) -> Result<EagerBody, ErrorKind> {
    let hold = budget.hold(host);
    let charged_bytes = length_bytes.min(STREAM_HOLD_BYTES as u64);
    hold.resize(charged_bytes as usize)
        .map_err(|_| ErrorKind::Busy)?;
    let charge = hold.settle(Vec::new()).map_err(|_| ErrorKind::Busy)?;
    Ok(EagerBody::Long {
        length_bytes,
        charge,
    })
}

/// A body that arrives, and its charge to the budget.
struct HeldBody<'a> {
    /// Budget that the body is charged to.
    budget: &'a MemoryBudget,
    /// Host that sends the body.
    host: SocketAddr,
    /// Greatest length of the body.
    limit_bytes: usize,
    /// The bytes that have arrived. Their capacity is charged, unless it is small.
    bytes: Vec<u8>,
    /// The charge; `None` while the capacity is at most `SMALL_HOLD_BYTES`.
    hold: Option<MemoryHold>,
}

impl HeldBody<'_> {
    /// Reads the body to its end and returns it.
    async fn read(mut self, incoming: &mut Incoming) -> Result<Bytes, ErrorKind> {
        loop {
            let frame = std::pin::pin!(incoming.frame());
            let frame = match select(frame, std::pin::pin!(self.evicted())).await {
                Either::Left((frame, _)) => frame,
                Either::Right(_) => return Err(ErrorKind::Busy),
            };
            let Some(frame) = frame else {
                return self.settle();
            };
            let frame = frame.map_err(|_| ErrorKind::ShortUpload)?;
            if let Ok(data) = frame.into_data() {
                self.append(&data)?;
            }
        }
    }

    /// Completes when the body has to be given up.
    async fn evicted(&self) {
        match &self.hold {
            Some(hold) => hold.evicted().await,
            None => std::future::pending().await,
        }
    }

    /// Appends bytes that have arrived.
    fn append(&mut self, data: &[u8]) -> Result<(), ErrorKind> {
        let length_bytes = self.bytes.len() + data.len();
        if length_bytes > self.limit_bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
        if length_bytes > self.bytes.capacity() {
            let doubled_bytes = 2 * self.bytes.capacity();
            self.reserve(length_bytes.max(doubled_bytes).min(self.limit_bytes))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Charges and allocates room for a body of this length.
    fn reserve(&mut self, length_bytes: usize) -> Result<(), ErrorKind> {
        if length_bytes > SMALL_HOLD_BYTES {
            let hold = self.hold.get_or_insert_with(|| self.budget.hold(self.host));
            hold.resize(length_bytes).map_err(|_| ErrorKind::Busy)?;
        }
        self.bytes.reserve_exact(length_bytes - self.bytes.len());
        Ok(())
    }

    /// Returns the complete body, which stays charged until its last clone is dropped.
    fn settle(mut self) -> Result<Bytes, ErrorKind> {
        self.bytes.shrink_to_fit();
        let Some(hold) = self.hold else {
            return Ok(self.bytes.into());
        };
        hold.resize(self.bytes.len()).map_err(|_| ErrorKind::Busy)?;
        hold.settle(self.bytes).map_err(|_| ErrorKind::Busy)
    }
}
