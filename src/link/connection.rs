//! One connection from this daemon to a peer: connecting, authenticating, calling and monitoring.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use futures::channel::mpsc;
use futures::future::{select, Either, Fuse, FutureExt, LocalBoxFuture};
use futures::io::{BufReader, BufWriter};
use futures::StreamExt;

use super::codec::{read_answer, read_peer_name, write_peer_name, write_request};
use super::handshake::{new_nonce, Nonce, Role, Transcript};
use super::message::{LinkError, PeerName, PeerRequest};
use super::peer_capnp::{greeter, peer};
use super::reply::PendingReply;
use super::socket::Socket;
use super::state::{ConnectionAction, ConnectionEnd, ConnectionEvent, ConnectionState};
use crate::metrics::Metrics;
use crate::settings::link::LinkSettings;
use crate::types::Incarnation;
use crate::wire::proof::FleetKey;

/// An authenticated connection to a peer, on which calls are sent.
pub(super) struct Connection {
    /// The daemon and incarnation that answer on this connection.
    pub(super) peer: PeerName,
    /// The incarnation with which this daemon authenticated itself.
    pub(super) own_incarnation: Incarnation,
    /// RPC client for the peer's interface.
    client: peer::Client,
    socket: Socket,
    settings: LinkSettings,
    metrics: Metrics,
    state: RefCell<ConnectionState>,
    /// False once the connection is being closed; set before the socket is closed.
    open: Cell<bool>,
    /// Wakes the monitor when a call was sent, because its next tick may be earlier then.
    wake: RefCell<mpsc::Sender<()>>,
}

/// Settings and identity with which new connections are made.
pub(super) struct DialContext {
    pub(super) settings: LinkSettings,
    /// This daemon with its current incarnation.
    pub(super) own: RefCell<PeerName>,
    /// Signs and verifies the proofs of the handshake.
    pub(super) key: FleetKey,
    pub(super) metrics: Metrics,
}

impl DialContext {
    /// Returns the name of this daemon with its current incarnation.
    pub(super) fn own(&self) -> PeerName {
        self.own.borrow().clone()
    }
}

/// Awaits a future for at most `limit`; returns `None` if that time passed first.
pub(super) async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let future = std::pin::pin!(future);
    match select(future, Timer::after(limit)).await {
        Either::Left((value, _)) => Some(value),
        Either::Right(_) => None,
    }
}

/// Returns the RPC library's network over a socket, with the size limit of the settings.
pub(super) fn vat_network(
    socket: &Socket,
    side: Side,
    settings: &LinkSettings,
) -> Box<VatNetwork<BufReader<Socket>>> {
    let mut options = ReaderOptions::new();
    let limit_words = settings.message_limit_bytes / BYTES_PER_WORD;
    options.traversal_limit_in_words(Some(limit_words));
    Box::new(VatNetwork::new(
        BufReader::new(socket.clone()),
        BufWriter::new(socket.clone()),
        side,
        options,
    ))
}

/// Bytes in one word of the Cap'n Proto encoding.
pub(super) const BYTES_PER_WORD: usize = 8;

