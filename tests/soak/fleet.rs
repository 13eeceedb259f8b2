//! The processes of the soak test, and the faults injected into them.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use banyanbeam::settings::Settings;
use banyanbeam::standin::backend_server::{RanReport, ServerFaults};
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use super::proxy::{Proxy, ProxyFault};
use super::support::faults::{run_report, set_faults, short_margin_settings};
use super::support::logs::{append_notes, now_ms};
use super::support::{
    publish_test_contracts, send_until_status, start_daemon, start_log, start_server, Process,
};

/// Number of daemons of the fleet, each with one server.
const DAEMON_COUNT: usize = 4;
/// Names of the faults in the notes, by the kind drawn.
const FAULT_NAMES: [&str; 6] = ["pause", "kill", "stop", "server", "server", "log"];

/// One VM: a daemon with fixed addresses, its server, and the proxy before the platform's log.
struct Vm {
    settings: Settings,
    daemon: Process,
    server: Process,
    log_proxy: Proxy,
}

/// A fleet whose daemons are stopped, paused, killed and cut off from the log at random.
pub struct SoakFleet {
    _log: Process,
    vms: Vec<Vm>,
}

impl SoakFleet {
    /// Starts a fleet and waits until every entry serves.
    pub fn start(name: &str) -> SoakFleet {
        let log = start_log();
        let log_address = log.address("listening");
        publish_test_contracts(log_address);
        let vms: Vec<Vm> = (0..DAEMON_COUNT)
            .map(|index| Vm::start(&format!("{name}-{index}"), vm_address(index), log_address))
            .collect();
        let fleet = SoakFleet { _log: log, vms };
        fleet.wait_for_all();
        fleet
    }

    /// Returns the address at which each daemon takes requests from callers.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let front = |vm: &Vm| vm.settings.front.address;
        self.vms.iter().map(front).collect()
    }

    /// Injects one fault drawn at random into one VM, and removes it.
    pub fn inject_fault(&mut self, random: &mut ChaCha8Rng) {
        let index = random.random_range(0..self.vms.len());
        let duration = Duration::from_millis(random.random_range(100..1_200));
        let vm = &mut self.vms[index];
        let from_ms = now_ms();
        let kind = random.random_range(0..6);
        match kind {
            0 => vm.pause(duration),
            1 => vm.restart("KILL", duration / 4),
            2 => vm.restart("TERM", Duration::ZERO),
            3 | 4 => vm.fail_server(random, duration),
            _ => vm.disturb_log(random, duration),
        }
        let fault = FAULT_NAMES[kind];
        let daemon = &vm.settings.daemon.daemon;
        let to_ms = now_ms();
        let line = json!({"from_ms": from_ms, "to_ms": to_ms, "daemon": daemon, "harm": fault});
        append_notes("harms", &line.to_string());
    }

    /// Waits until every daemon has a request answered by a server.
    pub fn wait_for_all(&self) {
        for vm in &self.vms {
            send_until_status(vm.settings.front.address, "/sheets/1", Some("key-1"), 200);
        }
    }

    /// Returns what each server has run.
    pub fn run_reports(&self) -> Vec<RanReport> {
        let report = |vm: &Vm| run_report(vm.server.address("listening"));
        self.vms.iter().map(report).collect()
    }
}

/// Draws one kind of fault of the connections to the log.
fn draw_proxy_fault(random: &mut ChaCha8Rng) -> ProxyFault {
    let faults = [
        ProxyFault::Delay(Duration::from_millis(200)),
        ProxyFault::Reset,
        ProxyFault::Silence,
        ProxyFault::LoseAnswers,
    ];
    *faults.choose(random).expect("there are faults")
}

/// Returns an address of its own for each VM, with a free port, so that no outgoing connection
/// takes the ports of a daemon that is down.
fn vm_address(index: usize) -> SocketAddr {
    let last = 1 + u8::try_from(index).expect("a few VMs");
    SocketAddr::from(([127, 0, 1, last], 0))
}

impl Vm {
    fn start(name: &str, free_port: SocketAddr, log: SocketAddr) -> Vm {
        let log_proxy = Proxy::start(log);
        let mut settings = short_margin_settings(name, log_proxy.address);
        settings.journal.address = log_proxy.address;
        settings.front.address = free_port;
        settings.guard.address = free_port;
        settings.guard.announce_address = free_port;
        settings.operator.address = free_port;
        settings.link.address = free_port;
        let daemon = start_daemon(&settings);
        settings.front.address = daemon.address("front");
        settings.guard.address = daemon.address("guard");
        settings.guard.announce_address = daemon.address("announce");
        settings.operator.address = daemon.address("operator");
        settings.link.address = daemon.address("link");
        let server = start_server(&format!("{name}-server"), "workshop", &daemon);
        Vm {
            settings,
            daemon,
            server,
            log_proxy,
        }
    }

    /// Injects a fault into the connections to the log for a time.
    fn disturb_log(&mut self, random: &mut ChaCha8Rng, duration: Duration) {
        let harm = draw_proxy_fault(random);
        append_notes("harms", &format!("{harm:?}"));
        self.log_proxy.set(harm);
        thread::sleep(duration);
        self.log_proxy.set(ProxyFault::None);
    }

    /// Stops the daemon by SIGSTOP for a time.
    fn pause(&mut self, duration: Duration) {
        self.daemon.signal("STOP");
        thread::sleep(duration);
        self.daemon.signal("CONT");
    }

    /// Ends the daemon with a signal, waits, and starts it again at the same addresses.
    fn restart(&mut self, signal: &str, downtime: Duration) {
        self.daemon.signal(signal);
        self.daemon.wait();
        thread::sleep(downtime);
        self.daemon = start_daemon(&self.settings);
    }

    /// Sets faults of the server for a time.
    fn fail_server(&mut self, random: &mut ChaCha8Rng, duration: Duration) {
        let faults = draw_server_faults(random);
        append_notes("harms", &format!("{faults:?}").replace('\n', " "));
        let address = self.server.address("listening");
        set_faults(address, &faults);
        thread::sleep(duration);
        set_faults(address, &ServerFaults::default());
    }
}

/// Draws one kind of fault of a server.
fn draw_server_faults(random: &mut ChaCha8Rng) -> ServerFaults {
    let every_count = random.random_range(1..4);
    let no_faults = ServerFaults::default();
    match random.random_range(0..6) {
        0 => ServerFaults {
            error_every_count: every_count,
            ..no_faults
        },
        1 => ServerFaults {
            slow_ms: 300,
            ..no_faults
        },
        2 => ServerFaults {
            lost_answer_every_count: every_count,
            ..no_faults
        },
        3 => ServerFaults {
            short_answer_every_count: every_count,
            cuts_heads: true,
            ..no_faults
        },
        4 => ServerFaults {
            wrong_id_every_count: every_count,
            ..no_faults
        },
        _ => ServerFaults {
            draining: true,
            ..no_faults
        },
    }
}
