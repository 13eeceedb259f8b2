//! One connection from this daemon to a peer.

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

use super::codec::{read_answer, read_name, write_name, write_request};
use super::handshake::{new_nonce, End, Nonce, Transcript};
use super::message::{LinkError, PeerName, PeerRequest};
use super::peer_capnp::{greeter, peer};
use super::reply::PendingReply;
use super::socket::Socket;
use super::state::{ConnectionAction, ConnectionEnd, ConnectionEvent, ConnectionState};
use crate::metrics::Metrics;
use crate::settings::link::LinkSettings;
use crate::types::Incarnation;
use crate::wire::proof::FleetKey;

/// A proven connection.
pub(super) struct Connection {
    /// Who answers.
    pub(super) peer: PeerName,
    /// The life in which this daemon proved itself.
    pub(super) own_incarnation: Incarnation,
    client: peer::Client,
    socket: Socket,
    settings: LinkSettings,
    metrics: Metrics,
    state: RefCell<ConnectionState>,
    /// Falls once, before the socket is closed.
    open: Cell<bool>,
    /// Wakes the monitor when its next tick has moved.
    wake: RefCell<mpsc::Sender<()>>,
}

/// What a new connection needs besides its address.
pub(super) struct Dial {
    pub(super) settings: LinkSettings,
    /// This daemon, in its present life.
    pub(super) own: RefCell<PeerName>,
    pub(super) key: FleetKey,
    pub(super) metrics: Metrics,
}

impl Dial {
    pub(super) fn own(&self) -> PeerName {
        self.own.borrow().clone()
    }
}

/// Runs a future up to a time limit.
pub(super) async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let future = std::pin::pin!(future);
    match select(future, Timer::after(limit)).await {
        Either::Left((value, _)) => Some(value),
        Either::Right(_) => None,
    }
}

