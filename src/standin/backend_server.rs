//! A backend server: answers requests after a while, announces itself, and fails as told.
//!
//! `PUT /faults` with a `ServerFaults` changes how it fails; `GET /ran` lists what it ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use attohttpc::Method as ClientMethod;
use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request, Response, Server};

use crate::guard::Announcement;
use crate::ring::spawn_duty;
use crate::types::{BackendServerId, ServiceId};
use crate::wire::forward;
use crate::wire::http::client;

/// What a stand-in server is.
#[derive(Debug, Clone)]
pub struct BackendServerOptions {
    /// Its name.
    pub server: BackendServerId,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where the daemon beside it takes announcements.
    pub announce_address: SocketAddr,
    /// Its slots.
    pub slots_count: u32,
    /// How long a request takes.
    pub work: Duration,
}

/// How the stand-in fails.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerFaults {
    /// Answers every n-th request with 500; 0 for none.
    pub error_every_count: u64,
    /// Adds this to the work of each request, in milliseconds.
    pub slow_ms: u64,
    /// Takes requests and never answers.
    pub silent: bool,
    /// Says that it is cold.
    pub cold: bool,
    /// Stops announcing itself.
    pub unannounced: bool,
}

/// What a server saw and did; the truth that tests compare with.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct RanReport {
    /// Runs by request id.
    pub runs: BTreeMap<String, u64>,
    /// Most requests at once.
    pub peak_count: u64,
    /// Requests that carried an `authorization` header; must stay 0.
    pub keys_seen_count: u64,
}

#[derive(Default)]
struct Shared {
    faults: Mutex<ServerFaults>,
    ran: Mutex<RanReport>,
    running_count: AtomicU64,
    served_count: AtomicU64,
}

/// A running stand-in. It ends with its process.
pub struct BackendServerStandin {
    /// Where it listens.
    pub address: SocketAddr,
}

/// Starts the stand-in.
pub fn start(options: &BackendServerOptions) -> eyre::Result<BackendServerStandin> {
    let server = Arc::new(Server::http(options.address).map_err(|error| eyre::eyre!("{error}"))?);
    let address = server
        .server_addr()
        .to_ip()
        .expect("a TCP listener has an IP address");
    let shared = Arc::new(Shared::default());
    for index in 0..WORKER_COUNT {
        let server = server.clone();
        let shared = shared.clone();
        let options = options.clone();
        spawn_duty(&format!("server-{index}"), move || {
            while let Ok(request) = server.recv() {
                answer(&shared, &options, request);
            }
        });
    }
    let options = BackendServerOptions {
        address,
        ..options.clone()
    };
    spawn_duty("server-announce", move || announce(&shared, &options));
    Ok(BackendServerStandin { address })
}

const WORKER_COUNT: usize = 32;
const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
const SILENCE: Duration = Duration::from_secs(60);

fn announce(shared: &Shared, options: &BackendServerOptions) {
    let url = format!("http://{}/announce", options.announce_address);
    loop {
        let faults = shared.faults.lock().expect("no panic while locked").clone();
        let announcement = Announcement {
            server: options.server.clone(),
            service: options.service.clone(),
            address: options.address,
            slots_count: options.slots_count,
            cold: faults.cold,
            ..Default::default()
        };
        if !faults.unannounced {
            let body = serde_json::to_string(&announcement).expect("plain values become JSON");
            // A daemon that is not up yet hears the next announcement.
            let _ = client(ClientMethod::POST, &url, ANNOUNCE_TIMEOUT, ANNOUNCE_TIMEOUT)
                .text(body)
                .send();
        }
        std::thread::sleep(ANNOUNCE_EVERY);
    }
}

fn answer(shared: &Shared, options: &BackendServerOptions, mut request: Request) {
    let mut body = Vec::new();
    let length = request.body_length();
    let read = std::io::copy(request.as_reader(), &mut CountingSink(&mut body)).unwrap_or(0);
    if request.url() == "/faults" && *request.method() == Method::Put {
        return set_faults(shared, request, &body);
    }
    if request.url() == "/ran" {
        let ran = shared.ran.lock().expect("no panic while locked").clone();
        return respond(
            request,
            200,
            serde_json::to_string(&ran).expect("plain values become JSON"),
        );
    }
    if length.is_some_and(|length| length as u64 != read) {
        return respond(request, 400, "short body".to_owned());
    }
    run(shared, options, request, read);
}

/// Keeps the first bytes of a body, enough for control requests, and counts the rest.
struct CountingSink<'a>(&'a mut Vec<u8>);

impl std::io::Write for CountingSink<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let room = CONTROL_BODY_BYTES.saturating_sub(self.0.len());
        self.0.extend_from_slice(&bytes[..room.min(bytes.len())]);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

const CONTROL_BODY_BYTES: usize = 4096;

fn run(shared: &Shared, options: &BackendServerOptions, request: Request, body_bytes: u64) {
    let id = header(&request, forward::REQUEST).unwrap_or_default();
    let organisation = header(&request, forward::ORGANISATION).unwrap_or_default();
    let running = shared.running_count.fetch_add(1, Ordering::SeqCst) + 1;
    let served = shared.served_count.fetch_add(1, Ordering::SeqCst) + 1;
    let mut ran = shared.ran.lock().expect("no panic while locked");
    *ran.runs.entry(id.clone()).or_default() += 1;
    ran.peak_count = ran.peak_count.max(running);
    ran.keys_seen_count += u64::from(header(&request, "authorization").is_some());
    drop(ran);
    let faults = shared.faults.lock().expect("no panic while locked").clone();
    if faults.silent {
        std::thread::sleep(SILENCE);
    }
    std::thread::sleep(options.work + Duration::from_millis(faults.slow_ms));
    shared.running_count.fetch_sub(1, Ordering::SeqCst);
    if faults.error_every_count > 0 && served % faults.error_every_count == 0 {
        return respond(request, 500, "failed".to_owned());
    }
    let answer = serde_json::json!({
        "server": &*options.server,
        "request": id,
        "organisation": organisation,
        "path": request.url(),
        "body_bytes": body_bytes,
    });
    respond(request, 200, answer.to_string());
}

fn header(request: &Request, name: &str) -> Option<String> {
    let mut headers = request.headers().iter();
    let found = headers.find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))?;
    Some(found.value.to_string())
}

fn set_faults(shared: &Shared, request: Request, body: &[u8]) {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            *shared.faults.lock().expect("no panic while locked") = faults;
            respond(request, 200, "{}".to_owned());
        }
        Err(error) => respond(request, 400, error.to_string()),
    }
}

fn respond(request: Request, status: u16, body: String) {
    // A caller that left has nothing to be told.
    let _ = request.respond(Response::from_string(body).with_status_code(status));
}
