//! Load on servers that reset most of their calls in spells, and now and then a call at other times.
//!
//! The states of the entries and of the guards are those of `serve`. The tests print what callers
//! get with each number of resets that opens a breaker.

use std::ops::Range;
use std::time::Duration;

use super::policy::Policy;
use super::server::{Fault, Noise};
use super::simulation::{Simulation, SimulationOptions};
use crate::demo::DeploymentName;
use crate::settings::guard::GuardSettings;
use crate::settings::routing::RoutingSettings;

/// Factor on the time that the demonstration's requests take, so that they take about 0.3 s.
const WORK_FACTOR: u32 = 8;
/// Seeds of the runs that are added up.
const SEEDS: Range<u64> = 1..4;
/// Length of a spell.
const SPELL: Duration = Duration::from_millis(2_700);
/// Time for which entries and guards learn before callers are counted.
const WARM_UP: Duration = Duration::from_secs(6);
/// Time for which callers are counted.
const COUNTED: Duration = Duration::from_secs(27);
/// Time from one spell of a server to its next.
const INTERVAL: Duration = Duration::from_secs(9);
/// Step by which the spells of two servers are apart.
const OFFSET_STEP: Duration = Duration::from_millis(1_300);

/// How the servers fail.
#[derive(Clone, Copy)]
struct Resets {
    /// Length of a spell.
    length: Duration,
    /// Share of calls that break outside of spells.
    stray_share: f64,
}

/// What callers got, as shares of their requests within the contracted rate.
#[derive(Debug, Clone, Copy)]
struct Shares {
    /// Answered well in time.
    good_share: f64,
    /// Refused without being run.
    refused_share: f64,
    /// Failed, or with an unknown outcome.
    failed_share: f64,
}

/// Returns the options of a run with guards and entries as they are deployed.
fn options(reset_count: usize, load_factor: f64, seed: u64) -> SimulationOptions {
    let guard = GuardSettings {
        breaker_open_ms: 350,
        breaker_reset_count: reset_count,
        suspect_cold: false,
        ..Default::default()
    };
    let routing = RoutingSettings {
        attempt_limit_count: 3,
        refusals_limit_count: 12,
        free_slot_tries_count: 2,
        free_slot_wait_share: 0.125,
        queue_wait_share: 0.5,
        retry_failed_answers: true,
        park_share: 0.5,
        draw_count: 8,
        ..Default::default()
    };
    SimulationOptions {
        deployment: DeploymentName::Nangolo,
        policy: Policy {
            guard,
            routing,
            health: None,
            ..Policy::standard()
        },
        load_factor: load_factor / f64::from(WORK_FACTOR),
        noise: Noise::LOW_NOISE,
        seed,
    }
}

/// Plays the load and returns what callers got.
fn play(resets: Resets, reset_count: usize, load_factor: f64) -> Shares {
    let (mut good, mut refused, mut failed, mut all) = (0, 0, 0, 0);
    for seed in SEEDS {
        let mut simulation = Simulation::new(&options(reset_count, load_factor, seed));
        for node in 0..simulation.nodes.len() {
            simulation.nodes[node].server.work *= WORK_FACTOR;
            let fault = Fault::ResetSpells {
                interval: INTERVAL,
                length: resets.length,
                offset: OFFSET_STEP * (node as u32 % 7),
                spell_share: 0.85,
                stray_share: resets.stray_share,
            };
            simulation.set_fault(node, Some(fault));
        }
        simulation.run_for(WARM_UP);
        simulation.take_tally();
        simulation.run_for(COUNTED);
        good += simulation.tally.good_count();
        refused += simulation.tally.refused_count();
        failed += simulation.tally.failed_count();
        all += simulation.tally.within_rate_count();
    }
    let share = |count: u64| count as f64 / all.max(1) as f64;
    Shares {
        good_share: share(good),
        refused_share: share(refused),
        failed_share: share(failed),
    }
}

/// Loads in which sound servers reset a call now and then: name, length of a spell, share of such
/// resets.
const LOADS: [(&str, Duration, f64); 2] = [("strays", Duration::ZERO, 0.03), ("both", SPELL, 0.01)];
/// Load of the servers, as a multiple of the contracted rates.
const LOAD_FACTOR: f64 = 0.9;

#[test]
fn where_sound_servers_reset_calls_a_breaker_that_waits_for_a_second_reset_serves_more() {
    println!("| resets | count | good | refused | failed |");
    for (name, length, stray_share) in LOADS {
        let resets = Resets {
            length,
            stray_share,
        };
        let [before, after] = [1, 2].map(|reset_count| {
            let got = play(resets, reset_count, LOAD_FACTOR);
            let (good, refused, failed) = (got.good_share, got.refused_share, got.failed_share);
            println!("| {name} | {reset_count} | {good:.3} | {refused:.3} | {failed:.3} |");
            good
        });
        assert!(after > before, "{name}: {before} {after}");
    }
}
