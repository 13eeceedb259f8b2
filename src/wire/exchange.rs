//! One request taken from a listener, with the means to read its body and to answer it.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tiny_http::{Request, Response, Server};

use super::http::{reply_header, HeaderPair};

/// A whole answer: status, headers and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, without those of the connection.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: Vec<u8>,
}

/// A request that waits for its answer. Dropping it unanswered gives the caller an empty 500.
pub trait Exchange: Send {
    /// The rest of the body.
    fn body(&mut self) -> &mut dyn Read;
    /// Sends a whole answer and ends the exchange.
    fn answer(self: Box<Self>, answer: WholeAnswer);
}

/// Request line and headers, as they came.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RawHead {
    /// Method.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Headers in order.
    pub headers: Vec<HeaderPair>,
    /// Length of the body where it is known.
    pub body_bytes: Option<u64>,
    /// The caller's address.
    pub peer: Option<SocketAddr>,
}

struct TinyExchange(Request);

impl Exchange for TinyExchange {
    fn body(&mut self) -> &mut dyn Read {
        self.0.as_reader()
    }

    fn answer(self: Box<Self>, answer: WholeAnswer) {
        let mut response = Response::from_data(answer.body).with_status_code(answer.status);
        for (name, value) in &answer.headers {
            if let Some(header) = reply_header(name, value) {
                response.add_header(header);
            }
        }
        // A caller that left has nothing to be told.
        let _ = self.0.respond(response);
    }
}

/// A listener for HTTP that survives a failed accept, such as one without free descriptors.
pub struct HttpListener {
    listener: TcpListener,
    server: Mutex<Arc<Server>>,
    closed: AtomicBool,
}

impl HttpListener {
    /// Listens at an address; port 0 takes a free one.
    pub fn bind(address: SocketAddr) -> eyre::Result<HttpListener> {
        let listener =
            listen(address).map_err(|error| eyre::eyre!("can't listen at {address}: {error}"))?;
        let server = serve(&listener)?;
        Ok(HttpListener {
            listener,
            server: Mutex::new(Arc::new(server)),
            closed: AtomicBool::new(false),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a bound listener has an address")
    }

    /// Waits for the next request; none once the listener is closed.
    pub fn next(&self) -> Option<(RawHead, Box<dyn Exchange>)> {
        while !self.closed.load(Ordering::Relaxed) {
            let server = self.server.lock().expect("no panic while locked").clone();
            match server.recv() {
                Ok(request) => return Some(take(request)),
                Err(_) if self.closed.load(Ordering::Relaxed) => return None,
                Err(_) => self.reopen(&server),
            }
        }
        None
    }

    /// Takes no more requests; wakes `next`.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        let server = self.server.lock().expect("no panic while locked");
        for _ in 0..MAX_WAITERS {
            server.unblock();
        }
    }

    fn reopen(&self, failed: &Arc<Server>) {
        let mut server = self.server.lock().expect("no panic while locked");
        if !Arc::ptr_eq(&server, failed) {
            return;
        }
        std::thread::sleep(REOPEN_PAUSE);
        if let Ok(opened) = serve(&self.listener) {
            *server = Arc::new(opened);
        }
    }
}

const MAX_WAITERS: usize = 64;
const REOPEN_PAUSE: Duration = Duration::from_millis(100);
const BACKLOG_COUNT: i32 = 1024;
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
const KEEPALIVE_EVERY: Duration = Duration::from_secs(5);
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(30);

/// Accepted connections inherit the listener's options: no delay, and an end to silent peers.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
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

fn serve(listener: &TcpListener) -> eyre::Result<Server> {
    let copy = listener.try_clone()?;
    Server::from_listener(copy, None).map_err(|error| eyre::eyre!("{error}"))
}

fn take(request: Request) -> (RawHead, Box<dyn Exchange>) {
    let mut headers = Vec::with_capacity(request.headers().len());
    for header in request.headers() {
        headers.push((header.field.to_string(), header.value.to_string()));
    }
    let head = RawHead {
        method: request.method().to_string(),
        target: request.url().to_owned(),
        headers,
        body_bytes: request.body_length().map(|length| length as u64),
        peer: request.remote_addr().copied(),
    };
    (head, Box::new(TinyExchange(request)))
}
