//! A fleet of processes under load while daemons are killed or paused and the platform's log is
//! down: every answer must agree with what the servers ran.

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use banyanbeam::load::{duty, LoadPlan, LoadReport, LoadRequest};
use banyanbeam::standin::backend_server::RanReport;
use banyanbeam::types::{parse_id, RequestId};
use support::*;

/// One VM: a daemon and the server that announces itself to it.
struct Vm {
    daemon: Process,
    server: Process,
}

/// Daemons and servers of a test, and the log that they use.
struct Fleet {
    log: Process,
    vms: Vec<Vm>,
}

const DOMAINS: [&str; 3] = ["north", "middle", "south"];
const VM_COUNT: usize = 6;

fn start_fleet(prefix: &str) -> Fleet {
    let log = start_log();
    let log_address = log.address("listening");
    let mut vms = Vec::new();
    for number in 0..VM_COUNT {
        let name = format!("{prefix}-{number}");
        let daemon = start_daemon(&settings(
            &name,
            DOMAINS[number % DOMAINS.len()],
            log_address,
        ));
        let server = start_server(&format!("server-{number}"), "workshop", &daemon);
        vms.push(Vm { daemon, server });
    }
    publish_test_contracts(log_address);
    for vm in &vms {
        send_until_status(vm.daemon.address("front"), "/sheets/7", Some("key-1"), 200);
    }
    Fleet { log, vms }
}

/// Returns the load that the tests send: reads and orders at 150 requests per second.
fn load_plan(fronts: Vec<SocketAddr>) -> LoadPlan {
    let request = |method: &str, target: &str, body_bytes, repeatable| LoadRequest {
        organisation: "optician-1".into(),
        service: "workshop".into(),
        key: "key-1".to_owned(),
        method: method.to_owned(),
        target: target.to_owned(),
        body_bytes,
        repeatable,
    };
    LoadPlan {
        fronts,
        direct: false,
        mix: vec![
            request("GET", "/sheets/7", 0, true),
            request("POST", "/orders/7", 200, false),
        ],
        request_count: 1_200,
        rate_per_s: Some(150.0),
        worker_count: 64,
        deadline: Duration::from_secs(3),
        seed: 7,
    }
}

/// Returns how often the servers ran each request, and checks that none of them saw a key.
fn run_counts(fleet: &Fleet) -> HashMap<RequestId, u64> {
    let mut runs = HashMap::new();
    for vm in &fleet.vms {
        let answer = send_request(vm.server.address("listening"), "GET", "/ran", None);
        let report: RanReport = serde_json::from_value(answer.body).expect("the server's report");
        assert_eq!(report.keys_seen_count, 0, "a server saw a key");
        for (request, count) in report.runs {
            *runs.entry(parse_id(&request).expect("an id")).or_default() += count;
        }
    }
    runs
}

/// Sets the faults of the platform's log, as JSON.
fn put_log_faults(fleet: &Fleet, faults: &str) {
    let url = format!("http://{}/faults", fleet.log.address("listening"));
    let response = attohttpc::put(url)
        .text(faults)
        .send()
        .expect("the log answers");
    assert!(response.is_success());
}

/// Sends the load to these entries while `fail` runs, and compares the answers with the servers'
/// run counts.
fn load_while(fleet: &Fleet, entries: &[usize], fail: impl FnOnce() + Send) -> LoadReport {
    let fronts = entries
        .iter()
        .map(|index| fleet.vms[*index].daemon.address("front"))
        .collect();
    let plan = load_plan(fronts);
    let mut report = std::thread::scope(|scope| {
        scope.spawn(fail);
        duty::run(&plan)
    });
    report.compare_with_runs(&run_counts(fleet));
    report
}

fn sleep_ms(duration_ms: u64) {
    std::thread::sleep(Duration::from_millis(duration_ms));
}

#[test]
fn answers_match_server_runs_while_daemons_are_killed_and_paused() {
    // Arrange
    let fleet = start_fleet("killed");

    // Act
    let report = load_while(&fleet, &[0, 1, 2], || {
        sleep_ms(1_500);
        fleet.vms[5].daemon.signal("KILL");
        sleep_ms(1_500);
        fleet.vms[4].daemon.signal("STOP");
        sleep_ms(2_500);
        fleet.vms[4].daemon.signal("CONT");
    });

    // Assert
    assert!(report.is_consistent(), "{:?}", report.problems);
    assert!(report.answered_count() > 0);
}

#[test]
fn answers_match_server_runs_while_the_log_is_down_and_an_entry_is_paused() {
    // Arrange
    let fleet = start_fleet("log-away");

    // Act
    let report = load_while(&fleet, &[0, 1, 2], || {
        put_log_faults(&fleet, r#"{"down": true}"#);
        sleep_ms(2_000);
        fleet.vms[1].daemon.signal("STOP");
        sleep_ms(2_000);
        fleet.vms[1].daemon.signal("CONT");
        put_log_faults(&fleet, r#"{"slow_ms": 300, "lost_answers_count": 3}"#);
        sleep_ms(2_000);
        put_log_faults(&fleet, "{}");
    });

    // Assert
    assert!(report.is_consistent(), "{:?}", report.problems);
    assert!(report.answered_count() > 0);
}

#[test]
fn repeatable_request_is_answered_while_a_daemon_is_paused() {
    // Arrange
    let fleet = start_fleet("frozen");
    fleet.vms[4].daemon.signal("STOP");
    let url = format!("http://{}/sheets/7", fleet.vms[0].daemon.address("front"));

    // Act
    let mut failed = Vec::new();
    for _ in 0..40 {
        let request = attohttpc::get(&url)
            .bearer_auth("key-1")
            .header("x-deadline-ms", "6000");
        let response = request.send().expect("the front answers");
        if !response.is_success() {
            failed.push(response.text().expect("the answer is text"));
        }
    }
    fleet.vms[4].daemon.signal("CONT");

    // Assert
    assert!(failed.is_empty(), "{failed:?}");
}
