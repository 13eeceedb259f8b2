//! Reads a connection ahead of its answers, so that requests behind each other run side by side.
//!
//! The HTTP library reads the next request when the one before is answered. What comes meanwhile is
//! buffered here, and plain requests in it are handed out at once; the library then finds their
//! answers waiting when it gets to them, and sends them in order. Framing stays the library's: only
//! requests without a body and without headers of the connection are looked at, and the first other
//! one ends the reading ahead. Until then the library gets whole requests alone, so that both always
//! begin at the same byte.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::Read;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use async_io::Async;
use futures::channel::oneshot;
use futures::future::{poll_fn, select, Either};
use futures::io::{AsyncRead, AsyncWrite};

use super::exchange::LeaveWatch;
use super::plain::{plain_request, Plain};
use crate::wire::exchange::{RawHead, WholeAnswer};

/// Bytes of a connection that are held for the HTTP library.
const BUFFER_LIMIT_BYTES: usize = 64 * 1024;
/// Requests of a connection that run at a time.
const UNANSWERED_LIMIT_COUNT: usize = 32;
/// Most bytes of one read.
const CHUNK_BYTES: usize = 8 * 1024;

/// A request that was handed out before the HTTP library has read it.
pub(super) struct HandedOut {
    pub(super) head: RawHead,
    pub(super) answer: oneshot::Receiver<WholeAnswer>,
    pub(super) watch: LeaveWatch,
}

/// Hands a request out; gives nothing where it is to wait its turn.
pub(super) type HandOut<'a> = dyn Fn(RawHead) -> Option<HandedOut> + 'a;

/// What was read of a connection and not answered yet.
#[derive(Default)]
pub(super) struct ReadAhead {
    /// What the HTTP library has not taken yet.
    buffer: VecDeque<u8>,
    /// Bytes at the front of the buffer that belong to requests in `waiting`.
    framed_bytes: usize,
    /// Requests that were found, in order, and that the library has not got to: those that were
    /// handed out, and nothing for those that wait their turn.
    waiting: VecDeque<Option<HandedOut>>,
    /// Requests found and not answered, those in `waiting` among them.
    unanswered_count: usize,
    /// Set once a request came that is not plain. What follows is not looked at.
    ended: bool,
    /// Whether the caller has closed the connection.
    closed: bool,
    /// Wakes the library once bytes are ready for it.
    reader: Option<Waker>,
    /// Wakes the pump once bytes were taken or a request was answered.
    pump: Option<Waker>,
    /// Wakes whoever waits for the end of what was handed out.
    settled: Option<Waker>,
}

impl ReadAhead {
    /// The request that the HTTP library has got to now, if it was handed out.
    pub(super) fn next(&mut self) -> Option<HandedOut> {
        self.waiting.pop_front().flatten()
    }

    /// The request that the library has got to is answered.
    pub(super) fn answered(&mut self) {
        self.unanswered_count = self.unanswered_count.saturating_sub(1);
        wake(&mut self.pump);
        wake(&mut self.settled);
    }

    /// Drops the requests that were handed out, and looks at no others.
    pub(super) fn give_up(&mut self) {
        self.waiting.clear();
        self.ended = true;
    }

    /// The caller has closed the connection. Says whether it left requests unanswered.
    fn close(&mut self) -> bool {
        self.closed = true;
        wake(&mut self.reader);
        self.unanswered_count > 0
    }

    /// Whether requests that were handed out wait behind the present one.
    pub(super) fn owes_more(&self) -> bool {
        self.waiting.iter().any(Option::is_some)
    }

    fn is_full(&self) -> bool {
        self.buffer.len() >= BUFFER_LIMIT_BYTES
    }

    /// Bytes that the HTTP library may take.
    fn ready_bytes(&self) -> usize {
        match self.ended || self.closed {
            true => self.buffer.len(),
            false => self.framed_bytes,
        }
    }

    /// Finds the plain requests that have come whole. A part of one is kept while others run, and
    /// left to the library, which limits how long it may take, when none does.
    fn find_requests(&mut self, hand_out: &HandOut<'_>) {
        while !self.ended && self.unanswered_count < UNANSWERED_LIMIT_COUNT {
            let unframed = &self.buffer.make_contiguous()[self.framed_bytes..];
            if unframed.is_empty() {
                break;
            }
            let (head, length_bytes) = match plain_request(unframed) {
                Plain::Request { head, length_bytes } => (head, length_bytes),
                Plain::Incomplete if self.unanswered_count > 0 => break,
                Plain::Incomplete | Plain::Other => {
                    self.ended = true;
                    break;
                }
            };
            self.framed_bytes += length_bytes;
            self.unanswered_count += 1;
            self.waiting.push_back(hand_out(head));
        }
        if self.ready_bytes() > 0 {
            wake(&mut self.reader);
        }
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

/// Reads the connection until the caller leaves requests unanswered.
pub(super) async fn pump(
    stream: &Async<TcpStream>,
    ahead: &RefCell<ReadAhead>,
    hand_out: &HandOut<'_>,
) {
    loop {
        ahead.borrow_mut().find_requests(hand_out);
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
    let left = ahead.borrow_mut().close();
    if !left {
        std::future::pending::<()>().await;
    }
}

/// Reads what has come. Says whether the caller has closed its side or the connection broke.
async fn read_chunk(stream: &Async<TcpStream>, ahead: &RefCell<ReadAhead>) -> bool {
    poll_fn(|_| match ahead.borrow().is_full() {
        true => Poll::Pending,
        false => Poll::Ready(()),
    })
    .await;
    let read = |mut socket: &TcpStream| {
        let mut chunk = [0; CHUNK_BYTES];
        let length = socket.read(&mut chunk)?;
        let mut state = ahead.borrow_mut();
        state.buffer.extend(&chunk[..length]);
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
        if std::mem::replace(&mut waited, true) && ahead.borrow().pump.is_none() {
            return Poll::Ready(());
        }
        ahead.borrow_mut().pump = Some(context.waker().clone());
        Poll::Pending
    })
    .await;
}

/// Waits until no request that was handed out waits behind another.
pub(super) async fn settled(ahead: &RefCell<ReadAhead>) {
    poll_fn(|context| {
        let mut state = ahead.borrow_mut();
        if !state.owes_more() {
            return Poll::Ready(());
        }
        state.settled = Some(context.waker().clone());
        Poll::Pending
    })
    .await;
}

/// The connection as the HTTP library sees it.
pub(super) struct AheadStream {
    pub(super) stream: Rc<Async<TcpStream>>,
    pub(super) ahead: Rc<RefCell<ReadAhead>>,
}

impl AsyncRead for AheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let mut state = self.ahead.borrow_mut();
        let ready_bytes = state.ready_bytes();
        if ready_bytes == 0 && !state.closed {
            state.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let limit_bytes = ready_bytes.min(bytes.len());
        let length = state.buffer.read(&mut bytes[..limit_bytes])?;
        state.framed_bytes = state.framed_bytes.saturating_sub(length);
        wake(&mut state.pump);
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for AheadStream {
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
