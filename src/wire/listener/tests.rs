use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{bounded, Receiver};

use super::{Arrival, HttpListener, ListenerOptions};
use crate::wire::exchange::WholeAnswer;

/// Far beyond what a request takes to arrive; only a failing test waits so long.
const GIVE_UP: Duration = Duration::from_secs(10);

/// A listener whose arrivals can be waited for with a limit, and a connection to it.
fn connected() -> (Arc<HttpListener>, Receiver<Arrival>, TcpStream) {
    let address = "127.0.0.1:0".parse().expect("a literal address");
    let listener = HttpListener::bind(address, ListenerOptions::default()).expect("a free port");
    let listener = Arc::new(listener);
    let (sender, arrivals) = bounded(64);
    let taking = listener.clone();
    std::thread::spawn(move || {
        while let Some(arrival) = taking.next() {
            if sender.send(arrival).is_err() {
                return;
            }
        }
    });
    let caller = TcpStream::connect(listener.address()).expect("a connection");
    caller.set_read_timeout(Some(GIVE_UP)).expect("a timeout");
    (listener, arrivals, caller)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")
}

/// The body of the next answer.
fn read_answer(reader: &mut impl BufRead) -> String {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a line");
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body");
    String::from_utf8(body).expect("text")
}

fn answer(arrival: Arrival) {
    let (head, exchange) = arrival;
    exchange.answer(WholeAnswer {
        status: 200,
        headers: Vec::new(),
        body: head.target.into_bytes(),
    });
}

#[test]
fn requests_behind_each_other_on_a_connection_do_not_wait_for_the_first_answer() {
    // Arrange
    let (_listener, arrivals, mut caller) = connected();

    // Act
    let requests = [get("/a"), get("/b"), get("/c")].concat();
    caller.write_all(requests.as_bytes()).expect("sent");
    let taken: Vec<Option<Arrival>> = (0..3)
        .map(|_| arrivals.recv_timeout(GIVE_UP).ok())
        .collect();

    // Assert
    let targets: Vec<&str> = taken
        .iter()
        .flatten()
        .map(|(head, _)| head.target.as_str())
        .collect();
    assert_eq!(targets, ["/a", "/b", "/c"]);
    for arrival in taken.into_iter().flatten().rev() {
        answer(arrival);
    }
    let mut reader = BufReader::new(caller);
    assert_eq!(read_answer(&mut reader), "/a");
    assert_eq!(read_answer(&mut reader), "/b");
    assert_eq!(read_answer(&mut reader), "/c");
}
