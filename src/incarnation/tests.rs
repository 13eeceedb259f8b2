use super::{
    first_incarnation, later_incarnation, OwnIncarnations, INCARNATION_GAP_COUNT, INCARNATION_LIMIT,
};

#[test]
fn a_start_is_later_than_the_last_life_whatever_the_clock_shows() {
    assert_eq!(first_incarnation(900, 700, 3), 900);
    assert_eq!(first_incarnation(700, 900, 3), 904);
    assert_eq!(first_incarnation(900, 900, 0), 901);
}

#[test]
fn the_greatest_number_of_a_record_does_not_overflow_the_number_of_a_start() {
    assert_eq!(first_incarnation(900, u64::MAX, 3), 900);
    assert_eq!(first_incarnation(900, INCARNATION_LIMIT, 0), 900);
    assert_eq!(later_incarnation(u64::MAX, 0), None);
    assert_eq!(
        later_incarnation(INCARNATION_LIMIT - 1, 0),
        Some(INCARNATION_LIMIT)
    );
}

#[test]
fn a_process_keeps_its_numbers_and_takes_no_lesser_one() {
    // Arrange
    let mut lives = OwnIncarnations::new(5);

    // Act
    lives.raise(9);
    lives.raise(7);

    // Assert
    assert!(lives.contains(5) && lives.contains(9));
    assert!(!lives.contains(7));
}

#[test]
fn numbers_of_restarts_after_a_clock_set_back_come_nearer_to_the_clock() {
    // Arrange
    let mut wall_ms = 1_000_000;
    let mut life = first_incarnation(wall_ms + 60_000, 0, 0);

    // Act
    for _ in 0..6 {
        wall_ms += 5_000;
        life = first_incarnation(wall_ms, life, INCARNATION_GAP_COUNT - 1);
    }

    // Assert
    assert!(life - wall_ms < 60_000, "{} ms ahead", life - wall_ms);
}

#[test]
fn a_start_outranks_a_last_life_with_few_numbers_above_it() {
    for gap_count in [0, 1, 2, 3, INCARNATION_GAP_COUNT - 1] {
        let life = first_incarnation(900, INCARNATION_LIMIT - 3, gap_count);
        assert!(
            life > INCARNATION_LIMIT - 3 && life <= INCARNATION_LIMIT,
            "{life}"
        );
    }
}
