//! Requests from a caller to a backend server and back, through separate processes.

mod support;

use support::*;

#[test]
fn request_is_served_by_a_server_of_another_daemon() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let entry = start_daemon(&settings("entry", "north", log_address));
    let server_daemon = start_daemon(&settings("beside", "south", log_address));
    let server = start_server("server-1", "workshop", &server_daemon);
    publish_test_contracts(log_address);
    let front = entry.address("front");

    // Act
    let answer = send_until_status(front, "/sheets/7", Some("key-1"), 200);

    // Assert
    assert_eq!(answer.body["server"], "server-1");
    assert_eq!(answer.body["organisation"], "optician-1");
    let ran = send_request(server.address("listening"), "GET", "/ran", None);
    assert_eq!(ran.body["keys_seen_count"], 0);
}

#[test]
fn requests_without_a_valid_key_or_route_are_refused_as_not_run() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let daemon = start_daemon(&settings("alone", "north", log_address));
    let _server = start_server("server-2", "workshop", &daemon);
    publish_test_contracts(log_address);
    let front = daemon.address("front");
    send_until_status(front, "/sheets/7", Some("key-1"), 200);

    // Act
    let missing = send_request(front, "GET", "/sheets/7", None);
    let unknown = send_request(front, "GET", "/sheets/7", Some("another"));
    let unknown_route = send_request(front, "GET", "/nowhere", Some("key-1"));

    // Assert
    let summary = |answer: &Answer| {
        (
            answer.status,
            answer.body["kind"].to_string(),
            answer.body["ran"].to_string(),
        )
    };
    let refusal = |status, kind: &str| (status, format!("{kind:?}"), "\"no\"".to_owned());
    assert_eq!(summary(&missing), refusal(401, "key_missing"));
    assert_eq!(summary(&unknown), refusal(401, "key_unknown"));
    assert_eq!(summary(&unknown_route), refusal(404, "route_unknown"));
}
