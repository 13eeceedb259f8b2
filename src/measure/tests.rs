use std::time::Duration;

use super::policy::Policy;
use super::server::Noise;
use super::simulation::{Simulation, SimulationOptions};
use crate::demo::DeploymentName;

/// Returns a simulation of `nangolo` at 0.6 of the contracted rates with healthy servers.
fn new_simulation(seed: u64) -> Simulation {
    Simulation::new(&SimulationOptions {
        deployment: DeploymentName::Nangolo,
        policy: Policy::standard(),
        load_factor: 0.6,
        noise: Noise::LOW_NOISE,
        seed,
    })
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
