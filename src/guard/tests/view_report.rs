use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use super::forward_head;
use crate::clock::SystemClock;
use crate::feed::{FeedPosition, SharedPosition};
use crate::guard::accept::{run, AcceptContext};
use crate::guard::message::GuardMessage;
use crate::metrics::Metrics;
use crate::ring::ring;
use crate::wire::exchange::WholeAnswer;
use crate::wire::listener::{HttpListener, ListenerOptions};
use crate::wire::proof::FleetKey;

/// Far longer than any step takes; only a failing test waits so long.
const GIVE_UP: Duration = Duration::from_secs(10);

#[test]
fn an_answer_of_the_guard_says_up_to_where_its_configuration_was_read() {
    // Arrange
    let any = "127.0.0.1:0".parse().expect("a literal address");
    let listener = HttpListener::bind(any, ListenerOptions::default()).expect("a port");
    let listener = Arc::new(listener);
    let metrics = Metrics::local();
    let view = SharedPosition::default();
    view.set(FeedPosition { era: 2, next: 7 });
    let (guard, messages) = ring("guard", 8, &metrics);
    let key = FleetKey::new("a secret");
    let context = AcceptContext {
        listener: listener.clone(),
        key: key.clone(),
        clock: Arc::new(SystemClock),
        metrics: metrics.clone(),
        guard,
        view: Arc::new(view),
        feed: ring("feed", 8, &metrics).0,
    };
    std::thread::spawn(move || run(&context));
    let (name, value) = forward_head().encode(&key);

    // Act
    let mut entry = TcpStream::connect(listener.address()).expect("a connection");
    entry.set_read_timeout(Some(GIVE_UP)).expect("a timeout");
    let request =
        format!("GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{name}: {value}\r\n\r\n");
    entry.write_all(request.as_bytes()).expect("sent");
    match messages.recv_timeout(GIVE_UP) {
        Ok(GuardMessage::Arrived { exchange, .. }) => exchange.answer(WholeAnswer {
            status: 200,
            ..Default::default()
        }),
        _ => panic!("the request did not arrive"),
    }

    // Assert
    let mut answer = String::new();
    entry.read_to_string(&mut answer).expect("an answer");
    assert!(answer.contains("x-banyanbeam-view: 2:7\r\n"), "{answer}");
}
