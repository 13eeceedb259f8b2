//! The link's thread: runs a single-threaded executor that owns all peer connections.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};

use super::accepted::Acceptor;
use super::caller::{Caller, PeerKey};
use super::connection::DialContext;
use super::message::{LinkMessage, PeerHandler, PeerName};
use super::reply::PendingReply;
use crate::metrics::Metrics;
use crate::ring::TaskReceiver;
use crate::settings::link::LinkSettings;
use crate::wire::proof::FleetKey;

/// Settings, identity and collaborators of the link's thread.
pub struct LinkContext {
    /// Limits and timeouts of peer connections.
    pub settings: LinkSettings,
    /// This daemon with the incarnation that it started with. A snapshot of the fleet may have a
    /// later one.
    pub own: PeerName,
    /// Signs and verifies the proofs of the handshake.
    pub key: FleetKey,
    /// Counters of calls, connections and refusals.
    pub metrics: Metrics,
    /// Answers the requests of peers; called on the link's thread, so it must not block.
    pub handler: Arc<dyn PeerHandler>,
}

/// Binds the listening socket for connections from peers.
pub fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).map_err(|error| eyre::eyre!("can't listen at {address}: {error}"))
}

/// Runs the link until it receives `LinkMessage::Stop` or the ring is closed.
pub fn run(context: &LinkContext, listener: TcpListener, messages: &TaskReceiver<LinkMessage>) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(context, &executor, listener, messages)));
}

/// Accepts connections and starts the calls that messages ask for, until `LinkMessage::Stop`.
async fn serve(
    context: &LinkContext,
    executor: &Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    messages: &TaskReceiver<LinkMessage>,
) {
    let dial = DialContext {
        settings: context.settings.clone(),
        own: RefCell::new(context.own.clone()),
        key: context.key.clone(),
        metrics: context.metrics.clone(),
    };
    let caller = Caller::new(dial, executor);
    let acceptor = Rc::new(Acceptor {
        caller: caller.clone(),
        handler: context.handler.clone(),
        open_count: Cell::new(0),
    });
    match Async::new(listener) {
        Ok(listener) => executor
            .spawn(accept(listener, acceptor, Rc::downgrade(executor)))
            .detach(),
        Err(error) => log::error!("the peer link can't accept: {error}"),
    }
    while let Some(message) = messages.next().await {
        match message {
            LinkMessage::Stop => return,
            LinkMessage::Fleet(fleet) => caller.set_fleet(fleet),
            LinkMessage::Call { to, request, reply } => {
                let call =
                    caller
                        .clone()
                        .call(PeerKey::Daemon(to), request, PendingReply::new(reply));
                executor.spawn(call).detach();
            }
            LinkMessage::CallSeed {
                address,
                request,
                reply,
            } => {
                let call =
                    caller
                        .clone()
                        .call(PeerKey::Seed(address), request, PendingReply::new(reply));
                executor.spawn(call).detach();
            }
        }
    }
}

/// Accepts connections and serves each in a task of its own.
async fn accept(
    listener: Async<TcpListener>,
    acceptor: Rc<Acceptor>,
    executor: std::rc::Weak<LocalExecutor<'static>>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("the peer link can't accept: {error}");
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(executor) = executor.upgrade() else {
            return;
        };
        executor.spawn(acceptor.clone().serve(stream)).detach();
    }
}

/// Wait after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
