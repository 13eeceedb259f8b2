//! Checks that `src/` contains no name of the users' platform; only `platform/` may use them.

use std::path::Path;

/// Lower-case names of endpoints, streams and headers of the platform.
const PLATFORM_NAMES: &[&str] = &[
    "instances.heartbeat",
    "instances.deregister",
    "/v1/log-",
    "keyed.op",
    "target-instance",
    "response-signature",
    "not-executed",
    "caller-service",
    "tenant-id",
    "readyz",
    "server-load",
    "cold-start-ms",
];

/// Searches all files below a folder and adds each name with its file to `found`.
fn find_names(folder: &Path, found: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            find_names(&path, found);
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let text = text.to_ascii_lowercase();
        for name in PLATFORM_NAMES.iter().filter(|name| text.contains(**name)) {
            found.push(format!("{name} in {}", path.display()));
        }
    }
}

#[test]
fn source_contains_no_platform_names() {
    let mut found = Vec::new();
    find_names(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut found,
    );
    assert_eq!(found, Vec::<String>::new());
}
