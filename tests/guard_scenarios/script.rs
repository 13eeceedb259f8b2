//! The words of the scripts.

use std::collections::HashMap;
use std::time::Duration;

use super::bench::{Bench, Load, ServerModel};

/// One script in progress.
#[derive(Default)]
pub struct Script {
    bench: Option<Bench>,
}

type Arguments = HashMap<String, Vec<String>>;

impl Script {
    /// Runs one line and gives what it shows.
    pub fn run(&mut self, directive: &str, arguments: &Arguments) -> String {
        if directive == "server" {
            let model = ServerModel {
                slots_count: number(arguments, "slots", 5),
                work: duration(arguments, "work_ms", 20),
                first_count: number(arguments, "bears", 1_000),
                says_cold: arguments.contains_key("says_cold"),
                grows_per_s: number(arguments, "bears_more_each_s", 0),
            };
            self.bench = Some(Bench::new(model, number(arguments, "queue", 32)));
            return "ok\n".to_owned();
        }
        let bench = self.bench.as_mut().expect("a script begins with a server");
        match directive {
            "load" => bench.add_load(Load {
                organisation: text(arguments, "from"),
                weight_share: number(arguments, "weight", 1),
                every: Duration::from_micros(number(arguments, "every_us", 10_000).into()),
                deadline: duration(arguments, "deadline_ms", 1_000),
                foreground: !arguments.contains_key("background"),
                kills: arguments.contains_key("kills"),
            }),
            "stop" => bench.stop_load(&text(arguments, "from")),
            "run" => return bench.run(duration(arguments, "ms", 1_000)),
            "drain" => bench.drain(),
            "withdraw" => bench.withdraw(),
            "announce" => bench.announce(),
            "restart" => bench.restart(),
            "turns_cold" => bench.turn_cold(number(arguments, "bears", 1)),
            "domain" => bench.domain(arguments.contains_key("out")),
            other => panic!("no such word: {other}"),
        }
        "ok\n".to_owned()
    }
}

fn text(arguments: &Arguments, name: &str) -> String {
    arguments[name][0].clone()
}

fn number(arguments: &Arguments, name: &str, default: u32) -> u32 {
    let value = arguments.get(name).and_then(|values| values.first());
    value.map_or(default, |value| value.parse().expect("a number"))
}

fn duration(arguments: &Arguments, name: &str, default: u32) -> Duration {
    Duration::from_millis(number(arguments, name, default).into())
}
