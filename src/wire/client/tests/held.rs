use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use super::{ask, get, read_head, start_server};
use crate::metrics::Metrics;
use crate::wire::client::{Call, CallDone, CallError, CallHandle, Caller, HttpClient};
use crate::wire::memory_budget::MemoryBudget;

/// Length of the answers in these tests.
const ANSWER_BYTES: usize = 1024 * 1024;
/// Calls at a time whose answers stop before their end.
const CALL_COUNT: usize = 32;
/// Limit of the budget: the length of four answers.
const BUDGET_BYTES: usize = 4 * ANSWER_BYTES;
/// Longer than any step takes; only a failing test waits so long.
const GIVE_UP: Duration = Duration::from_secs(10);

/// Starts a client with a budget.
fn start_client() -> (HttpClient, MemoryBudget) {
    let budget = MemoryBudget::new("test", BUDGET_BYTES, Metrics::local());
    let client = HttpClient::start_with_budget("test-client", budget.clone());
    (client, budget)
}

/// Returns a call that takes answers of `ANSWER_BYTES`.
fn get_long(address: SocketAddr) -> Call {
    Call {
        answer_limit_bytes: ANSWER_BYTES,
        ..get(address)
    }
}

/// Starts a server that sends `sent_bytes` of each answer and waits for the end of the connection.
/// Each answer that was taken so far and each end of a connection is sent to the receiver.
fn start_stalling_server(
    head: &'static str,
    sent_bytes: usize,
) -> (SocketAddr, mpsc::Receiver<bool>) {
    let (sender, receiver) = mpsc::channel();
    let address = start_server(move |_, mut stream: TcpStream| {
        let sender = sender.clone();
        std::thread::spawn(move || {
            read_head(&mut stream);
            let sent = stream.write_all(head.as_bytes()).is_ok()
                && stream.write_all(&vec![b'x'; sent_bytes]).is_ok();
            let _ = sender.send(sent);
            let _ = stream.read(&mut [0]);
            let _ = sender.send(false);
        });
    });
    (address, receiver)
}

/// Starts a server that answers each request with `body_bytes` bytes.
fn start_whole_server(body_bytes: usize) -> SocketAddr {
    start_server(move |_, mut stream| {
        std::thread::spawn(move || {
            while !read_head(&mut stream).is_empty() {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {body_bytes}\r\n\r\n");
                let body = vec![b'y'; body_bytes];
                if stream.write_all(head.as_bytes()).is_err() || stream.write_all(&body).is_err() {
                    return;
                }
            }
        });
    })
}

/// Starts calls to an address, and returns their handles and errors.
fn start_calls(
    client: &HttpClient,
    address: SocketAddr,
) -> (Vec<CallHandle>, mpsc::Receiver<CallError>) {
    let (sender, errors) = mpsc::channel();
    let start = |_| {
        let sender = sender.clone();
        let done: CallDone = Box::new(move |result| {
            let _ = sender.send(result.expect_err("no answer is complete"));
        });
        client.call(get_long(address), done).ok().expect("room")
    };
    ((0..CALL_COUNT).map(start).collect(), errors)
}

/// Asserts that answers of a server that stop before their end hold no more than the budget, and
/// that another server's answers of `body_bytes` arrive meanwhile.
fn assert_held_within_budget(head: &'static str, body_bytes: usize) {
    // Arrange
    let (client, budget) = start_client();
    let (stalling, _events) = start_stalling_server(head, ANSWER_BYTES - 1);
    let whole = start_whole_server(body_bytes);

    // Act
    let (_handles, errors) = start_calls(&client, stalling);
    let mut greatest_bytes = 0;
    for _ in 0..CALL_COUNT - BUDGET_BYTES / ANSWER_BYTES {
        let error = errors.recv_timeout(GIVE_UP).expect("a call ends");
        greatest_bytes = greatest_bytes.max(budget.held_bytes());
        assert_eq!(error, CallError::Evicted, "{head:?}");
        let answer = ask(&client, get_long(whole)).expect("an answer");
        assert_eq!(answer.body.len(), body_bytes, "{head:?}");
    }

    // Assert
    assert!(
        greatest_bytes <= BUDGET_BYTES + CALL_COUNT * 8192,
        "{greatest_bytes}"
    );
}

