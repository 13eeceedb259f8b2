//! Links that run in the test process, and a relay between them that can drop all bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{bounded, Receiver};

use crate::link::duty::{bind, run, LinkContext};
use crate::link::message::*;
use crate::membership::{DaemonEntry, Fleet};
use crate::metrics::Metrics;
use crate::ring::{task_ring, RingSender};
use crate::settings::link::LinkSettings;
use crate::types::DaemonId;
use crate::wire::proof::FleetKey;

/// The fleet's secret of the links in tests.
pub(super) const SECRET: &str = "a-secret-of-the-fleet-in-tests";

/// Returns the result for a request of a peer, or `None` to leave it unanswered.
pub(super) type Script =
    Box<dyn Fn(&PeerName, PeerRequest) -> Option<Result<PeerAnswer, LinkError>> + Send + Sync>;

/// Handler that answers as a script says, and keeps the replies that the script leaves open.
pub(super) struct Scripted {
    /// Determines the result of each request.
    script: Script,
    /// Callbacks of the requests that were left unanswered.
    held: Mutex<Vec<PeerReply>>,
}

impl PeerHandler for Scripted {
    fn handle(&self, from: &PeerName, request: PeerRequest, reply: PeerReply) {
        match (self.script)(from, request) {
            Some(result) => reply(result),
            None => self.held.lock().unwrap().push(reply),
        }
    }
}

/// A link that runs on a thread of its own until it is dropped.
pub(super) struct RunningLink {
    /// Address on which the link accepts connections.
    pub(super) address: SocketAddr,
    /// Counters of the link.
    pub(super) metrics: Metrics,
    /// Sends messages to the link's thread.
    pub(super) sender: RingSender<LinkMessage>,
    /// Thread of the link; `None` once it was joined.
    thread: Option<JoinHandle<()>>,
}

impl Drop for RunningLink {
    fn drop(&mut self) {
        self.sender.deliver(LinkMessage::Stop);
        let thread = self.thread.take().unwrap();
        assert!(thread.join().is_ok() || std::thread::panicking());
    }
}

/// Starts a link with the default settings.
pub(super) fn start_link(daemon: &str, secret: &str, script: Script) -> RunningLink {
    start_link_with(daemon, secret, LinkSettings::default(), script)
}

/// Starts a link of a daemon with incarnation 7 on a free port.
pub(super) fn start_link_with(
    daemon: &str,
    secret: &str,
    settings: LinkSettings,
    script: Script,
) -> RunningLink {
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let metrics = Metrics::local();
    let name = PeerName {
        daemon: daemon.into(),
        incarnation: 7,
    };
    let context = LinkContext {
        settings,
        own: name,
        key: FleetKey::new(secret),
        metrics: metrics.clone(),
        handler: Arc::new(Scripted {
            script,
            held: Mutex::default(),
        }),
    };
    let (sender, receiver) = task_ring("link", 64, &metrics);
    let thread = std::thread::spawn(move || run(&context, listener, &receiver));
    RunningLink {
        address,
        metrics,
        sender,
        thread: Some(thread),
    }
}

/// Returns a script that refuses all requests.
pub(super) fn refuse_all() -> Script {
    Box::new(|_, _| Some(Err(LinkError::Refused)))
}

/// Returns a script that acknowledges all requests.
pub(super) fn answer_done() -> Script {
    Box::new(|_, _| Some(Ok(PeerAnswer::Done)))
}

/// Returns a fleet of daemons with incarnation 7 at the given addresses.
pub(super) fn fleet_of(links: &[(&str, SocketAddr)]) -> Arc<Fleet> {
    let entry = |daemon: &str, address| DaemonEntry {
        daemon: daemon.into(),
        incarnation: 7,
        version: 1,
        domain: "north".into(),
        guard_address: address,
        link_address: address,
        leaving: false,
        servers: Vec::new(),
    };
    let daemons = links
        .iter()
        .map(|(daemon, address)| (DaemonId::from(*daemon), Arc::new(entry(daemon, *address))))
        .collect();
    Arc::new(Fleet { daemons })
}

