//! Parses and runs the commands of the guard scripts.

use std::collections::HashMap;
use std::time::Duration;

use super::simulation::{GuardSimulation, Load, ServerModel};

/// A script in progress, whose first command sets up the server.
#[derive(Default)]
pub struct Script {
    simulation: Option<GuardSimulation>,
}

/// Arguments of one command, by name.
type Arguments = HashMap<String, Vec<String>>;

impl Script {
    /// Runs one command and returns what it prints.
    pub fn run(&mut self, directive: &str, arguments: &Arguments) -> String {
        if directive == "server" {
            let model = ServerModel {
                slots_count: number(arguments, "slots", 5),
                work: duration(arguments, "work_ms", 20),
                initial_capacity_count: number(arguments, "bears", 1_000),
                reports_cold: arguments.contains_key("says_cold"),
                capacity_growth_per_s: number(arguments, "bears_more_each_s", 0),
            };
            self.simulation = Some(GuardSimulation::new(model, number(arguments, "queue", 32)));
            return "ok\n".to_owned();
        }
        let simulation = self
            .simulation
            .as_mut()
            .expect("a script begins with a server");
        match directive {
            "load" => simulation.add_load(Load {
                organisation: text(arguments, "from"),
                weight_share: number(arguments, "weight", 1),
                interval: Duration::from_micros(number(arguments, "every_us", 10_000).into()),
                deadline: duration(arguments, "deadline_ms", 1_000),
                foreground: !arguments.contains_key("background"),
                crashes_server: arguments.contains_key("kills"),
            }),
            "stop" => simulation.stop_load(&text(arguments, "from")),
            "run" => return simulation.run(duration(arguments, "ms", 1_000)),
            "drain" => simulation.drain(),
            "withdraw" => simulation.withdraw_server(),
            "announce" => simulation.announce_server(),
            "restart" => simulation.restart_server(),
            "turns_cold" => simulation.turn_cold(number(arguments, "bears", 1)),
            "domain" => simulation.set_domain_out(arguments.contains_key("out")),
            other => panic!("unknown command: {other}"),
        }
        "ok\n".to_owned()
    }
}

/// Returns the first value of an argument.
fn text(arguments: &Arguments, name: &str) -> String {
    arguments[name][0].clone()
}

/// Returns an argument as a number.
fn number(arguments: &Arguments, name: &str, default: u32) -> u32 {
    let value = arguments.get(name).and_then(|values| values.first());
    value.map_or(default, |value| value.parse().expect("a number"))
}

/// Returns an argument in milliseconds as a duration.
fn duration(arguments: &Arguments, name: &str, default: u32) -> Duration {
    Duration::from_millis(number(arguments, name, default).into())
}
