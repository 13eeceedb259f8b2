//! Tests of the routing thread with real connections: what it does when callers disconnect.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{bounded, Receiver};

use super::plan;
use crate::contract::View;
use crate::feed::{FeedEvent, FeedMessage, FeedPosition};
use crate::front::RequestHead;
use crate::link::{PeerCaller, PeerReply, PeerRequest};
use crate::membership::Fleet;
use crate::metrics::Metrics;
use crate::ring::{ring, RingSender};
use crate::routing::choice::ServerChoice;
use crate::routing::duty::{run, RoutingContext};
use crate::routing::forward::GuardCallContext;
use crate::routing::message::{AttemptOutcome, RequestPlan, RoutingEvent, RoutingMessage, Target};
use crate::settings::routing::RoutingSettings;
use crate::test_support::{
    assert_connection_ends, disconnect, DisconnectCallback, PausedClock, TestExchange,
};
use crate::types::{BackendServerId, DaemonId};
use crate::wire::client::HttpClient;
use crate::wire::dialect::FleetDialect;
use crate::wire::proof::FleetKey;

/// Far longer than any step takes; only a failing test waits so long.
const GIVE_UP: Duration = Duration::from_secs(10);
/// Time in which a call that is not to be made would arrive.
const NO_CALL_TIME: Duration = Duration::from_millis(300);

/// One server behind the guard at an address.
struct OneServer(SocketAddr);

impl ServerChoice for OneServer {
    /// Returns the server unless it was tried.
    fn pick(&mut self, _: Instant, _: &RequestPlan, tried: &[BackendServerId]) -> Option<Target> {
        tried.is_empty().then(|| Target {
            daemon: "d".into(),
            guard_address: self.0,
            server: "s".into(),
        })
    }

    fn attempt_sent(&mut self, _: Instant, _: &RequestPlan, _: &Target) {}

    fn attempt_ended(
        &mut self,
        _: Instant,
        _: &RequestPlan,
        _: &Target,
        _: &AttemptOutcome,
        _: Duration,
    ) {
    }

    fn update_view(&mut self, _: Arc<View>) {}

    fn update_fleet(&mut self, _: Arc<Fleet>) {}
}

/// Peers that take no call.
struct NoPeers;

impl PeerCaller for NoPeers {
    fn call(&self, _: &DaemonId, _: PeerRequest, _: PeerReply) -> bool {
        false
    }
}

/// A running routing thread and the guard that its attempts go to.
struct Routing {
    /// Ring of the thread, which holds one message.
    ring: RingSender<RoutingMessage>,
    /// Clock of the thread.
    clock: Arc<PausedClock>,
    /// Listener of the guard.
    guard: TcpListener,
    /// What is reported to the configuration feed.
    news: Receiver<FeedMessage>,
}

/// Starts a routing thread.
fn start() -> Routing {
    let guard = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = guard.local_addr().expect("an address");
    let metrics = Metrics::local();
    let (own_ring, messages) = ring("routing", 1, &metrics);
    let (feed, news) = ring("feed", 8, &metrics);
    let clock = Arc::new(PausedClock::default());
    let context = RoutingContext {
        settings: RoutingSettings::default(),
        daemon: "entry".into(),
        origin: Some("s".into()),
        reload: None,
        clock: clock.clone(),
        dialect: Arc::new(FleetDialect),
        caller: Arc::new(HttpClient::start("test-forward")),
        forward: GuardCallContext {
            daemon: "entry".into(),
            key: FleetKey::new("a secret"),
            connect_timeout: GIVE_UP,
            answer_grace: GIVE_UP,
            answer_limit_bytes: 1_000,
            reuse_idle: GIVE_UP,
        },
        call_limit_count: 8,
        upload_limit_count: 8,
        feed,
        guard: ring("guard", 8, &metrics).0,
        peers: Arc::new(NoPeers),
        own_ring: own_ring.clone(),
        drained: bounded(1).0,
        metrics,
    };
    std::thread::spawn(move || run(&context, Box::new(OneServer(address)), &messages));
    Routing {
        ring: own_ring,
        clock,
        guard,
        news,
    }
}

impl Routing {
    /// Dispatches a request, and returns the callback for the disconnect of its caller.
    fn dispatch(&self, waits: bool) -> DisconnectCallback {
        let callback = DisconnectCallback::default();
        let now = Instant::now();
        let head = RequestHead {
            request: 1,
            caller_id: None,
            host: "h".to_owned(),
            arrived_at: now,
            began_at: now,
            method: "GET".to_owned(),
            target: "/".to_owned(),
            headers: Vec::new(),
            key_hash: None,
            deadline: None,
            idempotency_key: None,
            body_bytes: 0,
        };
        self.ring.deliver(RoutingMessage::Dispatch {
            plan: plan(now + GIVE_UP),
            head: Arc::new(head),
            exchange: Box::new(TestExchange {
                waits,
                callback: callback.clone(),
            }),
        });
        callback
    }

    /// Waits for the call of an attempt and returns its connection.
    fn accept_call(&self) -> TcpStream {
        let (mut connection, _) = self.guard.accept().expect("a call");
        connection
            .set_read_timeout(Some(GIVE_UP))
            .expect("a timeout");
        let mut start = [0; 3];
        connection.read_exact(&mut start).expect("the head");
        assert_eq!(&start, b"GET");
        connection
    }
}

#[test]
fn a_disconnect_closes_the_connection_of_the_attempt() {
    // Arrange
    let routing = start();
    let callback = routing.dispatch(true);
    let connection = routing.accept_call();

    // Act
    disconnect(&callback);

    // Assert
    assert_connection_ends(connection);
}

#[test]
fn a_disconnect_that_finds_the_ring_full_still_ends_the_attempt() {
    // Arrange: the thread waits for its clock, and another message fills its ring.
    let routing = start();
    let callback = routing.dispatch(true);
    let connection = routing.accept_call();
    let paused = routing.clock.0.lock().expect("no panic while locked");
    let message = || RoutingMessage::Event(RoutingEvent::OwnServerRepeats);
    routing.ring.deliver(message());
    while routing.ring.offer(message()).is_ok() {}

    // Act
    disconnect(&callback);
    drop(paused);

    // Assert
    assert_connection_ends(connection);
}

#[test]
fn a_request_whose_caller_left_before_its_dispatch_is_not_sent() {
    // Arrange
    let routing = start();
    routing
        .guard
        .set_nonblocking(true)
        .expect("a socket option");

    // Act
    routing.dispatch(false);
    std::thread::sleep(NO_CALL_TIME);

    // Assert
    assert!(routing.guard.accept().is_err());
}

#[test]
fn a_guard_that_has_read_further_is_reported_to_the_feed() {
    // Arrange
    let routing = start();
    let _callback = routing.dispatch(true);
    let mut connection = routing.accept_call();

    // Act
    let answer = "HTTP/1.1 503 Full\r\nx-banyanbeam-view: 7\r\ncontent-length: 0\r\n\r\n";
    connection.write_all(answer.as_bytes()).expect("sent");

    // Assert
    let reported = routing.news.recv_timeout(GIVE_UP).expect("a report");
    let FeedMessage::Event(FeedEvent::PeerAhead { peer, next }) = reported else {
        panic!("another message");
    };
    assert_eq!((&*peer, next), ("d", FeedPosition { era: 0, next: 7 }));
}
