//! Reads pipelined requests of a connection ahead, so that they run concurrently.
//!
//! The HTTP library reads a request only after the previous one is answered. Bytes that arrive
//! meanwhile are buffered here, and plain requests among them are dispatched at once. When the
//! library reads such a request, it waits for the answer to the early one, and so sends the answers
//! in order. Framing is left to the library: only plain requests are parsed here, and the first
//! other request ends the reading ahead. Until then the library gets complete requests only, so
//! that both parsers always start at the same byte.
//!
//! Whether the caller has left is decided here alone: the library sees the end of the connection
//! only while it has no unread bytes.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::Read;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use async_io::Async;
use futures::channel::oneshot;
use futures::future::{poll_fn, select, Either};
use futures::io::{AsyncRead, AsyncWrite};

use super::exchange::CallerHandle;
use super::hang_up::hung_up;
use super::plain::{parse_plain_request, PlainParse};
use crate::wire::exchange::{RawHead, WholeAnswer};

/// Buffered bytes at which reading pauses until the HTTP library takes some.
const BUFFER_LIMIT_BYTES: usize = 64 * 1024;
/// Greatest number of requests of a connection that run concurrently.
const UNANSWERED_LIMIT_COUNT: usize = 32;
/// Greatest number of bytes in one read.
const CHUNK_BYTES: usize = 8 * 1024;

/// A request that was dispatched before the HTTP library has read it.
pub(super) struct EarlyRequest {
    /// Head of the request.
    pub(super) head: RawHead,
    /// Receives the answer to the request.
    pub(super) answer: oneshot::Receiver<WholeAnswer>,
    /// Reports the caller as disconnected when dropped before the answer.
    pub(super) watch: CallerHandle,
}

/// Dispatches a request, or returns `None` if it has to be delivered in order.
pub(super) type DispatchEarly<'a> = dyn Fn(RawHead) -> Option<EarlyRequest> + 'a;

/// Bytes and requests of a connection that were read and are not answered yet.
#[derive(Default)]
pub(super) struct ReadAhead {
    /// Bytes that the HTTP library has not taken yet.
    buffer: VecDeque<u8>,
    /// Bytes at the front of the buffer that belong to requests in `waiting`.
    framed_bytes: usize,
    /// Parsed requests that the library has not read yet, in order. `None` is a request that was
    /// not dispatched early.
    waiting: VecDeque<Option<EarlyRequest>>,
    /// Requests that are not answered: those in `waiting`, and those that the library has read.
    unanswered_count: usize,
    /// When the first bytes arrived since all requests were answered. No request that is unanswered
    /// began before.
    busy_since: Option<Instant>,
    /// Set at the first request that is not plain. Bytes after it are not parsed here.
    ended: bool,
    /// Whether the caller has closed the connection.
    closed: bool,
    /// Wakes the library when bytes are ready for it.
    reader_waker: Option<Waker>,
    /// Wakes `pump` when bytes were taken or a request was answered.
    pump_waker: Option<Waker>,
    /// Wakes the task that waits until no early request is left.
    done_waker: Option<Waker>,
}

impl ReadAhead {
    /// Takes the request that the HTTP library has read now, if it was dispatched early. Counts it
    /// as unanswered if it was not parsed here.
    pub(super) fn next(&mut self) -> Option<EarlyRequest> {
        let Some(parsed) = self.waiting.pop_front() else {
            self.unanswered_count += 1;
            return None;
        };
        parsed
    }

    /// Returns a time before which no unanswered request began; `None` if no bytes have arrived.
    pub(super) fn busy_since(&self) -> Option<Instant> {
        self.busy_since
    }

    /// Returns whether the caller has closed the connection.
    pub(super) fn is_closed(&self) -> bool {
        self.closed
    }

    /// Records that the request that the library has read is answered.
    pub(super) fn record_answer(&mut self) {
        self.unanswered_count = self.unanswered_count.saturating_sub(1);
        wake(&mut self.pump_waker);
        wake(&mut self.done_waker);
    }

    /// Drops the requests that were dispatched early, and parses no others.
    pub(super) fn give_up(&mut self) {
        self.waiting.clear();
        self.ended = true;
    }

    /// Records that the caller has closed the connection, and drops what the library has not read.
    /// Returns whether requests are unanswered.
    fn close(&mut self) -> bool {
        self.closed = true;
        self.buffer.clear();
        self.framed_bytes = 0;
        wake(&mut self.reader_waker);
        self.unanswered_count > 0
    }

    /// Returns whether early requests wait behind the current one.
    pub(super) fn has_early_requests(&self) -> bool {
        self.waiting.iter().any(Option::is_some)
    }

    /// Returns whether the buffer has reached the length at which reading pauses.
    fn is_full(&self) -> bool {
        self.buffer.len() >= BUFFER_LIMIT_BYTES
    }

