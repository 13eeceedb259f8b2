use std::time::Duration;

use super::policy::Policy;
use super::server::{Fault, Noise};
use super::simulation::{Simulation, SimulationOptions};
use crate::demo::DeploymentName;
use crate::settings::routing::RoutingSettings;

/// Returns options of `nangolo` at 0.6 of the contracted rates with healthy servers.
fn options(seed: u64) -> SimulationOptions {
    SimulationOptions {
        deployment: DeploymentName::Nangolo,
        policy: Policy::standard(),
        load_factor: 0.6,
        noise: Noise::LOW_NOISE,
        seed,
    }
}

/// Returns a simulation of these options.
fn new_simulation(seed: u64) -> Simulation {
    Simulation::new(&options(seed))
}

#[test]
fn a_run_answers_99_percent_of_requests_and_repeats_exactly_with_its_seed() {
    // Arrange
    let mut first = new_simulation(1);
    let mut second = new_simulation(1);

    // Act
    for simulation in [&mut first, &mut second] {
        simulation.run_for(Duration::from_secs(3));
        simulation.take_tally();
        simulation.run_for(Duration::from_secs(5));
    }

    // Assert
    let (good, within) = (first.tally.good_count(), first.tally.within_rate_count());
    assert!(within > 3_000, "{within}");
    assert!(
        good * 100 >= within * 99,
        "{good} of {within}: {:?}",
        first.tally.organisations
    );
    assert_eq!(first.tally.organisations, second.tally.organisations);
    assert_eq!(first.tally.quantile(0.99), second.tally.quantile(0.99));
}

/// Share of the requests at every server that hang until they are given up.
const HUNG_SHARE: f64 = 0.06;

/// Plays the same load on servers that hang on some requests. Returns how many requests within the
/// rate were answered well, and how many there were.
fn answered_of_hanging_servers(end_hung_runs: bool) -> (u64, u64) {
    let standard = Policy::standard();
    let policy = Policy {
        routing: RoutingSettings {
            end_hung_runs,
            ..standard.routing.clone()
        },
        ..standard
    };
    let mut simulation = Simulation::new(&SimulationOptions {
        policy,
        ..options(5)
    });
    simulation.run_for(Duration::from_secs(4));
    let share = HUNG_SHARE;
    for node in 0..simulation.nodes.len() {
        simulation.set_fault(node, Some(Fault::Stuck { share }));
    }
    simulation.take_tally();
    simulation.run_for(Duration::from_secs(8));
    let tally = &simulation.tally;
    (tally.good_count(), tally.within_rate_count())
}

#[test]
fn requests_that_hang_at_one_server_are_answered_by_another_in_time() {
    // Act
    let (before, asked_before) = answered_of_hanging_servers(false);
    let (after, asked_after) = answered_of_hanging_servers(true);

    // Assert
    println!(
        "answered {before} of {asked_before} without the limit, {after} of {asked_after} with it"
    );
    let failed_before = asked_before - before;
    let failed_after = asked_after - after;
    assert!(
        failed_after * 2 < failed_before,
        "{failed_before} {failed_after}"
    );
}
