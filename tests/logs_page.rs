//! Checks that docs/LOGS.md lists exactly the events that the code logs.

use std::collections::BTreeSet;
use std::path::Path;

/// Text of the page.
const PAGE: &str = include_str!("../docs/LOGS.md");

/// Appends the text of every Rust file below a folder to `text`.
fn append_sources(folder: &Path, text: &mut String) {
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            append_sources(&path, text);
            continue;
        }
        if path.extension().is_some_and(|end| end == "rs") {
            text.push_str(&std::fs::read_to_string(&path).expect("a source file"));
        }
    }
}

/// Returns whether a text has the form of an event name: lower-case words joined by underscores.
fn is_event(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte == b'_';
    name.contains('_') && name.bytes().all(is_allowed)
}

/// Returns the first string of a log call that has the form of an event name and is the last
/// argument of the call.
fn first_event(part: &str) -> Option<&str> {
    let pieces: Vec<&str> = part.splitn(PIECE_LIMIT_COUNT, '"').collect();
    pieces.windows(2).find_map(|pair| {
        let ends = pair[1].trim_start().starts_with(')');
        (is_event(pair[0]) && ends).then_some(pair[0])
    })
}

/// Number of pieces into which a log call is split at its quotes; the rest is not searched.
const PIECE_LIMIT_COUNT: usize = 8;

/// Returns the names of the events that the sources log.
fn logged_events() -> BTreeSet<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut text = String::new();
    append_sources(&root.join("src"), &mut text);
    append_sources(&root.join("platform/src"), &mut text);
    let mut names = BTreeSet::new();
    for part in text.split("log::").skip(1) {
        let level = part.split('!').next().unwrap_or_default();
        if !["error", "warn", "info", "debug"].contains(&level) {
            continue;
        }
        names.extend(first_event(part).map(str::to_owned));
    }
    names
}

/// Returns the event names in the first column of the page's table.
fn documented_events() -> BTreeSet<String> {
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next())
        .filter(|name| is_event(name))
        .map(str::to_owned)
        .collect()
}

#[test]
fn page_lists_exactly_the_logged_events() {
    assert_eq!(documented_events(), logged_events());
}
