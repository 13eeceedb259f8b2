//! The listening socket and its options.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

const BACKLOG_COUNT: i32 = 1024;
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
const KEEPALIVE_EVERY: Duration = Duration::from_secs(5);
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(30);

/// Accepted connections inherit the listener's options: no delay, and an end to silent peers.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG_COUNT)?;
    let options = SockRef::from(&socket);
    options.set_tcp_nodelay(true)?;
    options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    options.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_EVERY),
    )?;
    Ok(socket.into())
}
