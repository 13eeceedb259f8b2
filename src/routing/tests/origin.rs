//! Tests of the origin of requests under changes of the settings.

use std::time::{Duration, Instant};

use crate::reload::ServiceRead;
use crate::routing::origin::{Origin, OriginAt, READ_LIMIT};

/// Far longer than a request waits in a socket.
const LATER: Duration = Duration::from_secs(1);

/// Returns a read that took a millisecond.
fn read(service: Option<&str>, began_at: Instant) -> ServiceRead {
    ServiceRead {
        service: service.map(Into::into),
        began_at,
        ended_at: began_at + Duration::from_millis(1),
    }
}

/// Returns the origin of a daemon that was started with the service `orders`, confirmed at `now`.
fn start(now: Instant) -> Origin {
    let mut origin = Origin::new(Some("orders".into()), true, true);
    origin.confirm(read(Some("orders"), now));
    origin
}

/// Returns what is known of a request at its arrival.
fn at(origin: &Origin, arrived_at: Instant) -> OriginAt {
    origin.at(arrived_at, (arrived_at, arrived_at))
}

/// Returns a known origin.
fn known(service: &str) -> OriginAt {
    OriginAt::Known(service.into())
}

#[test]
fn a_request_waits_for_a_read_that_began_after_its_arrival() {
    // Arrange
    let now = Instant::now();
    let mut origin = start(now);
    let arrived_at = now + LATER;

    // Act
    let before = at(&origin, arrived_at);
    origin.confirm(read(Some("orders"), arrived_at));

    // Assert
    assert_eq!(before, OriginAt::Unconfirmed);
    assert_eq!(at(&origin, arrived_at), known("orders"));
}

#[test]
fn a_request_between_the_last_read_of_one_name_and_the_first_of_another_gets_none() {
    // Arrange
    let now = Instant::now();
    let mut origin = start(now);
    let changed_at = now + LATER;

    // Act
    let changed = origin.confirm(read(Some("labels"), changed_at));
    origin.confirm(read(Some("labels"), changed_at + 2 * LATER));

    // Assert
    assert!(changed);
    assert_eq!(at(&origin, now), known("orders"));
    assert_eq!(at(&origin, now + LATER / 2), OriginAt::Unknown);
    assert_eq!(at(&origin, changed_at), OriginAt::Unknown);
    assert_eq!(at(&origin, changed_at + LATER), known("labels"));
}

#[test]
fn requests_that_waited_in_the_socket_while_the_process_stood_still_get_no_origin() {
    // Arrange
    let now = Instant::now();
    let mut origin = start(now);
    let resumed_at = now + 5 * LATER;
    origin.confirm(read(Some("labels"), resumed_at));

    // Act
    let arrived_at = resumed_at + Duration::from_millis(20);
    origin.confirm(read(Some("labels"), arrived_at));

    // Assert
    assert_eq!(at(&origin, arrived_at), OriginAt::Unknown);
}

#[test]
fn the_name_of_the_start_is_not_taken_for_confirmed() {
    // Arrange
    let now = Instant::now();
    let mut origin = Origin::new(Some("orders".into()), true, true);

    // Act
    let before = at(&origin, now);
    origin.confirm(read(Some("labels"), now + LATER));

    // Assert
    assert_eq!(before, OriginAt::Unconfirmed);
    assert_eq!(at(&origin, now), OriginAt::Unknown);
}

#[test]
fn a_file_that_stays_unreadable_leaves_requests_without_an_origin() {
    // Arrange
    let now = Instant::now();
    let mut origin = start(now);
    let arrived_at = now + LATER;
    origin.confirm(read(None, arrived_at));
    origin.confirm(read(None, arrived_at + READ_LIMIT));

    // Act
    let late = arrived_at + 2 * READ_LIMIT;

    // Assert
    assert_eq!(at(&origin, arrived_at), OriginAt::Unconfirmed);
    assert_eq!(at(&origin, late), OriginAt::Unknown);
    assert_eq!(origin.at(late, (now, now)), known("orders"));
}

#[test]
fn without_a_name_in_the_settings_the_announced_server_gives_it() {
    // Arrange
    let now = Instant::now();
    let mut origin = Origin::new(None, true, false);

    // Act
    let before = at(&origin, now);
    origin.announce("orders".into());
    let announced = at(&origin, now);
    origin.announce("".into());

    // Assert
    assert_eq!(before, OriginAt::Unknown);
    assert_eq!(announced, known("orders"));
    assert_eq!(at(&origin, now), OriginAt::Unknown);
}

#[test]
fn servers_that_need_no_origin_delay_no_request() {
    // Arrange
    let origin = Origin::new(Some("".into()), false, true);

    // Act and assert
    assert_eq!(at(&origin, Instant::now()), known(""));
}

#[test]
fn settings_that_name_no_service_leave_requests_without_an_origin() {
    // Arrange
    let now = Instant::now();
    let mut origin = start(now);

    // Act
    origin.confirm(read(Some(""), now + LATER));
    origin.confirm(read(Some(""), now + 3 * LATER));
    origin.announce("orders".into());

    // Assert
    assert_eq!(at(&origin, now + 3 * LATER), OriginAt::Unknown);
}

#[test]
fn a_request_from_before_two_changes_does_not_get_the_name_between_them() {
    for last in ["frames", "orders"] {
        // Arrange
        let now = Instant::now();
        let mut origin = start(now);

        // Act
        origin.confirm(read(Some("labels"), now + LATER));
        origin.confirm(read(Some("labels"), now + 2 * LATER));
        origin.confirm(read(Some(last), now + 3 * LATER));

        // Assert
        assert_eq!(at(&origin, now), OriginAt::Unknown);
        assert_eq!(at(&origin, now + 2 * LATER), known("labels"));
    }
}

#[test]
fn a_request_that_began_before_a_change_and_ends_after_it_gets_no_origin() {
    // Arrange
    let now = Instant::now();
    let mut origin = start(now);
    origin.confirm(read(Some("labels"), now + LATER));
    let arrived_at = now + 3 * LATER;

    // Act
    origin.confirm(read(Some("labels"), arrived_at));

    // Assert
    assert_eq!(origin.at(arrived_at, (now, arrived_at)), OriginAt::Unknown);
    assert_eq!(at(&origin, arrived_at), known("labels"));
}
