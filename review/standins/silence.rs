//! All open connections to the store go silent, and a second later a version of the configuration
//! withdraws a key and drops a route.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::call;
use crate::relay::Relay;
use crate::store::Store;
use crate::world::{Daemon, Log, Server};
use crate::Verdict;

/// Daemons and servers of the deployment.
const DAEMON_COUNT: usize = 4;
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(20);
/// Time between two heartbeats of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// `config_apply_ms` of the deployment.
const CONFIG_APPLY_S: f64 = 2.0;
/// `stability_window_ms` of the deployment.
const STABILITY_S: f64 = 3.0;
/// How long after the first change the connections go silent.
const SILENT_AFTER: Duration = Duration::from_millis(300);
/// How long after that the key is withdrawn and the route dropped.
const WITHDRAWN_AFTER: Duration = Duration::from_millis(1_000);
/// How long both are used after that.
const USED_FOR_S: f64 = 8.0;
/// The key that is withdrawn.
const WITHDRAWN_KEY: &str = "second-key";
/// The key that stays.
const KEPT_KEY: &str = "first-key";

/// A route of the configuration, whose requests run once at most.
fn route(name: &str, timeout_ms: u32) -> String {
    format!(
        r#"{{"name":"{name}","path_prefix":"/{name}/","type":"non_idempotent",
"timeout_ms":{timeout_ms},"target_latency_ms":1500,"priority":1,"service":"desk",
"max_attempts":2,"public":false}}"#
    )
}

/// Returns a configuration with these keys and routes.
fn configuration(version: u32, keys: &str, routes: &str) -> String {
    format!(
        r#"{{"version":{version},"services":[{{"name":"desk","health_path":"/healthz",
"max_connections":330,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":1000.0}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,
"idle_timeout_ms":15000}},"tenants":[{{"name":"opticians","api_keys":[{keys}],
"priority":1,"rate_per_s":10000,"burst":10000}}],"hosts":[{{"host":"desk.example",
"paths":[{routes}]}}]}}"#
    )
}

/// What a request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Use {
    /// A route and a key that stay.
    Kept,
    /// The key that is withdrawn.
    WithdrawnKey,
    /// The route that is dropped.
    DroppedRoute,
}

/// A request of a client.
struct Sent {
    /// Seconds since the start.
    at_s: f64,
    /// What it uses.
    uses: Use,
    /// Status of the answer; 0 if there was none.
    status: u16,
    /// Id of the request.
    request: String,
}

