//! Operator commands of the binary against running daemons.

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

/// Returns settings of a daemon that accepts the operators "ndapewa" and "youssef".
fn operator_settings(daemon: &str, log: SocketAddr) -> Settings {
    let mut settings = settings(daemon, "north", log);
    for name in ["ndapewa", "youssef"] {
        settings.operator.operators.push(OperatorEntry {
            name: name.to_owned(),
            token_sha256: hex::encode(&hash_key(&token(name))),
        });
    }
    settings
}

/// Returns the token of an operator.
fn token(operator: &str) -> String {
    format!("token-of-{operator}")
}

/// Exit code and output of an operator command.
struct CommandResult {
    exit_code: i32,
    /// Standard output parsed as JSON; null where it is not JSON.
    json: Value,
    /// Text of standard output.
    text: String,
    /// Text of standard error.
    error: String,
}

/// Runs a command of the binary as this operator against a daemon.
fn run_command(operator: &str, daemon: &Process, arguments: &[&str]) -> CommandResult {
    let address = daemon.address("operator").to_string();
    let output: Output = Command::new(env!("CARGO_BIN_EXE_banyanbeam"))
        .args(arguments)
        .args(["--operator-address", &address])
        .env("BANYANBEAM_TOKEN", token(operator))
        .output()
        .expect("the command runs");
    let text = String::from_utf8(output.stdout).expect("text");
    CommandResult {
        exit_code: output.status.code().expect("an exit code"),
        json: serde_json::from_str(&text).unwrap_or(Value::Null),
        error: String::from_utf8(output.stderr).expect("text"),
        text,
    }
}

/// Writes a file with one service and one organisation of this rate and returns its path.
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

/// Publishes such a contract file as "ndapewa".
fn publish_file(daemon: &Process, name: &str, rate_per_s: f64) -> CommandResult {
    let path = contract_file(name, rate_per_s);
    let path = path.to_str().expect("a path of text");
    run_command("ndapewa", daemon, &["contract", "publish", path, "--json"])
}

/// Waits until the daemon has a usable view of the configuration.
fn wait_until_ready(daemon: &Process) {
    wait_until("the daemon is ready", || {
        let status = run_command("ndapewa", daemon, &["status", "--json"]);
        status.json["status"]["usable"] == true
    });
}

/// Waits until a condition holds; panics after 30 seconds.
fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline_at = std::time::Instant::now() + std::time::Duration::from_secs(30);
    while !condition() {
        assert!(std::time::Instant::now() < deadline_at, "{description}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

/// Sets the faults of the platform's log.
fn set_log_faults(log: SocketAddr, faults: &Value) {
    let response = attohttpc::put(format!("http://{log}/faults"))
        .text(faults.to_string())
        .send()
        .expect("the log takes its faults");
    assert!(response.is_success());
}

/// Returns the outcome of one change of a command.
fn outcome(result: &CommandResult, index: usize) -> &Value {
    &result.json["results"][index]["outcome"]
}

#[test]
fn published_contract_and_granted_key_admit_requests_until_the_key_is_withdrawn() {
    // Arrange
    let log = start_log();
    let daemon = start_daemon(&operator_settings("op-a", log.address("listening")));
    let _server = start_server("server-a", "workshop", &daemon);
    wait_until_ready(&daemon);

    // Act
    let published = publish_file(&daemon, "grant", 1000.0);
    let granted = run_command("ndapewa", &daemon, &["key", "grant", "optician-1"]);
    let key = granted
        .text
        .lines()
        .next()
        .and_then(|line| line.strip_prefix("key "));
    let key = key.expect("the key is shown").to_owned();
    let served = send_until_status(daemon.address("front"), "/sheets/7", Some(&key), 200);
    let withdrawn = run_command("ndapewa", &daemon, &["key", "withdraw", &key, "--json"]);
    let refused = send_request(daemon.address("front"), "GET", "/sheets/7", Some(&key));

    // Assert
    assert_eq!(
        (published.exit_code, granted.exit_code, withdrawn.exit_code),
        (0, 0, 0)
    );
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
    let audit = run_command("ndapewa", &daemon, &["audit", "--json"]);
    let newest = &audit.json["trail"]["changes"][0];
    assert_eq!(newest["author"], "ndapewa");
    assert_eq!(newest["before"]["key"]["withdrawn"], false);
    assert_eq!(newest["after"]["key"]["withdrawn"], true);
    assert!(!audit.text.contains(&key), "the key is never recorded");
    let request = refused.body["request"].as_str().expect("a request id");
    let subject = format!("request:{request}");
    let explained = run_command("ndapewa", &daemon, &["explain", &subject, "--json"]);
    let decision = &explained.json["trail"]["decisions"][0];
    assert_eq!(decision["rule"], "front.key_withdrawn");
}

#[test]
fn invalid_contract_and_unknown_operator_are_refused() {
    // Arrange
    let log = start_log();
    let daemon = start_daemon(&operator_settings("op-b", log.address("listening")));
    wait_until_ready(&daemon);

    // Act
    let bad = publish_file(&daemon, "bad", -1.0);
    let stranger = run_command("stranger", &daemon, &["status"]);
    let shown = run_command("ndapewa", &daemon, &["contract", "show", "--json"]);

    // Assert
    assert_eq!(bad.exit_code, 3);
    let field = &bad.json["refused"]["errors"][0]["field"];
    assert_eq!(field, "organisation/optician-1.rate_per_s");
    assert_eq!(stranger.exit_code, 3);
    assert!(
        stranger.error.contains("operator_unknown"),
        "{}",
        stranger.error
    );
    assert_eq!(shown.json["contracts"]["next"], 0);
}

#[test]
fn later_of_two_changes_with_the_same_base_gets_a_conflict() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let first = start_daemon(&operator_settings("op-c1", log_address));
    let second = start_daemon(&operator_settings("op-c2", log_address));
    wait_until_ready(&first);
    wait_until_ready(&second);
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
    let won = run_command("ndapewa", &first, &winner);
    wait_until("the second daemon reads the first's record", || {
        let shown = run_command("youssef", &second, &["status", "--json"]);
        shown.json["status"]["next"] == 3
    });
    let lost = run_command("youssef", &second, &loser);

    // Assert
    assert_eq!(won.exit_code, 0);
    assert_eq!(lost.exit_code, 4);
    let conflict = json!({"outcome": "conflict", "by": "ndapewa", "at": 2});
    assert_eq!(outcome(&lost, 1), &conflict);
}

#[test]
fn lost_log_answer_is_resolved_by_reading_and_appends_once() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let daemon = start_daemon(&operator_settings("op-d", log_address));
    wait_until_ready(&daemon);
    set_log_faults(log_address, &json!({"lost_answers_count": 2}));

    // Act
    let published = publish_file(&daemon, "lost", 10.0);

    // Assert
    assert_eq!(published.exit_code, 0);
    assert_eq!(outcome(&published, 1)["outcome"], "accepted");
    let status = run_command("ndapewa", &daemon, &["status", "--json"]);
    assert_eq!(status.json["status"]["next"], 2);
}

