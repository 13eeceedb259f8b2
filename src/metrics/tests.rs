use std::time::Duration;

use super::{Metrics, TIMING_LIMIT_COUNT};

#[test]
fn counters_are_exported_with_help_and_type() {
    let metrics = Metrics::local();
    metrics.add("guard.refused.busy", 3);
    let text = metrics.prometheus_text();
    assert!(text.contains("# TYPE banyanbeam_guard_refused_busy counter\n"));
    assert!(text.contains("\nbanyanbeam_guard_refused_busy 3\n"));
}

#[test]
fn a_timing_is_counted_in_every_bucket_above_it() {
    // Arrange
    let metrics = Metrics::local();

    // Act
    metrics.time("routing.request", Duration::from_millis(7));
    metrics.time("routing.request", Duration::from_millis(70));
    let text = metrics.prometheus_text();

    // Assert
    let name = "banyanbeam_routing_request_seconds";
    assert!(text.contains(&format!("# TYPE {name} histogram\n")));
    for (bound, count) in [("0.005", 0), ("0.01", 1), ("0.1", 2), ("+Inf", 2)] {
        assert!(
            text.contains(&format!("{name}_bucket{{le=\"{bound}\"}} {count}\n")),
            "{text}"
        );
    }
    assert!(text.contains(&format!("{name}_sum 0.077\n")));
}

#[test]
fn timings_beyond_the_limit_of_names_are_counted_as_dropped() {
    let metrics = Metrics::local();
    for index in 0..TIMING_LIMIT_COUNT + 2 {
        metrics.time(&format!("t{index}"), Duration::from_millis(1));
    }
    assert_eq!(metrics.counts()["timings.dropped"], 2);
}
