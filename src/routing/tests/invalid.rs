//! Tests of answers of guards with invalid values.

use std::time::Duration;

use crate::error::ErrorKind;
use crate::routing::forward::outcome_of;
use crate::routing::message::AttemptOutcome;
use crate::types::format_id;
use crate::wire::exchange::WholeAnswer;
use crate::wire::forward;

/// Returns the outcome of a refusal as busy whose header for the wait has this value.
fn refusal(wait_ms: &str) -> AttemptOutcome {
    let headers = [
        (forward::REQUEST, format_id(1)),
        (forward::KIND, ErrorKind::Busy.code().to_owned()),
        (forward::WAIT_MS, wait_ms.to_owned()),
    ];
    let headers = headers.map(|(name, value)| (name.to_owned(), value));
    let answer = WholeAnswer {
        status: 503,
        headers: headers.into(),
        body: Default::default(),
    };
    outcome_of(1, Ok(answer))
}

#[test]
fn an_invalid_wait_named_by_a_guard_is_ignored() {
    let invalid = [
        "18446744073709551615",
        "18446744073709551616",
        "-1",
        "NaN",
        "1e400",
        "",
    ];
    for wait_ms in invalid.into_iter().chain(["300"]) {
        let AttemptOutcome::NotRun { retry_after, .. } = refusal(wait_ms) else {
            panic!("{wait_ms}");
        };
        let expected = (wait_ms == "300").then_some(Duration::from_millis(300));
        assert_eq!(retry_after, expected, "{wait_ms}");
    }
}
