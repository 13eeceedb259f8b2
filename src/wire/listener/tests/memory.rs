use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Async;
use crossbeam::channel::bounded;

use super::{answer, connected_to, get, take, GIVE_UP};
use crate::metrics::Metrics;
use crate::wire::exchange::RequestBody;
use crate::wire::listener::connection::Connection;
use crate::wire::listener::{HttpListener, ListenerOptions, Shared};
use crate::wire::memory_budget::MemoryBudget;

/// Greatest size of the task of a connection on which nothing has arrived.
const TASK_LIMIT_BYTES: usize = 8 * 1024;
/// Limit of the budgets in these tests.
const HELD_LIMIT_BYTES: usize = 1_000_000;
/// Length of the bodies in these tests; two of them fit the budget.
const BODY_BYTES: usize = 400_000;
/// More than is charged for a body in parts.
const LONG_BODY_BYTES: usize = 1_000_000;
/// Number of callers that stall.
const CALLER_COUNT: usize = 6;
/// Bytes of a head that never ends.
const HEAD_BYTES: usize = 60_000;
/// A timeout that passes within the tests.
const SHORT: Duration = Duration::from_millis(200);

/// Returns options with the budget of these tests.
fn options() -> ListenerOptions {
    ListenerOptions {
        eager_body_limit_bytes: BODY_BYTES as u64,
        chunked_bodies: true,
        budget: MemoryBudget::new("test", HELD_LIMIT_BYTES, Metrics::local()),
        ..Default::default()
    }
}

/// Connects to a listener and sends bytes, as far as the listener takes them.
fn send(listener: &HttpListener, bytes: &[u8]) -> TcpStream {
    let mut caller = TcpStream::connect(listener.address()).expect("a connection");
    caller.set_read_timeout(Some(GIVE_UP)).expect("a timeout");
    caller.set_write_timeout(Some(GIVE_UP)).expect("a timeout");
    let _ = caller.write_all(bytes);
    caller
}

