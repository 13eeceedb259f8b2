//! The processes of a soak, and what is done to them.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use banyanbeam::settings::Settings;
use banyanbeam::standin::backend_server::{RanReport, ServerFaults};
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use super::proxy::{Harm, Proxy};
use super::support::faults::{quick_settings, ran, set_faults};
use super::support::logs::{note, now_ms};
use super::support::{ask_until, publish_basics, start_daemon, start_log, start_server, Process};

const DAEMON_COUNT: usize = 4;
/// What the notes call each harm.
const HARM_NAMES: [&str; 6] = ["pause", "kill", "stop", "server", "server", "log"];

/// One VM: a daemon with fixed addresses, its server, and its way to the platform's log.
struct Vm {
    settings: Settings,
    daemon: Process,
    server: Process,
    log: Proxy,
}

/// A fleet whose daemons are stopped, paused, killed and cut off.
pub struct SoakFleet {
    _log: Process,
    vms: Vec<Vm>,
}

impl SoakFleet {
    /// Starts a fleet and waits until every entry serves.
    pub fn start(name: &str) -> SoakFleet {
        let log = start_log();
        let log_address = log.address("listening");
        publish_basics(log_address);
        let vms: Vec<Vm> = (0..DAEMON_COUNT)
            .map(|index| Vm::start(&format!("{name}-{index}"), log_address))
            .collect();
        let fleet = SoakFleet { _log: log, vms };
        fleet.wait_for_all();
        fleet
    }

    /// Where callers reach each entry.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let front = |vm: &Vm| vm.settings.front.address;
        self.vms.iter().map(front).collect()
    }

    /// Does one harm drawn at random, and undoes it.
    pub fn harm(&mut self, random: &mut ChaCha8Rng) {
        let place = random.random_range(0..self.vms.len());
        let time = Duration::from_millis(random.random_range(100..1_200));
        let vm = &mut self.vms[place];
        let from_ms = now_ms();
        let kind = random.random_range(0..6);
        match kind {
            0 => vm.pause(time),
            1 => vm.restart("KILL", time / 4),
            2 => vm.restart("TERM", Duration::ZERO),
            3 | 4 => vm.fail_server(random, time),
            _ => vm.harm_log(random, time),
        }
        let harm = HARM_NAMES[kind];
        let daemon = &vm.settings.daemon.daemon;
        let to_ms = now_ms();
        let line = json!({"from_ms": from_ms, "to_ms": to_ms, "daemon": daemon, "harm": harm});
        note("harms", &line.to_string());
    }

    /// Waits until every entry answers by a server.
    pub fn wait_for_all(&self) {
        for vm in &self.vms {
            ask_until(vm.settings.front.address, "/sheets/1", Some("key-1"), 200);
        }
    }

    /// What each server ran.
    pub fn ran(&self) -> Vec<RanReport> {
        let report = |vm: &Vm| ran(vm.server.address("listening"));
        self.vms.iter().map(report).collect()
    }
}

fn log_harm(random: &mut ChaCha8Rng) -> Harm {
    let harms = [
        Harm::Delay(Duration::from_millis(200)),
        Harm::Reset,
        Harm::Silence,
        Harm::LoseAnswers,
    ];
    *harms.choose(random).expect("there are harms")
}

impl Vm {
    fn start(name: &str, log: SocketAddr) -> Vm {
        let log = Proxy::start(log);
        let mut settings = quick_settings(name, log.address);
        settings.journal.address = log.address;
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
            log,
        }
    }

    fn harm_log(&mut self, random: &mut ChaCha8Rng, time: Duration) {
        let harm = log_harm(random);
        note("harms", &format!("{harm:?}"));
        self.log.set(harm);
        thread::sleep(time);
        self.log.set(Harm::None);
    }

    fn pause(&mut self, time: Duration) {
        self.daemon.signal("STOP");
        thread::sleep(time);
        self.daemon.signal("CONT");
    }

    /// Ends the daemon by a signal and starts it again at the same addresses.
    fn restart(&mut self, signal: &str, away: Duration) {
        self.daemon.signal(signal);
        self.daemon.wait();
        thread::sleep(away);
        self.daemon = start_daemon(&self.settings);
    }

    fn fail_server(&mut self, random: &mut ChaCha8Rng, time: Duration) {
        let faults = server_faults(random);
        note("harms", &format!("{faults:?}").replace('\n', " "));
        let address = self.server.address("listening");
        set_faults(address, &faults);
        thread::sleep(time);
        set_faults(address, &ServerFaults::default());
    }
}

fn server_faults(random: &mut ChaCha8Rng) -> ServerFaults {
    let every_count = random.random_range(1..4);
    let none = ServerFaults::default();
    match random.random_range(0..6) {
        0 => ServerFaults {
            error_every_count: every_count,
            ..none
        },
        1 => ServerFaults {
            slow_ms: 300,
            ..none
        },
        2 => ServerFaults {
            lost_answer_every_count: every_count,
            ..none
        },
        3 => ServerFaults {
            short_answer_every_count: every_count,
            cuts_heads: true,
            ..none
        },
        4 => ServerFaults {
            wrong_id_every_count: every_count,
            ..none
        },
        _ => ServerFaults {
            draining: true,
            ..none
        },
    }
}
