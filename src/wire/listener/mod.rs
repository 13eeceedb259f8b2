//! HTTP listener: one thread owns all its connections and delivers requests through a ring. Several
//! listeners with little to do can share a thread.
//!
//! Connections do not need a thread each, so that callers that disconnect, heads that never end and
//! slow uploads block no thread of the daemon.

mod answer_body;
mod body;
mod connection;
mod exchange;
mod hang_up;
mod linger;
mod plain;
mod read_ahead;
mod sockets;

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use crossbeam::channel::{bounded, Receiver, RecvTimeoutError, Sender};
use futures::future::{join_all, select, Either};

use super::exchange::{Exchange, RawHead, WholeAnswer};
use super::memory_budget::MemoryBudget;
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::metrics::Metrics;
use crate::ring::spawn_duty;
use connection::Connection;

/// A received request: its head, and the exchange to read its body and to answer it.
pub(crate) type Arrival = (RawHead, Box<dyn Exchange>);

/// Receives HTTP requests from the listener's thread. Dropping it closes the listener.
pub struct HttpListener {
    /// Address at which the listener accepts connections.
    address: SocketAddr,
    /// Received requests that were not taken yet.
    arrivals: Receiver<Arrival>,
    /// Closing the channel closes the listener.
    close: async_channel::Sender<()>,
    /// Whether connections are closed after their next answer.
    winding_down: Arc<AtomicBool>,
    /// Disconnected when the thread has ended all connections.
    ended: Receiver<()>,
}

/// Options of a listener.
#[derive(Clone)]
pub struct ListenerOptions {
    /// Bodies up to this length are received completely before their request is delivered.
    pub eager_body_limit_bytes: u64,
    /// Whether chunked bodies are accepted; they must not exceed `eager_body_limit_bytes`.
    pub chunked_bodies: bool,
    /// Writes the answers to requests that the listener refuses itself.
    pub refusals: Arc<dyn Refusals>,
    /// A connection ends if no complete head has arrived for this time while no request is
    /// unanswered.
    pub head_timeout: Duration,
    /// Longest time for a body to arrive that is read before its request is delivered.
    pub body_timeout: Duration,
    /// A body in parts is given up when the caller sends nothing for this time.
    pub stall_timeout: Duration,
    /// Limit on the bytes that are held of requests: heads that are incomplete, requests that wait
    /// behind others, and bodies until their last use.
    pub budget: MemoryBudget,
    /// Whether a body that the budget can't hold is delivered in parts instead of being refused.
    pub stream_beyond_budget: bool,
    /// Counters of callers that disconnect.
    pub metrics: Metrics,
}

impl Default for ListenerOptions {
    fn default() -> Self {
        ListenerOptions {
            eager_body_limit_bytes: 65_536,
            chunked_bodies: false,
            refusals: Arc::new(FleetRefusals),
            head_timeout: HEAD_TIMEOUT,
            body_timeout: BODY_TIMEOUT,
            stall_timeout: STALL_TIMEOUT,
            budget: MemoryBudget::unlimited(),
            stream_beyond_budget: false,
            metrics: Metrics::local(),
        }
    }
}

/// Default of `ListenerOptions::head_timeout`.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Default of `ListenerOptions::body_timeout`.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Default of `ListenerOptions::stall_timeout`.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes the answers to requests that a listener refuses itself.
pub trait Refusals: Send + Sync {
    /// Returns the answer to a request that is not delivered.
    fn refuse(&self, head: &RawHead, kind: ErrorKind) -> WholeAnswer;
}

/// Writes refusals in the default dialect, as between daemons.
struct FleetRefusals;

impl Refusals for FleetRefusals {
    fn refuse(&self, _head: &RawHead, kind: ErrorKind) -> WholeAnswer {
        refusal(0, kind, None)
    }
}

/// State that all connections of a listener share.
struct Shared {
    /// Parameters of the listener.
    options: ListenerOptions,
    /// Passes received requests to the duty that takes them.
    arrivals: Sender<Arrival>,
    /// Closed when the listener takes no more connections.
    closed: async_channel::Receiver<()>,
    /// Whether connections are closed after their next answer.
    winding_down: Arc<AtomicBool>,
}

/// Requests that may wait to be taken from the listener; further ones are refused as busy.
const ARRIVAL_RING_COUNT: usize = 1024;
/// Wait after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A bound listener that no thread serves yet.
pub struct BoundListener {
    /// Handle to the listener.
    handle: HttpListener,
    /// Socket that accepts connections.
    socket: TcpListener,
    /// State of the listener's connections.
    shared: Shared,
    /// Dropped when all connections have ended.
    running: Sender<()>,
}

