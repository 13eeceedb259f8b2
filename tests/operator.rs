//! Operators' verbs against running daemons.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use banyanbeam::settings::operator::OperatorEntry;
use banyanbeam::settings::Settings;
use banyanbeam::wire::hex;
use banyanbeam::wire::proof::hash_key;
use serde_json::{json, Value};
use support::*;

/// A daemon that two operators may use.
fn operated(daemon: &str, log: SocketAddr) -> Settings {
    let mut settings = settings(daemon, "north", log);
    for name in ["ndapewa", "youssef"] {
        settings.operator.operators.push(OperatorEntry {
            name: name.to_owned(),
            token_sha256: hex::encode(&hash_key(&token(name))),
        });
    }
    settings
}

fn token(operator: &str) -> String {
    format!("token-of-{operator}")
}

/// What a verb printed, and its exit code.
struct Verb {
    code: i32,
    json: Value,
    text: String,
    error: String,
}

fn verb(operator: &str, daemon: &Process, arguments: &[&str]) -> Verb {
    let address = daemon.address("operator").to_string();
    let output: Output = Command::new(env!("CARGO_BIN_EXE_banyanbeam"))
        .args(arguments)
        .args(["--operator-address", &address])
        .env("BANYANBEAM_TOKEN", token(operator))
        .output()
        .expect("the verb runs");
    let text = String::from_utf8(output.stdout).expect("text");
    Verb {
        code: output.status.code().expect("an exit code"),
        json: serde_json::from_str(&text).unwrap_or(Value::Null),
        error: String::from_utf8(output.stderr).expect("text"),
        text,
    }
}

fn contract_file(name: &str, rate_per_s: f64) -> PathBuf {
    let path = std::env::temp_dir().join(format!("banyanbeam-{}-{name}.json", std::process::id()));
    let contracts = json!({
        "services": [{
            "service": "workshop",
            "routes": [{"route": "sheets", "path_prefix": "/sheets", "repeatable": true}],
        }],
        "organisations": [{
            "organisation": "optician-1",
            "rate_per_s": rate_per_s,
            "burst_count": 1000,
            "routes": ["sheets"],
        }],
    });
    std::fs::write(&path, contracts.to_string()).expect("the contract file is written");
    path
}

fn publish_file(daemon: &Process, name: &str, rate_per_s: f64) -> Verb {
    let path = contract_file(name, rate_per_s);
    let path = path.to_str().expect("a path of text");
    verb("ndapewa", daemon, &["contract", "publish", path, "--json"])
}

