//! Creates the listening socket and sets its options.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

/// Connections that the kernel may hold before they are accepted.
const BACKLOG_COUNT: i32 = 1024;
/// Idle time after which TCP keepalive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
/// Time between two TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// A connection ends when sent bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(30);

/// Returns a listening socket. Accepted connections inherit its options: small messages are sent at
/// once, and connections to silent peers end.
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
            .with_interval(KEEPALIVE_INTERVAL),
    )?;
    Ok(socket.into())
}