impl BoundListener {
    /// Listens at an address; port 0 chooses a free port.
    pub fn bind(address: SocketAddr, options: ListenerOptions) -> eyre::Result<BoundListener> {
        let listener = sockets::listen(address)
            .map_err(|error| eyre::eyre!("can't listen at {address}: {error}"))?;
        let address = listener.local_addr()?;
        let (sender, arrivals) = bounded(ARRIVAL_RING_COUNT);
        let (close, closed) = async_channel::bounded(1);
        let winding_down = Arc::new(AtomicBool::new(false));
        let (running, ended) = bounded::<()>(0);
        let shared = Shared {
            options,
            arrivals: sender,
            closed,
            winding_down: winding_down.clone(),
        };
        let handle = HttpListener {
            address,
            arrivals,
            close,
            winding_down,
            ended,
        };
        Ok(BoundListener {
            handle,
            socket: listener,
            shared,
            running,
        })
    }

    /// Starts a thread that serves this listener alone, and returns its handle.
    pub fn start(self, name: &str) -> HttpListener {
        HttpListener::start(name, vec![self]).remove(0)
    }
}

impl HttpListener {
    /// Listens at an address and starts a thread for this listener; port 0 chooses a free port.
    pub fn bind(address: SocketAddr, options: ListenerOptions) -> eyre::Result<HttpListener> {
        let bound = BoundListener::bind(address, options)?;
        let name = format!("http-{}", bound.handle.address.port());
        Ok(bound.start(&name))
    }

    /// Starts one thread that serves these listeners, and returns their handles in order.
    pub fn start(name: &str, bound: Vec<BoundListener>) -> Vec<HttpListener> {
        let mut handles = Vec::new();
        let mut parts = Vec::new();
        for listener in bound {
            handles.push(listener.handle);
            parts.push((listener.socket, listener.shared, listener.running));
        }
        spawn_duty(name, move || {
            let serve_one = |(socket, shared, running)| async move {
                serve(socket, &Rc::new(shared)).await;
                drop(running);
            };
            async_io::block_on(join_all(parts.into_iter().map(serve_one)));
        });
        handles
    }

    /// Returns the address at which the listener accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the ring of received requests, to wait for it together with others. It is closed
    /// once the listener has ended.
    pub(crate) fn arrivals(&self) -> &Receiver<Arrival> {
        &self.arrivals
    }

    /// Waits for the next request; returns `None` once the listener has ended.
    pub fn next(&self) -> Option<Arrival> {
        self.arrivals.recv().ok()
    }

    /// Closes each connection after its next answer, so that callers connect to other daemons.
    pub fn wind_down(&self) {
        self.winding_down.store(true, Ordering::Relaxed);
    }

    /// Accepts no more connections or requests; requests in progress are still answered.
    pub fn close(&self) {
        self.close.close();
    }

    /// Waits until every connection has ended; returns whether they did so before `ends_at`.
    pub fn wait_ended(&self, ends_at: Instant) -> bool {
        self.ended.recv_deadline(ends_at) == Err(RecvTimeoutError::Disconnected)
    }
}

/// Accepts connections until the listener is closed, then waits for the open ones to end.
async fn serve(listener: TcpListener, shared: &Rc<Shared>) {
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("the listening socket can't be used: {error}"),
    };
    let connections = LocalExecutor::new();
    let accepting = accept(&listener, &connections, shared);
    connections.run(accepting).await;
    drop(listener);
    while !connections.is_empty() {
        connections.tick().await;
    }
}

/// Accepts connections and serves each in a task of its own, until the listener is closed.
async fn accept(
    listener: &Async<TcpListener>,
    connections: &LocalExecutor<'_>,
    shared: &Rc<Shared>,
) {
    loop {
        let accepted = std::pin::pin!(listener.accept());
        let ended = std::pin::pin!(shared.closed.recv());
        match select(accepted, ended).await {
            Either::Right(_) => return,
            Either::Left((Ok((stream, peer)), _)) => {
                let connection = Connection::new(peer, shared.clone());
                connections.spawn(connection.run(stream)).detach();
            }
            // Open connections continue, for example when file descriptors have run out.
            Either::Left((Err(error), _)) => {
                log::debug!("a connection can't be accepted: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
