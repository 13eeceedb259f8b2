//! The product knows no name of the users' platform: those stand in `platform/` only.

use std::path::Path;

const NAMES: &[&str] = &[
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

fn find(folder: &Path, found: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            find(&path, found);
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let text = text.to_ascii_lowercase();
        for name in NAMES.iter().filter(|name| text.contains(**name)) {
            found.push(format!("{name} in {}", path.display()));
        }
    }
}

#[test]
fn no_name_of_the_platform_stands_in_the_product() {
    let mut found = Vec::new();
    find(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut found,
    );
    assert_eq!(found, Vec::<String>::new());
}
