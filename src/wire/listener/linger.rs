//! The end of a connection whose caller may still send the body of an answered request.
//!
//! Closing with unread bytes resets the connection, and the caller may lose the answer.

use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures::future::select;

/// Longest wait for the caller to stop.
const LINGER_LIMIT: Duration = Duration::from_secs(2);
/// Most bytes of one read.
const CHUNK_BYTES: usize = 16 * 1024;

/// Tells the caller that no more is sent, and reads and drops what comes until the caller has closed its side or the time is over.
pub(super) async fn linger(stream: &Async<TcpStream>) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        // The connection has ended.
        return;
    }
    let draining = std::pin::pin!(drain(stream));
    let late = std::pin::pin!(Timer::after(LINGER_LIMIT));
    select(draining, late).await;
}

async fn drain(stream: &Async<TcpStream>) {
    let mut chunk = [0; CHUNK_BYTES];
    // Waiting for each chunk gives other connections a turn.
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