/// Waits until the daemon gives out its configuration.
fn ready(daemon: &Process) {
    until("the daemon is ready", || {
        let status = verb("ndapewa", daemon, &["status", "--json"]);
        status.json["status"]["usable"] == true
    });
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let limit = std::time::Instant::now() + std::time::Duration::from_secs(30);
    while !holds() {
        assert!(std::time::Instant::now() < limit, "{what}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

fn set_faults(log: SocketAddr, faults: &Value) {
    let response = attohttpc::put(format!("http://{log}/faults"))
        .text(faults.to_string())
        .send()
        .expect("the log takes its faults");
    assert!(response.is_success());
}

fn outcome(verb: &Verb, index: usize) -> &Value {
    &verb.json["results"][index]["outcome"]
}

#[test]
fn a_published_contract_and_a_granted_key_let_requests_through_until_the_key_is_withdrawn() {
    // Arrange
    let log = start_log();
    let daemon = start_daemon(&operated("op-a", log.address("listening")));
    let _server = start_server("server-a", "workshop", &daemon);
    ready(&daemon);

    // Act
    let published = publish_file(&daemon, "grant", 1000.0);
    let granted = verb("ndapewa", &daemon, &["key", "grant", "optician-1"]);
    let key = granted
        .text
        .lines()
        .next()
        .and_then(|line| line.strip_prefix("key "));
    let key = key.expect("the key is shown").to_owned();
    let served = ask_until(daemon.address("front"), "/sheets/7", Some(&key), 200);
    let withdrawn = verb("ndapewa", &daemon, &["key", "withdraw", &key, "--json"]);
    let refused = ask(daemon.address("front"), "GET", "/sheets/7", Some(&key));

    // Assert
    assert_eq!((published.code, granted.code, withdrawn.code), (0, 0, 0));
    assert_eq!(
        outcome(&published, 0),
        &json!({"outcome": "accepted", "offset": 0})
    );
    assert_eq!(served.body["organisation"], "optician-1");
    assert_eq!(outcome(&withdrawn, 0)["outcome"], "accepted");
    assert_eq!(
        (refused.status, refused.body["kind"].as_str()),
        (401, Some("key_withdrawn"))
    );
    let audit = verb("ndapewa", &daemon, &["audit", "--json"]);
    let newest = &audit.json["trail"]["changes"][0];
    assert_eq!(newest["author"], "ndapewa");
    assert_eq!(newest["before"]["key"]["withdrawn"], false);
    assert_eq!(newest["after"]["key"]["withdrawn"], true);
    assert!(!audit.text.contains(&key), "the key is never recorded");
    let request = refused.body["request"].as_str().expect("a request id");
    let subject = format!("request:{request}");
    let explained = verb("ndapewa", &daemon, &["explain", &subject, "--json"]);
    let decision = &explained.json["trail"]["decisions"][0];
    assert_eq!(decision["rule"], "front.key_withdrawn");
}

#[test]
fn a_bad_contract_and_an_unknown_operator_are_refused() {
    // Arrange
    let log = start_log();
    let daemon = start_daemon(&operated("op-b", log.address("listening")));
    ready(&daemon);

    // Act
    let bad = publish_file(&daemon, "bad", -1.0);
    let stranger = verb("stranger", &daemon, &["status"]);
    let shown = verb("ndapewa", &daemon, &["contract", "show", "--json"]);

    // Assert
    assert_eq!(bad.code, 3);
    let field = &bad.json["refused"]["errors"][0]["field"];
    assert_eq!(field, "organisation/optician-1.rate_per_s");
    assert_eq!(stranger.code, 3);
    assert!(
        stranger.error.contains("operator_unknown"),
        "{}",
        stranger.error
    );
    assert_eq!(shown.json["contracts"]["next"], 0);
}

#[test]
fn of_two_operators_with_the_same_base_the_later_is_told_who_won() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let first = start_daemon(&operated("op-c1", log_address));
    let second = start_daemon(&operated("op-c2", log_address));
    ready(&first);
    ready(&second);
    publish_file(&first, "race-0", 10.0);
    let file = contract_file("race-1", 20.0);
    let winner = [
        "contract",
        "publish",
        file.to_str().expect("text"),
        "--json",
        "--base",
        "organisation/optician-1=1",
    ];
    let file = contract_file("race-2", 30.0);
    let loser = [
        "contract",
        "publish",
        file.to_str().expect("text"),
        "--json",
        "--base",
        "organisation/optician-1=1",
    ];

    // Act
    let won = verb("ndapewa", &first, &winner);
    until("the second daemon reads the first's record", || {
        let shown = verb("youssef", &second, &["status", "--json"]);
        shown.json["status"]["next"] == 3
    });
    let lost = verb("youssef", &second, &loser);

    // Assert
    assert_eq!(won.code, 0);
    assert_eq!(lost.code, 4);
    let conflict = json!({"outcome": "conflict", "by": "ndapewa", "at": 2});
    assert_eq!(outcome(&lost, 1), &conflict);
}

#[test]
fn a_lost_answer_of_the_log_is_resolved_by_reading_and_appends_once() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let daemon = start_daemon(&operated("op-d", log_address));
    ready(&daemon);
    set_faults(log_address, &json!({"lost_answers_count": 2}));

    // Act
    let published = publish_file(&daemon, "lost", 10.0);

    // Assert
    assert_eq!(published.code, 0);
    assert_eq!(outcome(&published, 1)["outcome"], "accepted");
    let status = verb("ndapewa", &daemon, &["status", "--json"]);
    assert_eq!(status.json["status"]["next"], 2);
}

#[test]
fn without_the_log_contracts_are_refused_and_a_withdrawal_is_in_force_on_every_daemon() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let near = start_daemon(&operated("op-e1", log_address));
    let far = start_daemon(&operated("op-e2", log_address));
    let _server = start_server("server-e", "workshop", &far);
    ready(&near);
    ready(&far);
    publish_file(&near, "down-0", 1000.0);
    verb(
        "ndapewa",
        &near,
        &["key", "grant", "optician-1", "--key", "key-e"],
    );
    ask_until(far.address("front"), "/sheets/7", Some("key-e"), 200);
    ask_until(near.address("front"), "/sheets/7", Some("key-e"), 200);
    set_faults(log_address, &json!({"down": true}));
    until("the daemon sees that the log is down", || {
        let status = verb("ndapewa", &near, &["status", "--json"]);
        status.json["status"]["log_reachable"] == false
    });

    // Act
    let contract = publish_file(&near, "down-1", 20.0);
    let withdrawn = verb("ndapewa", &near, &["key", "withdraw", "key-e", "--json"]);
    let refused = ask_until(far.address("front"), "/sheets/7", Some("key-e"), 401);
    set_faults(log_address, &json!({}));
    until("the withdrawal is durable", || {
        let status = verb("ndapewa", &far, &["status", "--json"]);
        status.json["status"]["next"] == 4 && status.json["status"]["tombstone_count"] == 0
    });

    // Assert
    assert_eq!(contract.code, 7);
    assert_eq!(outcome(&contract, 1)["outcome"], "log_down");
    assert_eq!(withdrawn.code, 6);
    let not_durable = json!({"outcome": "not_durable", "confirmed_count": 2, "fleet_count": 2});
    assert_eq!(outcome(&withdrawn, 0), &not_durable);
    assert_eq!(refused.body["kind"], "key_withdrawn");
}

#[test]
fn a_domain_below_the_floor_is_taken_out_only_by_an_override_that_the_audit_shows() {
    // Arrange
    let log = start_log();
    let daemon = start_daemon(&operated("op-f", log.address("listening")));
    let _server = start_server("server-f", "workshop", &daemon);
    ready(&daemon);
    publish_file(&daemon, "floor", 10.0);
    until("the server is announced", || {
        let status = verb("ndapewa", &daemon, &["status", "--json"]);
        status.json["status"]["services"][0]["server_count"] == 1
    });

    // Act
    let refused = verb("ndapewa", &daemon, &["domain", "out", "north"]);
    let out = verb(
        "ndapewa",
        &daemon,
        &["domain", "out", "north", "--override-floor"],
    );
    let explained = verb("ndapewa", &daemon, &["explain", "domain:north", "--json"]);
    let back = verb("ndapewa", &daemon, &["domain", "in", "north", "--json"]);

    // Assert
    assert_eq!((refused.code, out.code, back.code), (3, 0, 0));
    assert!(refused.error.contains("floor_broken"), "{}", refused.error);
    let trail = &explained.json["trail"];
    assert_eq!(trail["decisions"][0]["verdict"], "out-below-floor");
    assert_eq!(trail["decisions"][1]["verdict"], "refused");
    assert_eq!(trail["changes"][0]["change"]["override_floor"], true);
}
