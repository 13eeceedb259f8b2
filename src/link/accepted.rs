//! Accepted connections: authenticates peers by a handshake and passes their requests to the
//! handler.

use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use capnp::capability::Promise;
use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{pry, RpcSystem};
use futures::channel::oneshot;
use futures::future::{select, Either};

use super::caller::Caller;
use super::codec::{read_peer_name, read_request, write_answer, write_peer_name};
use super::connection::{vat_network, BYTES_PER_WORD};
use super::handshake::{new_nonce, Nonce, Role, Transcript};
use super::message::{PeerHandler, PeerName};
use super::peer_capnp::{greeter, peer};
use super::socket::Socket;
use crate::metrics::Metrics;
use crate::settings::link::LinkSettings;

/// State that all accepted connections share.
pub(super) struct Acceptor {
    /// Provides settings, counters, this daemon's name and the view of the fleet.
    pub(super) caller: Rc<Caller>,
    pub(super) handler: Arc<dyn PeerHandler>,
    /// Number of accepted connections that are open.
    pub(super) open_count: Cell<usize>,
}

impl Acceptor {
    fn settings(&self) -> &LinkSettings {
        &self.caller.dial.settings
    }

    fn metrics(&self) -> &Metrics {
        &self.caller.dial.metrics
    }

    /// Serves one connection until it ends; closes it at once if too many are open.
    pub(super) async fn serve(self: Rc<Self>, stream: Async<TcpStream>) {
        if self.open_count.get() >= self.settings().accepted_limit_count {
            self.metrics().count("link.accept.over_limit");
            return;
        }
        self.open_count.set(self.open_count.get() + 1);
        let socket = Socket::new(stream);
        let session = Rc::new(Session {
            acceptor: self.clone(),
            received_at: Cell::new(Instant::now()),
            authenticated: Cell::new(false),
            in_flight_count: Cell::new(0),
        });
        let greeter: greeter::Client = capnp_rpc::new_client(GreeterServer {
            session: session.clone(),
            stage: RefCell::new(HandshakeStage::AwaitsChallenge),
        });
        let system = RpcSystem::new(
            vat_network(&socket, Side::Server, self.settings()),
            Some(greeter.client),
        );
        let watch = std::pin::pin!(session.clone().watch());
        match select(system, watch).await {
            Either::Left((Err(error), _)) => {
                log::debug!("an accepted connection failed: {error}");
                self.metrics().count("link.message.malformed");
            }
            Either::Left((Ok(()), _)) => {}
            Either::Right((reason, _)) => self.metrics().count(reason),
        }
        socket.close();
        self.open_count.set(self.open_count.get() - 1);
    }
}

/// State of one accepted connection.
struct Session {
    acceptor: Rc<Acceptor>,
    /// When the last message was received; at first, when the connection was accepted.
    received_at: Cell<Instant>,
    /// Whether the peer has completed the handshake.
    authenticated: Cell<bool>,
    /// Requests that the handler has not answered yet.
    in_flight_count: Cell<usize>,
}

impl Session {
    /// Completes when the peer is not authenticated in time, or sends nothing for
    /// `ACCEPTED_SILENT_KEEPALIVES` keepalive intervals. Returns the counter to increment.
    async fn watch(self: Rc<Self>) -> &'static str {
        let settings = self.acceptor.settings();
        Timer::after(Duration::from_millis(settings.connect_timeout_ms)).await;
        if !self.authenticated.get() {
            return "link.proof.missing";
        }
        let limit = Duration::from_millis(settings.keepalive_ms) * ACCEPTED_SILENT_KEEPALIVES;
        loop {
            let silent_at = self.received_at.get() + limit;
            if Instant::now() >= silent_at {
                return "link.accepted.silent";
            }
            Timer::at(silent_at).await;
        }
    }
}

/// Keepalive intervals without a message after which an accepted connection is closed.
const ACCEPTED_SILENT_KEEPALIVES: u32 = 3;

/// Progress of the handshake on an accepted connection. Each step is taken at most once.
enum HandshakeStage {
    AwaitsChallenge,
    AwaitsProof(Transcript),
    Finished,
}

/// The RPC interface that a peer has before it is authenticated.
struct GreeterServer {
    session: Rc<Session>,
    stage: RefCell<HandshakeStage>,
}

impl GreeterServer {
    /// Counts a refused handshake and returns its error.
    fn refuse(&self, problem: &str) -> Error {
        self.session.acceptor.metrics().count("link.proof.refused");
        Error::failed(problem.to_owned())
    }
}

