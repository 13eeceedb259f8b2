use std::io::{Read, Write};
use std::net::Shutdown;

use super::{connected, take};
use crate::wire::exchange::WholeAnswer;

const BODY: &str = "short";

/// Returns what a caller reads of an answer until the connection ends, in lower case.
fn read_of(method: &str, status: u16, headers: &[(&str, &str)]) -> String {
    let (_listener, arrivals, mut caller) = connected();
    let request = format!("{method} /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    caller.write_all(request.as_bytes()).expect("sent");
    let (_, exchange) = take(&arrivals, 1).remove(0);
    let pair = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
    exchange.answer(WholeAnswer {
        status,
        headers: headers.iter().map(pair).collect(),
        body: BODY.into(),
    });
    let mut read = String::new();
    caller.read_to_string(&mut read).expect("an orderly end");
    // An error means that the listener has closed the connection.
    let _ = caller.shutdown(Shutdown::Both);
    read.to_ascii_lowercase()
}

#[test]
fn framing_headers_of_an_answer_do_not_change_its_framing() {
    let cases: &[&[(&str, &str)]] = &[
        &[],
        &[("content-length", "100")],
        &[("content-length", "2")],
        &[("content-length", "5"), ("content-length", "6")],
        &[("transfer-encoding", "chunked")],
        &[
            ("transfer-encoding", "gzip, chunked"),
            ("content-length", "5"),
        ],
        &[("trailer", "sum")],
    ];
    for headers in cases {
        // Act
        let read = read_of("GET", 200, headers);

        // Assert
        assert!(
            read.starts_with("http/1.1 200 ok\r\n"),
            "{headers:?}: {read:?}"
        );
        assert!(read.ends_with("\r\n\r\nshort"), "{headers:?}: {read:?}");
        assert_eq!(read.matches("content-length: 5\r\n").count(), 1, "{read:?}");
        assert_eq!(read.matches("content-length").count(), 1, "{read:?}");
        assert!(!read.contains("transfer-encoding"), "{read:?}");
    }
}

#[test]
fn an_answer_that_must_not_have_a_body_is_sent_without_one() {
    for (method, status) in [("GET", 204), ("GET", 304), ("HEAD", 200)] {
        // Act
        let read = read_of(method, status, &[]);

        // Assert
        let first = format!("http/1.1 {status} ");
        assert!(read.starts_with(&first), "{read:?}");
        assert!(read.ends_with("\r\n\r\n"), "{read:?}");
        assert_eq!(read.matches("\r\n\r\n").count(), 1, "{read:?}");
    }
}

#[test]
fn an_interim_status_is_not_sent_as_the_final_answer() {
    for status in [100, 101, 103] {
        // Act
        let read = read_of("GET", status, &[]);

        // Assert
        assert!(read.starts_with("http/1.1 500 "), "{status}: {read:?}");
    }
}
