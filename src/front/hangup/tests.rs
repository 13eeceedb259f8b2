use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::state::{HangupEvent, HangupState};
use super::table::ConnectionTable;

const TABLE: &str = "  sl  local_address rem_address   st tx_queue rx_queue
   0: 0100007F:1F90 00000000:0000 0A 00000000:00000000 00:00000000 00000000 0 0 1
   1: 0100007F:1F90 0100007F:C001 01 00000000:00000000 00:00000000 00000000 0 0 2
   2: 0100007F:1F90 0100007F:C002 08 00000000:00000000 00:00000000 00000000 0 0 3
   3: 0100007F:C002 0100007F:1F90 05 00000000:00000000 00:00000000 00000000 0 0 4
";
const EVERY: Duration = Duration::from_millis(250);

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn a_caller_that_closed_its_side_or_is_gone_has_left() {
    let table = ConnectionTable::parse(TABLE, 8080);
    assert!(!table.has_left(&peer(0xC001)));
    assert!(table.has_left(&peer(0xC002)));
    assert!(table.has_left(&peer(0xC003)));
}

#[test]
fn the_table_is_read_only_while_a_request_has_been_open_for_some_time() {
    // Arrange
    let now = Instant::now();
    let mut state = HangupState::new(EVERY, now);
    let idle = state.next_look_at();

    // Act
    let opened = HangupEvent::Opened {
        request: 1,
        peer: peer(0xC002),
        ends_at: now + Duration::from_secs(10),
    };
    state.handle(now, opened);
    let look_at = state.next_look_at();
    let looked = HangupEvent::Looked {
        table: ConnectionTable::parse(TABLE, 8080),
        cost: Duration::from_millis(10),
    };
    let left = state.handle(now + EVERY, looked);

    // Assert
    assert_eq!(idle, None);
    assert_eq!(look_at, Some(now + EVERY));
    assert_eq!(left, vec![1]);
    assert_eq!(state.next_look_at(), None);
}

#[test]
fn a_dear_look_is_followed_by_a_longer_pause() {
    let now = Instant::now();
    let mut state = HangupState::new(EVERY, now);
    let opened = HangupEvent::Opened {
        request: 1,
        peer: peer(0xC001),
        ends_at: now + Duration::from_secs(10),
    };
    state.handle(now, opened);
    let looked = HangupEvent::Looked {
        table: ConnectionTable::parse(TABLE, 8080),
        cost: Duration::from_millis(20),
    };
    let left = state.handle(now + EVERY, looked);
    assert!(left.is_empty());
    let next = now + EVERY + Duration::from_secs(1);
    assert_eq!(state.next_look_at(), Some(next));
}
