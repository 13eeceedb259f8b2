//! Answers that are truncated on the way from a server to its caller, through separate processes.

mod support;

use banyanbeam::standin::backend_server::ServerFaults;
use support::faults::*;

/// Number of truncated answers; more than there are positions at which an answer may be cut.
const TRUNCATED_COUNT: usize = 60;

#[test]
fn answer_truncated_in_its_head_is_not_forwarded_as_complete() {
    // Arrange
    let fleet = Fleet::start("cut-answers", 1, 1);
    let faults = ServerFaults {
        short_answer_every_count: 2,
        cuts_heads: true,
        ..Default::default()
    };
    fleet.set_faults(0, &faults);

    // Act
    let mut complete_count = 0;
    let mut truncated_count = 0;
    for index in 0..TRUNCATED_COUNT * 2 {
        let path = format!("/orders/cut-{index}");
        let answer = send_order(fleet.front(0), &path, None, 5_000);

        // Assert
        match answer.status {
            200 => {
                assert_eq!(answer.body["path"], path);
                complete_count += 1;
            }
            502 | 504 => {
                assert_eq!(kind_and_ran(&answer).1, "unknown", "{path}");
                truncated_count += 1;
            }
            status => panic!("{path}: {status}"),
        }
        assert_eq!(fleet.run_count(&path), 1, "{path}");
    }
    assert_eq!(
        (complete_count, truncated_count),
        (TRUNCATED_COUNT, TRUNCATED_COUNT)
    );
}
