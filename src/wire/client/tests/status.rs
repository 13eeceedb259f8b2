use std::io::Write;

use super::{ask, get, read_head, start_server};
use crate::wire::client::{CallError, HttpClient};

/// Returns an answer as it is sent, with a body of one byte.
fn answer(status: &str, body: usize) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\ncontent-length: 1\r\n\r\n{body}").into_bytes()
}

/// Guards against callers that get an answer with a status of which HTTP knows no meaning.
#[test]
fn an_answer_with_a_status_that_is_not_of_http_is_no_answer_and_ends_its_connection() {
    for status in ["000", "099", "600", "601", "999", "1000", "20", "-20"] {
        // Arrange
        let address = start_server(move |index, mut stream| {
            std::thread::spawn(move || {
                let statuses: &[&str] = match index {
                    0 => &["200", status],
                    _ => &["200"],
                };
                for status in statuses {
                    read_head(&mut stream);
                    stream.write_all(&answer(status, index)).expect("written");
                }
                // Stays open until the client closes it.
                read_head(&mut stream);
            });
        });
        let client = HttpClient::start("test-client");
        let first = ask(&client, get(address)).expect("an answer");

        // Act
        let second = ask(&client, get(address));
        let third = ask(&client, get(address)).expect("an answer");

        // Assert
        assert_eq!((first.status, &first.body[..]), (200, &b"0"[..]));
        assert_eq!(second, Err(CallError::ShortAnswer), "{status}");
        assert_eq!(
            (third.status, &third.body[..]),
            (200, &b"1"[..]),
            "{status}"
        );
    }
}

#[test]
fn the_highest_status_of_http_is_an_answer() {
    let address = start_server(|index, mut stream| {
        read_head(&mut stream);
        stream.write_all(&answer("599", index)).expect("written");
    });
    let result = ask(&HttpClient::start("test-client"), get(address));
    assert_eq!(result.map(|answer| answer.status), Ok(599));
}