#[test]
fn answers_that_stop_below_their_limit_hold_no_more_than_the_budget() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 1048576\r\n\r\n";
    assert_held_within_budget(whole, 100);
    assert_held_within_budget(whole, ANSWER_BYTES / 2);
}

#[test]
fn answers_without_a_length_hold_no_more_than_the_budget() {
    assert_held_within_budget("HTTP/1.1 200 OK\r\n\r\n", ANSWER_BYTES / 2);
}

#[test]
fn an_evicted_answer_closes_its_connection() {
    // Arrange
    let (client, _) = start_client();
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 1048576\r\n\r\n";
    let (stalling, events) = start_stalling_server(head, ANSWER_BYTES - 1);

    // Act
    let (_handles, errors) = start_calls(&client, stalling);
    errors.recv_timeout(GIVE_UP).expect("a call ends");

    // Assert
    let ended = std::iter::from_fn(|| events.recv_timeout(GIVE_UP).ok()).any(|sent| !sent);
    assert!(ended);
}

#[test]
fn an_answer_is_charged_until_it_is_dropped() {
    // Arrange
    let (client, budget) = start_client();
    let address = start_whole_server(ANSWER_BYTES);

    // Act
    let answer = ask(&client, get_long(address)).expect("an answer");

    // Assert
    let charged_bytes = budget.held_bytes();
    assert!((ANSWER_BYTES..ANSWER_BYTES + 100).contains(&charged_bytes));
    drop(answer);
    assert_eq!(budget.held_bytes(), 0);
}

#[test]
fn an_announced_length_is_not_charged_before_its_bytes_arrive() {
    // Arrange
    let (client, budget) = start_client();
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 1048576\r\n\r\n";
    let (stalling, events) = start_stalling_server(head, 10_000);

    // Act
    let (_handles, errors) = start_calls(&client, stalling);
    for _ in 0..CALL_COUNT {
        events.recv_timeout(GIVE_UP).expect("the answer is sent");
    }
    let whole = ask(&client, get_long(start_whole_server(ANSWER_BYTES)));

    // Assert
    assert!(whole.is_ok());
    assert!(errors.try_recv().is_err());
    assert!(budget.held_bytes() < BUDGET_BYTES);
}

#[test]
fn an_answer_that_trickles_ends_at_its_deadline() {
    // Arrange
    let (client, budget) = start_client();
    let address = start_server(|_, mut stream| {
        read_head(&mut stream);
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1048576\r\n\r\n";
        let mut open = stream.write_all(head).is_ok();
        while open {
            std::thread::sleep(Duration::from_millis(5));
            open = stream.write_all(b"x").is_ok();
        }
    });
    let call = Call {
        deadline_at: Instant::now() + Duration::from_millis(200),
        ..get_long(address)
    };

    // Act
    let result = ask(&client, call);

    // Assert
    assert_eq!(result, Err(CallError::Late));
    assert_eq!(budget.held_bytes(), 0);
}

#[test]
fn a_body_of_several_parts_arrives_as_it_was_sent() {
    for (body_bytes, write_bytes) in [
        (1, 1),
        (3_000, 7),
        (65_535, 1_000),
        (65_536, 65_536),
        (65_537, 30_000),
        (300_000, 12_345),
    ] {
        // Arrange
        let sent: Vec<u8> = (0..body_bytes).map(|index| (index % 251) as u8).collect();
        let body = sent.clone();
        let address = start_server(move |_, mut stream| {
            read_head(&mut stream);
            let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            stream.write_all(head).expect("written");
            for part in body.chunks(write_bytes) {
                let size = format!("{:x}\r\n", part.len());
                let chunk = [size.as_bytes(), part, b"\r\n"].concat();
                stream.write_all(&chunk).expect("written");
            }
            stream.write_all(b"0\r\n\r\n").expect("written");
        });
        let (client, budget) = start_client();

        // Act
        let answer = ask(&client, get_long(address)).expect("an answer");

        // Assert
        assert!(answer.body == sent, "{body_bytes}, {write_bytes}");
        let charged_bytes = budget.held_bytes();
        assert!((body_bytes..body_bytes + 100).contains(&charged_bytes));
    }
}
