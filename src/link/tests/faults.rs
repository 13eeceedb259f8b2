use std::io::{Read, Write};
use std::net::TcpStream;

use crate::link::message::*;
use crate::link::tests::support::*;
use crate::settings::link::LinkSettings;

#[test]
fn a_caller_with_another_secret_is_refused_and_counted() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let caller = start_link("a", "some-other-secret-than-the-fleet's", refuse_all());
    caller.set_fleet(&[("b", answerer.address)]);

    // Act
    let found = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(found, Err(LinkError::Unreachable));
    assert_eq!(caller.count_of("link.proof.refused"), 1);
    assert_eq!(answerer.count_of("link.accept.proven"), 0);
}

#[test]
fn a_replayed_handshake_is_refused_and_counted() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let relay = Relay::start(answerer.address);
    let caller = start_link("a", SECRET, refuse_all());
    caller.set_fleet(&[("b", relay.address)]);
    assert_eq!(
        caller.ask("b", PeerRequest::Cancel(1)),
        Ok(PeerAnswer::Done)
    );
    let recorded = relay.sent.lock().unwrap().clone();

    // Act
    let mut again = TcpStream::connect(answerer.address).unwrap();
    again.write_all(&recorded).unwrap();

    // Assert
    answerer.wait_for_count("link.proof.refused");
    assert_eq!(answerer.count_of("link.accept.proven"), 1);
    let secret = SECRET.as_bytes();
    assert!(!recorded.windows(secret.len()).any(|part| part == secret));
}

#[test]
fn bytes_of_another_protocol_are_refused_and_counted() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());

    // Act
    let mut stream = TcpStream::connect(answerer.address).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: nobody\r\n\r\n")
        .unwrap();

    // Assert
    answerer.wait_for_count("link.message.malformed");
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
}

#[test]
fn a_frame_over_the_limit_is_refused_before_it_is_read() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let words = u32::try_from(LinkSettings::default().message_limit_bytes).unwrap();
    let mut head = Vec::new();
    head.extend_from_slice(&0u32.to_le_bytes());
    head.extend_from_slice(&words.to_le_bytes());

    // Act
    let mut stream = TcpStream::connect(answerer.address).unwrap();
    stream.write_all(&head).unwrap();

    // Assert
    answerer.wait_for_count("link.message.malformed");
}

#[test]
fn an_oversized_request_is_not_sent_and_an_oversized_answer_is_refused() {
    // Arrange
    let settings = LinkSettings {
        message_limit_bytes: 4_096,
        ..Default::default()
    };
    let long = |count| PeerRequest::Probe("x".repeat(count).as_str().into());
    let script: Script = Box::new(|_, _| {
        Some(Ok(PeerAnswer::Records(RecordsAnswer {
            checkpoint: Some("x".repeat(4_000)),
            records: Vec::new(),
            next: 0,
        })))
    });
    let answerer = start_link_with("b", SECRET, settings.clone(), script);
    let caller = start_link_with("a", SECRET, settings, refuse_all());
    caller.set_fleet(&[("b", answerer.address)]);

    // Act
    let request = caller.ask("b", long(4_000));
    let answer = caller.ask("b", long(10));

    // Assert
    assert_eq!(request, Err(LinkError::Unreachable));
    assert_eq!(caller.count_of("link.call.oversized"), 1);
    assert_eq!(answer, Err(LinkError::Refused));
    assert_eq!(answerer.count_of("link.answer.oversized"), 1);
}

#[test]
fn a_single_silent_connection_is_replaced_without_making_its_peer_suspect() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let relay = Relay::start(answerer.address);
    let caller = start_link("a", SECRET, refuse_all());
    caller.set_fleet(&[("b", relay.address)]);
    assert_eq!(
        caller.ask("b", PeerRequest::Cancel(1)),
        Ok(PeerAnswer::Done)
    );

    // Act
    relay.silence_open_connections();
    let lost = caller.ask("b", PeerRequest::Cancel(2));
    relay.restore();
    caller.wait_for_count("link.connection.silent");
    let later = caller.ask("b", PeerRequest::Cancel(3));

    // Assert
    assert_eq!(lost, Err(LinkError::Silent));
    assert_eq!(later, Ok(PeerAnswer::Done));
    assert_eq!(caller.count_of("link.connection.silent"), 1);
    assert_eq!(caller.count_of("link.peer.suspect"), 0);
}

#[test]
fn a_peer_is_suspect_when_a_new_connection_is_silent_too() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let relay = Relay::start(answerer.address);
    let caller = start_link("a", SECRET, refuse_all());
    caller.set_fleet(&[("b", relay.address)]);
    assert_eq!(
        caller.ask("b", PeerRequest::Cancel(1)),
        Ok(PeerAnswer::Done)
    );

    // Act
    relay.silence_open_connections();
    let first = caller.ask("b", PeerRequest::Cancel(2));
    caller.wait_for_count("link.connection.silent");
    let second = caller.ask("b", PeerRequest::Cancel(3));

    // Assert
    assert_eq!(first, Err(LinkError::Silent));
    assert_eq!(second, Err(LinkError::Unreachable));
    assert_eq!(caller.count_of("link.peer.suspect"), 1);
}

#[test]
fn a_call_is_not_sent_to_another_daemon_at_the_address() {
    // Arrange
    let answerer = start_link("c", SECRET, answer_done());
    let caller = start_link("a", SECRET, refuse_all());
    caller.set_fleet(&[("b", answerer.address)]);

    // Act
    let found = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(found, Err(LinkError::Unreachable));
    assert_eq!(caller.count_of("link.peer.another"), 1);
}
