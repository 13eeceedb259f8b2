//! Answers that are no whole and valid ones, on the path from a server through two daemons to the caller.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use banyanbeam::guard::message::Announcement;
use support::faults::*;
use support::Answer;

/// Length of an upload, more than socket buffers hold.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
/// Start of an answer to a request; its head goes on.
const GOOD: &str = "HTTP/1.1 200 OK\r\n";
/// Time after which a server that has ended is no longer known; more than `guard.announcement_ttl_ms`.
const ANNOUNCEMENT_LAPSE: Duration = Duration::from_millis(2_500);
/// Requests that are sent for each answer.
const ROUND_COUNT: usize = 4;

/// How a server answers.
#[derive(Clone)]
struct Reply {
    /// Bytes of the answer; the text `ID` in them stands for the id of the request.
    bytes: String,
    /// Whether the connection is reset after the answer, before the request's body has been read.
    resets: bool,
}

/// A server that answers with given bytes.
struct RawServer {
    /// Answer to each request.
    reply: Arc<Mutex<Reply>>,
}

impl RawServer {
    /// Starts a server that announces itself to a guard.
    fn start(announce: SocketAddr) -> RawServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let reply = Arc::new(Mutex::new(whole("ok")));
        let shared = reply.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let reply = shared.clone();
                std::thread::spawn(move || serve(stream, &reply));
            }
        });
        std::thread::spawn(move || loop {
            let announcement = Announcement {
                server: "raw".into(),
                service: "workshop".into(),
                address,
                slots_count: 8,
                started_at_ms: 1,
                ..Default::default()
            };
            let body = serde_json::to_string(&announcement).expect("plain values become JSON");
            let url = format!("http://{announce}/announce");
            // A daemon that has not started yet receives the next announcement.
            let _ = attohttpc::post(url).text(body).send();
            std::thread::sleep(Duration::from_millis(200));
        });
        RawServer { reply }
    }

    /// Sets the answer to the next requests.
    fn answer_with(&self, reply: Reply) {
        *self.reply.lock().expect("no panic while locked") = reply;
    }
}

/// Returns a whole answer with this body.
fn whole(body: &str) -> Reply {
    let length = body.len();
    Reply {
        bytes: format!("{GOOD}x-banyanbeam-request: ID\r\ncontent-length: {length}\r\n\r\n{body}"),
        resets: false,
    }
}

/// Answers the requests on a connection.
fn serve(mut stream: TcpStream, reply: &Mutex<Reply>) {
    loop {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte).unwrap_or(0) == 0 {
                return;
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let header = |name: &str| {
            let mut lines = head.lines();
            let line = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
            line.unwrap_or_default().to_owned()
        };
        let reply = reply.lock().expect("no panic while locked").clone();
        let bytes = reply.bytes.replace("ID", &header("x-banyanbeam-request"));
        let length: u64 = header("content-length").parse().unwrap_or(0);
        if !reply.resets {
            let _ = std::io::copy(&mut (&mut stream).take(length), &mut std::io::sink());
        }
        // The guard may have closed the connection.
        let _ = stream.write_all(bytes.as_bytes());
        if reply.resets {
            return;
        }
    }
}

/// Sends a request with a body of this length that may run only once.
fn upload(front: SocketAddr, length: usize) -> Answer {
    let request = attohttpc::post(format!("http://{front}/scans/x"))
        .bearer_auth("key-1")
        .header("x-deadline-ms", "5000")
        .timeout(Duration::from_secs(30));
    let response = request.bytes(vec![b'x'; length]).send();
    let response = response.expect("the front answers");
    let status = response.status().as_u16();
    let text = response.text().expect("the answer is text");
    Answer {
        status,
        body: serde_json::from_str(&text).unwrap_or_default(),
    }
}

/// Asserts that this reply never reaches a caller as an answer, and that it harms no later one.
fn assert_never_an_answer(entry: SocketAddr, server: &RawServer, reply: &Reply, length: usize) {
    for round in 0..ROUND_COUNT {
        let case = format!("{round}: {:?}", reply.bytes);
        // Arrange
        server.answer_with(whole("ok"));
        wait_until(&case, || upload(entry, 10).status == 200);
        server.answer_with(reply.clone());

        // Act
        let answer = upload(entry, length);

        // Assert
        // A broken connection does not tell whether the answer would have been a good one.
        let is_error = answer.status == 502 || reply.resets && answer.status == 504;
        assert!(is_error, "{case}: {answer:?}");
        assert_eq!(kind_and_ran(&answer).1, "unknown", "{case}");
    }
}

/// Guards against callers that take what a server did not answer for its answer.
#[test]
fn invalid_and_cut_answers_reach_no_caller_through_two_daemons() {
    let mut fleet = Fleet::start("mixed-answers", 1, 1);
    let entry = fleet.front(0);
    let server = RawServer::start(fleet.guards[0].address("announce"));
    // Ends the fleet's own server. Until its announcement lapses, requests may still go to it.
    fleet.servers.clear();
    std::thread::sleep(ANNOUNCEMENT_LAPSE);
    for status in ["000", "099", "600", "999"] {
        let good = whole("strange").bytes;
        let reply = Reply {
            bytes: good.replace("200", status),
            resets: false,
        };
        assert_never_an_answer(entry, &server, &reply, 10);
    }
    for rest in [
        "\r\nhello",
        "content-length: 100\r\n\r\nhello",
        "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
    ] {
        let reply = Reply {
            bytes: format!("{GOOD}x-banyanbeam-request: ID\r\n{rest}"),
            resets: true,
        };
        assert_never_an_answer(entry, &server, &reply, UPLOAD_BYTES);
    }
}
