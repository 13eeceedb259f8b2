use std::io::Write;
use std::sync::mpsc;

use super::{ask, get, read_head, start_server};
use crate::wire::client::{CallError, HttpClient};

/// Far more than the client's limits and socket buffers hold; only a failing test sends all of it.
const ENOUGH_BYTES: usize = 64 * 1024 * 1024;

/// Has a server answer with `head` and then repeat `part` until the connection is closed. Returns
/// the error of the call and the number of bytes that the server could send.
fn answer_without_end(head: &'static str, part: &'static str) -> (Option<CallError>, usize) {
    let (sender, sent) = mpsc::channel();
    let address = start_server(move |_, mut stream| {
        read_head(&mut stream);
        let mut sent_bytes = 0;
        let block = part.repeat(1 + 4096 / part.len());
        let mut open = stream.write_all(head.as_bytes()).is_ok();
        while open && sent_bytes < ENOUGH_BYTES {
            open = stream.write_all(block.as_bytes()).is_ok();
            sent_bytes += block.len();
        }
        let _ = sender.send(sent_bytes);
    });
    let result = ask(&HttpClient::start("test-client"), get(address));
    let sent_bytes = sent.recv().expect("the server's count");
    (result.err(), sent_bytes)
}

/// Asserts that the client ends a call whose answer never ends.
fn assert_given_up(head: &'static str, part: &'static str) {
    let (error, sent_bytes) = answer_without_end(head, part);
    assert!(
        matches!(
            error,
            Some(CallError::ShortAnswer | CallError::AnswerTooLarge)
        ),
        "{head:?}, {part:?}: {error:?}"
    );
    assert!(sent_bytes < ENOUGH_BYTES, "{head:?}, {part:?}");
}

#[test]
fn endless_bytes_that_are_no_http_answer_are_given_up() {
    assert_given_up("", "x");
}

#[test]
fn an_endless_head_is_given_up() {
    assert_given_up("HTTP/1.1 200 OK\r\n", "a: b\r\n");
    assert_given_up("HTTP/1.1 200 OK\r\nname: ", "x");
}

#[test]
fn an_endless_body_is_given_up() {
    assert_given_up("HTTP/1.1 200 OK\r\n\r\n", "x");
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    assert_given_up(chunked, "1\r\nx\r\n");
}

#[test]
fn an_endless_chunk_size_is_given_up() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;";
    assert_given_up(chunked, "x");
}

#[test]
fn endless_trailers_are_given_up() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    assert_given_up(chunked, "a: b\r\n");
}

#[test]
fn endless_interim_answers_are_given_up() {
    assert_given_up("", "HTTP/1.1 100 Continue\r\n\r\n");
}
