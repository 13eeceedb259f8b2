use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{ask, get, read_head};
use crate::wire::client::{Call, CallError, Caller, HttpClient, OutgoingBody};

/// More than socket buffers hold, so that some of it is still unsent when the answer arrives.
const BODY_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of the body that the server reads before it answers.
const READ_BYTES: usize = 1000;
/// Length of the parts in which a caller's body arrives.
const PART_BYTES: usize = 64 * 1024;

/// Returns a body in which each 4-byte integer is its own index, so that misplaced bytes are
/// noticed.
fn body() -> Bytes {
    static BODY: OnceLock<Bytes> = OnceLock::new();
    let word = |index: usize| (index as u32).to_be_bytes();
    let make = || (0..BODY_BYTES / 4).flat_map(word).collect();
    BODY.get_or_init(make).clone()
}

/// Returns a POST call with that body.
fn post(address: SocketAddr, body: OutgoingBody) -> Call {
    Call {
        method: "POST".to_owned(),
        target: "/first".to_owned(),
        body,
        ..get(address)
    }
}

/// Returns an answer as it is sent.
fn answer(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// A server's connection on which it has read the head and the first bytes of a body.
struct Upload {
    /// The server's end of the connection.
    stream: TcpStream,
    /// Bytes of the body that were read so far.
    read: Vec<u8>,
}

impl Upload {
    /// Accepts a connection and reads the head and the first bytes of the body.
    fn accept(listener: &TcpListener) -> Upload {
        let (mut stream, _) = listener.accept().expect("a connection");
        let head = read_head(&mut stream);
        assert!(head.starts_with("POST /first "), "{head}");
        let mut read = vec![0; READ_BYTES];
        stream.read_exact(&mut read).expect("the first bytes");
        Upload { stream, read }
    }

    /// Reads the rest of the body, or up to the end of the connection.
    fn read_on(&mut self) {
        let due = BODY_BYTES - self.read.len();
        let mut stream = (&mut self.stream).take(due as u64);
        // A reset also counts as the end of the connection.
        let _ = stream.read_to_end(&mut self.read);
    }

    /// Asserts that the bytes read are the beginning of the body.
    fn assert_part_of_the_body(&self) {
        let whole = body();
        let same = whole.starts_with(&self.read);
        assert!(same, "other bytes came within {}", self.read.len());
    }
}

/// Binds a free port and returns its listener and address.
fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Answers the next call, which must arrive on another connection.
fn serve_second(listener: &TcpListener) -> std::thread::JoinHandle<TcpStream> {
    let listener = listener.try_clone().expect("a second handle");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("another connection");
        let head = read_head(&mut stream);
        assert!(head.starts_with("GET /second "), "{head}");
        stream.write_all(&answer(200, "second")).expect("written");
        stream
    })
}

/// Returns the call that follows the one with the body.
fn second_call(address: SocketAddr) -> Call {
    Call {
        target: "/second".to_owned(),
        ..get(address)
    }
}

/// Channel through which the parts of a body are sent.
type PartSender = async_channel::Sender<std::io::Result<Bytes>>;

/// Returns a body in parts, and the channel for the parts.
fn in_parts() -> (OutgoingBody, PartSender) {
    let (sender, parts) = async_channel::bounded(1);
    let body = OutgoingBody::Parts {
        length_bytes: BODY_BYTES as u64,
        parts,
    };
    (body, sender)
}

/// Sends the first `count` parts of the body, and then closes the channel.
fn send_parts(sender: PartSender, count: usize) {
    std::thread::spawn(move || {
        let whole = body();
        for part in whole.chunks(PART_BYTES).take(count) {
            let part = Bytes::copy_from_slice(part);
            if sender.send_blocking(Ok(part)).is_err() {
                return;
            }
        }
    });
}

/// Number of parts of the complete body.
const ALL_PARTS_COUNT: usize = BODY_BYTES / PART_BYTES;

/// Runs a server that answers before it has read the body, and reads on after the client's next
/// call. Calls `after` once the client has the early answer.
fn answered_early(status: u16, sent: OutgoingBody, after: impl FnOnce()) -> Upload {
    let (listener, address) = listen();
    let (sender, uploads) = mpsc::channel();
    let uploading = listener.try_clone().expect("a second handle");
    std::thread::spawn(move || {
        let mut upload = Upload::accept(&uploading);
        upload
            .stream
            .write_all(&answer(status, "early"))
            .expect("written");
        let _ = sender.send(upload);
    });
    let client = HttpClient::start("test-client");
    let first = ask(&client, post(address, sent)).expect("the early answer");
    assert_eq!((first.status, &first.body[..]), (status, &b"early"[..]));
    let mut upload = uploads.recv().expect("the upload");
    after();
    let serving = serve_second(&listener);
    let next = ask(&client, second_call(address)).expect("the next answer");
    assert_eq!(next.body, "second");
    serving
        .join()
        .expect("the next call came on another connection");
    upload.read_on();
    upload
}

