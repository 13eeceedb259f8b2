use std::time::SystemTime;

use super::LastStamp;

#[test]
fn a_change_between_the_start_and_the_first_check_is_detected() {
    // Arrange
    let mut last_stamp = LastStamp::default();
    let present = Some((SystemTime::UNIX_EPOCH, 7));

    // Act and assert
    assert!(last_stamp.update(present));
    assert!(!last_stamp.update(present));
    assert!(last_stamp.update(None));
}
