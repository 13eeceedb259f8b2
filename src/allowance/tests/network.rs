//! Runs the real states over a simulated network with random combinations of faults.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRng, TestRunner};

use crate::allowance::measure::fault::{Fault, NetworkOptions};
use crate::allowance::measure::load::{Load, Spread};
use crate::allowance::measure::network::Network;
use crate::allowance::measure::scenarios::{self, PolicyKind};
use crate::contract::OrganisationContract;

const DAEMON_COUNT: usize = 4;
/// Length of a run, in seconds.
const RUN_S: u64 = 30;

fn contract(organisation: &str, rate_per_s: f64, burst_count: u32) -> OrganisationContract {
    OrganisationContract {
        organisation: organisation.into(),
        rate_per_s,
        burst_count,
        ..Default::default()
    }
}

/// Generates any fault that a scenario may contain.
fn any_fault() -> impl Strategy<Value = Fault> {
    let daemon = 0..DAEMON_COUNT;
    prop_oneof![
        daemon.clone().prop_map(Fault::Start),
        daemon.clone().prop_map(Fault::Crash),
        daemon.clone().prop_map(Fault::Raise),
        daemon.clone().prop_map(Fault::Leave),
        (daemon.clone(), 1..8_u64)
            .prop_map(|(daemon, s)| Fault::Pause(daemon, Duration::from_secs(s))),
        any::<bool>().prop_map(Fault::LogDown),
        (daemon.clone(), daemon.clone(), any::<bool>()).prop_map(|(a, b, c)| Fault::Cut(a, b, c)),
        (daemon.clone(), daemon.clone(), any::<bool>())
            .prop_map(|(a, b, c)| Fault::CutOneWay(a, b, c)),
        (daemon, any::<bool>()).prop_map(|(daemon, cut)| Fault::LogCut(daemon, cut)),
        (1..40_u32).prop_map(|burst| Fault::Publish(contract("changing", 20.0, burst))),
    ]
}

/// Generates a seed and up to 15 faults with their times in milliseconds.
fn fault_script() -> impl Strategy<Value = (u64, Vec<(u64, Fault)>)> {
    let at_ms = 1_000..RUN_S * 1_000;
    let faults = prop::collection::vec((at_ms, any_fault()), 0..16);
    (any::<u64>(), faults)
}

/// Runs the faults on four daemons under three times the contracted load.
fn run(seed: u64, faults: &[(u64, Fault)]) -> Network {
    let options = NetworkOptions {
        seed,
        domain_count: 2,
        daemon_count: DAEMON_COUNT,
        loss_share: 0.05,
        duplicate_share: 0.1,
        late_share: 0.2,
        ..Default::default()
    };
    let contracts = [
        contract("changing", 20.0, 40),
        contract("steady", 30.0, 9),
        contract("single", 10.0, 2),
    ];
    let mut network = Network::new(
        options,
        PolicyKind::Escrow.factory(DAEMON_COUNT),
        &contracts,
    );
    for daemon in 0..DAEMON_COUNT {
        network.schedule_fault(Duration::ZERO, Fault::Start(daemon));
    }
    for (at_ms, fault) in faults {
        network.schedule_fault(Duration::from_millis(*at_ms), fault.clone());
    }
    for (organisation, contract) in contracts.iter().enumerate() {
        let load = Load {
            organisation,
            rate_per_s: contract.rate_per_s * 3.0,
            spread: Spread::Even,
            begins_after: Duration::from_secs(1),
            ends_after: Duration::from_secs(RUN_S),
        };
        load.schedule(seed, DAEMON_COUNT, &mut network);
    }
    network.run_until(Duration::from_secs(RUN_S));
    network
}

#[test]
fn no_sequence_of_faults_grants_more_than_rate_and_burst() {
    // Arrange
    let config = Config {
        cases: 12,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let granted_count = std::cell::Cell::new(0);

    // Act
    let outcome = runner.run(&fault_script(), |(seed, faults)| {
        let network = run(seed, &faults);
        for score in &network.scores {
            granted_count.set(granted_count.get() + score.granted_count);
            prop_assert_eq!(score.whole_over_count(), 0);
        }
        Ok(())
    });

    // Assert
    assert_eq!(outcome, Ok(()));
    assert!(granted_count.get() > 0);
}

#[test]
fn the_share_of_a_crashed_holder_is_granted_again_within_ten_seconds() {
    assert_share_is_granted_ten_seconds_after(Fault::Crash(0));
}

#[test]
fn the_share_of_a_holder_with_a_raised_incarnation_is_granted_again_within_ten_seconds() {
    assert_share_is_granted_ten_seconds_after(Fault::Raise(0));
}

/// From ten seconds after the fault, grants must reach 80% of every contracted rate.
fn assert_share_is_granted_ten_seconds_after(fault: Fault) {
    // Arrange
    let faults = [(10_000, fault)];

    // Act
    let network = run(7, &faults);

    // Assert
    let late = network.start() + Duration::from_secs(20);
    for (organisation, contract) in [(0, 20.0), (1, 30.0), (2, 10.0)] {
        let grants = network.grants.iter();
        let count = grants
            .filter(|(at, _, granted)| *at >= late && *granted == organisation)
            .count();
        let whole = contract * (RUN_S - 20) as f64;
        assert!(
            count as f64 >= whole * 0.8,
            "organisation {organisation}: {count} of {whole}"
        );
    }
}

#[test]
fn every_short_scenario_with_faults_stays_within_the_bound() {
    for scenario in scenarios::all() {
        let short = scenario.duration <= Duration::from_secs(70);
        if !short || scenario.faults.is_empty() {
            continue;
        }
        let network = scenarios::run(&scenario, PolicyKind::Escrow, 1, NetworkOptions::default());
        for score in &network.scores {
            assert_eq!(score.whole_over_count(), 0, "{}", scenario.name);
        }
    }
}
