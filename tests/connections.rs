//! Connections of callers at the HTTP listener: bursts, disconnects, truncated uploads and
//! malformed headers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use banyanbeam::wire::exchange::{RequestBody, WholeAnswer};
use banyanbeam::wire::listener::{HttpListener, ListenerOptions};

/// Timeout that only a connection without an answer reaches.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

const ROUND_COUNT: usize = 50;
const BURST_COUNT: usize = 8;

/// Starts a listener that answers every request with "whole".
fn start_listener() -> Arc<HttpListener> {
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener =
        Arc::new(HttpListener::bind(free_port, ListenerOptions::default()).expect("a free port"));
    let served = listener.clone();
    std::thread::spawn(move || {
        while let Some((_, exchange)) = served.next() {
            exchange.answer(WholeAnswer {
                status: 200,
                body: "whole".into(),
                ..Default::default()
            });
        }
    });
    listener
}

/// Sends a request and returns whether its whole answer came.
fn is_answered(stream: &mut TcpStream) -> bool {
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("the request is sent");
    stream
        .set_read_timeout(Some(WAIT_LIMIT))
        .expect("a timeout can be set");
    let mut answer = Vec::new();
    let mut buffer = [0; 1024];
    while !answer.ends_with(b"whole") {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return false,
            Ok(got) => answer.extend_from_slice(&buffer[..got]),
        }
    }
    true
}

#[test]
fn every_connection_of_a_burst_is_served_while_the_others_stay_open() {
    let mut unserved_count = 0;
    for _ in 0..ROUND_COUNT {
        // Arrange
        let listener = start_listener();
        let address = listener.address();

        // Act
        let mut burst: Vec<TcpStream> = (0..BURST_COUNT)
            .map(|_| TcpStream::connect(address).expect("the listener accepts"))
            .collect();
        for stream in &mut burst {
            unserved_count += usize::from(!is_answered(stream));
        }
        if unserved_count > 0 {
            break;
        }
    }

    // Assert
    assert_eq!(unserved_count, 0);
}

#[test]
fn caller_disconnect_before_the_answer_is_reported() {
    // Arrange
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = HttpListener::bind(free_port, ListenerOptions::default()).expect("a free port");
    let mut caller = TcpStream::connect(listener.address()).expect("the listener accepts");
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("the request is sent");
    let (_, mut exchange) = listener.next().expect("the request arrives");
    let (disconnect_sender, disconnects) = std::sync::mpsc::channel();
    exchange.watch(Box::new(move || {
        disconnect_sender.send(()).expect("the test waits")
    }));

    // Act
    drop(caller);

    // Assert
    disconnects
        .recv_timeout(WAIT_LIMIT)
        .expect("the watch is called");
}

#[test]
fn truncated_upload_is_an_error_instead_of_a_whole_body() {
    // Arrange
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = HttpListener::bind(free_port, ListenerOptions::default()).expect("a free port");
    let mut caller = TcpStream::connect(listener.address()).expect("the listener accepts");
    caller
        .write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 70000\r\n\r\nshort")
        .expect("the request is sent");
    let (head, exchange) = listener.next().expect("the request arrives");

    // Act
    drop(caller);
    let RequestBody::Parts { parts, .. } = exchange.body() else {
        panic!("a body over the limit comes in parts");
    };
    let mut bytes_count = 0;
    let mut whole = true;
    while let Ok(part) = parts.recv_blocking() {
        match part {
            Ok(bytes) => bytes_count += bytes.len(),
            Err(_) => whole = false,
        }
    }
    whole &= bytes_count == 70_000;

    // Assert
    assert_eq!(head.body_bytes, Some(70_000));
    assert!(!whole);
}

#[test]
fn truncated_short_upload_is_never_delivered() {
    // Arrange
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = HttpListener::bind(free_port, ListenerOptions::default()).expect("a free port");
    let mut cut = TcpStream::connect(listener.address()).expect("the listener accepts");
    cut.write_all(b"POST /cut HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\nshort")
        .expect("the request is sent");
    drop(cut);
    let mut whole = TcpStream::connect(listener.address()).expect("the listener accepts");
    whole
        .write_all(b"POST /whole HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nshort")
        .expect("the request is sent");

    // Act
    let (head, exchange) = listener.next().expect("a request arrives");
    let RequestBody::Whole(body) = exchange.body() else {
        panic!("a short body comes whole");
    };

    // Assert
    assert_eq!(head.target, "/whole");
    assert_eq!(&body[..], b"short");
}

#[test]
fn folded_header_is_refused() {
    // Arrange
    let listener = start_listener();
    let mut caller = TcpStream::connect(listener.address()).expect("the listener accepts");

    // Act
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\na: b\r\n folded: c\r\n\r\n")
        .expect("the request is sent");
    caller
        .set_read_timeout(Some(WAIT_LIMIT))
        .expect("a timeout can be set");
    let mut answer = String::new();
    let _ = caller.read_to_string(&mut answer);

    // Assert
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

/// Callers that ask for a long answer and read nothing of it.
const STALLED_COUNT: usize = 100;
/// Length of an answer that no socket buffer holds.
const LONG_ANSWER_BYTES: usize = 8 * 1024 * 1024;

#[test]
fn callers_that_read_nothing_hold_up_no_other_and_no_thread_that_answers() {
    // Arrange: one thread answers all requests.
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener =
        Arc::new(HttpListener::bind(free_port, ListenerOptions::default()).expect("a free port"));
    let served = listener.clone();
    let long = bytes::Bytes::from(vec![b'x'; LONG_ANSWER_BYTES]);
    std::thread::spawn(move || {
        while let Some((head, exchange)) = served.next() {
            let whole = || bytes::Bytes::from_static(b"whole");
            exchange.answer(WholeAnswer {
                status: 200,
                body: match head.target.as_str() {
                    "/long" => long.clone(),
                    _ => whole(),
                },
                ..Default::default()
            });
        }
    });
    let address = listener.address();
    let ask_for_long_answer = |_| {
        let mut stream = TcpStream::connect(address).expect("the listener accepts");
        stream
            .write_all(b"GET /long HTTP/1.1\r\nhost: x\r\n\r\n")
            .expect("the request is sent");
        stream
    };
    let stalled: Vec<TcpStream> = (0..STALLED_COUNT).map(ask_for_long_answer).collect();
    for stream in &stalled {
        // The first bytes have come, so the answer was given.
        stream
            .set_read_timeout(Some(WAIT_LIMIT))
            .expect("a timeout");
        assert!(matches!(stream.peek(&mut [0; 1]), Ok(1)));
    }

    // Act
    let mut other = TcpStream::connect(address).expect("the listener accepts");
    let answered = is_answered(&mut other);

    // Assert
    assert!(answered);
    drop(stalled);
}