impl greeter::Server for GreeterServer {
    fn challenge(
        &mut self,
        params: greeter::ChallengeParams,
        mut results: greeter::ChallengeResults,
    ) -> Promise<(), Error> {
        let stage = self.stage.replace(HandshakeStage::Finished);
        if !matches!(stage, HandshakeStage::AwaitsChallenge) {
            return Promise::err(self.refuse("a second challenge on one connection"));
        }
        let params = pry!(params.get());
        let caller = pry!(read_peer_name(pry!(params.get_caller())));
        let Ok(caller_nonce) = Nonce::try_from(pry!(params.get_nonce())) else {
            return Promise::err(self.refuse("malformed nonce"));
        };
        let peers = &self.session.acceptor.caller;
        let own = peers.dial.own();
        if caller.daemon == own.daemon {
            return Promise::err(self.refuse("the caller has the name of this daemon"));
        }
        let transcript = Transcript {
            caller,
            caller_nonce,
            answerer: own,
            answerer_nonce: new_nonce(),
        };
        let mut answer = results.get();
        write_peer_name(&transcript.answerer, answer.reborrow().init_answerer());
        answer.set_nonce(&transcript.answerer_nonce);
        answer.set_proof(&transcript.sign(&peers.dial.key, Role::Answerer));
        self.stage.replace(HandshakeStage::AwaitsProof(transcript));
        Promise::ok(())
    }

    fn prove(
        &mut self,
        params: greeter::ProveParams,
        mut results: greeter::ProveResults,
    ) -> Promise<(), Error> {
        let HandshakeStage::AwaitsProof(transcript) = self.stage.replace(HandshakeStage::Finished)
        else {
            return Promise::err(self.refuse("a proof without a challenge"));
        };
        let proof = pry!(pry!(params.get()).get_proof());
        let key = &self.session.acceptor.caller.dial.key;
        if !transcript.verify(key, Role::Caller, proof) {
            return Promise::err(self.refuse("the caller's proof is wrong"));
        }
        self.session.authenticated.set(true);
        self.session.received_at.set(Instant::now());
        self.session.acceptor.metrics().count("link.accept.proven");
        results.get().set_peer(capnp_rpc::new_client(PeerServer {
            from: transcript.caller,
            session: self.session.clone(),
        }));
        Promise::ok(())
    }
}

/// The RPC interface that a peer has once it is authenticated.
struct PeerServer {
    /// Name of the authenticated peer.
    from: PeerName,
    session: Rc<Session>,
}

impl peer::Server for PeerServer {
    fn heartbeat(
        &mut self,
        _params: peer::HeartbeatParams,
        _results: peer::HeartbeatResults,
    ) -> Promise<(), Error> {
        self.session.received_at.set(Instant::now());
        Promise::ok(())
    }

    fn ask(
        &mut self,
        params: peer::AskParams,
        mut results: peer::AskResults,
    ) -> Promise<(), Error> {
        let session = self.session.clone();
        session.received_at.set(Instant::now());
        let metrics = session.acceptor.metrics().clone();
        let read = params
            .get()
            .and_then(|params| params.get_request())
            .and_then(read_request);
        let request = match read {
            Ok(request) => request,
            Err(error) => {
                metrics.count("link.request.malformed");
                return Promise::err(Error::unimplemented(error.to_string()));
            }
        };
        let peers = &session.acceptor.caller;
        if peers.is_earlier_incarnation(&self.from) && !request.is_membership_request() {
            metrics.count("link.request.earlier_life");
            let problem = "the caller is an earlier life of its daemon";
            return Promise::err(Error::overloaded(problem.to_owned()));
        }
        if session.in_flight_count.get() >= session.acceptor.settings().calls_limit_count {
            metrics.count("link.request.over_limit");
            return Promise::err(Error::overloaded("too many calls in flight".to_owned()));
        }
        session
            .in_flight_count
            .set(session.in_flight_count.get() + 1);
        let in_flight = InFlightRequest(session);
        let (sender, receiver) = oneshot::channel();
        let reply = Box::new(move |result| {
            // The receiver is gone if the peer has disconnected.
            let _ = sender.send(result);
        });
        in_flight
            .0
            .acceptor
            .handler
            .handle(&self.from, request, reply);
        Promise::from_future(async move {
            let Ok(Ok(answer)) = receiver.await else {
                metrics.count("link.request.refused");
                return Err(Error::overloaded("the call is refused".to_owned()));
            };
            write_answer(&answer, results.get().init_answer());
            let size = results.get().into_reader().total_size()?;
            let limit_bytes = in_flight.0.acceptor.settings().message_limit_bytes / 2;
            if size.word_count > (limit_bytes / BYTES_PER_WORD) as u64 {
                metrics.count("link.answer.oversized");
                return Err(Error::overloaded("the answer is too long".to_owned()));
            }
            Ok(())
        })
    }
}

/// Counts one request of a session as in flight until it is dropped, which also happens when the
/// peer disconnects.
struct InFlightRequest(Rc<Session>);

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.in_flight_count.set(self.0.in_flight_count.get() - 1);
    }
}
