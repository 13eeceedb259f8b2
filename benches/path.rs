//! Measures the latency that the path through a daemon adds. Run with `cargo bench --bench path`.
//!
//! Separate processes on loopback: the platform's log, one daemon, one backend server, and this
//! process as the caller. Prints a table and checks nothing.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use banyanbeam::load::{duty, LoadPlan, LoadReport, LoadRequest};
use support::*;

/// Number of requests without a body in each run.
const REQUEST_COUNT: u64 = 2_000;
/// Number of uploads in each run.
const UPLOAD_COUNT: u64 = 500;
/// Length of the body of each upload.
const UPLOAD_BYTES: u64 = 256 * 1024;

/// Returns a plan that sends `GET` requests to a front, or directly to a server.
fn load_plan(
    front: SocketAddr,
    direct: bool,
    worker_count: usize,
    rate_per_s: Option<f64>,
) -> LoadPlan {
    LoadPlan {
        fronts: vec![front],
        direct,
        mix: vec![LoadRequest {
            organisation: "optician-1".into(),
            service: "workshop".into(),
            key: "key-1".to_owned(),
            method: "GET".to_owned(),
            target: "/sheets/7".to_owned(),
            body_bytes: 0,
            repeatable: true,
        }],
        request_count: REQUEST_COUNT,
        rate_per_s,
        worker_count,
        deadline: Duration::from_secs(5),
        seed: 1,
    }
}

/// Prints the counts, latencies and rate of one run.
fn print_row(name: &str, report: &LoadReport) {
    let elapsed_us = report.elapsed_us();
    let ms = |quantile| elapsed_us.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{name:32} {:6} sent {:6} whole p50 {:7.3} ms p90 {:7.3} p99 {:7.3} p99.9 {:7.3} {:8.0} a second",
        report.sent_count(),
        elapsed_us.len(),
        ms(0.5),
        ms(0.9),
        ms(0.99),
        ms(0.999),
        report.sent_count() as f64 / report.elapsed.as_secs_f64(),
    );
}

fn main() {
    let log = start_log();
    let log_address = log.address("listening");
    let mut settings = settings("bench", "north", log_address);
    settings.log.level = "warn".to_owned();
    let daemon = start_daemon(&settings);
    let server = start_server("server-1", "workshop", &daemon);
    publish_test_contracts(log_address);
    let front = daemon.address("front");
    let direct = server.address("listening");
    send_until_status(front, "/sheets/7", Some("key-1"), 200);
    let upload = |front, direct| {
        let mut upload = load_plan(front, direct, 1, None);
        upload.request_count = UPLOAD_COUNT;
        upload.mix[0].method = "POST".to_owned();
        upload.mix[0].target = "/orders/7".to_owned();
        upload.mix[0].body_bytes = UPLOAD_BYTES;
        upload
    };
    print_row(
        "direct, uploads of 256 KB",
        &duty::run(&upload(direct, true)),
    );
    print_row(
        "through one daemon, uploads",
        &duty::run(&upload(front, false)),
    );
    for (name, worker_count, rate_per_s) in [
        ("one at a time", 1, None),
        ("four at a time", 4, None),
        ("300 a second", 32, Some(300.0)),
        ("600 a second", 32, Some(600.0)),
    ] {
        print_row(
            &format!("direct, {name}"),
            &duty::run(&load_plan(direct, true, worker_count, rate_per_s)),
        );
        print_row(
            &format!("through one daemon, {name}"),
            &duty::run(&load_plan(front, false, worker_count, rate_per_s)),
        );
    }
}
