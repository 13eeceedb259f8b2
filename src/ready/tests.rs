use super::{ReadyEvent, ReadyState};

#[test]
fn a_daemon_is_ready_from_its_first_configuration_until_it_drains() {
    let mut state = ReadyState::default();
    assert!(!state.is_ready());
    state.handle(ReadyEvent::Usable(true));
    assert!(state.is_ready());
    state.handle(ReadyEvent::Drain);
    assert!(!state.is_ready());
}
