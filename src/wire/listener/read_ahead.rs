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

mod stream;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::pin::pin;
use std::task::{Poll, Waker};
use std::time::Instant;

use async_io::Async;
use futures::channel::oneshot;
use futures::future::{poll_fn, select, Either};

use super::exchange::CallerHandle;
use super::hang_up::hung_up;
use super::plain::{parse_plain_request, PlainParse};
use crate::wire::exchange::{RawHead, WholeAnswer};
use crate::wire::memory_budget::{MemoryBudget, MemoryHold, SMALL_HOLD_BYTES};
pub(super) use stream::ReadAheadStream;

/// Buffered bytes at which reading pauses until the HTTP library takes some.
pub(super) const BUFFER_LIMIT_BYTES: usize = 64 * 1024;
/// The same for bytes that only the library parses and that belong to no body.
const UNPARSED_LIMIT_BYTES: usize = 8 * 1024;
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

/// A request that was parsed before the HTTP library has read it.
struct Parsed {
    /// Length of the request.
    length_bytes: usize,
    /// The request; `None` if it was not dispatched early.
    early: Option<EarlyRequest>,
}

/// Bytes and requests of a connection that were read and are not answered yet.
pub(super) struct ReadAhead {
    /// Budget that the bytes are charged to.
    budget: MemoryBudget,
    /// Host of the caller.
    host: SocketAddr,
    /// The charge; `None` while at most `SMALL_HOLD_BYTES` are held.
    hold: Option<MemoryHold>,
    /// Whether bytes were dropped because the budget was exhausted. No others are read then.
    shed: bool,
    /// Whether the library reads a body. Its bytes are charged elsewhere and are never dropped.
    body_incomplete: bool,
    /// Bytes that the library has taken beyond the requests that it has read, if no body is
    /// incomplete.
    library_bytes: usize,
    /// Whether the caller does not take the bytes of an answer.
    write_blocked: bool,
    /// Bytes that the HTTP library has not taken yet.
    buffer: VecDeque<u8>,
    /// Bytes at the front of the buffer that belong to requests in `waiting`.
    framed_bytes: usize,
    /// Parsed requests that the library has not read yet, in order.
    waiting: VecDeque<Parsed>,
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
    /// Returns the state of a connection on which nothing was read yet.
    pub(super) fn new(budget: MemoryBudget, peer: SocketAddr) -> ReadAhead {
        ReadAhead {
            budget,
            host: SocketAddr::new(peer.ip(), 0),
            hold: None,
            shed: false,
            body_incomplete: false,
            library_bytes: 0,
            busy_since: None,
            write_blocked: false,
            buffer: VecDeque::new(),
            framed_bytes: 0,
            waiting: VecDeque::new(),
            unanswered_count: 0,
            ended: false,
            closed: false,
            reader_waker: None,
            pump_waker: None,
            done_waker: None,
        }
    }

    /// Takes the request that the HTTP library has read now, if it was dispatched early. Counts it
    /// as unanswered if it was not parsed here.
    pub(super) fn next(&mut self) -> Option<EarlyRequest> {
        let Some(parsed) = self.waiting.pop_front() else {
            self.unanswered_count += 1;
            self.library_bytes = 0;
            return None;
        };
        self.library_bytes = self.library_bytes.saturating_sub(parsed.length_bytes);
        parsed.early
    }

    /// Returns whether the caller may still send the body of the request that the library has read.
    pub(super) fn body_incomplete(&self) -> bool {
        self.body_incomplete
    }

    /// Sets whether the caller may still send the body of the request that the library has read.
    pub(super) fn set_body_incomplete(&mut self, incomplete: bool) {
        self.body_incomplete = incomplete;
        wake(&mut self.pump_waker);
    }

    /// Returns whether bytes were dropped because the memory budget was exhausted.
    pub(super) fn is_shed(&self) -> bool {
        self.shed
    }

    /// Charges the bytes that are held to the budget, and drops what can be dropped if they don't
    /// fit.
    fn charge(&mut self) {
        self.charge_with(match self.buffer.is_empty() {
            true => 0,
            false => self.buffer.capacity(),
        });
    }

