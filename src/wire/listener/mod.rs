//! A listener for HTTP: one thread owns all its connections and hands requests out through a ring.
//!
//! Connections wait without a thread each. A caller that leaves, a head that never ends and a
//! slow upload hold no thread of the daemon.

mod connection;
mod exchange;
mod sockets;

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use crossbeam::channel::{bounded, Receiver, Sender};
use futures::future::{select, Either};

use super::exchange::{Exchange, RawHead};
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
}

/// Bodies up to this size have come whole before their request is handed out.
pub const EAGER_BODY_BYTES: u64 = 65_536;
/// Requests that may wait to be taken from the listener; one more is refused as busy.
const ARRIVAL_RING_COUNT: usize = 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

impl HttpListener {
    /// Listens at an address; port 0 takes a free one.
    pub fn bind(address: SocketAddr) -> eyre::Result<HttpListener> {
        let listener = sockets::listen(address)
            .map_err(|error| eyre::eyre!("can't listen at {address}: {error}"))?;
        let address = listener.local_addr()?;
        let (sender, arrivals) = bounded(ARRIVAL_RING_COUNT);
        let (close, closed) = async_channel::bounded(1);
        spawn_duty(&format!("http-{}", address.port()), move || {
            async_io::block_on(serve(listener, &sender, &closed));
        });
        Ok(HttpListener {
            address,
            arrivals,
            close,
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

    /// Takes no more connections or requests; those that run are still answered.
    pub fn close(&self) {
        self.close.close();
    }
}

/// Accepts connections until the listener is closed, then waits for those that still run.
async fn serve(
    listener: TcpListener,
    arrivals: &Sender<Arrival>,
    closed: &async_channel::Receiver<()>,
) {
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("the listener can't be watched: {error}"),
    };
    let connections = LocalExecutor::new();
    let accepting = accept(&listener, &connections, arrivals, closed);
    connections.run(accepting).await;
    drop(listener);
    while !connections.is_empty() {
        connections.tick().await;
    }
}

async fn accept<'a>(
    listener: &Async<TcpListener>,
    connections: &LocalExecutor<'a>,
    arrivals: &Sender<Arrival>,
    closed: &async_channel::Receiver<()>,
) {
    loop {
        let accepted = std::pin::pin!(listener.accept());
        let ended = std::pin::pin!(closed.recv());
        match select(accepted, ended).await {
            Either::Right(_) => return,
            Either::Left((Ok((stream, peer)), _)) => {
                let connection = Connection {
                    peer,
                    arrivals: arrivals.clone(),
                    closed: closed.clone(),
                };
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
