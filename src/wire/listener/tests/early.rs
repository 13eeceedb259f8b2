use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{connected, take};
use crate::wire::client::{call_and_wait, Call, HttpClient, OutgoingBody};
use crate::wire::exchange::WholeAnswer;

/// More than socket buffers hold, so that the answer comes while the body is being sent.
const BODY_BYTES: usize = 8 * 1024 * 1024;
const PART_BYTES: usize = 64 * 1024;
/// Longer than any call in these tests takes.
const LONG: Duration = Duration::from_secs(30);
const ROUND_COUNT: usize = 20;

fn body() -> Bytes {
    vec![b'x'; BODY_BYTES].into()
}

/// Returns a body whose parts are produced as they are taken.
fn in_parts() -> OutgoingBody {
    let (sender, parts) = async_channel::bounded(1);
    std::thread::spawn(move || {
        let whole = body();
        for start in (0..BODY_BYTES).step_by(PART_BYTES) {
            let part = whole.slice(start..start + PART_BYTES);
            if sender.send_blocking(Ok(part)).is_err() {
                return;
            }
        }
    });
    OutgoingBody::Parts {
        length_bytes: BODY_BYTES as u64,
        parts,
    }
}

/// Asserts that a client that is still sending `body` gets the answer to its request.
fn assert_refusal_received(body: impl Fn() -> OutgoingBody) {
    let client = HttpClient::start("test-client");
    for round in 0..ROUND_COUNT {
        // Arrange
        let (listener, arrivals, _caller) = connected();
        std::thread::spawn(move || {
            let (_, exchange) = take(&arrivals, 1).remove(0);
            exchange.answer(WholeAnswer {
                status: 503,
                ..Default::default()
            });
        });

        // Act
        let result = call_and_wait(
            &client,
            Call {
                address: listener.address(),
                method: "POST".to_owned(),
                target: "/".to_owned(),
                host: None,
                headers: Vec::new(),
                body: body(),
                connect_timeout: LONG,
                deadline_at: Instant::now() + LONG,
                answer_limit_bytes: 1000,
                reuse_idle: LONG,
                reconnect_check: false,
                check: None,
            },
        );

        // Assert
        let status = result.map(|answer| answer.status);
        assert_eq!(status, Ok(503), "round {round}");
    }
}

#[test]
fn a_refusal_while_a_long_body_is_sent_is_not_lost_in_a_reset() {
    assert_refusal_received(|| OutgoingBody::Whole(body()));
}

#[test]
fn a_refusal_while_an_upload_is_streamed_is_not_lost_in_a_reset() {
    assert_refusal_received(in_parts);
}
