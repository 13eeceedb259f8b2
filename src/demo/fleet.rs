//! Starts a deployment on loopback and publishes its contracts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::Method;

use super::deployment::{organisation_key, Deployment};
use crate::daemon::{self, Daemon};
use crate::journal::SubmitOutcome;
use crate::operator::client::OperatorClient;
use crate::operator::message::ContractFile;
use crate::operator::OperatorAnswer;
use crate::settings::daemon::DaemonSettings;
use crate::settings::front::FrontSettings;
use crate::settings::guard::GuardSettings;
use crate::settings::journal::JournalSettings;
use crate::settings::link::LinkSettings;
use crate::settings::operator::{OperatorEntry, OperatorSettings};
use crate::settings::Settings;
use crate::standin::backend_server::{self, BackendServerOptions, RanReport};
use crate::standin::platform_log;
use crate::types::{parse_id, DomainId, RequestId};
use crate::wire::hex;
use crate::wire::http::request_builder;
use crate::wire::operator::{GrantBody, PublishBody, CONTRACTS, KEYS, STATUS};
use crate::wire::proof::hash_key;

/// One VM of the demonstration: a daemon with its backend server.
pub struct DemoVm {
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// The daemon, which runs in this process.
    pub daemon: Daemon,
    /// Name of the backend server.
    pub server: String,
    /// Address at which the backend server listens.
    pub server_address: SocketAddr,
}

/// A fleet of daemons and backend servers in this process.
pub struct DemoFleet {
    /// Address at which the platform's log listens.
    pub log_address: SocketAddr,
    /// VMs of the fleet, each with a daemon and a backend server.
    pub vms: Vec<DemoVm>,
}

/// Token of the only operator of the demonstration.
pub const OPERATOR_TOKEN: &str = "demo-operator-token";
/// Worker threads of each front and each guard.
const WORKER_COUNT: usize = 8;
/// Time for the daemons to get a view and for the entries to serve every route.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks whether the fleet is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a call to an entry or a stand-in server.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest graceful shutdown of each daemon, in milliseconds.
const STOP_GRACE_MS: u64 = 2_000;

impl DemoFleet {
    /// Starts the platform's log, and a daemon with a backend server for each VM.
    pub fn start(deployment: &Deployment) -> eyre::Result<DemoFleet> {
        let log_address = platform_log::start(any_port())?.address;
        let mut vms = Vec::new();
        for service in &deployment.services {
            for number in 0..service.server_count {
                let domain = deployment.domains[number % deployment.domains.len()].clone();
                let server = format!("{}-{}", service.contract.service, number + 1);
                let daemon = daemon::start(daemon_settings(&server, &domain, log_address))?;
                let options = BackendServerOptions {
                    server: server.as_str().into(),
                    service: service.contract.service.clone(),
                    address: any_port(),
                    announce_address: daemon.announce_address,
                    slots_count: service.contract.slots_count,
                    work: Duration::from_millis(service.work_ms),
                };
                let server_address = backend_server::start(&options)?.address;
                vms.push(DemoVm {
                    domain,
                    daemon,
                    server,
                    server_address,
                });
            }
        }
        Ok(DemoFleet { log_address, vms })
    }

