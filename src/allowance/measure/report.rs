//! Figures of a run, and the table of figures over several seeds.

use std::time::Duration;

use comfy_table::{presets, Table};

use super::fault::NetworkOptions;
use super::network::Network;
use super::scenarios::{self, PolicyKind, Scenario};
use super::score::quantile;

/// Figures of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// Largest number of whole tokens granted above rate and burst, over all organisations and all
    /// intervals.
    pub over_count: u64,
    /// Share of the requests that a single bucket would grant but that were not granted, over all
    /// organisations.
    pub short_share: f64,
    /// The largest `short_share` of any one organisation.
    pub worst_short_share: f64,
    /// Seconds until a dead holder's share was available again, if a holder dies in the scenario.
    pub recovery_s: Option<f64>,
    /// Messages between daemons per second and daemon.
    pub messages_per_s: f64,
    /// Median and 99th percentile of the time that grants took, in milliseconds.
    pub added_ms: (f64, f64),
    /// Number of records in the log.
    pub record_count: usize,
}

/// Computes the figures of a run.
pub fn figures(scenario: &Scenario, network: &Network) -> Figures {
    let scores = &network.scores;
    let ideal: u64 = scores.iter().map(|score| score.ideal_count).sum();
    let short = scores
        .iter()
        .map(|score| score.ideal_count.saturating_sub(score.granted_count));
    let mut waits: Vec<u32> = scores.iter().flat_map(|s| s.waits_us.clone()).collect();
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    let worst = scores.iter().map(|score| score.short_share());
    Figures {
        over_count: scores
            .iter()
            .map(|score| score.whole_over_count())
            .max()
            .unwrap_or(0),
        short_share: short.sum::<u64>() as f64 / ideal.max(1) as f64,
        worst_short_share: worst.fold(0.0, f64::max),
        recovery_s: scenario
            .holder_dies_after
            .map(|holder_dies_after| recovery_s(scenario, network, holder_dies_after)),
        messages_per_s: network.message_count as f64
            / scenario.duration.as_secs_f64()
            / scenarios::DAEMON_COUNT as f64,
        added_ms: (
            ms(quantile(&mut waits, 0.5)),
            ms(quantile(&mut waits, 0.99)),
        ),
        record_count: network.record_count(),
    }
}

/// Returns the seconds from a holder's death to the end of the last second in which an organisation
/// got clearly less than before. Meaningful only if organisations send more than their rates.
fn recovery_s(scenario: &Scenario, network: &Network, holder_dies_after: Duration) -> f64 {
    let organisations = 0..scenario.contracts.len();
    let backs = organisations
        .map(|index| organisation_recovery_s(scenario, network, holder_dies_after, index));
    backs.fold(0.0, f64::max)
}

/// Returns the recovery time of one organisation, in seconds.
fn organisation_recovery_s(
    scenario: &Scenario,
    network: &Network,
    holder_dies_after: Duration,
    organisation: usize,
) -> f64 {
    let seconds = scenario.duration.as_secs() as usize;
    let mut counts = vec![0_u32; seconds + 1];
    for (at, _, granted) in &network.grants {
        if *granted != organisation {
            continue;
        }
        let second = at.saturating_duration_since(network.start()).as_secs();
        counts[second as usize] += 1;
    }
    let first = holder_dies_after.as_secs() as usize;
    let mut back = first;
    let before: u32 = counts[first - BASELINE_S..first].iter().sum();
    let rate = f64::from(before) / BASELINE_S as f64;
    for (second, count) in counts.iter().enumerate().take(seconds - 1).skip(first) {
        if f64::from(*count) < rate * RECOVERED_SHARE {
            back = second + 1;
        }
    }
    (back - first) as f64
}

/// Seconds before the death over which the rate before it is averaged.
const BASELINE_S: usize = 8;
/// A second with at least this share of the rate before the death counts as recovered.
const RECOVERED_SHARE: f64 = 0.85;

/// Runs every scenario with every policy over the seeds. Returns the table and the largest
/// `over_count` of the escrow.
pub fn table(seeds: std::ops::Range<u64>, only: Option<&str>) -> (Table, u64) {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "script",
        "way",
        "most over the bound",
        "refused within rate %",
        "worst organisation %",
        "share back s",
        "messages/s/daemon",
        "added p50 ms",
        "added p99 ms",
        "records",
    ]);
    let mut escrow_over_count = 0;
    for scenario in scenarios::all() {
        if only.is_some_and(|only| !scenario.name.contains(only)) {
            continue;
        }
        for kind in PolicyKind::ALL {
            let runs: Vec<Figures> = seeds
                .clone()
                .map(|seed| {
                    let options = NetworkOptions::default();
                    figures(&scenario, &scenarios::run(&scenario, kind, seed, options))
                })
                .collect();
            if kind == PolicyKind::Escrow {
                let over = runs.iter().map(|run| run.over_count).max();
                escrow_over_count = escrow_over_count.max(over.unwrap_or(0));
            }
            table.add_row(row(&scenario, kind, &runs));
        }
    }
    (table, escrow_over_count)
}

/// Returns the row of one scenario and policy, with minimum, median and maximum over the runs.
fn row(scenario: &Scenario, kind: PolicyKind, runs: &[Figures]) -> Vec<String> {
    let spread = |value: &dyn Fn(&Figures) -> f64, digits: usize| {
        let mut values: Vec<f64> = runs.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        let (low, middle, high) = (
            values[0],
            values[values.len() / 2],
            values[values.len() - 1],
        );
        format!("{low:.digits$} / {middle:.digits$} / {high:.digits$}")
    };
    let back = match scenario.holder_dies_after {
        None => "-".to_owned(),
        Some(_) => spread(&|run| run.recovery_s.unwrap_or(0.0), 0),
    };
    vec![
        scenario.name.to_owned(),
        kind.name().to_owned(),
        spread(&|run| run.over_count as f64, 0),
        spread(&|run| run.short_share * 100.0, 3),
        spread(&|run| run.worst_short_share * 100.0, 3),
        back,
        spread(&|run| run.messages_per_s, 1),
        spread(&|run| run.added_ms.0, 2),
        spread(&|run| run.added_ms.1, 2),
        spread(&|run| run.record_count as f64, 0),
    ]
}
