//! Keeps docs/LOGS.md true to the events that the code logs.

use std::collections::BTreeSet;
use std::path::Path;

const PAGE: &str = include_str!("../docs/LOGS.md");

/// Source text of a folder, all files together.
fn sources(folder: &Path, text: &mut String) {
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, text);
            continue;
        }
        if path.extension().is_some_and(|end| end == "rs") {
            text.push_str(&std::fs::read_to_string(&path).expect("a source file"));
        }
    }
}

fn is_event(name: &str) -> bool {
    let known = |byte: u8| byte.is_ascii_lowercase() || byte == b'_';
    name.contains('_') && name.bytes().all(known)
}

/// The first text that is a plain name and ends the call it stands in.
fn first_event(part: &str) -> Option<&str> {
    let pieces: Vec<&str> = part.splitn(TEXT_LIMIT_COUNT, '"').collect();
    pieces.windows(2).find_map(|pair| {
        let ends = pair[1].trim_start().starts_with(')');
        (is_event(pair[0]) && ends).then_some(pair[0])
    })
}

/// Texts of one call that are looked at.
const TEXT_LIMIT_COUNT: usize = 8;

/// Names of events: the text of each log line that is a plain name.
fn logged() -> BTreeSet<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut text = String::new();
    sources(&root.join("src"), &mut text);
    sources(&root.join("platform/src"), &mut text);
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

/// Names in the first column of the page's table.
fn documented() -> BTreeSet<String> {
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next())
        .filter(|name| is_event(name))
        .map(str::to_owned)
        .collect()
}

#[test]
fn every_event_stands_on_the_page_and_no_other() {
    assert_eq!(documented(), logged());
}
