//! Scripted scenarios of the journal under virtual time, over one log that fails as told.
//!
//! A line is `at 3s <what>`, in order of time. What happens: `start a b`, `publish o 10 via a`,
//! `grant k to o via a`, `withdraw k via a`, `log down`, `log up`, `log slow 3s`, `log keeps 2`,
//! `log loses 1`, `checkpoint by a b`, `cut a from b` (or from `log`), `mend`. What is shown: `show a` (the view that
//! requests may rely on) and `show log`. What operators are told is shown when it comes.

#[path = "support/journal_fleet.rs"]
mod journal_fleet;

use std::time::Duration;

use banyanbeam::contract::KeyLookup;
use banyanbeam::settings::journal::JournalSettings;
use banyanbeam::wire::proof::hash_key;
use journal_fleet::JournalFleet;

#[test]
fn scenarios_end_as_written() {
    datadriven::walk("tests/scenarios/journal", |file| {
        file.run(|case| {
            assert_eq!(case.directive, "scenario");
            run(&case.input)
        });
    });
}

fn run(input: &str) -> String {
    let mut fleet = JournalFleet::new(JournalSettings {
        checkpoint_every_count: 5,
        ..Default::default()
    });
    let mut output = String::new();
    for line in input.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["at", time, rest @ ..] = &words[..] else {
            panic!("{line:?} does not begin with a time");
        };
        fleet.run_until(seconds(time));
        for told in fleet.told.drain(..) {
            output.push_str(&format!("{told}\n"));
        }
        if let Some(shown) = step(&mut fleet, rest) {
            output.push_str(&format!("{time}: {shown}\n"));
        }
    }
    output
}

fn seconds(text: &str) -> Duration {
    let seconds = text.strip_suffix('s').expect("a time in seconds");
    Duration::from_secs_f64(seconds.parse().expect("a time in seconds"))
}

fn step(fleet: &mut JournalFleet, words: &[&str]) -> Option<String> {
    match words {
        ["start", names @ ..] => names.iter().for_each(|name| fleet.start(name)),
        ["publish", organisation, rate, "via", daemon] => {
            fleet.publish(daemon, organisation, rate.parse().expect("a rate"));
        }
        ["grant", key, "to", organisation, "via", daemon] => fleet.grant(daemon, key, organisation),
        ["withdraw", key, "via", daemon] => fleet.withdraw(daemon, key),
        ["log", "down"] => fleet.log_down = true,
        ["log", "up"] => fleet.log_down = false,
        ["log", "slow", time] => fleet.log_slow = seconds(time),
        ["log", "keeps", count] => fleet.log.keep(count.parse().expect("a count")),
        ["log", "loses", count] => fleet.lost_answers_count = count.parse().expect("a count"),
        ["checkpoint", "by", names @ ..] => {
            names.iter().for_each(|name| fleet.write_checkpoint(name));
        }
        ["cut", a, "from", b] => {
            fleet.cuts.insert(((*a).to_owned(), (*b).to_owned()));
        }
        ["mend"] => fleet.cuts.clear(),
        ["show", "log"] => return Some(show_log(fleet)),
        ["show", daemon] => return Some(show(fleet, daemon)),
        _ => panic!("{words:?} is not a step"),
    }
    None
}

fn show_log(fleet: &JournalFleet) -> String {
    let records = fleet.log.next("configuration");
    let checkpoints = fleet.log.next("checkpoints");
    format!("log has {records} records and {checkpoints} checkpoints")
}

fn show(fleet: &JournalFleet, daemon: &str) -> String {
    let Some(view) = fleet.view(daemon) else {
        return format!("{daemon} refuses every request");
    };
    let mut rates: Vec<String> = Vec::new();
    for (organisation, contract) in &view.organisations {
        rates.push(format!("{organisation}={}", contract.rate_per_s));
    }
    rates.sort();
    let key = |key| match view.key(&hash_key(key)) {
        KeyLookup::Granted(_) => "granted",
        KeyLookup::Withdrawn => "withdrawn",
        KeyLookup::Unknown => "unknown",
    };
    let durable = if view.tombstones.is_empty() {
        ""
    } else {
        ", not durable"
    };
    let rates = rates.join(" ");
    format!(
        "{daemon} at {}: {rates}, key k {}{durable}",
        view.next,
        key("k")
    )
}
