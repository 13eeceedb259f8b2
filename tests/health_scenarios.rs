//! Scripted scenarios of failing servers under virtual time, on the states that run in `serve`.
//!
//! The directive is `scenario deployment=nangolo seed=1`. A line is `at 8s <fault>` or
//! `expect <condition>`, in order of time. Faults: `server-3 fails 50%`,
//! `server-3 answers 20% slow`, `server-3 slows 3 times`, `server-3 hangs 20%`,
//! `server-3 is silent`, `server-3 cuts 30% short`, `server-3 flaps each 2s`,
//! `server-3 fails route frames`, `server-3 mends` (no fault), where `all` means every server;
//! `endpoint of server-3 complains`; `cut daemon-1 from daemon-3` and `mend links`;
//! `permits out of reach` and `permits in reach`.
//! Conditions: `ejected server-3 before 10s`, `refused server-3 before 10s` (no permit),
//! `full service of server-3 before 40s`, `nobody ejected until 30s`,
//! `nobody else than server-3 ejected until 30s`, `99% answered` (since the last `at`),
//! `floors kept`.

use std::time::Duration;

use banyanbeam::demo::DeploymentName;
use banyanbeam::health::HealthVerdict;
use banyanbeam::measure::policy::Policy;
use banyanbeam::measure::server::{Fault, Noise};
use banyanbeam::measure::simulation::{Simulation, SimulationOptions};
use banyanbeam::membership::FULL_SHARE_PERMILLE;

#[test]
fn scenarios_match_expected_output() {
    datadriven::walk("tests/scenarios/health", |file| {
        file.run(|case| {
            assert_eq!(case.directive, "scenario");
            let argument = |name: &str| case.args[name][0].clone();
            let deployment = match argument("deployment").as_str() {
                "nangolo" => DeploymentName::Nangolo,
                "atlas" => DeploymentName::Atlas,
                other => panic!("{other:?} is no deployment"),
            };
            let seed = argument("seed").parse().expect("a number as seed");
            run_scenario(deployment, seed, &case.input)
        });
    });
}

/// Runs one scenario and returns whether each expected condition was met.
fn run_scenario(deployment: DeploymentName, seed: u64, input: &str) -> String {
    let mut scenario = Scenario {
        simulation: Simulation::new(&SimulationOptions {
            deployment,
            policy: Policy::standard(),
            load_factor: 0.6,
            noise: Noise::LOW_NOISE,
            seed,
        }),
        output: String::new(),
    };
    for line in input.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        match &words[..] {
            ["at", time, what @ ..] => {
                scenario.run_until(time);
                scenario.apply_step(what);
            }
            ["expect", what @ ..] => scenario.check_expectation(what),
            _ => panic!("{line:?} is no line of a scenario"),
        }
    }
    scenario.output
}

/// A scenario in progress: the simulated fleet and the output so far.
struct Scenario {
    simulation: Simulation,
    output: String,
}

/// Parses a time such as `8s`.
fn seconds(word: &str) -> Duration {
    let number = word.strip_suffix('s').expect("a time in seconds");
    Duration::from_secs_f64(number.parse().expect("a time in seconds"))
}

/// Parses a share such as `50%`.
fn share(word: &str) -> f64 {
    let number = word.strip_suffix('%').expect("a share in percent");
    number.parse::<f64>().expect("a share in percent") / 100.0
}

/// Returns the number at the end of a name such as `server-3`.
fn index(word: &str) -> usize {
    let (_, number) = word.split_once('-').expect("a name with a number");
    number.parse().expect("a name with a number")
}

impl Scenario {
    fn run_until(&mut self, time: &str) {
        let left = seconds(time).saturating_sub(self.simulation.elapsed());
        self.simulation.run_for(left);
    }

    /// Sets or removes a fault, and starts a new tally of answers.
    fn apply_step(&mut self, words: &[&str]) {
        match words {
            ["permits", "out", "of", "reach"] => self.simulation.permits.is_unreachable = true,
            ["permits", "in", "reach"] => self.simulation.permits.is_unreachable = false,
            ["endpoint", "of", server, "complains"] => {
                self.simulation.inject_suspicion(index(server))
            }
            ["cut", one, "from", other] => {
                self.simulation
                    .blocked_links
                    .insert((index(one), index(other)));
            }
            ["mend", "links"] => self.simulation.blocked_links.clear(),
            ["all", fault_words @ ..] => {
                for at in 0..self.simulation.nodes.len() {
                    self.simulation.set_fault(at, parse_fault(fault_words));
                }
            }
            [server, fault_words @ ..] => self
                .simulation
                .set_fault(index(server), parse_fault(fault_words)),
            [] => panic!("an empty step"),
        }
        self.simulation.take_tally();
    }

