//! A request from caller to backend server and back, through separate processes.

mod support;

use support::*;

#[test]
fn a_request_is_served_by_a_server_beside_another_daemon() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let entry = start_daemon(&settings("entry", "north", log_address));
    let beside = start_daemon(&settings("beside", "south", log_address));
    let server = start_server("server-1", "workshop", &beside);
    publish_basics(log_address);
    let front = entry.address("front");

    // Act
    let answer = ask_until(front, "/sheets/7", Some("key-1"), 200);

    // Assert
    assert_eq!(answer.body["server"], "server-1");
    assert_eq!(answer.body["organisation"], "optician-1");
    let ran = ask(server.address("listening"), "GET", "/ran", None);
    assert_eq!(ran.body["keys_seen_count"], 0);
}

#[test]
fn requests_without_a_good_key_are_refused_as_not_run() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let daemon = start_daemon(&settings("alone", "north", log_address));
    let _server = start_server("server-2", "workshop", &daemon);
    publish_basics(log_address);
    let front = daemon.address("front");
    ask_until(front, "/sheets/7", Some("key-1"), 200);

    // Act
    let missing = ask(front, "GET", "/sheets/7", None);
    let unknown = ask(front, "GET", "/sheets/7", Some("another"));
    let elsewhere = ask(front, "GET", "/nowhere", Some("key-1"));

    // Assert
    let short = |answer: &Answer| {
        (
            answer.status,
            answer.body["kind"].to_string(),
            answer.body["ran"].to_string(),
        )
    };
    let expect = |status, kind: &str| (status, format!("{kind:?}"), "\"no\"".to_owned());
    assert_eq!(short(&missing), expect(401, "key_missing"));
    assert_eq!(short(&unknown), expect(401, "key_unknown"));
    assert_eq!(short(&elsewhere), expect(404, "route_unknown"));
}
