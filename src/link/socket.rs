//! A socket shared by its reader, its writer and the code that closes it.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_io::Async;
use futures::io::{AsyncRead, AsyncWrite};

/// A connected TCP socket; clones refer to the same socket.
#[derive(Clone)]
pub(super) struct Socket(Arc<Async<TcpStream>>);

impl Socket {
    /// Wraps a connected stream and disables Nagle's algorithm, so that small messages are sent at
    /// once.
    pub(super) fn new(stream: Async<TcpStream>) -> Socket {
        // If the option can't be set, messages are only delayed.
        let _ = stream.get_ref().set_nodelay(true);
        Socket(Arc::new(stream))
    }

    /// Shuts down both directions of the socket.
    pub(super) fn close(&self) {
        // An error means that the socket is closed already.
        let _ = self.0.get_ref().shutdown(Shutdown::Both);
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(context, buffer)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_close(context)
    }
}
