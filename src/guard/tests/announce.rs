//! Tests of the thread that receives announcements.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use crossbeam::channel::{Receiver, Select};

use crate::guard::announce::{run, AnnounceContext, FleetAnnouncements};
use crate::guard::message::{AnnounceVerdict, GuardMessage, IgnoredBecause};
use crate::metrics::Metrics;
use crate::reload::ReloadMessage;
use crate::ring::ring;
use crate::wire::listener::{HttpListener, ListenerOptions};

/// Announcement of server `s` in JSON.
const BODY: &str = r#"{"server":"s","service":"v","address":"127.0.0.1:9","slots_count":1}"#;

/// A running announce thread and the rings that it sends to.
struct Announcing {
    /// Listener for announcements.
    listener: Arc<HttpListener>,
    /// What the guard receives.
    guard: Receiver<GuardMessage>,
    /// What the thread that reads the settings file receives.
    reload: Receiver<ReloadMessage>,
    /// The thread.
    thread: JoinHandle<()>,
}

/// Starts an announce thread.
fn start() -> Announcing {
    let any = "127.0.0.1:0".parse().expect("a literal address");
    let listener = HttpListener::bind(any, ListenerOptions::default()).expect("a port");
    let listener = Arc::new(listener);
    let metrics = Metrics::local();
    let (guard, guard_messages) = ring("guard", 8, &metrics);
    let (reload, reload_messages) = ring("reload", 8, &metrics);
    let context = AnnounceContext {
        listener: listener.clone(),
        dialect: Arc::new(FleetAnnouncements),
        guard,
        reload: Some(reload),
        metrics,
    };
    Announcing {
        listener,
        guard: guard_messages,
        reload: reload_messages,
        thread: thread::spawn(move || run(&context)),
    }
}

/// Sends `BODY` and returns the connection.
fn announce(listener: &HttpListener) -> TcpStream {
    let mut stream = TcpStream::connect(listener.address()).expect("a connection");
    let length = BODY.len();
    let head = format!("POST /announce HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    let request = format!("{head}{BODY}");
    stream.write_all(request.as_bytes()).expect("a request");
    stream
}

/// Reads the beginning of an answer.
fn status_line(stream: &mut TcpStream) -> [u8; 12] {
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).expect("an answer");
    answer
}

/// Answers the announcement that the guard receives next.
fn decide(guard: &Receiver<GuardMessage>, answer: AnnounceVerdict) {
    let Ok(GuardMessage::Announce { verdict, .. }) = guard.recv() else {
        panic!("no announcement");
    };
    verdict.send(answer).expect("the thread waits");
}

#[test]
fn an_announcement_left_in_the_ring_of_an_ended_guard_is_answered_as_undecided() {
    // Arrange
    let announcing = start();

    // Act
    let mut stream = announce(&announcing.listener);
    let mut left_in_ring = Select::new();
    left_in_ring.recv(&announcing.guard);
    left_in_ring.ready();
    drop(announcing.guard);
    let answer = status_line(&mut stream);
    announcing.listener.close();

    // Assert
    assert_eq!(&answer, b"HTTP/1.1 503");
    announcing.thread.join().expect("the thread ends");
}

#[test]
fn an_announcement_that_contradicts_the_settings_is_decided_again_after_their_file_was_read() {
    // Arrange
    let announcing = start();

    // Act
    let mut stream = announce(&announcing.listener);
    decide(&announcing.guard, Err(IgnoredBecause::OtherService));
    let Ok(ReloadMessage::Contradicted { done }) = announcing.reload.recv() else {
        panic!("no read");
    };
    done.send(()).expect("the thread waits");
    decide(&announcing.guard, Ok(()));
    let answer = status_line(&mut stream);
    announcing.listener.close();

    // Assert
    assert_eq!(&answer, b"HTTP/1.1 200");
    announcing.thread.join().expect("the thread ends");
}

#[test]
fn an_announcement_that_only_outdates_itself_causes_no_read() {
    // Arrange
    let announcing = start();

    // Act
    let mut stream = announce(&announcing.listener);
    decide(&announcing.guard, Err(IgnoredBecause::Replaced));
    let answer = status_line(&mut stream);
    announcing.listener.close();

    // Assert
    assert_eq!(&answer, b"HTTP/1.1 400");
    assert!(announcing.reload.try_recv().is_err());
    announcing.thread.join().expect("the thread ends");
}
