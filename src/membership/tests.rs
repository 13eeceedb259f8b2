use std::time::Instant;

use super::message::{DaemonEntry, MembershipEvent};
use super::state::MembershipState;

fn entry(daemon: &str, incarnation: u64, version: u64) -> DaemonEntry {
    DaemonEntry {
        daemon: daemon.into(),
        incarnation,
        version,
        domain: "d".into(),
        guard_address: "127.0.0.1:1".parse().unwrap(),
        link_address: "127.0.0.1:2".parse().unwrap(),
        leaving: false,
        servers: Vec::new(),
    }
}

#[test]
fn an_earlier_life_never_replaces_a_later_one() {
    // Arrange
    let now = Instant::now();
    let mut state = MembershipState::new(entry("a", 1, 0));
    state.handle(now, MembershipEvent::Heard(entry("b", 5, 1)));

    // Act
    let actions = state.handle(now, MembershipEvent::Heard(entry("b", 4, 9)));

    // Assert
    assert!(actions.is_empty());
}
