//! Limits the bytes that may be received before the head of an answer is complete.
//!
//! The HTTP library skips interim answers, and keeps reading as long as there are any, without
//! letting other calls run meanwhile.

use std::cell::Cell;
use std::io::{ErrorKind, Result};
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use async_io::Async;
use futures::io::{AsyncRead, AsyncWrite};

/// Bytes that may be received before a head is complete. Heads have a lower limit of their own, but
/// a read may also contain a part of the body.
const LIMIT_BYTES: usize = 256 * 1024;

/// Bytes that may still be received before the head of the current answer is complete; unlimited
/// while no head is due.
#[derive(Clone)]
pub(super) struct HeadBudget(Rc<Cell<Option<usize>>>);

impl HeadBudget {
    pub(super) fn new() -> HeadBudget {
        HeadBudget(Rc::new(Cell::new(None)))
    }

    /// Starts the limit, because a request is sent and a head is due.
    pub(super) fn begin(&self) {
        self.0.set(Some(LIMIT_BYTES));
    }

    /// Lifts the limit, because the head has arrived.
    pub(super) fn end(&self) {
        self.0.set(None);
    }

    /// Returns whether the limit is reached.
    pub(super) fn is_spent(&self) -> bool {
        self.0.get() == Some(0)
    }

    /// Subtracts bytes that were received.
    fn take(&self, bytes: usize) {
        let left = self.0.get();
        self.0.set(left.map(|left| left.saturating_sub(bytes)));
    }
}

/// A connection's stream whose reads fail once the budget is spent.
pub(super) struct HeadLimited {
    pub(super) stream: Async<TcpStream>,
    pub(super) budget: HeadBudget,
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<Result<usize>> {
        if self.budget.is_spent() {
            return Poll::Ready(Err(ErrorKind::InvalidData.into()));
        }
        let read = Pin::new(&mut self.stream).poll_read(context, bytes);
        if let Poll::Ready(Ok(length)) = read {
            self.budget.take(length);
        }
        read
    }
}

impl AsyncWrite for HeadLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
