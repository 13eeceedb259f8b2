use super::{ReadyEvent, ReadyState};

#[test]
fn a_daemon_is_ready_while_its_configuration_is_usable_and_it_does_not_drain() {
    let mut state = ReadyState::default();
    assert!(!state.is_ready());
    state.handle(ReadyEvent::Usable(true));
    assert!(state.is_ready());
    state.handle(ReadyEvent::Drain);
    assert!(!state.is_ready());
}
