use std::time::SystemTime;

use super::LastStamp;

#[test]
fn a_file_that_changed_between_the_start_and_the_first_look_is_read_again() {
    // Arrange
    let mut last_stamp = LastStamp::default();
    let found = Some((SystemTime::UNIX_EPOCH, 7));

    // Act and assert
    assert!(last_stamp.changed(found));
    assert!(!last_stamp.changed(found));
    assert!(last_stamp.changed(None));
}
