//! Tests of the thread that receives announcements.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use crossbeam::channel::Select;

use crate::guard::announce::{run, FleetAnnouncements};
use crate::metrics::Metrics;
use crate::ring::ring;
use crate::wire::listener::{HttpListener, ListenerOptions};

/// Announcement of server `s` in JSON.
const BODY: &str = r#"{"server":"s","service":"v","address":"127.0.0.1:9","slots_count":1}"#;

#[test]
fn an_announcement_left_in_the_ring_of_an_ended_guard_is_answered_as_undecided() {
    // Arrange
    let any = "127.0.0.1:0".parse().expect("a literal address");
    let listener = HttpListener::bind(any, ListenerOptions::default()).expect("a port");
    let listener = Arc::new(listener);
    let (guard, messages) = ring("guard", 8, &Metrics::local());
    let served = listener.clone();
    let announce =
        thread::spawn(move || run(&served, &FleetAnnouncements, &guard, &Metrics::local()));

    // Act
    let mut stream = TcpStream::connect(listener.address()).expect("a connection");
    let length = BODY.len();
    let head = format!("POST /announce HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    let request = format!("{head}{BODY}");
    stream.write_all(request.as_bytes()).expect("a request");
    let mut left_in_ring = Select::new();
    left_in_ring.recv(&messages);
    left_in_ring.ready();
    drop(messages);
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).expect("an answer");
    listener.close();

    // Assert
    assert_eq!(&answer, b"HTTP/1.1 503");
    announce.join().expect("the thread ends");
}
