//! Tests of the guard's thread: what it does when entry daemons close their connections.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::bounded;

use super::{forward_head, INCARNATION};
use crate::guard::duty::{run, GuardContext};
use crate::guard::forward::ServerCallContext;
use crate::guard::message::{Announcement, GuardEvent, GuardMessage};
use crate::health::{OutcomeObserver, RequestEnd, StartedRequest};
use crate::membership::ServerEntry;
use crate::metrics::Metrics;
use crate::ring::{ring, RingSender};
use crate::settings::guard::GuardSettings;
use crate::test_support::{disconnect, DisconnectCallback, PausedClock, TestExchange};
use crate::wire::client::HttpClient;
use crate::wire::dialect::FleetDialect;
use crate::wire::exchange::RawHead;

/// Far longer than any step takes; only a failing test waits so long.
const GIVE_UP: Duration = Duration::from_secs(10);
/// Time in which a call that is not to be made would arrive.
const NO_CALL_TIME: Duration = Duration::from_millis(300);

/// Ignores what happens to requests.
struct NoObserver;

impl OutcomeObserver for NoObserver {
    fn request_started(&self, _: StartedRequest) {}

    fn request_finished(&self, _: (u128, u32), _: RequestEnd, _: Duration) {}

    fn servers_changed(&self, _: &[ServerEntry]) {}
}

/// A running guard thread and the server on its VM.
struct Guard {
    /// Ring of the thread.
    ring: RingSender<GuardMessage>,
    /// Clock of the thread.
    clock: Arc<PausedClock>,
    /// Listener of the server.
    server: TcpListener,
}

/// Starts a guard thread that knows server `s`.
fn start() -> Guard {
    let server = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address: SocketAddr = server.local_addr().expect("an address");
    let metrics = Metrics::local();
    let (own_ring, messages) = ring("guard", 1, &metrics);
    let (membership, reports) = ring("membership", 8, &metrics);
    let clock = Arc::new(PausedClock::default());
    let context = GuardContext {
        settings: GuardSettings::default(),
        daemon: "d".into(),
        incarnation: INCARNATION,
        clock: clock.clone(),
        caller: Arc::new(HttpClient::start("test-call")),
        forward: ServerCallContext {
            dialect: Arc::new(FleetDialect),
            connect_timeout: GIVE_UP,
            answer_limit_bytes: 1_000,
            reuse_idle: GIVE_UP,
            reuse_idle_once: GIVE_UP,
        },
        outcomes: Box::new(NoObserver),
        membership,
        own_ring: own_ring.clone(),
        routing: ring("routing", 8, &metrics).0,
        link: ring("link", 8, &metrics).0,
        view: Arc::default(),
        drained: bounded(1).0,
        metrics,
    };
    std::thread::spawn(move || run(&context, &messages));
    own_ring.deliver(GuardMessage::Event(GuardEvent::Announced(Announcement {
        server: "s".into(),
        address,
        ..Default::default()
    })));
    reports
        .recv_timeout(GIVE_UP)
        .expect("the server is reported");
    Guard {
        ring: own_ring,
        clock,
        server,
    }
}

impl Guard {
    /// Passes a request to the thread, and returns the callback for its entry's disconnect.
    fn arrive(&self, waits: bool) -> DisconnectCallback {
        let callback = DisconnectCallback::default();
        self.ring.deliver(GuardMessage::Arrived {
            head: forward_head(),
            raw: RawHead {
                method: "GET".to_owned(),
                target: "/".to_owned(),
                ..Default::default()
            },
            exchange: Box::new(TestExchange {
                waits,
                callback: callback.clone(),
            }),
            arrived_at: Instant::now(),
        });
        callback
    }
}

#[test]
fn a_disconnect_of_an_entry_that_finds_the_ring_full_still_cancels_the_request() {
    // Arrange: the thread waits for its clock, and another message fills its ring.
    let guard = start();
    let callback = guard.arrive(true);
    let _connection = guard.server.accept().expect("a call");
    let paused = guard.clock.0.lock().expect("no panic while locked");
    let message = || GuardMessage::Event(GuardEvent::OwnCallFailed);
    guard.ring.deliver(message());
    while guard.ring.offer(message()).is_ok() {}

    // Act
    disconnect(&callback);
    drop(paused);

    // Assert
    let (mut cancellation, _) = guard.server.accept().expect("a second call");
    cancellation
        .set_read_timeout(Some(GIVE_UP))
        .expect("a socket option");
    let mut method = [0; 7];
    cancellation.read_exact(&mut method).expect("a request");
    assert_eq!(&method, b"DELETE ");
}

#[test]
fn a_request_whose_entry_left_before_the_guard_took_it_is_not_started() {
    // Arrange
    let guard = start();
    guard.server.set_nonblocking(true).expect("a socket option");

    // Act
    guard.arrive(false);
    std::thread::sleep(NO_CALL_TIME);

    // Assert
    assert!(guard.server.accept().is_err());
}
