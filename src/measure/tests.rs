use std::time::Duration;

use super::policy::Policy;
use super::server::Noise;
use super::world::{World, WorldOptions};
use crate::demo::DeploymentName;

fn world(seed: u64) -> World {
    World::new(&WorldOptions {
        deployment: DeploymentName::Nangolo,
        policy: Policy::standard(),
        load_factor: 0.6,
        noise: Noise::CALM,
        seed,
    })
}

#[test]
fn a_run_answers_nearly_all_requests_and_repeats_exactly_with_its_seed() {
    // Arrange
    let mut first = world(1);
    let mut second = world(1);

    // Act
    for world in [&mut first, &mut second] {
        world.run_for(Duration::from_secs(3));
        world.restart_tally();
        world.run_for(Duration::from_secs(5));
    }

    // Assert
    let (good, within) = (first.tally.good_count(), first.tally.within_count());
    assert!(within > 3_000, "{within}");
    assert!(
        good * 100 >= within * 99,
        "{good} of {within}: {:?}",
        first.tally.organisations
    );
    assert_eq!(first.tally.organisations, second.tally.organisations);
    assert_eq!(first.tally.quantile(0.99), second.tally.quantile(0.99));
}