/// Connects to an address and authenticates both ends. Returns the connection, the RPC system that
/// must be polled to drive it, and the channel that wakes its monitor.
pub(super) async fn connect(
    dial: &DialContext,
    address: SocketAddr,
) -> Result<(Connection, RpcSystem<Side>, mpsc::Receiver<()>), LinkError> {
    let limit = Duration::from_millis(dial.settings.connect_timeout_ms);
    let connected = with_timeout(limit, Async::<TcpStream>::connect(address)).await;
    let Some(Ok(stream)) = connected else {
        dial.metrics.count("link.connect.failed");
        return Err(LinkError::Unreachable);
    };
    let socket = Socket::new(stream);
    let mut system = RpcSystem::new(vat_network(&socket, Side::Client, &dial.settings), None);
    let greeter: greeter::Client = system.bootstrap(Side::Server);
    let own = dial.own();
    let own_incarnation = own.incarnation;
    let proof = std::pin::pin!(authenticate(dial, own, greeter));
    let authenticated = match with_timeout(limit, select(proof, &mut system)).await {
        Some(Either::Left((Ok(authenticated), _))) => authenticated,
        Some(Either::Left((Err(error), _))) => {
            log::debug!("handshake with {address} failed: {error}");
            dial.metrics.count("link.handshake.failed");
            return Err(LinkError::Unreachable);
        }
        Some(Either::Right(_)) | None => {
            dial.metrics.count("link.handshake.failed");
            return Err(LinkError::Unreachable);
        }
    };
    let (wake, woken) = mpsc::channel(1);
    let connection = Connection {
        peer: authenticated.0,
        own_incarnation,
        client: authenticated.1,
        socket,
        settings: dial.settings.clone(),
        metrics: dial.metrics.clone(),
        state: RefCell::new(ConnectionState::new(dial.settings.clone(), Instant::now())),
        open: Cell::new(true),
        wake: RefCell::new(wake),
    };
    dial.metrics.count("link.connect.done");
    Ok((connection, system, woken))
}

/// Performs the caller's side of the handshake; returns the peer's name and its RPC client.
async fn authenticate(
    dial: &DialContext,
    own: PeerName,
    greeter: greeter::Client,
) -> Result<(PeerName, peer::Client), capnp::Error> {
    let caller_nonce = new_nonce();
    let mut challenge = greeter.challenge_request();
    write_peer_name(&own, challenge.get().init_caller());
    challenge.get().set_nonce(&caller_nonce);
    let response = challenge.send().promise.await?;
    let answer = response.get()?;
    let answerer_nonce = Nonce::try_from(answer.get_nonce()?)
        .map_err(|_| capnp::Error::failed("malformed nonce".to_owned()))?;
    let transcript = Transcript {
        caller: own,
        caller_nonce,
        answerer: read_peer_name(answer.get_answerer()?)?,
        answerer_nonce,
    };
    let proof = answer.get_proof()?;
    if !transcript.verify(&dial.key, Role::Answerer, proof) {
        dial.metrics.count("link.proof.refused");
        return Err(capnp::Error::failed(
            "the answerer's proof is wrong".to_owned(),
        ));
    }
    let mut request = greeter.prove_request();
    let own_proof = transcript.sign(&dial.key, Role::Caller);
    request.get().set_proof(&own_proof);
    let response = request.send().promise.await?;
    Ok((transcript.answerer, response.get()?.get_peer()?))
}

impl Connection {
    /// Returns whether new calls may be sent on this connection.
    pub(super) fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Closes the connection if no call is in flight; otherwise it ends once it is idle.
    pub(super) fn close_unused(&self) {
        if self.state.borrow().in_flight_count() == 0 {
            self.close();
        }
    }

    /// Applies an event that requires no action, and wakes the monitor after a call was sent.
    fn record_event(&self, event: ConnectionEvent) {
        let action = self.state.borrow_mut().handle(Instant::now(), event);
        debug_assert!(action.is_none(), "only ticks require an action");
        if event == ConnectionEvent::CallSent {
            // If the channel is full, the monitor is about to wake anyway.
            let _ = self.wake.borrow_mut().try_send(());
        }
    }

    /// Closes the socket; calls in flight fail with `LinkError::Silent`.
    pub(super) fn close(&self) {
        self.open.set(false);
        self.socket.close();
    }