    /// Returns the addresses at which the entries accept callers.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.daemon.front_address).collect()
    }

    /// Publishes the contracts and grants a key to each organisation, as an operator would.
    pub fn publish(&self, deployment: &Deployment) -> eyre::Result<()> {
        let operator = OperatorClient {
            address: self.vms[0].daemon.operator_address,
            token: OPERATOR_TOKEN.to_owned(),
        };
        wait_until_usable(&operator)?;
        let contracts = ContractFile {
            services: deployment
                .services
                .iter()
                .map(|service| service.contract.clone())
                .collect(),
            organisations: deployment.organisations.clone(),
        };
        let body = PublishBody {
            contracts,
            ..Default::default()
        };
        ensure_accepted(&operator.post(CONTRACTS, &body)?)?;
        for contract in &deployment.organisations {
            let key_hash = hash_key(&organisation_key(&contract.organisation));
            let body = GrantBody {
                operation: None,
                organisation: contract.organisation.clone(),
                key_hash: hex::encode(&key_hash),
            };
            ensure_accepted(&operator.post(KEYS, &body)?)?;
        }
        Ok(())
    }

    /// Waits until every entry serves every route that can be read with GET.
    pub fn wait_until_ready(&self, deployment: &Deployment) -> eyre::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        let organisation = &deployment.organisations[0].organisation;
        for front in self.fronts() {
            for wanted in deployment.mix() {
                if wanted.organisation != *organisation || wanted.method != "GET" {
                    continue;
                }
                let url = format!("http://{front}{}", wanted.target);
                while !is_served(&url, &wanted.key) {
                    eyre::ensure!(Instant::now() < until, "{url} does not answer");
                    std::thread::sleep(READY_POLL_INTERVAL);
                }
            }
        }
        Ok(())
    }

    /// Returns the number of runs by request id, as the backend servers counted them. Fails if a
    /// server received a caller's API key.
    pub fn run_counts(&self) -> eyre::Result<HashMap<RequestId, u64>> {
        let mut runs = HashMap::new();
        for vm in &self.vms {
            let url = format!("http://{}/ran", vm.server_address);
            let text = request_builder(Method::GET, &url, CALL_TIMEOUT, CALL_TIMEOUT)
                .send()?
                .text()?;
            let report: RanReport = serde_json::from_str(&text)?;
            eyre::ensure!(
                report.keys_seen_count == 0,
                "{} received a caller's API key",
                vm.server
            );
            for (request, count) in report.runs {
                *runs
                    .entry(parse_id(&request).unwrap_or_default())
                    .or_default() += count;
            }
        }
        Ok(runs)
    }

    /// Stops every daemon, and lets running requests end within the grace period.
    pub fn stop(self) {
        let grace = Duration::from_millis(STOP_GRACE_MS);
        std::thread::scope(|scope| {
            for vm in self.vms {
                scope.spawn(move || vm.daemon.stop(grace));
            }
        });
    }
}

/// Returns the loopback address with any free port.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the settings of a daemon whose addresses are free loopback ports.
fn daemon_settings(daemon: &str, domain: &DomainId, log_address: SocketAddr) -> Settings {
    Settings {
        daemon: DaemonSettings {
            daemon: format!("beside-{daemon}").as_str().into(),
            domain: domain.clone(),
            ..Default::default()
        },
        front: FrontSettings {
            address: any_port(),
            worker_count: WORKER_COUNT,
            ..Default::default()
        },
        guard: GuardSettings {
            address: any_port(),
            announce_address: any_port(),
            worker_count: WORKER_COUNT,
            ..Default::default()
        },
        operator: OperatorSettings {
            address: any_port(),
            operators: vec![OperatorEntry {
                name: "demo".to_owned(),
                token_sha256: hex::encode(&hash_key(OPERATOR_TOKEN)),
            }],
            ..Default::default()
        },
        link: LinkSettings {
            address: any_port(),
            ..Default::default()
        },
        journal: JournalSettings {
            address: log_address,
            ..Default::default()
        },
        ..Default::default()
    }
}

/// Waits until the daemon has a view, which it gets from its first complete read of the log.
fn wait_until_usable(operator: &OperatorClient) -> eyre::Result<()> {
    let until = Instant::now() + READY_TIMEOUT;
    loop {
        match operator.get(STATUS)? {
            OperatorAnswer::Status(status) if status.usable => return Ok(()),
            _ => eyre::ensure!(
                Instant::now() < until,
                "the daemon has received no configuration"
            ),
        }
        std::thread::sleep(READY_POLL_INTERVAL);
    }
}

/// Returns an error unless every change was accepted.
fn ensure_accepted(answer: &OperatorAnswer) -> eyre::Result<()> {
    let OperatorAnswer::Results(results) = answer else {
        eyre::bail!("the change was refused: {answer:?}");
    };
    for result in results {
        let accepted = matches!(result.outcome, Some(SubmitOutcome::Accepted { .. }));
        eyre::ensure!(
            accepted,
            "{} was not accepted: {:?}",
            result.object,
            result.outcome
        );
    }
    Ok(())
}

/// Returns whether a GET with this API key succeeds.
fn is_served(url: &str, key: &str) -> bool {
    let request = request_builder(Method::GET, url, CALL_TIMEOUT, CALL_TIMEOUT).bearer_auth(key);
    request.send().is_ok_and(|response| response.is_success())
}
