mod disconnects;
mod early;
mod framing;
mod held;
mod leftover;
mod memory;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{bounded, Receiver};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Arrival, HttpListener, ListenerOptions};
use crate::wire::exchange::WholeAnswer;

/// Far longer than a request takes to arrive; only a failing test waits so long.
const GIVE_UP: Duration = Duration::from_secs(10);

/// A listener, the requests that it delivers, and a connection to it.
type Connected = (Arc<HttpListener>, Receiver<Arrival>, TcpStream);

/// Starts a listener with the default options, and connects to it.
fn connected() -> Connected {
    connected_to(ListenerOptions::default())
}

/// Starts a listener whose requests can be waited for with a limit, and connects to it.
fn connected_to(options: ListenerOptions) -> Connected {
    let address = "127.0.0.1:0".parse().expect("a literal address");
    let listener = HttpListener::bind(address, options).expect("a free port");
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

/// Returns a GET request of a path.
fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")
}

/// Reads the next answer and returns its body.
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

/// Answers a request with its own target as the body.
fn answer(arrival: Arrival) {
    let (head, exchange) = arrival;
    exchange.answer(WholeAnswer {
        status: 200,
        headers: Vec::new(),
        body: head.target.into(),
    });
}

#[test]
fn pipelined_requests_do_not_wait_for_the_first_answer() {
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

/// Waits for the next requests and returns them in order.
fn take(arrivals: &Receiver<Arrival>, count: usize) -> Vec<Arrival> {
    let next = |_| arrivals.recv_timeout(GIVE_UP).expect("another request");
    (0..count).map(next).collect()
}

#[test]
fn a_disconnected_caller_is_reported_to_every_pipelined_request() {
    // Arrange
    let (_listener, arrivals, mut caller) = connected();
    let requests = [get("/a"), get("/b"), get("/c")].concat();
    caller.write_all(requests.as_bytes()).expect("sent");
    let (sender, left) = bounded(3);
    let mut taken = take(&arrivals, 3);
    for (_, exchange) in &mut taken {
        let sender = sender.clone();
        exchange.watch(Box::new(move || {
            let _ = sender.send(());
        }));
    }

    // Act
    drop(caller);

    // Assert
    for _ in 0..3 {
        assert!(left.recv_timeout(GIVE_UP).is_ok());
    }
}

#[test]
fn a_closing_connection_first_answers_all_pipelined_requests() {
    for close in [false, true] {
        // Arrange
        let (listener, arrivals, mut caller) = connected();
        let requests = [get("/a"), get("/b")].concat();
        caller.write_all(requests.as_bytes()).expect("sent");
        let taken = take(&arrivals, 2);

        // Act
        listener.wind_down();
        if close {
            listener.close();
        }
        taken.into_iter().for_each(answer);

        // Assert
        let mut reader = BufReader::new(caller);
        assert_eq!(read_answer(&mut reader), "/a");
        assert_eq!(read_answer(&mut reader), "/b");
        let mut rest = String::new();
        reader.read_line(&mut rest).expect("the end");
        assert_eq!(rest, "");
    }
}

#[test]
fn a_pipelined_request_with_a_body_waits_its_turn() {
    // Arrange
    let (_listener, arrivals, mut caller) = connected();
    let post = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
    let requests = [get("/a"), post.to_owned(), get("/c")].concat();

    // Act: a byte at a time.
    for byte in requests.bytes() {
        caller.write_all(&[byte]).expect("sent");
    }

    // Assert
    let mut reader = BufReader::new(caller);
    for target in ["/a", "/b", "/c"] {
        let arrival = take(&arrivals, 1).remove(0);
        assert_eq!(arrival.0.target, target);
        answer(arrival);
        assert_eq!(read_answer(&mut reader), target);
    }
}

#[test]
fn a_body_with_ambiguous_framing_is_not_parsed_as_a_request() {
    // Arrange
    let (_listener, arrivals, mut caller) = connected();
    let hidden = "GET /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nGET /c HTTP/1.1\r\n\r\n";

    // Act
    let requests = [get("/a"), hidden.to_owned()].concat();
    caller.write_all(requests.as_bytes()).expect("sent");
    take(&arrivals, 1).into_iter().for_each(answer);
    let mut reader = BufReader::new(caller);
    let first = read_answer(&mut reader);
    let mut rest = Vec::new();
    // The listener closes the connection, because the chunks are malformed.
    let _ = reader.read_to_end(&mut rest);

    // Assert
    assert_eq!(first, "/a");
    assert!(rest.starts_with(b"HTTP/1.1 411 "), "{rest:?}");
    let others: Vec<String> = arrivals.try_iter().map(|(head, _)| head.target).collect();
    assert!(others.is_empty(), "{others:?}");
}

#[test]
fn a_head_that_arrives_in_parts_is_not_parsed_as_two_requests() {
    // Arrange
    let (_listener, arrivals, mut caller) = connected();
    let whole = format!("GET /a HTTP/1.1\r\nHost: h\r\nX: {}", get("/b"));
    let (first, second) = whole.split_at(whole.find("GET /b").expect("the second part"));

    // Act: the pause lets the listener read the parts separately.
    caller.write_all(first.as_bytes()).expect("sent");
    std::thread::sleep(Duration::from_millis(100));
    caller.write_all(second.as_bytes()).expect("sent");
    let (head, exchange) = take(&arrivals, 1).remove(0);

    // Assert
    assert_eq!(head.target, "/a");
    answer((head, exchange));
    let mut reader = BufReader::new(caller);
    assert_eq!(read_answer(&mut reader), "/a");
    assert!(arrivals.try_recv().is_err());
}

#[test]
fn a_pipelined_head_that_arrives_in_parts_runs_concurrently() {
    // Arrange
    let (_listener, arrivals, mut caller) = connected();
    caller.write_all(get("/a").as_bytes()).expect("sent");
    let mut taken = take(&arrivals, 1);

    // Act
    let later = get("/b");
    let (first, second) = later.split_at(9);
    caller.write_all(first.as_bytes()).expect("sent");
    std::thread::sleep(Duration::from_millis(100));
    caller.write_all(second.as_bytes()).expect("sent");
    taken.extend(take(&arrivals, 1));

    // Assert
    taken.into_iter().rev().for_each(answer);
    let mut reader = BufReader::new(caller);
    assert_eq!(read_answer(&mut reader), "/a");
    assert_eq!(read_answer(&mut reader), "/b");
}

#[test]
fn requests_are_parsed_alike_however_their_bytes_are_split() {
    let post =
        "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 24\r\n\r\nGET /x HTTP/1.1\r\n\r\nlast\n";
    let requests = [get("/a"), get("/b"), post.to_owned(), get("/d")].concat();
    for seed in 0..50 {
        // Arrange
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (_listener, arrivals, mut caller) = connected();
        let reader = caller.try_clone().expect("a second handle");

        // Act
        let mut rest = requests.as_bytes();
        while !rest.is_empty() {
            let length = random.random_range(1..=rest.len().min(40));
            caller.write_all(&rest[..length]).expect("sent");
            rest = &rest[length..];
            std::thread::sleep(Duration::from_millis(1));
        }

        // Assert
        let mut reader = BufReader::new(reader);
        let mut taken = Vec::new();
        for target in ["/a", "/b", "/c", "/d"] {
            let arrival = take(&arrivals, 1).remove(0);
            taken.push(arrival.0.target.clone());
            answer(arrival);
            assert_eq!(read_answer(&mut reader), target, "seed {seed}");
        }
        assert_eq!(taken, ["/a", "/b", "/c", "/d"], "seed {seed}");
        assert!(arrivals.try_recv().is_err(), "seed {seed}");
    }
}
