//! Keeps the table of kinds on docs/PROTOCOL.md true to src/error.rs.

use banyanbeam::error::ERROR_TABLE;

const PAGE: &str = include_str!("../docs/PROTOCOL.md");

#[test]
fn every_kind_stands_on_the_page_as_in_the_table() {
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
