//! Failures of drivers, daemons, the store and orders during a roll-out.

use super::super::{RolloutState, RolloutStep};
use super::world::{Badness, StoreMode, World, NEW, OLD};

/// Time of the orders.
const DURATION_MS: u64 = 15_000;

/// A version that fails half of its requests.
const FAILING: Badness = Badness {
    failed_share: 0.5,
    slow_share: 0.0,
    from_ms: 3_000,
    route: None,
    load_count: 0,
};

/// Returns a world with an order for a version.
fn ordered(bad: Badness) -> World {
    let mut world = World::new(1, bad);
    world.run_ms(1_000);
    world.order(DURATION_MS);
    world
}

/// Asserts that a world ends as its version deserves, and no order twice.
fn assert_end(mut world: World, expected: RolloutState, what: &str) {
    let end = world.run_to_end(20_000);
    world.run_ms(3_000);
    world.assert_ends_once();
    let (state, age_ms) = end.unwrap_or_else(|| panic!("{what}: no end: {:?}", world.log));
    assert_eq!(state, expected, "{what}: {:?}", world.log);
    assert!(age_ms < DURATION_MS, "{what}: {age_ms}");
    let (new, old) = match expected {
        RolloutState::Completed => (RolloutStep::Full, RolloutStep::Closed),
        _ => (RolloutStep::Closed, RolloutStep::None),
    };
    for (daemon, machine) in &world.machines {
        if machine.state.is_some() && !machine.cut {
            let step = if machine.version == NEW { new } else { old };
            assert_eq!(world.step(daemon), step, "{what}: {daemon}");
        }
    }
}

#[test]
fn driver_killed_at_any_time_is_replaced() {
    for at_ms in (0..12_000).step_by(1_500) {
        for (bad, expected) in [
            (Badness::default(), RolloutState::Completed),
            (FAILING, RolloutState::RolledBack),
        ] {
            let mut world = ordered(bad);
            world.run_ms(at_ms);
            let driver = world.driver();
            world.kill(&driver);
            assert_end(world, expected, &format!("killed at {at_ms}"));
        }
    }
}

#[test]
fn writer_killed_after_each_record_is_replaced() {
    for record_count in 1..4 {
        let mut world = ordered(Badness::default());
        while world.log.len() < record_count {
            world.run_ms(10);
        }
        let writer = world.last_writer.clone().expect("a writer");
        world.kill(&writer);
        assert_end(
            world,
            RolloutState::Completed,
            &format!("record {record_count}"),
        );
    }
}

#[test]
fn two_drivers_write_one_end() {
    for at_ms in [1_000, 5_500, 6_500, 8_000] {
        for (bad, expected) in [
            (Badness::default(), RolloutState::Completed),
            (FAILING, RolloutState::RolledBack),
        ] {
            let mut world = ordered(bad);
            world.run_ms(at_ms);
            let driver = world.driver();
            world.machines.get_mut(&driver).expect("a machine").cut = true;
            assert_end(world, expected, &format!("cut at {at_ms}"));
        }
    }
}

#[test]
fn lost_answers_of_the_store_do_not_end_a_roll_out_twice() {
    for (bad, expected) in [
        (Badness::default(), RolloutState::Completed),
        (FAILING, RolloutState::RolledBack),
    ] {
        for from_ms in (0..9_000).step_by(1_500) {
            let mut world = ordered(bad);
            world.run_ms(from_ms);
            world.store = StoreMode::AnswersLost;
            world.run_ms(2_000);
            world.store = StoreMode::Up;
            assert_end(world, expected, &format!("lost from {from_ms}"));
        }
    }
}

#[test]
fn store_that_is_down_for_a_while_delays_the_end() {
    for from_ms in (0..9_000).step_by(1_500) {
        let mut world = ordered(Badness::default());
        world.run_ms(from_ms);
        world.store = StoreMode::Down;
        world.run_ms(2_500);
        world.store = StoreMode::Up;
        assert_end(
            world,
            RolloutState::Completed,
            &format!("down from {from_ms}"),
        );
    }
}

#[test]
fn bad_version_is_closed_while_the_store_is_down() {
    let mut world = ordered(FAILING);
    world.run_ms(2_500);
    world.store = StoreMode::Down;
    world.run_ms(4_000);
    world.assert_exposure(DURATION_MS);
    assert_eq!(world.step("new-0"), RolloutStep::Closed);
    world.store = StoreMode::Up;
    assert_end(world, RolloutState::RolledBack, "down");
}

