//! Detects that a caller has closed its connection while bytes before the end are still unread.

use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use rustix::event::{poll, PollFd, PollFlags, Timespec};

/// Time between two checks of a connection whose reading is paused.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until the caller has closed its sending side or the connection has broken.
pub(super) async fn hung_up(stream: &Async<TcpStream>) {
    while !has_hung_up(stream.get_ref()) {
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Returns whether the end of the connection has arrived, read or not.
fn has_hung_up(socket: &TcpStream) -> bool {
    let mut watched = [PollFd::new(socket, PollFlags::RDHUP)];
    let at_once = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    match poll(&mut watched, Some(&at_once)) {
        Ok(ready_count) => ready_count > 0,
        Err(error) => {
            log::debug!("a connection can't be checked for its end: {error}");
            false
        }
    }
}