#[test]
fn without_the_log_contracts_are_refused_and_withdrawals_apply_on_every_daemon() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let near = start_daemon(&operator_settings("op-e1", log_address));
    let far = start_daemon(&operator_settings("op-e2", log_address));
    let _server = start_server("server-e", "workshop", &far);
    wait_until_ready(&near);
    wait_until_ready(&far);
    publish_file(&near, "down-0", 1000.0);
    run_command(
        "ndapewa",
        &near,
        &["key", "grant", "optician-1", "--key", "key-e"],
    );
    send_until_status(far.address("front"), "/sheets/7", Some("key-e"), 200);
    send_until_status(near.address("front"), "/sheets/7", Some("key-e"), 200);
    set_log_faults(log_address, &json!({"down": true}));
    wait_until("the daemon sees that the log is down", || {
        let status = run_command("ndapewa", &near, &["status", "--json"]);
        status.json["status"]["log_reachable"] == false
    });

    // Act
    let contract = publish_file(&near, "down-1", 20.0);
    let withdrawn = run_command("ndapewa", &near, &["key", "withdraw", "key-e", "--json"]);
    let refused = send_until_status(far.address("front"), "/sheets/7", Some("key-e"), 401);
    set_log_faults(log_address, &json!({}));
    wait_until("the withdrawal is durable", || {
        let status = run_command("ndapewa", &far, &["status", "--json"]);
        status.json["status"]["next"] == 4 && status.json["status"]["tombstone_count"] == 0
    });

    // Assert
    assert_eq!(contract.exit_code, 7);
    assert_eq!(outcome(&contract, 1)["outcome"], "log_down");
    assert_eq!(withdrawn.exit_code, 6);
    let not_durable = json!({"outcome": "not_durable", "confirmed_count": 2, "fleet_count": 2});
    assert_eq!(outcome(&withdrawn, 0), &not_durable);
    assert_eq!(refused.body["kind"], "key_withdrawn");
}

#[test]
fn domain_below_the_floor_is_taken_out_only_by_an_audited_override() {
    // Arrange
    let log = start_log();
    let daemon = start_daemon(&operator_settings("op-f", log.address("listening")));
    let _server = start_server("server-f", "workshop", &daemon);
    wait_until_ready(&daemon);
    publish_file(&daemon, "floor", 10.0);
    wait_until("the server is announced", || {
        let status = run_command("ndapewa", &daemon, &["status", "--json"]);
        status.json["status"]["services"][0]["server_count"] == 1
    });

    // Act
    let refused = run_command("ndapewa", &daemon, &["domain", "out", "north"]);
    let out = run_command(
        "ndapewa",
        &daemon,
        &["domain", "out", "north", "--override-floor"],
    );
    let explained = run_command("ndapewa", &daemon, &["explain", "domain:north", "--json"]);
    let back = run_command("ndapewa", &daemon, &["domain", "in", "north", "--json"]);

    // Assert
    assert_eq!(
        (refused.exit_code, out.exit_code, back.exit_code),
        (3, 0, 0)
    );
    assert!(refused.error.contains("floor_broken"), "{}", refused.error);
    let trail = &explained.json["trail"];
    assert_eq!(trail["decisions"][0]["verdict"], "out-below-floor");
    assert_eq!(trail["decisions"][1]["verdict"], "refused");
    assert_eq!(trail["changes"][0]["change"]["override_floor"], true);
}
