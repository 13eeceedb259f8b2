use std::sync::{Arc, Mutex};

use crate::link::message::*;
use crate::link::tests::support::*;
use crate::membership::{DaemonEntry, Fleet, Gossip};
use crate::settings::link::LinkSettings;
use crate::types::DaemonId;

/// A fleet of one other daemon, or of this one, in a life of that number.
fn in_incarnation(daemon: &str, address: std::net::SocketAddr, incarnation: u64) -> LinkMessage {
    let known = fleet_of(&[(daemon, address)]).daemons[daemon].clone();
    let entry = Arc::new(DaemonEntry {
        incarnation,
        ..(*known).clone()
    });
    let daemons = [(DaemonId::from(daemon), entry)].into_iter().collect();
    LinkMessage::Fleet(Arc::new(Fleet { daemons }))
}

/// Gives a fleet to a link, and waits until the link has it.
fn knows_incarnation(link: &RunningLink, fleet: LinkMessage) {
    link.sender.deliver(fleet);
    // The ring keeps its order, so a call that ends has passed the fleet.
    let nobody = link.ask("nobody", gossip());
    assert_eq!(nobody, Err(LinkError::Unreachable));
}

fn gossip() -> PeerRequest {
    PeerRequest::Gossip(Gossip::default())
}

#[test]
fn an_earlier_life_of_a_caller_hears_of_the_fleet_and_does_nothing_else() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let caller = start_link("a", SECRET, refuse_all());
    caller.knows(&[("b", answerer.address)]);
    knows_incarnation(&answerer, in_incarnation("a", caller.address, 9));

    // Act
    let heard = caller.ask("b", gossip());
    let acted = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(heard, Ok(PeerAnswer::Done));
    assert_eq!(acted, Err(LinkError::Refused));
    assert_eq!(answerer.counted("link.request.earlier_life"), 1);
}

#[test]
fn a_stranger_in_the_name_of_an_earlier_life_learns_nothing_before_its_proof() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let caller = start_link("a", "some-other-secret-than-the-fleet's", refuse_all());
    caller.knows(&[("b", answerer.address)]);
    knows_incarnation(&answerer, in_incarnation("a", caller.address, 9));

    // Act
    let found = caller.ask("b", gossip());

    // Assert
    assert_eq!(found, Err(LinkError::Unreachable));
    assert_eq!(caller.counted("link.proof.refused"), 1);
    assert_eq!(answerer.counted("link.proof.refused"), 0);
    assert_eq!(answerer.counted("link.accept.proven"), 0);
}

#[test]
fn an_earlier_life_that_is_called_hears_of_the_fleet_and_is_asked_nothing_else() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let caller = start_link("a", SECRET, refuse_all());
    caller
        .sender
        .deliver(in_incarnation("b", answerer.address, 9));

    // Act
    let heard = caller.ask("b", gossip());
    let asked = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(heard, Ok(PeerAnswer::Done));
    assert_eq!(asked, Err(LinkError::Unreachable));
    assert_eq!(caller.counted("link.peer.earlier_life"), 1);
}

#[test]
fn a_daemon_with_a_new_number_calls_on_new_connections_in_its_name() {
    // Arrange
    let seen: Arc<Mutex<Vec<u64>>> = Arc::default();
    let callers = seen.clone();
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
    assert_eq!(*seen.lock().unwrap(), [7, 9]);
}

/// Two links, `b` and its caller `a`, which dials an earlier life anew after `retry_ms`. They have
/// exchanged gossip while `a` knew a later life of `b`.
fn gossiped_with_earlier_incarnation(retry_ms: u64) -> (RunningLink, RunningLink) {
    let settings = LinkSettings {
        retry_ms,
        retry_limit_ms: LONG_MS,
        ..Default::default()
    };
    let answerer = start_link("b", SECRET, answer_done());
    let caller = start_link_with("a", SECRET, settings, refuse_all());
    knows_incarnation(&caller, in_incarnation("b", answerer.address, 900));
    assert_eq!(caller.ask("b", gossip()), Ok(PeerAnswer::Done));
    (answerer, caller)
}

const LONG_MS: u64 = 3_600_000;

#[test]
fn a_peer_that_was_called_before_its_new_number_is_asked_for_work_after_it() {
    // Arrange
    let (answerer, caller) = gossiped_with_earlier_incarnation(LONG_MS);

    // Act
    knows_incarnation(&answerer, in_incarnation("b", answerer.address, 1_200));
    knows_incarnation(&caller, in_incarnation("b", answerer.address, 1_200));
    let asked = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(asked, Ok(PeerAnswer::Done));
}

#[test]
fn a_peer_whose_new_number_is_heard_before_its_link_bears_it_is_asked_for_work_after_it() {
    // Arrange
    let (answerer, caller) = gossiped_with_earlier_incarnation(0);
    knows_incarnation(&caller, in_incarnation("b", answerer.address, 1_200));
    let between = caller.ask("b", gossip());

    // Act
    knows_incarnation(&answerer, in_incarnation("b", answerer.address, 1_200));
    let asked = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(between, Ok(PeerAnswer::Done));
    assert_eq!(asked, Ok(PeerAnswer::Done));
}

#[test]
fn a_peer_that_stays_an_earlier_life_is_not_dialled_for_each_call() {
    // Arrange
    let (_answerer, caller) = gossiped_with_earlier_incarnation(LONG_MS);

    // Act
    let asked: Vec<_> = (0..8)
        .map(|number| caller.ask("b", PeerRequest::Cancel(number)))
        .collect();

    // Assert
    assert_eq!(asked, vec![Err(LinkError::Unreachable); 8]);
    assert_eq!(caller.counted("link.connect.done"), 1);
}