    /// Does the same for a buffer of this capacity.
    fn charge_with(&mut self, buffer_bytes: usize) {
        let held_bytes = buffer_bytes + self.library_bytes;
        if held_bytes <= SMALL_HOLD_BYTES || self.body_incomplete || self.shed {
            self.hold = None;
            return;
        }
        let hold = self.hold.get_or_insert_with(|| self.budget.hold(self.host));
        if hold.resize(held_bytes).is_err() {
            self.shed();
        }
    }

    /// Appends bytes that were read, or drops them if the budget has no room for them. The buffer
    /// grows once only, which keeps the memory of many connections from being fragmented.
    fn push(&mut self, bytes: &[u8]) {
        let length_bytes = self.buffer.len() + bytes.len();
        if length_bytes > self.buffer.capacity() && length_bytes > SMALL_HOLD_BYTES {
            self.charge_with(BUFFER_LIMIT_BYTES);
            if self.shed {
                return;
            }
            self.buffer
                .reserve_exact(BUFFER_LIMIT_BYTES - self.buffer.len());
        }
        self.buffer.extend(bytes);
        self.charge();
    }

    /// Drops the requests that were not dispatched. The connection ends after the answers to the
    /// other ones.
    fn shed(&mut self) {
        self.hold = None;
        self.shed = true;
        self.buffer.truncate(self.framed_bytes);
        self.buffer.shrink_to_fit();
        wake(&mut self.pump_waker);
    }

    /// Returns a future that completes when the charge is evicted.
    fn evicted(&self) -> impl Future<Output = ()> {
        let evicted = self.hold.as_ref().map(MemoryHold::evicted);
        async {
            match evicted {
                Some(evicted) => evicted.await,
                None => std::future::pending().await,
            }
        }
    }

    /// Returns whether the connection has to end at once, as it waits for the rest of a head that
    /// was dropped.
    fn is_spent(&self) -> bool {
        self.shed && self.unanswered_count == 0 && !self.write_blocked
    }

    /// Frees the buffer's room beyond its bytes.
    fn shrink(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > SMALL_HOLD_BYTES {
            self.buffer = VecDeque::new();
        }
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
        self.buffer = VecDeque::new();
        self.hold = None;
        self.framed_bytes = 0;
        wake(&mut self.reader_waker);
        self.unanswered_count > 0
    }

    /// Returns whether early requests wait behind the current one.
    pub(super) fn has_early_requests(&self) -> bool {
        self.waiting.iter().any(|parsed| parsed.early.is_some())
    }

    /// Returns the number of bytes that may be read into the buffer.
    fn room_bytes(&self) -> usize {
        let limit_bytes = match self.ended && !self.body_incomplete {
            _ if self.shed => 0,
            true => UNPARSED_LIMIT_BYTES,
            false => BUFFER_LIMIT_BYTES,
        };
        limit_bytes.saturating_sub(self.buffer.len())
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
        while !self.ended && !self.shed && self.unanswered_count < UNANSWERED_LIMIT_COUNT {
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
            self.waiting.push_back(Parsed {
                length_bytes,
                early: dispatch_early(head),
            });
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
/// requests are unanswered, and otherwise never, as the library ends the connection. Also completes
/// once the connection has to end because its bytes were dropped.
pub(super) async fn pump(
    stream: &Async<TcpStream>,
    ahead: &RefCell<ReadAhead>,
    dispatch_early: &DispatchEarly<'_>,
) {
    loop {
        ahead.borrow_mut().dispatch_requests(dispatch_early);
        if ahead.borrow().is_spent() {
            return;
        }
        let evicted = pin!(ahead.borrow().evicted());
        let changed = pin!(changed(ahead));
        let read = pin!(read_chunk(stream, ahead));
        match select(read, select(changed, evicted)).await {
            Either::Left((true, _)) => break,
            Either::Left((false, _)) => {}
            Either::Right(_) => ahead.borrow_mut().charge(),
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
    let room_bytes = ahead.borrow().room_bytes();
    if room_bytes == 0 {
        hung_up(stream).await;
        return true;
    }
    let read = |mut socket: &TcpStream| {
        let mut chunk = [0; CHUNK_BYTES];
        let length = socket.read(&mut chunk[..room_bytes.min(CHUNK_BYTES)])?;
        let mut state = ahead.borrow_mut();
        if state.unanswered_count == 0 && state.buffer.is_empty() && state.library_bytes == 0 {
            state.busy_since = Some(Instant::now());
        }
        state.push(&chunk[..length]);
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