/// Plays the case.
pub fn play(log: &Arc<Log>, folder: &Path, trouble: bool) -> Verdict {
    let both = format!("\"{KEPT_KEY}\",\"{WITHDRAWN_KEY}\"");
    let store = Store::start();
    let routes = |timeout_ms| format!("{},{}", route("orders", timeout_ms), route("notes", 4_000));
    let first = configuration(1, &both, &routes(5_000));
    store.put("keyed.op", "config", &first);
    let relay = Relay::start(&store.address);
    let mut servers = Vec::new();
    let mut daemons = Vec::new();
    for index in 0..DAEMON_COUNT {
        let server = Server::start(&format!("i-{index}"), "desk", WORK, log);
        let name = format!("daemon-{index}");
        daemons.push(Daemon::start(
            folder,
            &name,
            "zone-a",
            &relay.address,
            &server,
        ));
        servers.push(server);
    }
    for daemon in &daemons {
        if !daemon.wait_ready(Duration::from_secs(10)) {
            return Verdict::NotRun(format!("{} isn't ready", daemon.name));
        }
    }
    for (server, daemon) in servers.iter().zip(&daemons) {
        let (server, control) = (server.clone(), daemon.control.clone());
        std::thread::spawn(move || loop {
            let _ = call(&control, &server.heartbeat(), Duration::from_secs(1));
            std::thread::sleep(HEARTBEAT);
        });
    }
    std::thread::sleep(Duration::from_secs(4));

    let second = configuration(2, &both, &routes(4_000));
    store.put("keyed.op", "config", &second);
    log.line("the store acknowledges version 2, which changes a time-out");
    std::thread::sleep(SILENT_AFTER);
    let silent_s = log.now_s();
    if trouble {
        relay.silence();
        log.line("all open connections to the store go silent; new ones work");
    }
    std::thread::sleep(WITHDRAWN_AFTER);
    let third = configuration(3, &format!("\"{KEPT_KEY}\""), &route("orders", 4_000));
    store.put("keyed.op", "config", &third);
    let withdrawn_s = log.now_s();
    log.line("the store acknowledges version 3: no second key, no route notes");

    let sent = use_keys(log, &daemons, withdrawn_s + USED_FOR_S);
    std::thread::sleep(Duration::from_secs(1));
    let mut run = std::collections::HashSet::new();
    for server in &servers {
        let runs = server.runs.lock().expect("no panic while locked");
        run.extend(runs.iter().map(|run| run.request.clone()));
    }
    // Requests that were sent later than `config_apply_ms`, while all machines were in touch.
    let from_s = (withdrawn_s + CONFIG_APPLY_S).max(silent_s + STABILITY_S);
    let late_ones = |uses: Use| {
        let late = move |sent: &&Sent| sent.uses == uses && sent.at_s > from_s;
        let late = sent.iter().filter(late);
        late.filter(|sent| run.contains(&sent.request))
            .collect::<Vec<_>>()
    };
    let mut late_count = 0;
    for uses in [Use::WithdrawnKey, Use::DroppedRoute] {
        let late = late_ones(uses);
        late_count += late.len();
        let last_s = late
            .iter()
            .map(|sent| sent.at_s)
            .fold(withdrawn_s, f64::max);
        log.line(&format!(
            "{uses:?}: {} requests that were sent from {from_s:.3} s on have run, the last one sent \
             {:.3} s after the acknowledgement",
            late.len(),
            last_s - withdrawn_s,
        ));
    }
    let kept = sent.iter().filter(|sent| sent.uses == Use::Kept);
    let served_count = kept.filter(|sent| sent.status == 200).count();
    log.line(&format!("Kept: {served_count} requests were served"));
    match (served_count, late_count) {
        (0, _) => Verdict::NotRun("no request that stays allowed was served".to_owned()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends requests of each kind to all daemons until a time.
fn use_keys(log: &Arc<Log>, daemons: &[Daemon], until_s: f64) -> Vec<Sent> {
    let sent = Arc::new(Mutex::new(Vec::new()));
    let next = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for daemon in daemons {
        for uses in [Use::Kept, Use::WithdrawnKey, Use::DroppedRoute] {
            let outbound = daemon.outbound.clone();
            let (log, next, sent) = (log.clone(), next.clone(), sent.clone());
            clients.push(std::thread::spawn(move || {
                let (key, path) = match uses {
                    Use::Kept => (KEPT_KEY, "orders"),
                    Use::WithdrawnKey => (WITHDRAWN_KEY, "orders"),
                    Use::DroppedRoute => (KEPT_KEY, "notes"),
                };
                while log.now_s() < until_s {
                    let request = format!("{:016x}", next.fetch_add(1, Ordering::Relaxed));
                    let bytes = format!(
                        "POST /{path}/new HTTP/1.1\r\nHost: desk.example\r\n\
                         Request-Id: {request}\r\nDeadline-Ms: 10000\r\n\
                         Authorization: Bearer {key}\r\nContent-Length: 5\r\n\r\norder"
                    );
                    let at_s = log.now_s();
                    log.line(&format!("client sends {request} ({uses:?})"));
                    let answer = call(&outbound, bytes.as_bytes(), Duration::from_secs(12));
                    let status = answer.map_or(0, |answer| answer.status());
                    log.line(&format!("client gets {status} for {request}"));
                    let one = Sent {
                        at_s,
                        uses,
                        status,
                        request,
                    };
                    sent.lock().expect("no panic while locked").push(one);
                    std::thread::sleep(Duration::from_millis(100));
                }
            }));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let mut sent = sent.lock().expect("no panic while locked");
    std::mem::take(&mut *sent)
}
