//! Good versions are completed before their deadline, bad ones are rolled back before they hurt.

use super::super::{RolloutState, RolloutStep};
use super::world::{Badness, World};

/// Time of the orders.
const DURATION_MS: u64 = 15_000;

/// Orders a version, and returns the world at its end, how it ended, and when.
fn roll_out(seed: u64, bad: Badness) -> (World, RolloutState, u64) {
    let mut world = World::new(seed, bad);
    world.run_ms(1_000);
    world.order(DURATION_MS);
    let (state, age_ms) = world.run_to_end(20_000).expect("an end");
    world.run_ms(1_000);
    (world, state, age_ms)
}

/// Asserts that a version is rolled back within its bounds, with any of some seeds.
fn assert_rolled_back(bad: Badness) {
    for seed in 0..8 {
        let (world, state, age_ms) = roll_out(seed, bad);
        assert_eq!(
            state,
            RolloutState::RolledBack,
            "seed {seed}, after {age_ms} ms"
        );
        world.assert_exposure(DURATION_MS);
        assert_eq!(world.step("new-0"), RolloutStep::Closed);
        assert_eq!(world.step("old-0"), RolloutStep::None);
        assert_eq!(world.refused_count, 0, "seed {seed}");
    }
}

#[test]
fn good_version_is_completed_before_its_deadline_and_old_servers_are_empty() {
    for seed in 0..20 {
        let (world, state, age_ms) = roll_out(seed, Badness::default());
        assert_eq!(
            state,
            RolloutState::Completed,
            "seed {seed}: {:?}",
            world.log
        );
        assert!(age_ms < DURATION_MS - 1_000, "{age_ms}");
        assert_eq!(world.step("new-0"), RolloutStep::Full);
        assert_eq!(world.step("old-0"), RolloutStep::Closed);
        assert_eq!(world.refused_count, 0);
    }
}

#[test]
fn good_version_with_a_gray_canary_is_completed() {
    for seed in 0..8 {
        let mut world = World::new(seed, Badness::default());
        world.run_ms(1_000);
        world.order(DURATION_MS);
        world.run_ms(2_000);
        let canary = world
            .machines
            .keys()
            .find(|daemon| world.step(daemon) == RolloutStep::Trial);
        let canary = canary.expect("a canary").clone();
        world.machines.get_mut(&canary).expect("a machine").gray = true;
        let end = world.run_to_end(20_000).expect("an end");
        assert_eq!(
            end.0,
            RolloutState::Completed,
            "seed {seed}: {:?}",
            world.log
        );
    }
}

#[test]
fn version_that_fails_half_at_once_is_rolled_back() {
    assert_rolled_back(Badness {
        failed_share: 0.5,
        ..Default::default()
    });
}

#[test]
fn version_that_is_slow_is_rolled_back() {
    assert_rolled_back(Badness {
        slow_share: 0.54,
        ..Default::default()
    });
}

#[test]
fn version_that_turns_bad_late_is_rolled_back() {
    assert_rolled_back(Badness {
        failed_share: 0.5,
        from_ms: 3_000,
        ..Default::default()
    });
}

#[test]
fn version_that_is_bad_on_one_route_is_rolled_back() {
    assert_rolled_back(Badness {
        failed_share: 0.5,
        from_ms: 3_000,
        route: Some("b"),
        ..Default::default()
    });
}

#[test]
fn version_that_is_bad_under_the_load_of_an_old_server_is_rolled_back() {
    assert_rolled_back(Badness {
        failed_share: 0.6,
        load_count: 1,
        ..Default::default()
    });
}
