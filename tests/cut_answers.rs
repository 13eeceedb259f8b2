//! Answers that are cut on the way from a server to its caller, through separate processes.

mod support;

use banyanbeam::standin::backend_server::ServerFaults;
use support::faults::*;

/// Answers that are cut: one after each number of bytes that a cut answer may have, and more.
const CUT_COUNT: usize = 60;

#[test]
fn an_answer_that_its_server_cuts_in_its_head_never_reaches_a_caller_as_whole() {
    // Arrange
    let fleet = Fleet::start("cut-answers", 1, 1);
    let faults = ServerFaults {
        short_answer_every_count: 2,
        cuts_heads: true,
        ..Default::default()
    };
    fleet.fail(0, &faults);

    // Act
    let mut whole_count = 0;
    let mut cut_count = 0;
    for index in 0..CUT_COUNT * 2 {
        let path = format!("/orders/cut-{index}");
        let answer = order(fleet.front(0), &path, None, 5_000);

        // Assert
        match answer.status {
            200 => {
                assert_eq!(answer.body["path"], path);
                whole_count += 1;
            }
            502 | 504 => {
                assert_eq!(told(&answer).1, "unknown", "{path}");
                cut_count += 1;
            }
            status => panic!("{path}: {status}"),
        }
        assert_eq!(fleet.runs(&path), 1, "{path}");
    }
    assert_eq!((whole_count, cut_count), (CUT_COUNT, CUT_COUNT));
}
