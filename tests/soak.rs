//! Randomized soak test: the real binary as separate processes, faults injected from outside, and
//! the guarantees to callers checked against what callers and servers observed.
//!
//! `SOAK_SEEDS=FROM-TO` runs other seeds than those of CI. A seed that ever failed stays in `SEEDS`
//! with a line on its cause. `SOAK_LOGS=DIRECTORY` saves there the output of each process, each
//! fault and each order with its answer.

mod support;

#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/readers.rs"]
mod readers;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fleet::SoakFleet;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use readers::{read_sheets, ReaderReport};
use serde_json::json;
use support::logs::{append_notes, now_ms};

/// Seeds that CI runs.
const SEEDS: &[u64] = &[1, 2];
/// Number of threads that send orders.
const CALLER_COUNT: u64 = 4;
/// Number of threads that read on kept connections.
const READER_COUNT: u64 = 2;
/// Number of faults that are injected for each seed, one after the other.
const FAULT_COUNT: usize = 10;
/// Deadline of each order.
const DEADLINE_MS: u64 = 1_500;
/// Time after which a caller gives up its connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// An order and the answer that its caller got.
#[derive(Debug)]
struct Told {
    path: String,
    /// HTTP status and `x-banyanbeam-ran` header; none where the connection ended without answer.
    answer: Option<(u16, String)>,
}

/// Returns the seeds of `SOAK_SEEDS`, or those of CI.
fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (from, to) = range.split_once('-').expect("SOAK_SEEDS is FROM-TO");
    let number = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS holds numbers");
    (number(from)..=number(to)).collect()
}

/// Sends one order; returns status, `x-banyanbeam-ran` header and refusal kind of its answer.
fn send_order(front: SocketAddr, path: &str) -> Option<(u16, String, String)> {
    let response = attohttpc::post(format!("http://{front}{path}"))
        .bearer_auth("key-1")
        .header("x-deadline-ms", DEADLINE_MS.to_string())
        .timeout(ANSWER_TIMEOUT)
        .text("one hinge")
        .send()
        .ok()?;
    let ran = response.headers().get("x-banyanbeam-ran");
    let ran = ran.and_then(|value| value.to_str().ok());
    let ran = ran.unwrap_or_default().to_owned();
    let status = response.status().as_u16();
    let text = response.text().unwrap_or_default();
    Some((status, ran, refusal_kind(&text)))
}

/// Returns the kind of refusal that a body states; empty where a server answered.
fn refusal_kind(body: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    body["kind"].as_str().unwrap_or_default().to_owned()
}

/// Sends orders to entries drawn at random until `stop` is set.
fn run_caller(caller: u64, seed: u64, fronts: &[SocketAddr], stop: &AtomicBool) -> Vec<Told> {
    let mut random = ChaCha8Rng::seed_from_u64(seed * CALLER_COUNT + caller);
    let mut orders = Vec::new();
    let mut notes = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let front = *fronts.choose(&mut random).expect("entries");
        let path = format!("/orders/{seed}-{caller}-{}", orders.len());
        let from_ms = now_ms();
        let answer = send_order(front, &path);
        let to_ms = now_ms();
        let line = json!({
            "from_ms": from_ms, "to_ms": to_ms, "front": front, "path": path, "answer": answer,
        });
        notes.push(line.to_string());
        let answer = answer.map(|(status, ran, _)| (status, ran));
        orders.push(Told { path, answer });
        thread::sleep(Duration::from_millis(random.random_range(0..10)));
    }
    append_notes("calls", &notes.join("\n"));
    orders
}

/// Runs one seed; returns the orders with their answers, the run count of each path, and the
/// reports of the readers.
fn run_seed(seed: u64) -> (Vec<Told>, BTreeMap<String, u64>, Vec<ReaderReport>) {
    let mut fleet = SoakFleet::start(&format!("soak-{seed}"));
    append_notes("fronts", &json!(fleet.fronts()).to_string());
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let (fronts, stop) = (fleet.fronts(), stop.clone());
            thread::spawn(move || run_caller(caller, seed, &fronts, &stop))
        })
        .collect();
    let readers: Vec<_> = (0..READER_COUNT)
        .map(|reader| {
            let (fronts, stop) = (fleet.fronts(), stop.clone());
            let seed = seed * READER_COUNT + reader;
            thread::spawn(move || read_sheets(seed, &fronts, &stop))
        })
        .collect();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..FAULT_COUNT {
        fleet.inject_fault(&mut random);
        thread::sleep(Duration::from_millis(random.random_range(0..300)));
    }
    fleet.wait_for_all();
    stop.store(true, Ordering::Relaxed);
    let answers = callers.into_iter();
    let orders = answers
        .flat_map(|caller| caller.join().expect("a caller"))
        .collect();
    let readers = readers.into_iter();
    let reports = readers
        .map(|reader| reader.join().expect("a reader"))
        .collect();
    thread::sleep(Duration::from_millis(DEADLINE_MS));
    let mut runs = BTreeMap::new();
    for report in fleet.run_reports() {
        for (path, count) in report.runs_by_path {
            *runs.entry(path).or_default() += count;
        }
    }
    (orders, runs, reports)
}

/// Returns the guarantee that an order violates, given how often it ran.
fn violated_guarantee(order: &Told, run_count: u64) -> Option<&'static str> {
    match (&order.answer, run_count) {
        (_, 2..) => Some("ran more than once"),
        (Some((_, ran)), 1) if ran == "no" => Some("was told not to have run, and ran"),
        (Some((200, _)), 0) => Some("was answered with success, and never ran"),
        _ => None,
    }
}

#[test]
fn random_faults_cause_no_repeated_run_and_no_false_answer() {
    for seed in seeds() {
        let (orders, runs, reports) = run_seed(seed);
        for report in &reports {
            assert!(report.foreign.is_empty(), "seed {seed}: {report:?}");
            assert!(report.served_count > 0, "seed {seed}: no sheet was served");
        }
        let mut served_count = 0;
        for order in &orders {
            let run_count = runs.get(&order.path).copied().unwrap_or(0);
            let problem = violated_guarantee(order, run_count);
            assert_eq!(
                problem, None,
                "seed {seed}: {order:?} ran {run_count} times"
            );
            served_count += usize::from(matches!(order.answer, Some((200, _))));
        }
        println!(
            "seed {seed}: {served_count} of {} orders served",
            orders.len()
        );
        assert!(
            served_count * 4 >= orders.len(),
            "seed {seed}: most orders failed"
        );
    }
}
