use std::io::{Read, Write};
use std::net::TcpStream;

use crossbeam::channel::Receiver;

use super::{connected, connected_to, get, take};
use crate::wire::exchange::{RequestBody, WholeAnswer};
use crate::wire::listener::{Arrival, ListenerOptions};

/// More than a listener reads before it delivers a request.
const BODY_BYTES: usize = 1024 * 1024;
/// Statuses with which a request is refused before its body is read.
const REFUSALS: [u16; 4] = [401, 404, 429, 413];

/// Returns a body that consists of valid requests from its first byte on.
fn requests() -> Vec<u8> {
    let one = get("/hidden").into_bytes();
    one.into_iter().cycle().take(BODY_BYTES).collect()
}

/// Returns the head of a POST request with these headers.
fn head(headers: &str) -> Vec<u8> {
    format!("POST /a HTTP/1.1\r\nHost: h\r\n{headers}\r\n").into_bytes()
}

/// Returns the head of a POST request with this length of its body.
fn with_length(length: usize) -> Vec<u8> {
    head(&format!("Content-Length: {length}\r\n"))
}

/// Encodes a body as one chunk.
fn chunked(body: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", body.len()).into_bytes();
    [&size[..], body, b"\r\n0\r\n\r\n"].concat()
}

/// Answers a request with a status and the body `no`.
fn refuse(arrival: Arrival, status: u16) {
    let (_, exchange) = arrival;
    exchange.answer(WholeAnswer {
        status,
        headers: Vec::new(),
        body: "no".into(),
    });
}

/// Writes in the background until all bytes are sent or the listener has closed the connection.
fn send(caller: &TcpStream, bytes: Vec<u8>) {
    let mut caller = caller.try_clone().expect("a second handle");
    std::thread::spawn(move || {
        let _ = caller.write_all(&bytes);
    });
}

/// Reads until the connection ends and returns all bytes as text.
fn read_all(mut caller: &TcpStream) -> String {
    let mut read = Vec::new();
    // The end may be a reset, because of bytes that the listener did not read.
    let _ = caller.read_to_end(&mut read);
    String::from_utf8_lossy(&read).into_owned()
}

/// Asserts that the refusal is the only answer and that no other request was delivered.
fn assert_one_answer(read: &str, status: u16, arrivals: &Receiver<Arrival>) {
    let first = format!("HTTP/1.1 {status} ");
    assert!(read.starts_with(&first), "{status}: {read:?}");
    assert_eq!(read.matches("HTTP/1.1 ").count(), 1, "{read:?}");
    assert!(read.ends_with("\r\n\r\nno"), "{read:?}");
    let others: Vec<String> = arrivals.try_iter().map(|(head, _)| head.target).collect();
    assert!(others.is_empty(), "{others:?}");
}

#[test]
fn an_unread_body_is_not_parsed_as_requests() {
    for status in REFUSALS {
        // Arrange
        let (_listener, arrivals, caller) = connected();

        // Act
        let request = [with_length(BODY_BYTES), requests()].concat();
        send(&caller, request);
        refuse(take(&arrivals, 1).remove(0), status);

        // Assert
        assert_one_answer(&read_all(&caller), status, &arrivals);
    }
}

#[test]
fn a_body_that_arrives_after_the_refusal_is_not_parsed_as_requests() {
    for status in REFUSALS {
        // Arrange
        let (_listener, arrivals, mut caller) = connected();
        caller.write_all(&with_length(BODY_BYTES)).expect("sent");
        refuse(take(&arrivals, 1).remove(0), status);
        let mut first = [0; 12];
        caller.read_exact(&mut first).expect("the refusal");

        // Act
        send(&caller, requests());
        let read = [&first, read_all(&caller).as_bytes()].concat();

        // Assert
        let read = String::from_utf8(read).expect("text");
        assert_one_answer(&read, status, &arrivals);
    }
}

#[test]
fn unread_chunks_are_not_parsed_as_requests() {
    // Without a length, a part of a body could not be distinguished from a complete one.
    for (chunked_bodies, status) in [(false, 411), (true, 413)] {
        // Arrange
        let (_listener, arrivals, caller) = connected_to(ListenerOptions {
            chunked_bodies,
            ..Default::default()
        });

        // Act
        let request = [head("Transfer-Encoding: chunked\r\n"), chunked(&requests())].concat();
        send(&caller, request);
        let read = read_all(&caller);

        // Assert
        assert!(read.starts_with(&format!("HTTP/1.1 {status} ")), "{read}");
        assert_eq!(read.matches("HTTP/1.1 ").count(), 1, "{read}");
        assert!(arrivals.try_recv().is_err());
    }
}

#[test]
fn an_unread_body_after_expect_continue_is_not_parsed_as_requests() {
    // Arrange
    let (_listener, arrivals, caller) = connected();
    let headers = format!("Content-Length: {BODY_BYTES}\r\nExpect: 100-continue\r\n");

    // Act: the body is sent without waiting for the interim answer.
    send(&caller, [head(&headers), requests()].concat());
    refuse(take(&arrivals, 1).remove(0), 401);

    // Assert
    let read = read_all(&caller);
    let asked = "HTTP/1.1 100 Continue\r\n\r\n";
    let read = read.strip_prefix(asked).unwrap_or(&read);
    assert_one_answer(read, 401, &arrivals);
}

#[test]
fn a_partly_read_body_is_not_parsed_as_requests() {
    for status in REFUSALS {
        // Arrange
        let (_listener, arrivals, caller) = connected();
        send(&caller, [with_length(BODY_BYTES), requests()].concat());
        let arrival = take(&arrivals, 1).remove(0);

        // Act
        let RequestBody::Parts { parts, .. } = arrival.1.body() else {
            panic!("a long body comes in parts");
        };
        let part = parts.recv_blocking().expect("a part").expect("bytes");
        refuse(arrival, status);

        // Assert
        assert!(requests().starts_with(&part));
        assert_one_answer(&read_all(&caller), status, &arrivals);
    }
}

#[test]
fn a_complete_body_is_not_parsed_as_a_request_and_the_next_request_is_served() {
    for status in REFUSALS {
        // Arrange
        let (_listener, arrivals, mut caller) = connected();
        let body = get("/hidden");

        // Act
        let request = [&with_length(body.len())[..], body.as_bytes()].concat();
        caller.write_all(&request).expect("sent");
        caller.write_all(get("/b").as_bytes()).expect("sent");
        refuse(take(&arrivals, 1).remove(0), status);
        let next = take(&arrivals, 1).remove(0);

        // Assert
        assert_eq!(next.0.target, "/b");
        assert!(arrivals.try_recv().is_err());
    }
}
