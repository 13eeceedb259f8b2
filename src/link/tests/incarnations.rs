use std::sync::{Arc, Mutex};

use crate::link::message::*;
use crate::link::tests::support::*;
use crate::membership::{DaemonEntry, Fleet, Gossip};
use crate::settings::link::LinkSettings;
use crate::types::DaemonId;

/// A snapshot of a fleet that consists of one daemon with the given incarnation.
fn fleet_with_incarnation(
    daemon: &str,
    address: std::net::SocketAddr,
    incarnation: u64,
) -> LinkMessage {
    let known = fleet_of(&[(daemon, address)]).daemons[daemon].clone();
    let entry = Arc::new(DaemonEntry {
        incarnation,
        ..(*known).clone()
    });
    let daemons = [(DaemonId::from(daemon), entry)].into_iter().collect();
    LinkMessage::Fleet(Arc::new(Fleet { daemons }))
}

/// Gives a snapshot of the fleet to a link, and waits until the link has applied it.
fn apply_fleet(link: &RunningLink, fleet: LinkMessage) {
    link.sender.deliver(fleet);
    // The ring keeps the order of messages, so the snapshot was applied before this call ends.
    let nobody = link.ask("nobody", gossip());
    assert_eq!(nobody, Err(LinkError::Unreachable));
}

fn gossip() -> PeerRequest {
    PeerRequest::Gossip(Gossip::default())
}

#[test]
fn only_membership_requests_are_taken_from_an_earlier_incarnation() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let caller = start_link("a", SECRET, refuse_all());
    caller.set_fleet(&[("b", answerer.address)]);
    apply_fleet(&answerer, fleet_with_incarnation("a", caller.address, 9));

    // Act
    let membership = caller.ask("b", gossip());
    let other = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(membership, Ok(PeerAnswer::Done));
    assert_eq!(other, Err(LinkError::Refused));
    assert_eq!(answerer.count_of("link.request.earlier_life"), 1);
}

#[test]
fn a_caller_without_the_secret_is_refused_under_the_name_of_an_earlier_incarnation() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let caller = start_link("a", "some-other-secret-than-the-fleet's", refuse_all());
    caller.set_fleet(&[("b", answerer.address)]);
    apply_fleet(&answerer, fleet_with_incarnation("a", caller.address, 9));

    // Act
    let found = caller.ask("b", gossip());

    // Assert
    assert_eq!(found, Err(LinkError::Unreachable));
    assert_eq!(caller.count_of("link.proof.refused"), 1);
    assert_eq!(answerer.count_of("link.proof.refused"), 0);
    assert_eq!(answerer.count_of("link.accept.proven"), 0);
}

#[test]
fn only_membership_requests_are_sent_to_an_earlier_incarnation() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let caller = start_link("a", SECRET, refuse_all());
    caller
        .sender
        .deliver(fleet_with_incarnation("b", answerer.address, 9));

    // Act
    let membership = caller.ask("b", gossip());
    let other = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(membership, Ok(PeerAnswer::Done));
    assert_eq!(other, Err(LinkError::Unreachable));
    assert_eq!(caller.count_of("link.peer.earlier_life"), 1);
}

#[test]
fn a_daemon_with_a_new_incarnation_authenticates_anew_with_it() {
    // Arrange
    let caller_incarnations: Arc<Mutex<Vec<u64>>> = Arc::default();
    let callers = caller_incarnations.clone();
    let answerer = start_link(
        "b",
        SECRET,
        Box::new(move |from, _| {
            callers.lock().unwrap().push(from.incarnation);
            Some(Ok(PeerAnswer::Done))
        }),
    );
    let caller = start_link("a", SECRET, refuse_all());
    let with_own = |own_incarnation| {
        let mut fleet = Fleet::clone(&fleet_of(&[("a", caller.address), ("b", answerer.address)]));
        let own = DaemonEntry {
            incarnation: own_incarnation,
            ..(*fleet.daemons["a"]).clone()
        };
        fleet.daemons.insert("a".into(), Arc::new(own));
        LinkMessage::Fleet(Arc::new(fleet))
    };
    caller.sender.deliver(with_own(7));
    let before = caller.ask("b", PeerRequest::Cancel(1));

    // Act
    caller.sender.deliver(with_own(9));
    let after = caller.ask("b", PeerRequest::Cancel(2));

    // Assert
    assert_eq!(
        [before, after],
        [Ok(PeerAnswer::Done), Ok(PeerAnswer::Done)]
    );
    assert_eq!(*caller_incarnations.lock().unwrap(), [7, 9]);
}

/// Starts two links, `b` and its caller `a`, which dials an earlier incarnation again after
/// `retry_ms`. They have exchanged gossip while `a` knew a later incarnation of `b`.
fn gossiped_with_earlier_incarnation(retry_ms: u64) -> (RunningLink, RunningLink) {
    let settings = LinkSettings {
        retry_ms,
        retry_limit_ms: LONG_MS,
        ..Default::default()
    };
    let answerer = start_link("b", SECRET, answer_done());
    let caller = start_link_with("a", SECRET, settings, refuse_all());
    apply_fleet(&caller, fleet_with_incarnation("b", answerer.address, 900));
    assert_eq!(caller.ask("b", gossip()), Ok(PeerAnswer::Done));
    (answerer, caller)
}

/// Longer than any test runs.
const LONG_MS: u64 = 3_600_000;

#[test]
fn a_peer_called_before_its_new_incarnation_is_called_with_other_requests_after_it() {
    // Arrange
    let (answerer, caller) = gossiped_with_earlier_incarnation(LONG_MS);

    // Act
    apply_fleet(
        &answerer,
        fleet_with_incarnation("b", answerer.address, 1_200),
    );
    apply_fleet(
        &caller,
        fleet_with_incarnation("b", answerer.address, 1_200),
    );
    let asked = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(asked, Ok(PeerAnswer::Done));
}

#[test]
fn a_new_incarnation_that_is_known_before_the_peers_link_uses_it_does_not_stop_calls_for_good() {
    // Arrange
    let (answerer, caller) = gossiped_with_earlier_incarnation(0);
    apply_fleet(
        &caller,
        fleet_with_incarnation("b", answerer.address, 1_200),
    );
    let between = caller.ask("b", gossip());

    // Act
    apply_fleet(
        &answerer,
        fleet_with_incarnation("b", answerer.address, 1_200),
    );
    let asked = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(between, Ok(PeerAnswer::Done));
    assert_eq!(asked, Ok(PeerAnswer::Done));
}

#[test]
fn a_peer_that_keeps_an_earlier_incarnation_is_not_dialled_for_each_call() {
    // Arrange
    let (_answerer, caller) = gossiped_with_earlier_incarnation(LONG_MS);

    // Act
    let asked: Vec<_> = (0..8)
        .map(|number| caller.ask("b", PeerRequest::Cancel(number)))
        .collect();

    // Assert
    assert_eq!(asked, vec![Err(LinkError::Unreachable); 8]);
    assert_eq!(caller.count_of("link.connect.done"), 1);
}