impl RunningLink {
    /// Sends the link a snapshot of a fleet with these daemons.
    pub(super) fn set_fleet(&self, links: &[(&str, SocketAddr)]) {
        self.sender.deliver(LinkMessage::Fleet(fleet_of(links)));
    }

    /// Sends a call; the receiver gets every result with which the callback is called.
    pub(super) fn call(
        &self,
        to: &str,
        request: PeerRequest,
    ) -> Receiver<Result<PeerAnswer, LinkError>> {
        let (answers, receiver) = bounded(4);
        let reply = Box::new(move |result| answers.send(result).unwrap());
        self.sender.deliver(LinkMessage::Call {
            to: to.into(),
            request,
            reply,
        });
        receiver
    }

    /// Sends a call and waits for its result.
    pub(super) fn ask(&self, to: &str, request: PeerRequest) -> Result<PeerAnswer, LinkError> {
        only_answer(&self.call(to, request))
    }

    /// Returns the value of a counter of the link.
    pub(super) fn count_of(&self, name: &str) -> u64 {
        self.metrics.counts().get(name).copied().unwrap_or(0)
    }

    /// Waits until a counter of the link is above 0.
    pub(super) fn wait_for_count(&self, name: &str) {
        let until = Instant::now() + Duration::from_secs(30);
        while self.count_of(name) == 0 {
            assert!(Instant::now() < until, "{name} was never counted");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Returns the result of a call; fails the test if there is none or a second one.
pub(super) fn only_answer(
    answers: &Receiver<Result<PeerAnswer, LinkError>>,
) -> Result<PeerAnswer, LinkError> {
    let answer = answers
        .recv_timeout(Duration::from_secs(30))
        .expect("every call is answered");
    assert!(
        answers
            .recv_timeout(Duration::from_secs(30))
            .is_err_and(|error| error.is_disconnected()),
        "a call was answered twice"
    );
    answer
}

/// Relays bytes between callers and a target, and can drop all bytes of open connections.
pub(super) struct Relay {
    /// Address on which the relay accepts callers.
    pub(super) address: SocketAddr,
    /// Whether open connections are silenced.
    silent: Arc<AtomicBool>,
    /// All bytes that callers sent.
    pub(super) sent: Arc<Mutex<Vec<u8>>>,
    /// All bytes that callers received.
    pub(super) received: Arc<Mutex<Vec<u8>>>,
}

impl Relay {
    /// Starts a relay to `target` on a free port.
    pub(super) fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Relay {
            address: listener.local_addr().unwrap(),
            silent: Arc::default(),
            sent: Arc::default(),
            received: Arc::default(),
        };
        let all_silent = relay.silent.clone();
        let sent = relay.sent.clone();
        let received = relay.received.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming() {
                let caller = caller.unwrap();
                let answerer = TcpStream::connect(target).unwrap();
                // A connection that went silent stays so; later connections work.
                let silent = Arc::new(AtomicBool::new(false));
                relay_bytes(&caller, &answerer, &all_silent, &silent, sent.clone());
                relay_bytes(&answerer, &caller, &all_silent, &silent, received.clone());
            }
        });
        relay
    }

    /// Drops all bytes of every open connection from its next byte on.
    pub(super) fn silence_open_connections(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    /// Relays the bytes of new connections again; silenced ones stay silent.
    pub(super) fn restore(&self) {
        self.silent.store(false, Ordering::SeqCst);
    }
}

/// Relays bytes in one direction on a thread of its own, and copies them to `copy`.
fn relay_bytes(
    from: &TcpStream,
    to: &TcpStream,
    all_silent: &Arc<AtomicBool>,
    silent: &Arc<AtomicBool>,
    copy: Arc<Mutex<Vec<u8>>>,
) {
    let mut from = from.try_clone().unwrap();
    let mut to = to.try_clone().unwrap();
    let all_silent = all_silent.clone();
    let silent = silent.clone();
    std::thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(count) = from.read(&mut buffer) {
            if count == 0 {
                break;
            }
            if all_silent.load(Ordering::SeqCst) {
                silent.store(true, Ordering::SeqCst);
            }
            if silent.load(Ordering::SeqCst) {
                continue;
            }
            copy.lock().unwrap().extend_from_slice(&buffer[..count]);
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}
