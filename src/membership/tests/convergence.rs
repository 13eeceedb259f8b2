//! Tests that a fleet converges after random disturbances.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::membership::virtual_fleet::VirtualFleet;
use crate::membership::{MembershipEvent, ServerEntry, FULL_SHARE_PERMILLE};
use crate::settings::membership::MembershipSettings;

/// Daemons of the fleet.
const DAEMON_COUNT: usize = 6;
/// Random sequences of steps that are run.
const CASES_COUNT: u32 = 48;
/// Longer than a suspicion, a walk down the digest tree and the interval of calls to gone daemons.
const QUIET: Duration = Duration::from_secs(120);

/// A disturbance or a wait; daemons are given by their indices.
#[derive(Debug, Clone)]
enum Step {
    /// Changes the servers of a daemon.
    Serve(usize),
    /// Pauses a daemon, whose events wait until it resumes.
    Pause(usize),
    /// Ends the pause of a daemon.
    Resume(usize),
    /// Starts a daemon on a new VM in place of its predecessor.
    Replace(usize),
    /// Restarts a daemon at its address.
    Restart(usize),
    /// Sets a clock ahead by this many milliseconds.
    Clock(usize, i64),
    /// Loses all packets from the first daemon to the second.
    Cut(usize, usize),
    /// Ends all cuts of the network.
    Mend,
    /// Makes the platform's log available (`true`) or unavailable.
    Log(bool),
    /// Lets this many milliseconds pass.
    Wait(u64),
}

/// Generates 1 to 39 random steps.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    let daemon = || 0..DAEMON_COUNT;
    let step = prop_oneof![
        4 => daemon().prop_map(Step::Serve),
        2 => daemon().prop_map(Step::Pause),
        2 => daemon().prop_map(Step::Resume),
        1 => daemon().prop_map(Step::Replace),
        2 => daemon().prop_map(Step::Restart),
        2 => (daemon(), -60_000..60_000_i64).prop_map(|(index, ms)| Step::Clock(index, ms)),
        3 => (daemon(), daemon()).prop_map(|(from, to)| Step::Cut(from, to)),
        1 => Just(Step::Mend),
        1 => any::<bool>().prop_map(Step::Log),
        6 => (10..8_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..40)
}

/// Returns the id of the daemon with this index.
fn name(index: usize) -> String {
    format!("daemon-{index}")
}

/// Returns the failure domain of the daemon with this index.
fn domain(index: usize) -> String {
    format!("domain-{}", index % 3)
}

/// Returns a server with this many slots.
fn server(slots_count: u32) -> ServerEntry {
    ServerEntry {
        server: "s".into(),
        service: "workshop".into(),
        slots_count,
        cold: false,
        draining: false,
        share_permille: FULL_SHARE_PERMILLE,
        ..Default::default()
    }
}

/// Applies one step; a changed server gets `number` slots.
fn take(fleet: &mut VirtualFleet, number: u32, step: &Step) {
    match step {
        Step::Serve(index) => {
            fleet.deliver(&name(*index), MembershipEvent::Local(vec![server(number)]));
        }
        Step::Pause(index) => fleet.pause(&name(*index)),
        Step::Resume(index) => fleet.resume(&name(*index)),
        Step::Replace(index) => fleet.start(&name(*index), &domain(*index), &["daemon-0"]),
        Step::Restart(index) => fleet.restart(&name(*index), &["daemon-0"]),
        Step::Clock(index, ahead_ms) => fleet.set_clock(&name(*index), *ahead_ms),
        Step::Cut(from, to) => fleet.cut(&name(*from), &name(*to)),
        Step::Mend => fleet.restore_network(),
        Step::Log(up) => fleet.set_log(*up),
        Step::Wait(ms) => fleet.run_until(fleet.elapsed() + Duration::from_millis(*ms)),
    }
}

/// Runs the steps on a fleet of six daemons, and then lets it recover.
fn run(seed: u64, steps: &[Step]) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(MembershipSettings::default(), seed);
    for index in 0..DAEMON_COUNT {
        fleet.start(&name(index), &domain(index), &[]);
    }
    fleet.run_until(Duration::from_secs(1));
    let mut replaced = BTreeSet::new();
    for (number, step) in steps.iter().enumerate() {
        let step = match *step {
            // Peers may know it only at its old addresses, and a restarted process yields to a
            // later incarnation at other addresses.
            Step::Restart(index) if replaced.contains(&index) => Step::Replace(index),
            _ => step.clone(),
        };
        if let Step::Replace(index) = step {
            replaced.insert(index);
        }
        take(&mut fleet, number as u32 + 1, &step);
    }
    fleet.restore_network();
    fleet.set_log(true);
    for index in 0..DAEMON_COUNT {
        fleet.resume(&name(index));
    }
    fleet.run_until(fleet.elapsed() + QUIET);
    fleet
}

#[test]
fn connected_daemons_end_with_equal_digests_and_all_of_them_in_service() {
    // Arrange
    let config = Config {
        cases: CASES_COUNT,
        failure_persistence: None,
        ..Default::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);

    let result = runner.run(&(any::<u64>(), steps()), |(seed, steps)| {
        // Act
        let fleet = run(seed, &steps);

        // Assert
        let first = fleet.digest("daemon-0");
        for index in 0..DAEMON_COUNT {
            let daemon = name(index);
            prop_assert_eq!(fleet.digest(&daemon), first, "{} differs", daemon);
            let view = fleet.view(&daemon);
            prop_assert_eq!(view.daemons.len(), DAEMON_COUNT);
            for entry in view.daemons.values() {
                let incarnation = fleet.incarnation(&entry.daemon);
                prop_assert_eq!(entry.incarnation, incarnation, "{}", entry.daemon);
            }
            let leaving = view.daemons.values().find(|entry| entry.leaving);
            prop_assert!(leaving.is_none(), "{daemon} misses {leaving:?}");
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
