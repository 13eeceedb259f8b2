//! Tracks whether the HTTP library still holds unsent bytes of a connection.
//!
//! The library takes the next request once a body is in its buffer, sent or not. If the server has
//! answered without reading a long body, that request would wait behind the rest of it.

use std::cell::Cell;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite};

/// Flag that is set while bytes of a request wait for room in the socket.
#[derive(Clone, Default)]
pub(super) struct Unsent(Rc<Cell<bool>>);

impl Unsent {
    /// Returns whether no bytes wait to be sent.
    pub(super) fn is_empty(&self) -> bool {
        !self.0.get()
    }
}

/// A stream that sets the flag at each write and clears it at each flush. Its writer flushes it
/// whenever the writer's buffer is empty, and only then.
pub(super) struct UnsentTracked<S> {
    pub(super) stream: S,
    pub(super) unsent: Unsent,
}

impl<S: AsyncRead + Unpin> AsyncRead for UnsentTracked<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, bytes)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for UnsentTracked<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.unsent.0.set(true);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = flushed {
            self.unsent.0.set(false);
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