#[test]
fn restart_of_all_daemons_goes_on_from_the_record() {
    for at_ms in [500, 3_000, 7_000, 9_000, 14_000] {
        let mut world = ordered(Badness::default());
        world.run_ms(at_ms);
        let daemons: Vec<_> = world.machines.keys().cloned().collect();
        for daemon in &daemons {
            world.kill(daemon);
            world.start(daemon);
        }
        assert_end(
            world,
            RolloutState::Completed,
            &format!("restart at {at_ms}"),
        );
    }
}

#[test]
fn withdrawn_order_restricts_nothing() {
    let mut world = ordered(Badness::default());
    world.run_ms(8_000);
    world.orders.clear();
    world.tell_orders();
    world.run_ms(1_000);
    assert_eq!(world.step("old-0"), RolloutStep::None);
    assert_eq!(world.step("new-0"), RolloutStep::None);
}

#[test]
fn second_order_closes_the_first_version_and_goes_on() {
    let mut world = ordered(FAILING);
    world.run_ms(2_000);
    for index in 0..6 {
        world.add(&format!("next-{index}"), "v3");
    }
    world.order_version("v3", DURATION_MS);
    let (state, _) = world.run_to_end(20_000).expect("an end");
    assert_eq!(state, RolloutState::Completed);
    assert_eq!(
        world.log.last().map(|status| &*status.target_version),
        Some("v3")
    );
    assert_eq!(world.new_count, 0);
    assert_eq!(world.step("new-0"), RolloutStep::Closed);
}

#[test]
fn servers_that_come_late_take_the_step_of_the_others() {
    let mut world = ordered(Badness::default());
    world.run_ms(9_000);
    world.add("late-new", NEW);
    world.add("late-old", OLD);
    world.run_ms(1_500);
    assert_eq!(world.step("late-new"), RolloutStep::Full);
    assert_eq!(world.step("late-old"), RolloutStep::Closed);
}

#[test]
fn version_whose_servers_all_die_is_rolled_back() {
    let mut world = ordered(Badness::default());
    while world.step("old-0") != RolloutStep::Closed {
        world.run_ms(10);
    }
    let daemons: Vec<_> = world.machines.keys().cloned().collect();
    for daemon in daemons.iter().filter(|daemon| daemon.starts_with("new")) {
        world.kill(daemon);
    }
    assert_end(world, RolloutState::RolledBack, "all dead");
}

#[test]
fn orders_that_cannot_be_carried_out_get_a_status_that_says_so() {
    for (version, duration_ms) in [("", DURATION_MS), (NEW, 0), ("v9", 4_000)] {
        let mut world = World::new(1, Badness::default());
        world.run_ms(1_000);
        world.order_version(version, duration_ms);
        let end = world.run_to_end(10_000).map(|end| end.0);
        assert_eq!(
            end,
            Some(RolloutState::RolledBack),
            "{version}, {duration_ms}"
        );
        assert_ne!(world.log.last().map(|status| &*status.reason), Some(""));
        assert_eq!(world.step("old-0"), RolloutStep::None);
    }
}

#[test]
fn trial_that_no_driver_renews_closes() {
    let mut world = ordered(Badness::default());
    world.run_ms(2_000);
    let is_trial = |world: &World, daemon: &str| world.step(daemon) == RolloutStep::Trial;
    let canary = world
        .machines
        .keys()
        .find(|daemon| is_trial(&world, daemon))
        .cloned();
    let canary = canary.expect("a canary");
    world.machines.get_mut(&canary).expect("a machine").cut = true;
    world.run_ms(3_000);
    assert_eq!(world.step(&canary), RolloutStep::Closed);
}

#[test]
fn trial_goes_on_where_a_domain_goes_out_of_service() {
    for (bad, expected) in [
        (Badness::default(), RolloutState::Completed),
        (FAILING, RolloutState::RolledBack),
    ] {
        let mut world = ordered(bad);
        world.run_ms(500);
        world.domains_out.insert("north".into());
        world.tell_orders();
        assert_end(world, expected, "north out");
    }
}
