use super::{
    first_incarnation, later_incarnation, OwnIncarnations, INCARNATION_GAP_COUNT, INCARNATION_LIMIT,
};

#[test]
fn a_start_takes_a_number_above_the_last_incarnation_whatever_the_clock_shows() {
    assert_eq!(first_incarnation(900, 700, 3), 900);
    assert_eq!(first_incarnation(700, 900, 3), 904);
    assert_eq!(first_incarnation(900, 900, 0), 901);
}

#[test]
fn the_greatest_recorded_number_does_not_overflow_the_number_of_a_start() {
    assert_eq!(first_incarnation(900, u64::MAX, 3), 900);
    assert_eq!(first_incarnation(900, INCARNATION_LIMIT, 0), 900);
    assert_eq!(later_incarnation(u64::MAX, 0), None);
    assert_eq!(
        later_incarnation(INCARNATION_LIMIT - 1, 0),
        Some(INCARNATION_LIMIT)
    );
}

#[test]
fn own_incarnations_keep_used_numbers_and_ignore_lesser_ones() {
    // Arrange
    let mut incarnations = OwnIncarnations::new(5);

    // Act
    incarnations.raise(9);
    incarnations.raise(7);

    // Assert
    assert!(incarnations.contains(5) && incarnations.contains(9));
    assert!(!incarnations.contains(7));
}

#[test]
fn numbers_of_restarts_after_a_clock_was_set_back_converge_to_the_clock() {
    // Arrange
    let mut wall_ms = 1_000_000;
    let mut incarnation = first_incarnation(wall_ms + 60_000, 0, 0);

    // Act
    for _ in 0..6 {
        wall_ms += 5_000;
        incarnation = first_incarnation(wall_ms, incarnation, INCARNATION_GAP_COUNT - 1);
    }

    // Assert
    assert!(
        incarnation - wall_ms < 60_000,
        "{} ms ahead",
        incarnation - wall_ms
    );
}

#[test]
fn a_start_takes_a_greater_number_even_close_to_the_limit() {
    for gap_count in [0, 1, 2, 3, INCARNATION_GAP_COUNT - 1] {
        let incarnation = first_incarnation(900, INCARNATION_LIMIT - 3, gap_count);
        assert!(
            incarnation > INCARNATION_LIMIT - 3 && incarnation <= INCARNATION_LIMIT,
            "{incarnation}"
        );
    }
}
