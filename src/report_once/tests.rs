use super::{shortened, ReportOnce, REPORT_LIMIT_COUNT, TEXT_LIMIT_BYTES};

#[test]
fn a_repeated_fault_is_reported_once() {
    let mut reported = ReportOnce::default();
    assert!(reported.is_new("a", "odd"));
    assert!(!reported.is_new("a", "odd"));
    assert!(reported.is_new("b", "odd"));
    assert!(reported.is_new("a", "odder"));
}

#[test]
fn reported_faults_are_bounded_in_number() {
    let mut reported = ReportOnce::default();
    let new = (0..10 * REPORT_LIMIT_COUNT).filter(|turn| reported.is_new(&turn.to_string(), "odd"));
    assert_eq!(new.count(), REPORT_LIMIT_COUNT);
}

#[test]
fn a_long_text_is_truncated_between_characters() {
    let text = "\u{20ac}".repeat(TEXT_LIMIT_BYTES);
    let short = shortened(&text);
    assert!(short.len() <= TEXT_LIMIT_BYTES && text.starts_with(short));
    assert_eq!(shortened("short"), "short");
}
