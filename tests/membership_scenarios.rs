//! Scripted scenarios of membership under virtual time.
//!
//! A line is `at 3s <step>`, in order of time. Steps that change something:
//! `start a b in north [seeds c]`,
//! `kill a`, `pause a`, `resume a`, `leave a`, `serve s1 beside a`, `cut a from b` (packets from a
//! to b are lost; a domain's name means all its daemons), `mend`, `log down`, `log up`. Steps that
//! print: `show view of a` (daemons that take no new work are in brackets), `show digests`,
//! `show count suspect` (a counter of membership), `show servers of a`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use banyanbeam::membership::virtual_fleet::VirtualFleet;
use banyanbeam::membership::{MembershipEvent, ServerEntry, FULL_SHARE_PERMILLE};
use banyanbeam::settings::membership::MembershipSettings;

/// Seed of the simulated fleet.
const SEED: u64 = 7;

/// A scenario in progress: the simulated fleet, the daemons of each domain, and the output.
struct Scenario {
    fleet: VirtualFleet,
    domains: BTreeMap<String, Vec<String>>,
    output: String,
}

#[test]
fn scenarios_match_expected_output() {
    datadriven::walk("tests/scenarios/membership", |file| {
        file.run(|case| {
            assert_eq!(case.directive, "scenario");
            run_scenario(&case.input)
        });
    });
}

/// Runs one scenario and returns what it prints.
fn run_scenario(input: &str) -> String {
    let mut scenario = Scenario {
        fleet: VirtualFleet::new(MembershipSettings::default(), SEED),
        domains: BTreeMap::new(),
        output: String::new(),
    };
    for line in input.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["at", time, rest @ ..] = &words[..] else {
            panic!("{line:?} does not begin with a time");
        };
        let elapsed = time.strip_suffix('s').expect("a time in seconds");
        let elapsed: f64 = elapsed.parse().expect("a time in seconds");
        scenario.fleet.run_until(Duration::from_secs_f64(elapsed));
        scenario.run_step(time, rest);
    }
    scenario.output
}

impl Scenario {
    /// Runs one step and appends the line that it prints, if any.
    fn run_step(&mut self, time: &str, words: &[&str]) {
        match words {
            ["start", rest @ ..] => self.start(rest),
            ["kill", daemon] => self.fleet.kill(daemon),
            ["pause", daemon] => self.fleet.pause(daemon),
            ["resume", daemon] => self.fleet.resume(daemon),
            ["leave", daemon] => self.fleet.deliver(daemon, MembershipEvent::Leave),
            ["serve", server, "beside", daemon] => self.add_server(server, daemon),
            ["cut", from, "from", to] => self.cut(from, to),
            ["mend"] => self.fleet.restore_network(),
            ["log", state] => self.fleet.set_log(*state == "up"),
            ["show", what @ ..] => {
                let shown = self.show(what);
                self.output.push_str(&format!("{time}: {shown}\n"));
            }
            _ => panic!("{words:?} is no step"),
        }
    }

    fn start(&mut self, words: &[&str]) {
        let in_position = words
            .iter()
            .position(|word| *word == "in")
            .expect("a domain");
        let domain = words[in_position + 1];
        let seeds = match words.get(in_position + 2) {
            Some(_) => &words[in_position + 3..],
            None => &[],
        };
        for daemon in &words[..in_position] {
            self.fleet.start(daemon, domain, seeds);
            let names = self.domains.entry(domain.to_owned()).or_default();
            names.push((*daemon).to_owned());
        }
    }

    /// Gives a daemon one local server.
    fn add_server(&mut self, server: &str, daemon: &str) {
        let entry = ServerEntry {
            server: server.into(),
            service: "workshop".into(),
            slots_count: 5,
            cold: false,
            draining: false,
            share_permille: FULL_SHARE_PERMILLE,
            ..Default::default()
        };
        self.fleet
            .deliver(daemon, MembershipEvent::Local(vec![entry]));
    }

    /// Drops packets from one daemon or domain to another.
    fn cut(&mut self, from: &str, to: &str) {
        let names = |name: &str| {
            let daemons = self.domains.get(name).cloned();
            daemons.unwrap_or_else(|| vec![name.to_owned()])
        };
        let (from, to) = (names(from), names(to));
        for from in &from {
            for to in &to {
                self.fleet.cut(from, to);
            }
        }
    }

    /// Returns the line of a step that prints.
    fn show(&self, what: &[&str]) -> String {
        match what {
            ["view", "of", daemon] => self.view(daemon),
            ["servers", "of", daemon] => self.servers(daemon),
            ["digests"] => self.digests(),
            ["count", name] => {
                let full_name = format!("membership.{name}");
                format!("{name} {}", self.fleet.counter(&full_name))
            }
            _ => panic!("{what:?} can't be shown"),
        }
    }

    /// Returns the text of `show view`.
    fn view(&self, daemon: &str) -> String {
        let mut names = Vec::new();
        for (name, entry) in &self.fleet.view(daemon).daemons {
            names.push(match entry.leaving {
                true => format!("[{name}]"),
                false => name.to_string(),
            });
        }
        format!("{daemon} sees {}", names.join(" "))
    }

    /// Returns the text of `show servers`.
    fn servers(&self, daemon: &str) -> String {
        let mut names = Vec::new();
        for (_, entry) in &self.fleet.view(daemon).daemons {
            names.extend(entry.servers.iter().map(|found| found.server.to_string()));
        }
        format!("{daemon} knows servers {}", names.join(" "))
    }

    /// Compares the digests of all running daemons.
    fn digests(&self) -> String {
        let names = self.fleet.alive();
        let digests: BTreeSet<u64> = names.iter().map(|name| self.fleet.digest(name)).collect();
        match digests.len() {
            1 => "all digests are equal".to_owned(),
            count => format!("{count} different digests"),
        }
    }
}
