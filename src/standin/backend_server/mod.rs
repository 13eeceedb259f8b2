//! Stand-in backend server: answers requests after a set time, announces itself, and fails as
//! configured.
//!
//! `PUT /faults` with a `ServerFaults` changes how it fails; `GET /ran` lists what it ran; `DELETE
//! /banyanbeam/requests/ID` ends a run whose caller left.

mod faults;
mod run;

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use attohttpc::Method as ClientMethod;
use crossbeam::channel::{bounded, Sender};
use tiny_http::{Method, Request, Server};

pub use faults::{RanReport, ServerFaults};
use run::{respond, run, SharedState};

use crate::clock::{epoch_ms, Clock, SystemClock};
use crate::guard::Announcement;
use crate::ring::spawn_duty;
use crate::types::{BackendServerId, ServiceId};
use crate::wire::dialect::CANCEL_PATH;
use crate::wire::http::request_builder;

/// Identity, addresses and capacity of a stand-in server.
#[derive(Debug, Clone)]
pub struct BackendServerOptions {
    /// Name of the server.
    pub server: BackendServerId,
    /// Service that the server runs.
    pub service: ServiceId,
    /// Address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// Address at which the daemon on this VM accepts announcements.
    pub announce_address: SocketAddr,
    /// Number of slots that it announces: requests that it runs at a time.
    pub slots_count: u32,
    /// Time that a request takes without faults.
    pub work: Duration,
}

/// A running stand-in server, which ends with its process.
pub struct BackendServerStandin {
    /// Address at which it listens.
    pub address: SocketAddr,
}

/// Starts the stand-in server and its announcements.
pub fn start(options: &BackendServerOptions) -> eyre::Result<BackendServerStandin> {
    let server = Arc::new(Server::http(options.address).map_err(|error| eyre::eyre!("{error}"))?);
    let address = server
        .server_addr()
        .to_ip()
        .expect("a TCP listener has an IP address");
    let shared = Arc::new(SharedState::default());
    let (jobs, job_receiver) = bounded(WORKER_COUNT);
    for index in 0..RECEIVER_COUNT {
        let server = server.clone();
        let shared = shared.clone();
        let jobs = jobs.clone();
        spawn_duty(&format!("server-in-{index}"), move || {
            while let Ok(request) = server.recv() {
                dispatch(&shared, request, &jobs);
            }
        });
    }
    for index in 0..WORKER_COUNT {
        let shared = shared.clone();
        let options = options.clone();
        let jobs = job_receiver.clone();
        spawn_duty(&format!("server-{index}"), move || {
            for request in jobs {
                run(&shared, &options, request);
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

/// Threads that accept requests and answer control requests.
const RECEIVER_COUNT: usize = 2;
/// Threads that run requests; the queue before them has the same length.
const WORKER_COUNT: usize = 32;
/// Time between two announcements to the daemon.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the answer to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces the server at each interval, with the faults set at that time.
fn announce(shared: &SharedState, options: &BackendServerOptions) {
    let url = format!("http://{}/announce", options.announce_address);
    let started_at_ms = epoch_ms(SystemClock.wall());
    loop {
        let faults = shared.faults();
        let announcement = Announcement {
            server: options.server.clone(),
            service: options.service.clone(),
            address: options.address,
            slots_count: options.slots_count,
            cold: faults.cold,
            draining: faults.draining,
            started_at_ms,
            ..Default::default()
        };
        if !faults.unannounced {
            let body = serde_json::to_string(&announcement).expect("plain values become JSON");
            // A daemon that has not started yet receives the next announcement.
            let _ = request_builder(ClientMethod::POST, &url, ANNOUNCE_TIMEOUT, ANNOUNCE_TIMEOUT)
                .text(body)
                .send();
        }
        std::thread::sleep(ANNOUNCE_INTERVAL);
    }
}

/// Answers control requests at once and passes all others to the workers.
fn dispatch(shared: &SharedState, request: Request, jobs: &Sender<Request>) {
    let target = request.url().to_owned();
    if let Some(id) = target.strip_prefix(CANCEL_PATH) {
        if *request.method() == Method::Delete {
            shared.cancel(id);
            return respond(request, 200, "{}".to_owned(), None);
        }
    }
    match (request.method(), target.as_str()) {
        (Method::Put, "/faults") => set_faults(shared, request),
        (Method::Get, "/ran") => {
            let report = shared.report.lock().expect("no panic while locked").clone();
            let text = serde_json::to_string(&report).expect("plain values become JSON");
            respond(request, 200, text, None);
        }
        _ => {
            if let Err(refused) = jobs.try_send(request) {
                respond(refused.into_inner(), 503, "overloaded".to_owned(), None);
            }
        }
    }
}

/// Replaces the faults by those in the body of the request, and answers it.
fn set_faults(shared: &SharedState, mut request: Request) {
    let mut text = String::new();
    let mut body = request.as_reader().take(FAULTS_LIMIT_BYTES);
    // Text that cannot be read is answered below like faults that cannot be parsed.
    let _ = body.read_to_string(&mut text);
    match serde_json::from_str(&text) {
        Ok(faults) => {
            *shared.faults.lock().expect("no panic while locked") = faults;
            respond(request, 200, "{}".to_owned(), None);
        }
        Err(error) => respond(request, 400, error.to_string(), None),
    }
}

/// Length of the longest accepted body of `PUT /faults`.
const FAULTS_LIMIT_BYTES: u64 = 4096;
