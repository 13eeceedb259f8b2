//! Closes a connection whose caller may still send the body of an answered request.
//!
//! Closing a socket with unread bytes resets the connection, and the caller may lose the answer.

use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures::future::select;

/// Longest wait for the caller to close its side.
const LINGER_LIMIT: Duration = Duration::from_secs(2);
/// Greatest number of bytes in one read.
const CHUNK_BYTES: usize = 16 * 1024;

/// Shuts down the sending side, then reads and discards bytes until the caller has closed its side
/// or `LINGER_LIMIT` has passed.
pub(super) async fn linger(stream: &Async<TcpStream>) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        // The connection has already ended.
        return;
    }
    let draining = std::pin::pin!(drain(stream));
    let timeout = std::pin::pin!(Timer::after(LINGER_LIMIT));
    select(draining, timeout).await;
}

/// Reads and discards bytes until the caller closes its side or the connection breaks.
async fn drain(stream: &Async<TcpStream>) {
    let mut chunk = [0; CHUNK_BYTES];
    // Awaiting each chunk lets other connections of the thread run.
    while stream.readable().await.is_ok() {
        let mut socket = stream.get_ref();
        match socket.read(&mut chunk) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