    /// Returns the number of bytes that the HTTP library may take.
    fn ready_bytes(&self) -> usize {
        match self.ended || self.closed {
            true => self.buffer.len(),
            false => self.framed_bytes,
        }
    }

    /// Parses and dispatches the plain requests that have arrived completely. An incomplete head is
    /// kept until the rest has arrived; one that fills the buffer is left to the library, which
    /// refuses it.
    fn dispatch_requests(&mut self, dispatch_early: &DispatchEarly<'_>) {
        while !self.ended && self.unanswered_count < UNANSWERED_LIMIT_COUNT {
            let unframed = &self.buffer.make_contiguous()[self.framed_bytes..];
            if unframed.is_empty() {
                break;
            }
            let (head, length_bytes) = match parse_plain_request(unframed) {
                PlainParse::Request { head, length_bytes } => (head, length_bytes),
                PlainParse::Incomplete if unframed.len() < BUFFER_LIMIT_BYTES => break,
                PlainParse::Incomplete | PlainParse::Other => {
                    self.ended = true;
                    break;
                }
            };
            self.framed_bytes += length_bytes;
            self.unanswered_count += 1;
            self.waiting.push_back(dispatch_early(head));
        }
        if self.ready_bytes() > 0 {
            wake(&mut self.reader_waker);
        }
    }
}

/// Wakes and clears a waker, if it is set.
fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

/// Reads the connection and dispatches requests until the caller has closed it. Completes then if
/// requests are unanswered, and otherwise never, as the library ends the connection.
pub(super) async fn pump(
    stream: &Async<TcpStream>,
    ahead: &RefCell<ReadAhead>,
    dispatch_early: &DispatchEarly<'_>,
) {
    loop {
        ahead.borrow_mut().dispatch_requests(dispatch_early);
        let read = std::pin::pin!(read_chunk(stream, ahead));
        let changed = std::pin::pin!(changed(ahead));
        let ended = match select(read, changed).await {
            Either::Left((ended, _)) => ended,
            Either::Right(_) => continue,
        };
        if ended {
            break;
        }
    }
    let left_unanswered = ahead.borrow_mut().close();
    if !left_unanswered {
        std::future::pending::<()>().await;
    }
}

/// Reads the bytes that have arrived into the buffer; while it is full, only waits for the end of
/// the connection. Returns whether the caller has closed its side or the connection broke.
async fn read_chunk(stream: &Async<TcpStream>, ahead: &RefCell<ReadAhead>) -> bool {
    let full = ahead.borrow().is_full();
    if full {
        hung_up(stream).await;
        return true;
    }
    let read = |mut socket: &TcpStream| {
        let mut chunk = [0; CHUNK_BYTES];
        let length = socket.read(&mut chunk)?;
        let mut state = ahead.borrow_mut();
        state.buffer.extend(&chunk[..length]);
        if state.unanswered_count == 0 {
            state.busy_since = Some(Instant::now());
        }
        Ok(length)
    };
    stream
        .read_with(read)
        .await
        .map_or(true, |length| length == 0)
}

/// Waits until bytes were taken or a request was answered.
async fn changed(ahead: &RefCell<ReadAhead>) {
    let mut waited = false;
    poll_fn(|context| {
        if std::mem::replace(&mut waited, true) && ahead.borrow().pump_waker.is_none() {
            return Poll::Ready(());
        }
        ahead.borrow_mut().pump_waker = Some(context.waker().clone());
        Poll::Pending
    })
    .await;
}

/// Waits until no early request waits behind another one.
pub(super) async fn early_requests_done(ahead: &RefCell<ReadAhead>) {
    poll_fn(|context| {
        let mut state = ahead.borrow_mut();
        if !state.has_early_requests() {
            return Poll::Ready(());
        }
        state.done_waker = Some(context.waker().clone());
        Poll::Pending
    })
    .await;
}

/// The connection's stream for the HTTP library, which reads from the buffer.
pub(super) struct ReadAheadStream {
    /// Socket of the connection; writes go to it directly.
    pub(super) stream: Rc<Async<TcpStream>>,
    /// Buffer that the connection's reader fills.
    pub(super) ahead: Rc<RefCell<ReadAhead>>,
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let mut state = self.ahead.borrow_mut();
        let ready_bytes = state.ready_bytes();
        if ready_bytes == 0 && !state.closed {
            state.reader_waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        let limit_bytes = ready_bytes.min(bytes.len());
        let length = state.buffer.read(&mut bytes[..limit_bytes])?;
        state.framed_bytes = state.framed_bytes.saturating_sub(length);
        wake(&mut state.pump_waker);
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut &*self.stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(context)
    }
}
