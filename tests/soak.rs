//! A randomized soak: the real programs as separate processes, faults from outside them, and the
//! promises checked by what callers and servers saw.
//!
//! `SOAK_SEEDS=FROM-TO` plays other seeds than those of CI. A seed that ever failed stays in `SEEDS`
//! with a line on its cause. `SOAK_LOGS=DIRECTORY` keeps there what each process printed, each harm
//! and each order with its answer.

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
use support::logs::{note, now_ms};

/// Seeds that CI plays.
const SEEDS: &[u64] = &[1, 2];
const CALLER_COUNT: u64 = 4;
const READER_COUNT: u64 = 2;
const HARM_COUNT: usize = 10;
const DEADLINE_MS: u64 = 1_500;
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// What a caller was told of one order.
#[derive(Debug)]
struct Told {
    path: String,
    /// None where the connection ended without an answer.
    answer: Option<(u16, String)>,
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (from, to) = range.split_once('-').expect("SOAK_SEEDS is FROM-TO");
    let number = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS holds numbers");
    (number(from)..=number(to)).collect()
}

fn order(front: SocketAddr, path: &str) -> Option<(u16, String, String)> {
    let response = attohttpc::post(format!("http://{front}{path}"))
        .bearer_auth("key-1")
        .header("x-deadline-ms", DEADLINE_MS.to_string())
        .timeout(ANSWER_LIMIT)
        .text("one hinge")
        .send()
        .ok()?;
    let ran = response.headers().get("x-banyanbeam-ran");
    let ran = ran.and_then(|value| value.to_str().ok());
    let ran = ran.unwrap_or_default().to_owned();
    let status = response.status().as_u16();
    let text = response.text().unwrap_or_default();
    Some((status, ran, kind(&text)))
}

/// The kind of refusal that a body names; empty where a server answered.
fn kind(body: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    body["kind"].as_str().unwrap_or_default().to_owned()
}

fn call(caller: u64, seed: u64, fronts: &[SocketAddr], stop: &AtomicBool) -> Vec<Told> {
    let mut random = ChaCha8Rng::seed_from_u64(seed * CALLER_COUNT + caller);
    let mut told = Vec::new();
    let mut notes = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let front = *fronts.choose(&mut random).expect("entries");
        let path = format!("/orders/{seed}-{caller}-{}", told.len());
        let from_ms = now_ms();
        let answer = order(front, &path);
        let to_ms = now_ms();
        let line = json!({
            "from_ms": from_ms, "to_ms": to_ms, "front": front, "path": path, "answer": answer,
        });
        notes.push(line.to_string());
        let answer = answer.map(|(status, ran, _)| (status, ran));
        told.push(Told { path, answer });
        thread::sleep(Duration::from_millis(random.random_range(0..10)));
    }
    note("calls", &notes.join("\n"));
    told
}

/// Plays one seed; gives what callers were told, how often each path ran, and what readers saw.
fn play(seed: u64) -> (Vec<Told>, BTreeMap<String, u64>, Vec<ReaderReport>) {
    let mut fleet = SoakFleet::start(&format!("soak-{seed}"));
    note("fronts", &json!(fleet.fronts()).to_string());
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let (fronts, stop) = (fleet.fronts(), stop.clone());
            thread::spawn(move || call(caller, seed, &fronts, &stop))
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
    for _ in 0..HARM_COUNT {
        fleet.harm(&mut random);
        thread::sleep(Duration::from_millis(random.random_range(0..300)));
    }
    fleet.wait_for_all();
    stop.store(true, Ordering::Relaxed);
    let answers = callers.into_iter();
    let told = answers
        .flat_map(|caller| caller.join().expect("a caller"))
        .collect();
    let readers = readers.into_iter();
    let reports = readers
        .map(|reader| reader.join().expect("a reader"))
        .collect();
    thread::sleep(Duration::from_millis(DEADLINE_MS));
    let mut runs = BTreeMap::new();
    for report in fleet.ran() {
        for (path, count) in report.runs_by_path {
            *runs.entry(path).or_default() += count;
        }
    }
    (told, runs, reports)
}

fn broken(told: &Told, run_count: u64) -> Option<&'static str> {
    match (&told.answer, run_count) {
        (_, 2..) => Some("ran more than once"),
        (Some((_, ran)), 1) if ran == "no" => Some("was told not to have run, and ran"),
        (Some((200, _)), 0) => Some("was answered with success, and never ran"),
        _ => None,
    }
}

#[test]
fn whatever_is_killed_paused_or_cut_off_the_answers_stay_true() {
    for seed in seeds() {
        let (told, runs, reports) = play(seed);
        for report in &reports {
            assert!(report.foreign.is_empty(), "seed {seed}: {report:?}");
            assert!(report.served_count > 0, "seed {seed}: no sheet was served");
        }
        let mut served_count = 0;
        for told in &told {
            let run_count = runs.get(&told.path).copied().unwrap_or(0);
            let problem = broken(told, run_count);
            assert_eq!(problem, None, "seed {seed}: {told:?} ran {run_count} times");
            served_count += usize::from(matches!(told.answer, Some((200, _))));
        }
        println!(
            "seed {seed}: {served_count} of {} orders served",
            told.len()
        );
        assert!(
            served_count * 4 >= told.len(),
            "seed {seed}: most orders failed"
        );
    }
}