/// Asserts that the whole body was received unchanged.
fn assert_the_rest_came(upload: &Upload) {
    upload.assert_part_of_the_body();
    assert_eq!(upload.read.len(), BODY_BYTES, "the connection was kept");
}

#[test]
fn a_call_does_not_wait_behind_the_unread_body_of_an_answered_call() {
    for status in [200, 413, 503] {
        // Act
        let upload = answered_early(status, OutgoingBody::Whole(body()), || {});

        // Assert
        assert_the_rest_came(&upload);
    }
}

#[test]
fn only_the_rest_of_an_upload_is_sent_on_a_connection_after_an_early_answer() {
    for status in [200, 413, 503] {
        // Arrange
        let (sent, source) = in_parts();
        send_parts(source, ALL_PARTS_COUNT);

        // Act
        let upload = answered_early(status, sent, || {});

        // Assert
        assert_the_rest_came(&upload);
    }
}

#[test]
fn an_upload_that_is_cut_off_after_an_early_answer_ends_its_connection() {
    // Arrange
    let (sent, source) = in_parts();
    let part = || Ok(body().slice(..PART_BYTES));
    source.send_blocking(part()).expect("room");

    // Act
    let mut upload = answered_early(413, sent, move || drop(source));

    // Assert
    upload.assert_part_of_the_body();
    assert!(upload.read.len() <= PART_BYTES);
    assert_eq!(upload.stream.read(&mut [0]).unwrap_or(0), 0);
}

#[test]
fn a_call_that_is_dropped_while_sending_its_body_sends_nothing_else_on_its_connection() {
    // Arrange
    let (listener, address) = listen();
    let client = HttpClient::start("test-client");
    let done = Box::new(|_| panic!("a call that was dropped has no end"));
    let call = post(address, OutgoingBody::Whole(body()));
    let handle = client.call(call, done).ok().expect("room");
    let mut upload = Upload::accept(&listener);

    // Act
    drop(handle);
    let serving = serve_second(&listener);
    let next = ask(&client, second_call(address)).expect("the next answer");

    // Assert
    assert_eq!(next.body, "second");
    serving
        .join()
        .expect("the next call came on another connection");
    upload.read_on();
    upload.assert_part_of_the_body();
    assert!(upload.read.len() < BODY_BYTES);
}

#[test]
fn a_call_that_times_out_while_sending_its_body_sends_nothing_else_on_its_connection() {
    // Arrange
    let (listener, address) = listen();
    let client = HttpClient::start("test-client");
    let sent = OutgoingBody::Whole(body());
    let call = Call {
        deadline_at: Instant::now() + Duration::from_millis(200),
        ..post(address, sent)
    };

    // Act
    let result = ask(&client, call);
    let (mut first, _) = listener.accept().expect("a connection");
    let serving = serve_second(&listener);
    let next = ask(&client, second_call(address)).expect("the next answer");

    // Assert
    assert_eq!(result, Err(CallError::Late));
    assert_eq!(next.body, "second");
    serving
        .join()
        .expect("the next call came on another connection");
    read_head(&mut first);
    let mut upload = Upload {
        stream: first,
        read: Vec::new(),
    };
    upload.read_on();
    upload.assert_part_of_the_body();
    assert!(upload.read.len() < BODY_BYTES);
}

#[test]
fn an_upload_that_is_cut_off_is_not_sent_as_a_complete_request() {
    // Arrange
    let (listener, address) = listen();
    let (sender, uploads) = mpsc::channel();
    std::thread::spawn(move || {
        let mut upload = Upload::accept(&listener);
        upload.read_on();
        let _ = sender.send(upload);
    });

    // Act
    let (sent, source) = in_parts();
    send_parts(source, 2);
    let result = ask(&HttpClient::start("test-client"), post(address, sent));

    // Assert
    assert_eq!(result, Err(CallError::ShortBody));
    let upload = uploads.recv().expect("the upload");
    upload.assert_part_of_the_body();
    assert!(upload.read.len() <= 2 * PART_BYTES);
}

#[test]
fn an_answer_that_is_reset_during_an_upload_is_never_taken_as_complete() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nRequest: 7\r\n\r\nhello";
    for round in 0..40 {
        // Arrange
        let (listener, address) = listen();
        std::thread::spawn(move || {
            let mut upload = Upload::accept(&listener);
            upload.stream.write_all(HEAD).expect("written");
            // Closing with unread bytes resets the connection.
            drop(upload);
        });
        let (mut sent, source) = in_parts();
        match round % 2 {
            0 => sent = OutgoingBody::Whole(body()),
            _ => send_parts(source, ALL_PARTS_COUNT),
        }

        // Act
        let result = ask(&HttpClient::start("test-client"), post(address, sent));

        // Assert
        let error = result.expect_err("the answer was reset");
        assert!(matches!(error, CallError::Broken | CallError::ShortAnswer));
    }
}