    /// Appends whether a condition is met to the output.
    fn check_expectation(&mut self, words: &[&str]) {
        let answer = match words {
            ["ejected", server, "before", time] => {
                self.run_until(time);
                match self.was_decided(server, HealthVerdict::Ejected) {
                    true => "yes".to_owned(),
                    false => "no".to_owned(),
                }
            }
            ["refused", server, "before", time] => {
                self.run_until(time);
                match self.was_decided(server, HealthVerdict::PermitDenied) {
                    true => format!("yes, its share is {}", self.share_permille(server)),
                    false => "no".to_owned(),
                }
            }
            ["nobody", "ejected", "until", time] => {
                self.run_until(time);
                self.others_ejected("")
            }
            ["nobody", "else", "than", server, "ejected", "until", time] => {
                self.run_until(time);
                self.others_ejected(server)
            }
            ["full", "service", "of", server, "before", time] => {
                self.run_until(time);
                match self.share_permille(server) {
                    FULL_SHARE_PERMILLE => "yes".to_owned(),
                    share => format!("no, its share is {share}"),
                }
            }
            [least, "answered"] => self.answered_share(share(least)),
            ["floors", "kept"] => match self.simulation.max_below_floor_count {
                0 => "yes".to_owned(),
                count => format!("no, {count} servers too many were out"),
            },
            _ => panic!("unknown condition: {words:?}"),
        };
        self.output
            .push_str(&format!("{}: {answer}\n", words.join(" ")));
    }

    fn share_permille(&self, server: &str) -> u16 {
        self.simulation.nodes[index(server)].share_permille
    }

    /// Returns whether this decision was made about a server.
    fn was_decided(&self, server: &str, verdict: HealthVerdict) -> bool {
        let mut decisions = self.simulation.decisions.iter();
        decisions.any(|decision| &*decision.server == server && decision.verdict == verdict)
    }

    /// Returns the answer to `nobody ejected`, apart from the expected server.
    fn others_ejected(&self, expected: &str) -> String {
        let mut names: Vec<String> = Vec::new();
        for decision in &self.simulation.decisions {
            if decision.verdict == HealthVerdict::Ejected && &*decision.server != expected {
                names.push(decision.server.to_string());
            }
        }
        match names.is_empty() {
            true => "yes".to_owned(),
            false => format!("no, {}", names.join(" ")),
        }
    }

    /// Returns the answer to a least share of answered requests.
    fn answered_share(&self, least_share: f64) -> String {
        let tally = &self.simulation.tally;
        let answered = tally.good_count() as f64 / tally.within_rate_count().max(1) as f64;
        match answered >= least_share {
            true => "yes".to_owned(),
            false => format!("no, {:.2}%", 100.0 * answered),
        }
    }
}

/// Parses a fault of a server; none for `mends`.
fn parse_fault(words: &[&str]) -> Option<Fault> {
    match words {
        ["mends"] => None,
        ["fails", "route", route] => Some(Fault::RouteFails {
            route: (*route).into(),
        }),
        ["fails", failed] => Some(Fault::Errors {
            share: share(failed),
        }),
        ["answers", slow, "slow"] => Some(Fault::SlowTail {
            share: share(slow),
            factor: 8.0,
        }),
        ["slows", factor, "times"] => Some(Fault::SlowTail {
            share: 1.0,
            factor: factor.parse().expect("a factor"),
        }),
        ["hangs", stuck] => Some(Fault::Stuck {
            share: share(stuck),
        }),
        ["is", "silent"] => Some(Fault::Silent),
        ["cuts", short, "short"] => Some(Fault::ShortAnswers {
            share: share(short),
        }),
        ["flaps", "each", period] => Some(Fault::Flaps {
            period: seconds(period),
        }),
        _ => panic!("unknown fault: {words:?}"),
    }
}