/// Returns a POST request with this length, and as much of its body.
fn post(length: usize, sent: usize) -> Vec<u8> {
    let head = format!("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
    [head.into_bytes(), vec![b'x'; sent]].concat()
}

/// Returns a POST request with a part of a chunked body.
fn chunked(sent: usize) -> Vec<u8> {
    let head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = [b"3e8\r\n".as_slice(), &[b'x'; 1000], b"\r\n"].concat();
    [head.as_bytes(), &chunk.repeat(sent / 1000)].concat()
}

/// Returns a part of a head.
fn partial_head() -> Vec<u8> {
    let header = format!("x-a: {}\r\n", "y".repeat(993));
    let head = format!("GET /a HTTP/1.1\r\n{}", header.repeat(HEAD_BYTES / 1000));
    head.into_bytes()
}

/// Returns the status of the next answer, or 0 if the connection ends without one.
fn status(mut caller: &TcpStream) -> u16 {
    let mut line = [0; 12];
    match caller.read_exact(&mut line) {
        Ok(()) => String::from_utf8_lossy(&line[9..]).parse().unwrap_or(0),
        Err(_) => 0,
    }
}

/// Waits until a condition holds.
fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let ends_at = Instant::now() + GIVE_UP;
    while !condition() {
        assert!(Instant::now() < ends_at, "{description}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns how many callers got an answer or the end of their connection within `SHORT`.
fn ended_count(callers: &[TcpStream]) -> usize {
    let ended = |caller: &&TcpStream| {
        caller.set_read_timeout(Some(SHORT)).expect("a timeout");
        !matches!(caller.peek(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    };
    callers.iter().filter(ended).count()
}

#[test]
fn the_task_of_an_idle_connection_holds_no_buffers() {
    // Arrange
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let stream = Async::new(TcpStream::connect(address).expect("a connection"));
    let (_close, closed) = async_channel::bounded(1);
    let shared = Rc::new(Shared {
        options: ListenerOptions::default(),
        arrivals: bounded(1).0,
        closed,
        winding_down: Arc::default(),
    });

    // Act
    let task = Connection::new(address, shared).run(stream.expect("a socket"));

    // Assert
    let task_bytes = std::mem::size_of_val(&task);
    assert!(task_bytes <= TASK_LIMIT_BYTES, "{task_bytes} bytes");
}

#[test]
fn stalled_bodies_hold_no_more_than_the_budget_and_others_go_on() {
    for (request, refused_count) in [
        (post(BODY_BYTES, BODY_BYTES / 2), CALLER_COUNT - 2),
        (chunked(BODY_BYTES / 2), 1),
    ] {
        // Arrange
        let options = options();
        let (listener, arrivals, _caller) = connected_to(options.clone());

        // Act
        let callers: Vec<TcpStream> = (0..CALLER_COUNT)
            .map(|_| send(&listener, &request))
            .collect();
        let other = send(&listener, &post(5, 5));

        // Assert
        answer(take(&arrivals, 1).remove(0));
        assert_eq!(status(&other), 200);
        assert!(options.budget.held_bytes() <= HELD_LIMIT_BYTES);
        let ended = ended_count(&callers);
        assert!(ended >= refused_count, "{ended} were refused");
        let refusals = callers.iter().filter(|caller| {
            caller.set_read_timeout(Some(SHORT)).expect("a timeout");
            status(caller) == 503
        });
        assert_eq!(refusals.count(), ended);
    }
}

#[test]
fn a_body_beyond_the_budget_is_delivered_in_parts_where_that_is_allowed() {
    // Arrange
    let options = ListenerOptions {
        eager_body_limit_bytes: LONG_BODY_BYTES as u64,
        budget: MemoryBudget::new("test", 5 * LONG_BODY_BYTES / 2, Metrics::local()),
        stream_beyond_budget: true,
        ..options()
    };
    let (listener, arrivals, _caller) = connected_to(options.clone());
    let request = post(LONG_BODY_BYTES, BODY_BYTES);
    let _stalled = [send(&listener, &request), send(&listener, &request)];
    wait_until("two bodies are held", || {
        options.budget.held_bytes() == 2 * LONG_BODY_BYTES
    });

    // Act
    let _third = send(&listener, &request);

    // Assert
    let (_, exchange) = take(&arrivals, 1).remove(0);
    assert!(matches!(exchange.body(), RequestBody::Parts { .. }));
    assert!(options.budget.held_bytes() > 2 * LONG_BODY_BYTES);
    drop(exchange);
    wait_until("the parts are released", || {
        options.budget.held_bytes() == 2 * LONG_BODY_BYTES
    });
}

#[test]
fn a_body_that_does_not_fit_in_parts_ends_no_other_one() {
    // Arrange
    let options = ListenerOptions {
        eager_body_limit_bytes: LONG_BODY_BYTES as u64,
        budget: MemoryBudget::new("test", 2 * LONG_BODY_BYTES, Metrics::local()),
        stream_beyond_budget: true,
        ..options()
    };
    let (listener, _arrivals, _caller) = connected_to(options.clone());
    let request = post(LONG_BODY_BYTES, BODY_BYTES);
    let arriving = [send(&listener, &request), send(&listener, &request)];
    wait_until("two bodies are held", || {
        options.budget.held_bytes() == 2 * LONG_BODY_BYTES
    });

    // Act
    let third = send(&listener, &request);

    // Assert
    assert_eq!(status(&third), 503);
    assert_eq!(ended_count(&arriving), 0);
}

#[test]
fn a_body_that_is_kept_stays_charged_until_its_last_use() {
    // Arrange
    let options = options();
    let (listener, arrivals, _caller) = connected_to(options.clone());
    let caller = send(&listener, &post(BODY_BYTES, BODY_BYTES));
    let (head, exchange) = take(&arrivals, 1).remove(0);
    let RequestBody::Whole(kept) = exchange.body() else {
        panic!("the body was not read whole");
    };

    // Act
    answer((head, exchange));

    // Assert
    assert_eq!(status(&caller), 200);
    assert_eq!(options.budget.held_bytes(), BODY_BYTES);
    drop(kept);
    assert_eq!(options.budget.held_bytes(), 0);
}

#[test]
fn a_body_that_stalls_is_released_when_its_time_is_over() {
    for request in [post(BODY_BYTES, BODY_BYTES / 2), chunked(BODY_BYTES / 2)] {
        // Arrange
        let options = ListenerOptions {
            body_timeout: SHORT,
            ..options()
        };
        let (listener, _arrivals, _caller) = connected_to(options.clone());

        // Act
        let caller = send(&listener, &request);

        // Assert
        assert_eq!(status(&caller), 400);
        assert_eq!(options.budget.held_bytes(), 0);
    }
}

#[test]
fn a_body_in_parts_that_stalls_ends_with_an_error() {
    // Arrange
    let options = ListenerOptions {
        stall_timeout: SHORT,
        ..options()
    };
    let (listener, arrivals, _caller) = connected_to(options.clone());

    // Act
    let _caller = send(&listener, &post(2 * BODY_BYTES, 1000));

    // Assert
    let (_, exchange) = take(&arrivals, 1).remove(0);
    let RequestBody::Parts { parts, .. } = exchange.body() else {
        panic!("the body was read whole");
    };
    let mut last = parts.recv_blocking();
    while matches!(last, Ok(Ok(_))) {
        last = parts.recv_blocking();
    }
    assert!(matches!(last, Ok(Err(_))), "{last:?}");
}

#[test]
fn heads_that_never_end_hold_no_more_than_the_budget_and_others_go_on() {
    // Arrange
    let options = options();
    let (listener, arrivals, _caller) = connected_to(options.clone());

    // Act
    let callers: Vec<TcpStream> = (0..40).map(|_| send(&listener, &partial_head())).collect();
    let other = send(&listener, get("/b").as_bytes());

    // Assert
    answer(take(&arrivals, 1).remove(0));
    assert_eq!(status(&other), 200);
    assert!(options.budget.held_bytes() <= HELD_LIMIT_BYTES);
    let ended = ended_count(&callers);
    assert!((20..40).contains(&ended), "{ended} were closed");
}

#[test]
fn a_head_that_stalls_is_released_when_its_time_is_over() {
    // Arrange
    let options = ListenerOptions {
        head_timeout: SHORT,
        ..options()
    };
    let (listener, _arrivals, _caller) = connected_to(options.clone());

    // Act
    let caller = send(&listener, &partial_head());

    // Assert
    assert_eq!(status(&caller), 0);
    wait_until("the head is released", || options.budget.held_bytes() == 0);
}

#[test]
fn requests_dropped_behind_an_unanswered_one_leave_it_its_answer() {
    // Arrange
    let options = ListenerOptions {
        budget: MemoryBudget::new("test", 2 * HEAD_BYTES, Metrics::local()),
        ..options()
    };
    let (listener, arrivals, _caller) = connected_to(options.clone());
    let request = [get("/a").into_bytes(), partial_head()].concat();

    // Act
    let callers: Vec<TcpStream> = (0..CALLER_COUNT)
        .map(|_| send(&listener, &request))
        .collect();
    let arrived = take(&arrivals, CALLER_COUNT);
    wait_until("the budget holds", || {
        options.budget.held_bytes() <= 2 * HEAD_BYTES
    });
    std::thread::sleep(SHORT);
    let unanswered = ended_count(&callers);
    arrived.into_iter().for_each(answer);

    // Assert
    assert_eq!(unanswered, 0);
    let statuses: Vec<u16> = callers.iter().map(status).collect();
    assert_eq!(statuses, [200; CALLER_COUNT]);
}
