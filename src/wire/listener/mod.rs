//! A listener for HTTP: one thread owns all its connections and hands requests out through a ring.
//!
//! Connections wait without a thread each. A caller that leaves, a head that never ends and a
//! slow upload hold no thread of the daemon.

mod connection;
mod exchange;
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
use futures::future::{select, Either};

use super::exchange::{Exchange, RawHead, WholeAnswer};
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::ring::spawn_duty;
use connection::Connection;

/// A request with its exchange.
pub(crate) type Arrival = (RawHead, Box<dyn Exchange>);

/// A listener for HTTP.
pub struct HttpListener {
    address: SocketAddr,
    arrivals: Receiver<Arrival>,
    /// Dropping the other end ends the thread.
    close: async_channel::Sender<()>,
    winding_down: Arc<AtomicBool>,
    /// Closed when the thread has ended.
    ended: Receiver<()>,
}

/// How a listener treats requests.
#[derive(Clone)]
pub struct ListenerOptions {
    /// Bodies up to this size have come whole before their request is handed out.
    pub eager_body_limit_bytes: u64,
    /// Whether bodies may come in chunks; such a body has to fit the limit above.
    pub chunked_bodies: bool,
    /// Answers of the listener itself.
    pub refusals: Arc<dyn Refusals>,
}

impl Default for ListenerOptions {
    fn default() -> Self {
        ListenerOptions {
            eager_body_limit_bytes: 65_536,
            chunked_bodies: false,
            refusals: Arc::new(FleetRefusals),
        }
    }
}

/// Words the answers that a listener gives on its own.
pub trait Refusals: Send + Sync {
    /// The answer to a request that is not handed out.
    fn refuse(&self, head: &RawHead, kind: ErrorKind) -> WholeAnswer;
}

/// Answers as daemons give them to each other.
struct FleetRefusals;

impl Refusals for FleetRefusals {
    fn refuse(&self, _head: &RawHead, kind: ErrorKind) -> WholeAnswer {
        refusal(0, kind, None)
    }
}

/// What all connections of a listener share.
struct Shared {
    options: ListenerOptions,
    arrivals: Sender<Arrival>,
    closed: async_channel::Receiver<()>,
    winding_down: Arc<AtomicBool>,
}

/// Requests that may wait to be taken from the listener; one more is refused as busy.
const ARRIVAL_RING_COUNT: usize = 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

impl HttpListener {
    /// Listens at an address; port 0 takes a free one.
    pub fn bind(address: SocketAddr, options: ListenerOptions) -> eyre::Result<HttpListener> {
        let listener = sockets::listen(address)
            .map_err(|error| eyre::eyre!("can't listen at {address}: {error}"))?;
        let address = listener.local_addr()?;
        let (sender, arrivals) = bounded(ARRIVAL_RING_COUNT);
        let (close, closed) = async_channel::bounded(1);
        let winding_down = Arc::new(AtomicBool::new(false));
        let told = winding_down.clone();
        let (running, ended) = bounded::<()>(0);
        spawn_duty(&format!("http-{}", address.port()), move || {
            let shared = Shared {
                options,
                arrivals: sender,
                closed,
                winding_down: told,
            };
            async_io::block_on(serve(listener, &Rc::new(shared)));
            drop(running);
        });
        Ok(HttpListener {
            address,
            arrivals,
            close,
            winding_down,
            ended,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next request; none once the listener is closed.
    pub fn next(&self) -> Option<Arrival> {
        self.arrivals.recv().ok()
    }

    /// Ends each connection with its next answer, so that callers turn to other daemons.
    pub fn wind_down(&self) {
        self.winding_down.store(true, Ordering::Relaxed);
    }

    /// Takes no more connections or requests; those that run are still answered.
    pub fn close(&self) {
        self.close.close();
    }

    /// Waits until every connection has ended. Says whether that was so in time.
    pub fn wait_ended(&self, ends_at: Instant) -> bool {
        self.ended.recv_deadline(ends_at) == Err(RecvTimeoutError::Disconnected)
    }
}

/// Accepts connections until the listener is closed, then waits for those that still run.
async fn serve(listener: TcpListener, shared: &Rc<Shared>) {
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("the listener can't be watched: {error}"),
    };
    let connections = LocalExecutor::new();
    let accepting = accept(&listener, &connections, shared);
    connections.run(accepting).await;
    drop(listener);
    while !connections.is_empty() {
        connections.tick().await;
    }
}

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
            // Out of descriptors or the like: those that are open go on.
            Either::Left((Err(error), _)) => {
                log::debug!("accept: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
