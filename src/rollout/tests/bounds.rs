//! Tests of the bounds of a trial.

use std::time::Duration;

use crate::rollout::plan::TrialBounds;

/// Guards against servers under trial that go on beyond the time to roll back, since their driver is
/// cut off.
#[test]
fn a_trial_without_calls_ends_well_within_the_time_to_roll_back() {
    for rollback_ms in [500, 2_000, 5_000, 60_000] {
        let rollback = Duration::from_millis(rollback_ms);
        let bounds = TrialBounds {
            share: 0.1,
            rollback,
        };
        assert!(bounds.hold() * 2 < rollback, "{:?}", bounds.hold());
    }
}
