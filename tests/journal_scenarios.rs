//! Scripted scenarios of the journal under virtual time, over one log with faults.
//!
//! A line is `at 3s <step>`, in order of time. Steps that change something: `start a b`,
//! `publish o 10 via a`, `grant k to o via a`, `withdraw k via a`, `log down`, `log up`,
//! `log slow 3s`, `log keeps 2`, `log loses 1`, `checkpoint by a b`, `cut a from b` (or from
//! `log`), `mend`. Steps that print: `show a` (the view that requests may rely on) and `show log`.
//! The results of changes that operators get are printed before the next step.

#[path = "support/journal_fleet.rs"]
mod journal_fleet;

use std::time::Duration;

use banyanbeam::contract::KeyLookup;
use banyanbeam::settings::journal::JournalSettings;
use banyanbeam::wire::proof::hash_key;
use journal_fleet::JournalFleet;

#[test]
fn scenarios_match_expected_output() {
    datadriven::walk("tests/scenarios/journal", |file| {
        file.run(|case| {
            assert_eq!(case.directive, "scenario");
            run_scenario(&case.input)
        });
    });
}

/// Runs one scenario and returns what it prints.
fn run_scenario(input: &str) -> String {
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
        for result in fleet.operator_results.drain(..) {
            output.push_str(&format!("{result}\n"));
        }
        if let Some(shown) = run_step(&mut fleet, rest) {
            output.push_str(&format!("{time}: {shown}\n"));
        }
    }
    output
}

fn seconds(text: &str) -> Duration {
    let seconds = text.strip_suffix('s').expect("a time in seconds");
    Duration::from_secs_f64(seconds.parse().expect("a time in seconds"))
}

/// Runs one step and returns the line that it prints, if any.
fn run_step(fleet: &mut JournalFleet, words: &[&str]) -> Option<String> {
    match words {
        ["start", names @ ..] => names.iter().for_each(|name| fleet.start(name)),
        ["publish", organisation, rate, "via", daemon] => {
            fleet.publish(daemon, organisation, rate.parse().expect("a rate"));
        }
        ["grant", key, "to", organisation, "via", daemon] => fleet.grant(daemon, key, organisation),
        ["withdraw", key, "via", daemon] => fleet.withdraw(daemon, key),
        ["log", "down"] => fleet.log_down = true,
        ["log", "up"] => fleet.log_down = false,
        ["log", "slow", time] => fleet.log_delay = seconds(time),
        ["log", "keeps", count] => fleet.log.set_retention(count.parse().expect("a count")),
        ["log", "loses", count] => fleet.lost_answers_count = count.parse().expect("a count"),
        ["checkpoint", "by", names @ ..] => {
            names.iter().for_each(|name| fleet.write_checkpoint(name));
        }
        ["cut", a, "from", b] => {
            fleet.cuts.insert(((*a).to_owned(), (*b).to_owned()));
        }
        ["mend"] => fleet.cuts.clear(),
        ["show", "log"] => return Some(show_log(fleet)),
        ["show", daemon] => return Some(show_daemon(fleet, daemon)),
        _ => panic!("{words:?} is not a step"),
    }
    None
}

/// Returns the text of `show log`.
fn show_log(fleet: &JournalFleet) -> String {
    let records = fleet.log.next("configuration");
    let checkpoints = fleet.log.next("checkpoints");
    format!("log has {records} records and {checkpoints} checkpoints")
}

/// Returns the text of `show` for a daemon.
fn show_daemon(fleet: &JournalFleet, daemon: &str) -> String {
    let Some(view) = fleet.view(daemon) else {
        return format!("{daemon} refuses every request");
    };
    let mut rates: Vec<String> = Vec::new();
    for (organisation, contract) in &view.organisations {
        rates.push(format!("{organisation}={}", contract.rate_per_s));
    }
    rates.sort();
    let key_state = |key| match view.key(&hash_key(key)) {
        KeyLookup::Granted(_) => "granted",
        KeyLookup::Withdrawn => "withdrawn",
        KeyLookup::Unknown => "unknown",
    };
    let durability = if view.tombstones.is_empty() {
        ""
    } else {
        ", not durable"
    };
    let rates = rates.join(" ");
    format!(
        "{daemon} at {}: {rates}, key k {}{durability}",
        view.next,
        key_state("k")
    )
}
