use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crossbeam::channel::{bounded, Receiver};

use super::{
    answer, connected, connected_to, get, read_answer, take, Arrival, ListenerOptions, GIVE_UP,
};

/// Lets the listener read what was sent before, so that it gets the next bytes separately.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Watches the caller of a request; the receiver gets a message when the caller disconnects.
fn watch(arrival: &mut Arrival) -> Receiver<()> {
    let (sender, left) = bounded(1);
    arrival.1.watch(Box::new(move || {
        let _ = sender.send(());
    }));
    left
}

/// Sends the parts of some requests separately, takes the first request, closes the connection and
/// asserts that the request is told.
fn assert_disconnect_reported(parts: &[&[u8]]) {
    // Arrange
    let (_listener, arrivals, mut caller) = connected();
    for part in parts {
        caller.write_all(part).expect("sent");
        std::thread::sleep(READ_PAUSE);
    }
    let mut first = take(&arrivals, 1).remove(0);
    let left = watch(&mut first);

    // Act
    drop(caller);

    // Assert
    assert!(left.recv_timeout(GIVE_UP).is_ok());
}

#[test]
fn a_disconnect_is_reported_when_the_first_head_arrived_in_parts() {
    let requests = [get("/a"), get("/b"), get("/c")].concat();
    let (first, rest) = requests.as_bytes().split_at(20);
    assert_disconnect_reported(&[first, rest]);
}

#[test]
fn a_disconnect_is_reported_behind_a_request_with_a_body() {
    let post = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
    let requests = [post.to_owned(), get("/b"), get("/c")].concat();
    assert_disconnect_reported(&[requests.as_bytes()]);
}

#[test]
fn a_disconnect_is_reported_behind_requests_that_are_not_plain() {
    let with_te = |path| format!("GET {path} HTTP/1.1\r\nHost: h\r\nTE: trailers\r\n\r\n");
    let requests = [with_te("/a"), with_te("/b"), with_te("/c")].concat();
    assert_disconnect_reported(&[requests.as_bytes()]);
}

#[test]
fn a_request_behind_an_answered_one_is_not_run_after_the_disconnect() {
    // Arrange
    let (_listener, arrivals, mut caller) = connected();
    let post = |path| format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
    caller
        .write_all([post("/a"), post("/b")].concat().as_bytes())
        .expect("sent");
    let first = take(&arrivals, 1).remove(0);

    // Act
    drop(caller);
    std::thread::sleep(READ_PAUSE);
    answer(first);

    // Assert
    assert!(arrivals.recv_timeout(READ_PAUSE * 5).is_err());
}

#[test]
fn a_disconnect_is_reported_when_the_bytes_behind_a_request_fill_the_buffer() {
    let upload = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n";
    let requests = [get("/a"), upload.to_owned(), "x".repeat(100_000)].concat();
    assert_disconnect_reported(&[requests.as_bytes()]);
}

#[test]
fn a_disconnect_is_reported_to_an_upload_whose_body_nobody_reads() {
    let upload = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n";
    let request = [upload, &"x".repeat(300_000)].concat();
    let parts: Vec<&[u8]> = request.as_bytes().chunks(50_000).collect();
    assert_disconnect_reported(&parts);
}

#[test]
fn a_head_that_arrived_in_parts_does_not_keep_later_requests_from_running_concurrently() {
    // Arrange
    let (_listener, arrivals, mut caller) = connected();
    let requests = [get("/a"), get("/b"), get("/c")].concat();
    let (first, rest) = requests.as_bytes().split_at(20);

    // Act
    caller.write_all(first).expect("sent");
    std::thread::sleep(READ_PAUSE);
    caller.write_all(rest).expect("sent");

    // Assert
    let taken = take(&arrivals, 3);
    taken.into_iter().rev().for_each(answer);
    let mut reader = BufReader::new(caller);
    for target in ["/a", "/b", "/c"] {
        assert_eq!(read_answer(&mut reader), target);
    }
}

/// Returns a connection on which a head has arrived only in part.
fn with_partial_head() -> (super::Connected, TcpStream) {
    let mut connected = connected();
    connected
        .2
        .write_all(&get("/a").as_bytes()[..20])
        .expect("sent");
    std::thread::sleep(READ_PAUSE);
    let reader = connected.2.try_clone().expect("a second handle");
    (connected, reader)
}

#[test]
fn a_closing_listener_ends_a_connection_with_an_incomplete_head() {
    // Arrange
    let ((listener, _arrivals, _caller), mut reader) = with_partial_head();

    // Act
    listener.close();

    // Assert
    let mut rest = Vec::new();
    let _ = reader.read_to_end(&mut rest);
    assert!(rest.is_empty(), "{rest:?}");
}

#[test]
fn a_connection_whose_head_does_not_end_is_closed() {
    // Arrange
    let (_listener, _arrivals, mut caller) = connected_to(ListenerOptions {
        head_timeout: READ_PAUSE,
        ..Default::default()
    });

    // Act
    caller.write_all(&get("/a").as_bytes()[..20]).expect("sent");

    // Assert
    let mut rest = Vec::new();
    let _ = caller.read_to_end(&mut rest);
    assert!(rest.is_empty(), "{rest:?}");
}