    /// Sends a call and completes `pending` with its result. Returns false if the peer did not
    /// answer, so that a call that was too large to be sent returns true.
    pub(super) async fn ask(&self, request: &PeerRequest, mut pending: PendingReply) -> bool {
        let mut call = self.client.ask_request();
        write_request(request, call.get().init_request());
        let size = call.get().into_reader().total_size();
        let limit_words = (self.settings.message_limit_bytes / BYTES_PER_WORD / 2) as u64;
        if !size.is_ok_and(|size| size.word_count <= limit_words) {
            self.metrics.count("link.call.oversized");
            pending.complete(Err(LinkError::Unreachable));
            return true;
        }
        pending.mark_sent();
        self.record_event(ConnectionEvent::CallSent);
        let limit = Duration::from_millis(self.settings.call_timeout_ms);
        let result = with_timeout(limit, call.send().promise).await;
        self.record_event(ConnectionEvent::CallEnded);
        let answer = match result {
            Some(Ok(response)) => {
                self.record_event(ConnectionEvent::Received);
                let read = response.get().and_then(|found| found.get_answer());
                read.and_then(read_answer).map_err(|error| {
                    log::debug!("the answer of {} can't be read: {error}", self.peer.daemon);
                    self.metrics.count("link.answer.malformed");
                    LinkError::Silent
                })
            }
            Some(Err(error)) => Err(self.call_error(&error)),
            None => {
                self.metrics.count("link.call.silent");
                Err(LinkError::Silent)
            }
        };
        let answered = !matches!(answer, Err(LinkError::Silent));
        pending.complete(answer);
        answered
    }

    /// Counts a failed call and returns its `LinkError`. A refusal counts as a sign of life.
    fn call_error(&self, error: &capnp::Error) -> LinkError {
        match error.kind {
            capnp::ErrorKind::Overloaded | capnp::ErrorKind::Unimplemented => {
                self.record_event(ConnectionEvent::Received);
                self.metrics.count("link.call.refused");
                LinkError::Refused
            }
            _ => {
                self.metrics.count("link.call.silent");
                LinkError::Silent
            }
        }
    }

    /// Drives the connection, and closes it when it is silent or idle. Returns how it ended.
    pub(super) async fn monitor(
        self: Rc<Self>,
        system: RpcSystem<Side>,
        mut woken: mpsc::Receiver<()>,
    ) -> ConnectionEnd {
        let mut system = system;
        let mut heartbeat: Fuse<LocalBoxFuture<'_, ()>> = Fuse::terminated();
        loop {
            let next = self.state.borrow().next_tick_at();
            let ended = {
                let wake_up = std::pin::pin!(async {
                    futures::select_biased! {
                        () = &mut heartbeat => self.record_event(ConnectionEvent::Received),
                        _ = woken.next().fuse() => {}
                        _ = FutureExt::fuse(Timer::at(next)) => {}
                    }
                });
                match select(&mut system, wake_up).await {
                    Either::Left((result, _)) => Some(result),
                    Either::Right(_) => None,
                }
            };
            if let Some(result) = ended {
                if result.is_err() {
                    self.metrics.count("link.message.malformed");
                }
                return ConnectionEnd::Closed;
            }
            let now = Instant::now();
            let action = self.state.borrow_mut().handle(now, ConnectionEvent::Tick);
            match action {
                None => {}
                Some(ConnectionAction::SendHeartbeat) => {
                    heartbeat = self.heartbeat().boxed_local().fuse();
                }
                Some(ConnectionAction::CloseSilent) => {
                    self.metrics.count("link.connection.silent");
                    self.shut_down(system).await;
                    return ConnectionEnd::Silent;
                }
                Some(ConnectionAction::CloseIdle) => {
                    self.metrics.count("link.connection.idle");
                    self.shut_down(system).await;
                    return ConnectionEnd::Closed;
                }
            }
        }
    }

    /// Sends a heartbeat and returns a future that completes with its answer. It stays pending
    /// after an error, so that the connection is closed as silent.
    fn heartbeat(&self) -> impl Future<Output = ()> + use<> {
        self.metrics.count("link.heartbeat.sent");
        let promise = self.client.heartbeat_request().send().promise;
        async move {
            if promise.await.is_err() {
                futures::future::pending::<()>().await;
            }
        }
    }

    /// Closes the socket, and polls the RPC system so that it fails the calls in flight.
    async fn shut_down(&self, system: RpcSystem<Side>) {
        self.close();
        let _ = with_timeout(SHUTDOWN_TIMEOUT, system).await;
    }
}

/// Longest wait for the RPC system to fail the calls in flight of a closed connection.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);
