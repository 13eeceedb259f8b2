use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use socket2::SockRef;

use super::{get, read_head, start_server};
use crate::wire::client::{Call, CallError, Caller, HttpClient};
use crate::wire::exchange::WholeAnswer;

/// How a server ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Close {
    /// In order, so that the client reads an end of stream.
    End,
    /// By a reset, so that the client reads an error.
    Reset,
}

/// A complete answer, and the body that a client must read from it.
struct Sample {
    head: &'static str,
    body: &'static str,
    /// The decoded body; `None` if the answer is invalid.
    read: Option<&'static str>,
    /// Whether the body ends with the connection.
    ends_by_close: bool,
}

/// An answer whose head or body determines where it ends.
const FRAMED: Sample = Sample {
    head: "",
    body: "",
    read: Some(""),
    ends_by_close: false,
};

/// An answer that ends with its connection.
const BY_CLOSE: Sample = Sample {
    ends_by_close: true,
    ..FRAMED
};

/// Answers with each kind of framing, valid and invalid.
const SAMPLES: &[Sample] = &[
    Sample {
        head: "HTTP/1.1 200 OK\r\nRequest: 7\r\nContent-Length: 11\r\nContent-Type: text/plain\r\n\r\n",
        body: "hello world",
        read: Some("hello world"),
        ..FRAMED
    },
    // The form in which a guard answers its entry.
    Sample {
        head: "HTTP/1.1 200 OK\r\nserver: x\r\nx-banyanbeam-request: 7\r\ncontent-length: 5\r\ndate: Sat, 05 Dec 2026 07:00:00 GMT\r\n\r\n",
        body: "hello",
        read: Some("hello"),
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 200 OK\r\nRequest: 7\r\nContent-Length: 0\r\n\r\n",
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\n",
        body: "hello",
        read: Some("hello"),
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
        body: "hello",
        read: Some("hello"),
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\n",
        body: "hello",
        read: None,
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest: 7\r\n\r\n",
        body: "5\r\nhello\r\n6;a=b\r\n world\r\n0\r\n\r\n",
        read: Some("hello world"),
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n",
        body: "5\r\nhello\r\n0\r\nSum: 1\r\nOther: 2\r\n\r\n",
        read: Some("hello"),
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        body: "5\r\nhello\r\n0\r\n\r\n",
        read: Some("hello"),
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 204 No Content\r\nRequest: 7\r\nContent-Type: text/plain\r\n\r\n",
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\nRequest: 7\r\n\r\n",
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
        body: "hello",
        read: Some("hello"),
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        body: "5\r\nhello\r\n0\r\n\r\n",
        read: None,
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        body: "hello",
        read: None,
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        read: None,
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.0 200 OK\r\nContent-Length: 5\r\nRequest: 7\r\n\r\n",
        body: "hello",
        read: Some("hello"),
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 200 OK\nRequest: 7\nContent-Length: 5\n\n",
        body: "hello",
        read: Some("hello"),
        ..FRAMED
    },
    Sample {
        head: "HTTP/1.1 200 OK\r\nRequest: 7\r\nContent-Type: text/plain\r\n\r\n",
        body: "hello",
        ..BY_CLOSE
    },
    Sample {
        head: "HTTP/1.1 200 OK\r\nConnection: close\r\nRequest: 7\r\n\r\n",
        body: "hello",
        ..BY_CLOSE
    },
    Sample {
        head: "HTTP/1.0 200 OK\r\nRequest: 7\r\n\r\n",
        body: "hello",
        ..BY_CLOSE
    },
    Sample {
        head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\nRequest: 7\n\n",
        body: "hello",
        ..BY_CLOSE
    },
];

impl Sample {
    /// Returns the complete answer as it is sent.
    fn bytes(&self) -> String {
        format!("{}{}", self.head, self.body)
    }
}

/// Greatest number of calls that run concurrently.
const BATCH_COUNT: usize = 32;

/// Starts a server that answers a call to `/N/C` with the first N bytes of `bytes` and then closes
/// the connection in the way C.
fn start_cutting_server(bytes: String) -> SocketAddr {
    start_server(move |_, mut stream| {
        let head = read_head(&mut stream);
        let mut parts = head.split([' ', '/']).skip(2);
        let kept: usize = parts
            .next()
            .and_then(|text| text.parse().ok())
            .expect("a cut");
        let close = match parts.next() {
            Some("Reset") => Close::Reset,
            _ => Close::End,
        };
        // An error means that the client has given up and closed.
        let _ = stream.write_all(&bytes.as_bytes()[..kept]);
        end(stream, close);
    })
}

/// Ends a connection in order or by a reset.
fn end(stream: TcpStream, close: Close) {
    if close == Close::Reset {
        let now = Some(Duration::ZERO);
        SockRef::from(&stream).set_linger(now).expect("an option");
    }
    drop(stream);
}

/// Returns the results of calls whose answers are cut off after each number of bytes, the complete
/// answer last.
fn cut_everywhere(
    client: &HttpClient,
    bytes: &str,
    close: Close,
) -> Vec<Result<WholeAnswer, CallError>> {
    let address = start_cutting_server(bytes.to_owned());
    let mut results = Vec::new();
    let cuts: Vec<usize> = (0..=bytes.len()).collect();
    for batch in cuts.chunks(BATCH_COUNT) {
        let mut calls = Vec::new();
        for kept in batch {
            let call = Call {
                target: format!("/{kept}/{close:?}"),
                reuse_idle: Duration::ZERO,
                ..get(address)
            };
            let (sender, receiver) = mpsc::channel();
            let done = Box::new(move |result| drop(sender.send(result)));
            let handle = client.call(call, done).ok().expect("the ring has room");
            calls.push((handle, receiver));
        }
        let ended = calls.iter().map(|(_, end)| end.recv().expect("an end"));
        results.extend(ended);
    }
    results
}

/// Asserts that only the complete answer, or a body that ends with its connection, is read.
fn assert_cuts(client: &HttpClient, sample: &Sample, close: Close) {
    let bytes = sample.bytes();
    for (kept, result) in cut_everywhere(client, &bytes, close)
        .into_iter()
        .enumerate()
    {
        let case = format!("{close:?} after {kept} of {bytes:?}: {result:?}");
        let whole = kept == bytes.len();
        let read = match (sample.ends_by_close, close) {
            (false, _) => sample.read.filter(|_| whole),
            (true, Close::Reset) => None,
            (true, Close::End) => bytes.get(sample.head.len()..kept),
        };
        match (read, result) {
            (Some(read), Ok(answer)) => assert_eq!(answer.body, read.as_bytes(), "{case}"),
            (None, Err(CallError::Broken | CallError::ShortAnswer)) => {}
            // The reset may arrive before the last bytes are read.
            (Some(_), Err(_)) if close == Close::Reset => {}
            _ => panic!("{case}"),
        }
    }
}

#[test]
fn an_answer_that_is_cut_off_anywhere_is_never_taken_as_complete() {
    let client = HttpClient::start("test-client");
    for sample in SAMPLES {
        assert_cuts(&client, sample, Close::End);
        assert_cuts(&client, sample, Close::Reset);
    }
}
