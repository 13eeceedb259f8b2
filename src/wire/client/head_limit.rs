//! A stream that ends once too many bytes came without the head of an answer.
//!
//! The HTTP library skips interim answers, and reads on for as long as there are any without giving
//! other calls a turn.

use std::cell::Cell;
use std::io::{ErrorKind, Result};
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use async_io::Async;
use futures::io::{AsyncRead, AsyncWrite};

/// Bytes that may come before a head is whole. Heads have a lower limit of their own; reads may
/// hold a part of the body, too.
const LIMIT_BYTES: usize = 256 * 1024;

/// What may still come before the head of the present answer.
#[derive(Clone)]
pub(super) struct HeadBudget(Rc<Cell<Option<usize>>>);

impl HeadBudget {
    pub(super) fn new() -> HeadBudget {
        HeadBudget(Rc::new(Cell::new(None)))
    }

    /// A request is sent, and a head is due.
    pub(super) fn begin(&self) {
        self.0.set(Some(LIMIT_BYTES));
    }

    /// The head has come.
    pub(super) fn end(&self) {
        self.0.set(None);
    }

    /// Whether more came than any head takes.
    pub(super) fn is_spent(&self) -> bool {
        self.0.get() == Some(0)
    }

    fn take(&self, bytes: usize) {
        let left = self.0.get();
        self.0.set(left.map(|left| left.saturating_sub(bytes)));
    }
}

/// A connection's stream with its budget.
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
