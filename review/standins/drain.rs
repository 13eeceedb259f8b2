//! A server leaves, and the daemon that has acknowledged it is killed and starts again.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::http::call;
use crate::store::Store;
use crate::world::{Daemon, Log, Server};
use crate::Verdict;

/// Daemons and servers of the deployment.
const DAEMON_COUNT: usize = 4;
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(150);
/// Clients, all at machines other than that of the leaving server.
const CLIENT_COUNT: usize = 12;
/// Time between two heartbeats of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// `drain_ms` of the deployment.
const DRAIN_S: f64 = 2.0;
/// `stability_window_ms` of the deployment.
const STABILITY_S: f64 = 3.0;
/// When the server exits, after it has said that it leaves.
const EXIT_AFTER_S: f64 = 9.0;
/// When its two late heartbeats arrive, after it has said that it leaves. They were made 1.5 s and
/// just before, so they are 2.7 s and 1.7 s late.
const LATE_AFTER_S: [f64; 2] = [1.2, 1.7];

/// The configuration: one service, one route whose requests run once at most.
const CONFIGURATION: &str = r#"{"version":1,"services":[{"name":"desk","health_path":"/healthz",
"max_connections":330,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":1000.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,
"idle_timeout_ms":15000},"tenants":[{"name":"opticians","api_keys":["key-of-opticians"],
"priority":1,"rate_per_s":10000,"burst":10000}],"hosts":[{"host":"desk.example","paths":[
{"name":"orders","path_prefix":"/orders/","type":"non_idempotent","timeout_ms":5000,
"target_latency_ms":1500,"priority":1,"service":"desk","max_attempts":2,"public":false}]}]}"#;

/// Plays the case.
pub fn play(log: &Arc<Log>, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("keyed.op", "config", CONFIGURATION);
    let mut servers = Vec::new();
    let mut daemons = Vec::new();
    for index in 0..DAEMON_COUNT {
        let server = Server::start(&format!("i-{index}"), "desk", WORK, log);
        let name = format!("daemon-{index}");
        daemons.push(Daemon::start(
            folder,
            &name,
            "zone-a",
            &store.address,
            &server,
        ));
        servers.push(server);
    }
    for daemon in &daemons {
        if !daemon.wait_ready(Duration::from_secs(10)) {
            return Verdict::NotRun(format!("{} isn't ready", daemon.name));
        }
    }
    let leaving = servers[0].clone();
    let leaves = Arc::new(AtomicBool::new(false));
    for (index, server) in servers.iter().enumerate() {
        let (server, control) = (server.clone(), daemons[index].control.clone());
        let leaves = leaves.clone();
        std::thread::spawn(move || loop {
            let _ = call(&control, &server.heartbeat(), Duration::from_secs(1));
            std::thread::sleep(HEARTBEAT);
            if index == 0 && leaves.load(Ordering::Relaxed) {
                return;
            }
        });
    }
    std::thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(log, &daemons[1..], &stop);
    std::thread::sleep(Duration::from_secs(3));

    // The last two heartbeats are on their way for longer than the deregistration.
    leaves.store(true, Ordering::Relaxed);
    std::thread::sleep(HEARTBEAT);
    let first_late = leaving.heartbeat();
    std::thread::sleep(HEARTBEAT);
    let second_late = leaving.heartbeat();
    leaving.healthy.store(false, Ordering::Relaxed);
    let control = daemons[0].control.clone();
    let told = call(&control, &leaving.deregistration(), Duration::from_secs(1));
    let acknowledged_s = log.now_s();
    if !told.is_ok_and(|answer| answer.status() == 200) {
        return Verdict::NotRun("the deregistration was not acknowledged".to_owned());
    }
    log.line("server i-0 says that it leaves, and daemon-0 acknowledges it");
    let until = |after_s: f64| {
        let left_s = acknowledged_s + after_s - log.now_s();
        std::thread::sleep(Duration::from_secs_f64(left_s.max(0.0)));
    };
    let mut back_s = acknowledged_s;
    if trouble {
        until(0.3);
        daemons[0].kill();
        daemons[0].run();
        if !daemons[0].wait_ready(Duration::from_secs(5)) {
            return Verdict::NotRun("the killed daemon isn't ready again".to_owned());
        }
        back_s = log.now_s();
        log.line("daemon-0 was killed and is back");
    }
    for (late, after_s) in [first_late, second_late].into_iter().zip(LATE_AFTER_S) {
        until(after_s);
        let answer = call(&control, &late, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        log.line(&format!("a late heartbeat of i-0 arrives: {status}"));
    }
    until(EXIT_AFTER_S);
    leaving.exit();
    log.line("server i-0 exits");
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    // Requests that reached the server later than `drain_ms`, while all machines were in touch.
    let from_s = (acknowledged_s + DRAIN_S).max(back_s + STABILITY_S);
    let runs = leaving.runs.lock().expect("no panic while locked");
    let before_count = runs.iter().filter(|run| run.at_s < acknowledged_s).count();
    let after: Vec<_> = runs.iter().filter(|run| run.at_s > from_s).collect();
    let cut_count = after.iter().filter(|run| run.cut).count();
    log.line(&format!(
        "{} requests reached i-0 before it left, and {} from {from_s:.3} s on; {cut_count} of \
         these were lost when it exited",
        before_count,
        after.len(),
    ));
    match (before_count, after.is_empty()) {
        (0, _) => Verdict::NotRun("no request reached the server before it left".to_owned()),
        (_, true) => Verdict::Held,
        (_, false) => Verdict::Broken,
    }
}

/// Starts clients that send orders one after the other, spread over the daemons.
fn start_clients(
    log: &Arc<Log>,
    daemons: &[Daemon],
    stop: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<()>> {
    let next = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for index in 0..CLIENT_COUNT {
        let outbound = daemons[index % daemons.len()].outbound.clone();
        let (log, stop, next) = (log.clone(), stop.clone(), next.clone());
        clients.push(std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let id = format!("{:016x}", next.fetch_add(1, Ordering::Relaxed));
                let request = format!(
                    "POST /orders/new HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
                     Deadline-Ms: 10000\r\nAuthorization: Bearer key-of-opticians\r\n\
                     Content-Length: 5\r\n\r\norder"
                );
                log.line(&format!("client sends {id}"));
                let answer = call(&outbound, request.as_bytes(), Duration::from_secs(12));
                let status = answer.map_or(0, |answer| answer.status());
                log.line(&format!("client gets {status} for {id}"));
                std::thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    clients
}
