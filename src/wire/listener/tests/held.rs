use std::io::{Read, Write};
use std::time::{Duration, Instant};

use super::{connected, get, GIVE_UP};
use crate::metrics::Metrics;
use crate::wire::exchange::WholeAnswer;
use crate::wire::memory_budget::MemoryBudget;

/// More than the socket buffers and the listener's own hold.
const BODY_BYTES: usize = 32 * 1024 * 1024;

#[test]
fn an_answer_is_charged_until_its_caller_has_taken_it() {
    // Arrange
    let (_listener, arrivals, mut caller) = connected();
    let budget = MemoryBudget::new("test", BODY_BYTES, Metrics::local());
    let hold = budget.hold(caller.peer_addr().expect("an address"));
    hold.resize(BODY_BYTES).expect("room");
    let sent: Vec<u8> = (0..BODY_BYTES).map(|index| (index % 251) as u8).collect();
    let answer = WholeAnswer {
        status: 200,
        body: hold.settle(sent.clone()).expect("not evicted"),
        ..Default::default()
    };
    caller.write_all(get("/").as_bytes()).expect("sent");
    let (_, exchange) = arrivals.recv_timeout(GIVE_UP).expect("the request");

    // Act
    exchange.answer(answer);
    let mut start = vec![0; BODY_BYTES / 2];
    caller.read_exact(&mut start).expect("half of the answer");
    let charged_bytes = budget.held_bytes();
    let mut received = start;
    let head_end = received.windows(4).position(|four| four == b"\r\n\r\n");
    let head_bytes = head_end.expect("a head") + 4;
    received.resize(head_bytes + BODY_BYTES, 0);
    caller
        .read_exact(&mut received[BODY_BYTES / 2..])
        .expect("the rest");

    // Assert
    assert_eq!(charged_bytes, BODY_BYTES);
    assert!(received[head_bytes..] == sent);
    let deadline_at = Instant::now() + GIVE_UP;
    while budget.held_bytes() > 0 && Instant::now() < deadline_at {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(budget.held_bytes(), 0);
}