/// Joins a socket to the RPC library, with the limits of the settings.
pub(super) fn network(
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

pub(super) const BYTES_PER_WORD: usize = 8;

/// Connects, proves both ends, and gives the connection and the future that drives it.
pub(super) async fn connect(
    dial: &Dial,
    address: SocketAddr,
) -> Result<(Connection, RpcSystem<Side>, mpsc::Receiver<()>), LinkError> {
    let limit = Duration::from_millis(dial.settings.connect_timeout_ms);
    let connected = within(limit, Async::<TcpStream>::connect(address)).await;
    let Some(Ok(stream)) = connected else {
        dial.metrics.count("link.connect.failed");
        return Err(LinkError::Unreachable);
    };
    let socket = Socket::new(stream);
    let mut system = RpcSystem::new(network(&socket, Side::Client, &dial.settings), None);
    let greeter: greeter::Client = system.bootstrap(Side::Server);
    let own = dial.own();
    let own_incarnation = own.incarnation;
    let proof = std::pin::pin!(prove(dial, own, greeter));
    let proven = match within(limit, select(proof, &mut system)).await {
        Some(Either::Left((Ok(proven), _))) => proven,
        Some(Either::Left((Err(error), _))) => {
            log::debug!("proof towards {address} failed: {error}");
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
        peer: proven.0,
        own_incarnation,
        client: proven.1,
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

async fn prove(
    dial: &Dial,
    own: PeerName,
    greeter: greeter::Client,
) -> Result<(PeerName, peer::Client), capnp::Error> {
    let caller_nonce = new_nonce();
    let mut challenge = greeter.challenge_request();
    write_name(&own, challenge.get().init_caller());
    challenge.get().set_nonce(&caller_nonce);
    let response = challenge.send().promise.await?;
    let answer = response.get()?;
    let answerer_nonce = Nonce::try_from(answer.get_nonce()?)
        .map_err(|_| capnp::Error::failed("malformed nonce".to_owned()))?;
    let transcript = Transcript {
        caller: own,
        caller_nonce,
        answerer: read_name(answer.get_answerer()?)?,
        answerer_nonce,
    };
    let proof = answer.get_proof()?;
    if !transcript.verify(&dial.key, End::Answerer, proof) {
        dial.metrics.count("link.proof.refused");
        return Err(capnp::Error::failed(
            "the answerer's proof is wrong".to_owned(),
        ));
    }
    let mut request = greeter.prove_request();
    let own_proof = transcript.sign(&dial.key, End::Caller);
    request.get().set_proof(&own_proof);
    let response = request.send().promise.await?;
    Ok((transcript.answerer, response.get()?.get_peer()?))
}

impl Connection {
    /// Whether a new call may go this way.
    pub(super) fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Closes the connection if no call waits on it; otherwise it ends once it is idle.
    pub(super) fn close_unused(&self) {
        if self.state.borrow().in_flight_count() == 0 {
            self.close();
        }
    }

    fn note(&self, event: ConnectionEvent) {
        let action = self.state.borrow_mut().handle(Instant::now(), event);
        debug_assert!(action.is_none(), "only ticks act");
        if event == ConnectionEvent::CallSent {
            // A full channel means that the monitor is about to wake.
            let _ = self.wake.borrow_mut().try_send(());
        }
    }

    /// Ends the connection; calls without an answer fail as silent.
    pub(super) fn close(&self) {
        self.open.set(false);
        self.socket.close();
    }

    /// Sends a call and gives its answer to `pending`; says whether the peer answered.
    pub(super) async fn ask(&self, request: &PeerRequest, mut pending: PendingReply) -> bool {
        let mut call = self.client.ask_request();
        write_request(request, call.get().init_request());
        let size = call.get().into_reader().total_size();
        let limit_words = (self.settings.message_limit_bytes / BYTES_PER_WORD / 2) as u64;
        if !size.is_ok_and(|size| size.word_count <= limit_words) {
            self.metrics.count("link.call.oversized");
            pending.end(Err(LinkError::Unreachable));
            return true;
        }
        pending.mark_sent();
        self.note(ConnectionEvent::CallSent);
        let limit = Duration::from_millis(self.settings.call_timeout_ms);
        let result = within(limit, call.send().promise).await;
        self.note(ConnectionEvent::CallEnded);
        let answer = match result {
            Some(Ok(response)) => {
                self.note(ConnectionEvent::Received);
                let read = response.get().and_then(|found| found.get_answer());
                read.and_then(read_answer).map_err(|error| {
                    log::debug!("answer of {}: {error}", self.peer.daemon);
                    self.metrics.count("link.answer.malformed");
                    LinkError::Silent
                })
            }
            Some(Err(error)) => Err(self.failed(&error)),
            None => {
                self.metrics.count("link.call.silent");
                Err(LinkError::Silent)
            }
        };
        let answered = !matches!(answer, Err(LinkError::Silent));
        pending.end(answer);
        answered
    }

    fn failed(&self, error: &capnp::Error) -> LinkError {
        match error.kind {
            capnp::ErrorKind::Overloaded | capnp::ErrorKind::Unimplemented => {
                self.note(ConnectionEvent::Received);
                self.metrics.count("link.call.refused");
                LinkError::Refused
            }
            _ => {
                self.metrics.count("link.call.silent");
                LinkError::Silent
            }
        }
    }

    /// Watches for silence and idleness until the connection ends; says why it ended.
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
                let turn = std::pin::pin!(async {
                    futures::select_biased! {
                        () = &mut heartbeat => self.note(ConnectionEvent::Received),
                        _ = woken.next().fuse() => {}
                        _ = FutureExt::fuse(Timer::at(next)) => {}
                    }
                });
                match select(&mut system, turn).await {
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
                    self.shut(system).await;
                    return ConnectionEnd::Silent;
                }
                Some(ConnectionAction::CloseIdle) => {
                    self.metrics.count("link.connection.idle");
                    self.shut(system).await;
                    return ConnectionEnd::Closed;
                }
            }
        }
    }

    /// Sends a heartbeat; an answer that never comes leaves the future pending.
    fn heartbeat(&self) -> impl Future<Output = ()> + use<> {
        self.metrics.count("link.heartbeat.sent");
        let promise = self.client.heartbeat_request().send().promise;
        async move {
            if promise.await.is_err() {
                futures::future::pending::<()>().await;
            }
        }
    }

    /// Closes the socket and lets the RPC library fail what waits.
    async fn shut(&self, system: RpcSystem<Side>) {
        self.close();
        let _ = within(SHUT_LIMIT, system).await;
    }
}

const SHUT_LIMIT: Duration = Duration::from_millis(200);
