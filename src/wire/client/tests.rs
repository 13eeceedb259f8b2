mod answer_match;
mod cut;
mod early;
mod endless;
mod held;
mod status;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use super::{Call, CallError, Caller, HttpClient, OutgoingBody};
use crate::wire::exchange::WholeAnswer;

/// Longer than any call in these tests takes.
const LONG: Duration = Duration::from_secs(30);

/// Returns a GET call without a body whose connection may be reused.
fn get(address: SocketAddr) -> Call {
    Call {
        address,
        method: "GET".to_owned(),
        target: "/x".to_owned(),
        host: None,
        headers: Vec::new(),
        body: OutgoingBody::Whole(Default::default()),
        connect_timeout: LONG,
        deadline_at: Instant::now() + LONG,
        answer_limit_bytes: 1_000,
        reuse_idle: LONG,
        reconnect_check: false,
        check: None,
    }
}

/// Makes a call and waits for its result.
fn ask(client: &HttpClient, call: Call) -> Result<WholeAnswer, CallError> {
    let (sender, receiver) = mpsc::channel();
    let done = Box::new(move |result| drop(sender.send(result)));
    let _handle = client.call(call, done).ok().expect("the ring has room");
    receiver.recv().expect("the call ends")
}

/// Reads the head of a request; empty if the client has closed the connection.
fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            break;
        }
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// Accepts connections and hands each to `serve` in turn.
fn start_server(serve: impl Fn(usize, TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for (index, stream) in listener.incoming().enumerate() {
            serve(index, stream.expect("a connection"));
        }
    });
    address
}

#[test]
fn a_kept_connection_carries_the_next_call() {
    // Arrange
    let address = start_server(|index, mut stream| {
        while !read_head(&mut stream).is_empty() {
            let body = index.to_string();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{body}");
            stream.write_all(answer.as_bytes()).expect("written");
        }
    });
    let client = HttpClient::start("test-client");

    // Act
    let first = ask(&client, get(address)).expect("an answer");
    let second = ask(&client, get(address)).expect("an answer");

    // Assert
    assert_eq!((first.body, second.body), ("0".into(), "0".into()));
}

#[test]
fn a_call_succeeds_after_the_server_closed_its_idle_connection() {
    // Arrange
    let (sender, closed) = mpsc::channel();
    let address = start_server(move |_, mut stream| {
        read_head(&mut stream);
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer.as_bytes()).expect("written");
        drop(stream);
        sender.send(()).expect("the test waits");
    });
    let client = HttpClient::start("test-client");

    // Act and assert
    for _ in 0..3 {
        assert!(ask(&client, get(address)).is_ok());
        closed.recv().expect("the server has closed");
    }
}

#[test]
fn an_answer_that_ends_before_its_length_is_an_error() {
    // Arrange
    let address = start_server(|_, mut stream| {
        read_head(&mut stream);
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab";
        stream.write_all(answer.as_bytes()).expect("written");
    });

    // Act
    let result = ask(&HttpClient::start("test-client"), get(address));

    // Assert
    assert_eq!(result, Err(CallError::ShortAnswer));
}

#[test]
fn bytes_that_are_no_http_answer_are_an_error() {
    // Arrange
    let address = start_server(|_, mut stream| {
        read_head(&mut stream);
        stream.write_all(b"garbage\r\n\r\n").expect("written");
    });

    // Act
    let result = ask(&HttpClient::start("test-client"), get(address));

    // Assert
    assert_eq!(result, Err(CallError::ShortAnswer));
}

#[test]
fn a_connection_that_closes_without_an_answer_is_reported_as_broken() {
    // Arrange
    let address = start_server(|_, mut stream| drop(read_head(&mut stream)));

    // Act
    let result = ask(&HttpClient::start("test-client"), get(address));

    // Assert
    assert_eq!(result, Err(CallError::Broken));
}

#[test]
fn a_refused_connection_is_reported_as_not_sent() {
    // Arrange
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);

    // Act
    let result = ask(&HttpClient::start("test-client"), get(address));

    // Assert
    assert_eq!(result, Err(CallError::NotSent));
}

#[test]
fn dropping_the_handle_closes_the_connection() {
    // Arrange
    let (sender, receiver) = mpsc::channel();
    let address = start_server(move |_, mut stream| {
        read_head(&mut stream);
        sender.send(None).expect("the test waits");
        let end = stream.read(&mut [0]);
        sender.send(Some(end.unwrap_or(0))).expect("the test waits");
    });
    let client = HttpClient::start("test-client");
    let done = Box::new(|_| panic!("a call that was dropped has no end"));
    let handle = client.call(get(address), done).ok().expect("room");
    assert_eq!(receiver.recv().expect("the request came"), None);

    // Act
    drop(handle);

    // Assert
    assert_eq!(receiver.recv().expect("the connection ended"), Some(0));
}

#[test]
fn an_answer_to_a_request_with_a_body_that_ends_before_its_length_is_an_error() {
    // Arrange
    let address = start_server(|_, mut stream| {
        read_head(&mut stream);
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort";
        stream.write_all(answer.as_bytes()).expect("written");
        let _ = stream.read(&mut [0; 100]);
    });
    let call = Call {
        method: "POST".to_owned(),
        body: OutgoingBody::Whole("hello".into()),
        ..get(address)
    };

    // Act
    let result = ask(&HttpClient::start("test-client"), call);

    // Assert
    assert_eq!(result, Err(CallError::ShortAnswer));
}
