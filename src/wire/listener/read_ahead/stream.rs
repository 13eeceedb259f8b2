//! The stream from which the HTTP library reads what was read ahead.

use std::cell::RefCell;
use std::io::Read;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use async_io::Async;
use futures::io::{AsyncRead, AsyncWrite};

use super::{wake, ReadAhead};

/// Greatest number of bytes in one read of heads. The library's buffer grows when a read fills it.
const HEAD_READ_BYTES: usize = 8 * 1024;

/// The connection's stream for the HTTP library, which reads from the buffer.
pub(in crate::wire::listener) struct ReadAheadStream {
    /// Socket of the connection; writes go to it directly.
    pub(in crate::wire::listener) stream: Rc<Async<TcpStream>>,
    /// Buffer that the connection's reader fills.
    pub(in crate::wire::listener) ahead: Rc<RefCell<ReadAhead>>,
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
        let read_bytes = match state.body_incomplete {
            true => ready_bytes,
            false => ready_bytes.min(HEAD_READ_BYTES),
        };
        let limit_bytes = read_bytes.min(bytes.len());
        let length = state.buffer.read(&mut bytes[..limit_bytes])?;
        state.framed_bytes = state.framed_bytes.saturating_sub(length);
        if !state.body_incomplete {
            state.library_bytes += length;
        }
        state.shrink();
        state.charge();
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
        let written = Pin::new(&mut &*self.stream).poll_write(context, bytes);
        let mut state = self.ahead.borrow_mut();
        if std::mem::replace(&mut state.write_blocked, written.is_pending()) {
            wake(&mut state.pump_waker);
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(context)
    }
}
