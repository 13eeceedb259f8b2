//! Tests of configuration and reports with values out of range.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{announcement, request, INCARNATION};
use crate::contract::{ServiceContract, View};
use crate::guard::message::{Announcement, GuardAction, GuardEvent};
use crate::guard::poison::PoisonRecord;
use crate::guard::state::GuardState;
use crate::link::message::PoisonReport;
use crate::settings::guard::GuardSettings;

#[test]
fn a_cold_rate_out_of_range_does_not_crash_the_guard() {
    for cold_rate_per_s in [1e300, f64::INFINITY, f64::NAN, -1.0, f64::MIN_POSITIVE] {
        // Arrange
        let now = Instant::now();
        let settings = GuardSettings {
            cold_rate_factor: 1.5,
            cold_rate_slack_count: u32::MAX,
            ..Default::default()
        };
        let mut state = GuardState::new(settings, INCARNATION);
        let mut view = View::default();
        let contract = ServiceContract {
            service: "v".into(),
            cold_rate_per_s,
            ..Default::default()
        };
        view.services.insert("v".into(), Arc::new(contract));
        state.handle(now, GuardEvent::View(Arc::new(view)));
        let server = Announcement {
            service: "v".into(),
            ..announcement()
        };
        state.handle(now, GuardEvent::Announced(server));

        // Act
        let actions = state.handle(now, GuardEvent::Arrived(request(1, now)));

        // Assert
        let starts = |action: &GuardAction| matches!(action, GuardAction::Start { .. });
        assert!(actions.iter().any(starts), "{cold_rate_per_s}: {actions:?}");
    }
}

#[test]
fn huge_death_counts_in_reports_do_not_crash_the_guard() {
    // Arrange
    let now = Instant::now();
    let mut record = PoisonRecord::new(Duration::from_secs(1), 3);
    let fingerprint = [1; 32];
    let report = PoisonReport {
        fingerprint,
        death_count: u32::MAX,
        holds_for: Duration::MAX,
    };

    // Act
    record.record_report(now, &"b".into(), &report);
    record.record_report(now, &"c".into(), &report);

    // Assert
    let refused_for = record.refused_for(now, &fingerprint);
    assert_eq!(refused_for, Some(Duration::from_secs(1)));
}
