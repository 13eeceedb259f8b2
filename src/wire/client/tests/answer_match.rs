use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;

use super::{ask, get, read_head, start_server};
use crate::wire::client::connection::REFUSED_LIMIT_COUNT;
use crate::wire::client::{AnswerCheck, AnswerMatch, Call, CallError, HttpClient};
use crate::wire::exchange::WholeAnswer;
use crate::wire::http::header;

/// Matches an answer by its header `id`; status 503 is a refusal.
struct ById(Option<&'static str>);

impl AnswerCheck for ById {
    fn id(&self) -> Option<&str> {
        self.0
    }

    fn answer_match(&self, answer: &WholeAnswer, first: bool) -> AnswerMatch {
        let id = header(&answer.headers, "id");
        match answer.status {
            _ if id != self.0 && !first => AnswerMatch::Foreign,
            503 => AnswerMatch::Refusal,
            _ => AnswerMatch::Own,
        }
    }
}

fn call(address: SocketAddr, id: Option<&'static str>) -> Call {
    Call {
        target: format!("/{}", id.unwrap_or_default()),
        check: Some(Box::new(ById(id))),
        ..get(address)
    }
}

/// Returns an answer whose body is the number of its connection.
fn answer(status: u16, id: &str, index: usize) -> String {
    format!("HTTP/1.1 {status} X\r\nid: {id}\r\ncontent-length: 1\r\n\r\n{index}")
}

/// Starts a server that answers every call with `status` and its path as the id.
fn start_echo_server(status: u16) -> SocketAddr {
    start_server(move |index, mut stream| {
        std::thread::spawn(move || loop {
            let head = read_head(&mut stream);
            let Some(path) = head.split(' ').nth(1) else {
                return;
            };
            write(&mut stream, &answer(status, &path[1..], index));
        });
    })
}

fn write(stream: &mut TcpStream, answer: &str) {
    stream.write_all(answer.as_bytes()).expect("written");
}

/// Returns the number of the connection that carried the call.
fn connection_of(result: Result<WholeAnswer, CallError>) -> u8 {
    result.expect("an answer").body[0] - b'0'
}

#[test]
fn a_repeat_of_a_refused_call_is_made_on_another_connection() {
    // Arrange
    let address = start_echo_server(503);
    let client = HttpClient::start("test-client");
    assert_eq!(connection_of(ask(&client, call(address, Some("a")))), 0);

    // Act
    let other = connection_of(ask(&client, call(address, Some("b"))));
    let repeat = connection_of(ask(&client, call(address, Some("a"))));

    // Assert
    assert_eq!((other, repeat), (0, 1));
}

#[test]
fn a_repeat_of_an_answered_call_may_use_the_same_connection() {
    let address = start_echo_server(200);
    let client = HttpClient::start("test-client");
    for _ in 0..2 {
        let connection = connection_of(ask(&client, call(address, Some("a"))));
        assert_eq!(connection, 0);
    }
}

#[test]
fn a_call_without_an_id_is_made_on_a_new_connection() {
    let address = start_echo_server(200);
    let client = HttpClient::start("test-client");
    for connection in 0..2 {
        let used = connection_of(ask(&client, call(address, None)));
        assert_eq!(used, connection);
    }
}

#[test]
fn an_answer_to_another_call_ends_its_connection() {
    // Arrange: from its second answer on, the first connection is one answer behind.
    let address = start_server(|index, mut stream| {
        std::thread::spawn(move || {
            let answers = match index {
                0 => ["a", "a", "b"],
                _ => ["c", "d", "e"],
            };
            for id in answers {
                read_head(&mut stream);
                // An error means that the client has closed the connection.
                let _ = stream.write_all(answer(200, id, index).as_bytes());
            }
        });
    });
    let client = HttpClient::start("test-client");
    assert_eq!(connection_of(ask(&client, call(address, Some("a")))), 0);

    // Act
    let foreign = ask(&client, call(address, Some("b")));
    let next = ask(&client, call(address, Some("c")));

    // Assert
    assert_eq!(foreign, Err(CallError::ShortAnswer));
    assert_eq!(connection_of(next), 1);
}

#[test]
fn a_second_copy_that_arrives_with_its_answer_ends_the_connection() {
    // Arrange
    let address = start_server(|index, mut stream| {
        read_head(&mut stream);
        let answer = answer(200, "x", index);
        write(&mut stream, &answer.repeat(2));
        // Keeps the socket open, so that only the copy can end the connection.
        std::mem::forget(stream);
    });
    let client = HttpClient::start("test-client");

    // Act and assert: no call waits when the copy arrives, so the next one needs no check.
    assert_eq!(connection_of(ask(&client, get(address))), 0);
    assert_eq!(connection_of(ask(&client, get(address))), 1);
}

#[test]
fn a_second_copy_that_arrives_on_an_idle_connection_answers_no_call() {
    // Arrange
    let (sender, copied) = mpsc::channel();
    let (next, waits) = mpsc::channel::<()>();
    let address = start_server(move |index, mut stream| {
        if index == 0 {
            read_head(&mut stream);
            write(&mut stream, &answer(503, "a", index));
            waits.recv().expect("the test goes on");
            write(&mut stream, &answer(503, "a", index));
            sender.send(()).expect("the test waits");
            // Keeps the socket open, so that only the copy can end the connection.
            return std::mem::forget(stream);
        }
        read_head(&mut stream);
        write(&mut stream, &answer(200, "b", index));
    });
    let client = HttpClient::start("test-client");
    assert_eq!(connection_of(ask(&client, call(address, Some("a")))), 0);
    next.send(()).expect("the server waits");
    copied.recv().expect("the copy was written");

    // Act
    let result = ask(&client, call(address, Some("b")));

    // Assert: whether the copy is read before the call is sent depends on timing.
    assert!(
        matches!(&result, Ok(answer) if answer.status == 200)
            || result == Err(CallError::ShortAnswer),
        "{result:?}"
    );
}

#[test]
fn a_connection_with_many_refused_calls_is_not_kept() {
    // Arrange
    let address = start_echo_server(503);
    let client = HttpClient::start("test-client");
    let ids: Vec<&'static str> = (0..=REFUSED_LIMIT_COUNT)
        .map(|number| &*number.to_string().leak())
        .collect();

    // Act
    for id in ids {
        assert_eq!(connection_of(ask(&client, call(address, Some(id)))), 0);
    }
    let next = connection_of(ask(&client, call(address, Some("next"))));

    // Assert
    assert_eq!(next, 1);
}
