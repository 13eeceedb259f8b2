use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{ask, get, read_head};
use crate::wire::client::{Call, CallError, Caller, HttpClient, OutgoingBody};

/// More than sockets hold, so that the rest of it is still due when the answer comes.
const BODY_BYTES: usize = 16 * 1024 * 1024;
/// What the server reads of it before it answers.
const READ_BYTES: usize = 1000;
/// Parts that a caller's body comes in.
const PART_BYTES: usize = 64 * 1024;

/// A body whose bytes tell their place.
fn body() -> Bytes {
    static BODY: OnceLock<Bytes> = OnceLock::new();
    let word = |place: usize| (place as u32).to_be_bytes();
    let make = || (0..BODY_BYTES / 4).flat_map(word).collect();
    BODY.get_or_init(make).clone()
}

fn post(address: SocketAddr, body: OutgoingBody) -> Call {
    Call {
        method: "POST".to_owned(),
        target: "/first".to_owned(),
        body,
        ..get(address)
    }
}

fn answer(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// A connection on which the server has read the head and the first bytes of a body.
struct Upload {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Upload {
    fn take(listener: &TcpListener) -> Upload {
        let (mut stream, _) = listener.accept().expect("a connection");
        let head = read_head(&mut stream);
        assert!(head.starts_with("POST /first "), "{head}");
        let mut read = vec![0; READ_BYTES];
        stream.read_exact(&mut read).expect("the first bytes");
        Upload { stream, read }
    }

    /// Reads on for as many bytes as the body has, or to the end.
    fn read_on(&mut self) {
        let due = BODY_BYTES - self.read.len();
        let mut stream = (&mut self.stream).take(due as u64);
        // A connection that was reset ends, too.
        let _ = stream.read_to_end(&mut self.read);
    }

    fn assert_part_of_the_body(&self) {
        let whole = body();
        let alike = whole.starts_with(&self.read);
        assert!(alike, "other bytes came within {}", self.read.len());
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Answers the next call, which must come on another connection.
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

fn second(address: SocketAddr) -> Call {
    Call {
        target: "/second".to_owned(),
        ..get(address)
    }
}

type PartSender = async_channel::Sender<std::io::Result<Bytes>>;

/// A body in parts, and where they come from.
fn in_parts() -> (OutgoingBody, PartSender) {
    let (sender, parts) = async_channel::bounded(1);
    let body = OutgoingBody::Parts {
        length_bytes: BODY_BYTES as u64,
        parts,
    };
    (body, sender)
}

/// Sends the first parts of the body, and then ends their source.
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

const ALL_PARTS_COUNT: usize = BODY_BYTES / PART_BYTES;

/// The server answers early and reads on after the client's next call.
/// `after` is run once the answer is there.
fn answered_early(status: u16, sent: OutgoingBody, after: impl FnOnce()) -> Upload {
    let (listener, address) = listen();
    let (sender, uploads) = mpsc::channel();
    let uploading = listener.try_clone().expect("a second handle");
    std::thread::spawn(move || {
        let mut upload = Upload::take(&uploading);
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
    let next = ask(&client, second(address)).expect("the next answer");
    assert_eq!(next.body, b"second");
    serving
        .join()
        .expect("the next call came on another connection");
    upload.read_on();
    upload
}

fn assert_the_rest_came(upload: &Upload) {
    upload.assert_part_of_the_body();
    assert_eq!(upload.read.len(), BODY_BYTES, "the connection was kept");
}

#[test]
fn no_call_waits_behind_a_body_that_a_server_which_answered_early_does_not_read() {
    for status in [200, 413, 503] {
        // Act
        let upload = answered_early(status, OutgoingBody::Whole(body()), || {});

        // Assert
        assert_the_rest_came(&upload);
    }
}

#[test]
fn a_server_that_answers_early_reads_nothing_but_the_rest_of_an_upload() {
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
fn an_upload_that_ends_short_after_an_early_answer_ends_its_connection() {
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
fn a_call_that_ends_amid_its_body_sends_nothing_else_on_its_connection() {
    // Arrange
    let (listener, address) = listen();
    let client = HttpClient::start("test-client");
    let done = Box::new(|_| panic!("a call that was dropped has no end"));
    let call = post(address, OutgoingBody::Whole(body()));
    let handle = client.call(call, done).ok().expect("room");
    let mut upload = Upload::take(&listener);

    // Act
    drop(handle);
    let serving = serve_second(&listener);
    let next = ask(&client, second(address)).expect("the next answer");

    // Assert
    assert_eq!(next.body, b"second");
    serving
        .join()
        .expect("the next call came on another connection");
    upload.read_on();
    upload.assert_part_of_the_body();
    assert!(upload.read.len() < BODY_BYTES);
}

#[test]
fn a_call_whose_deadline_passes_amid_its_body_sends_nothing_else_on_its_connection() {
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
    let next = ask(&client, second(address)).expect("the next answer");

    // Assert
    assert_eq!(result, Err(CallError::Late));
    assert_eq!(next.body, b"second");
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
fn an_upload_that_ends_short_is_no_whole_request() {
    // Arrange
    let (listener, address) = listen();
    let (sender, uploads) = mpsc::channel();
    std::thread::spawn(move || {
        let mut upload = Upload::take(&listener);
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
fn an_answer_that_is_reset_under_an_upload_is_never_whole() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nRequest: 7\r\n\r\nhello";
    for round in 0..40 {
        // Arrange
        let (listener, address) = listen();
        std::thread::spawn(move || {
            let mut upload = Upload::take(&listener);
            upload.stream.write_all(HEAD).expect("written");
            // Much was not read, so that this resets the connection.
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
