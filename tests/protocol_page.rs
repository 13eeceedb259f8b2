//! Checks that the table of error kinds in docs/PROTOCOL.md matches `ERROR_TABLE`.

use banyanbeam::error::ERROR_TABLE;

/// Text of the page.
const PAGE: &str = include_str!("../docs/PROTOCOL.md");

#[test]
fn page_lists_every_error_kind() {
    for row in ERROR_TABLE {
        let line = format!(
            "| `{}` | {} | {} | {} |",
            row.code,
            row.status,
            row.ran.as_str(),
            row.text
        );
        assert!(PAGE.lines().any(|found| found == line), "{line}");
    }
}
