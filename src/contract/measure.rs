//! Measures what a view costs: memory, and time for each change, snapshot and lookup.

use std::collections::HashMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use comfy_table::{presets, Table};

use super::state::RouteLookup;
use super::{
    Change, KeyLookup, OrganisationContract, Record, RouteContract, ServiceContract, View,
};
use crate::measure::memory::resident_bytes;
use crate::types::{KeyHash, Offset, RouteId};
use crate::wire::proof::hash_key;

/// Number of objects in a view.
#[derive(Debug, Clone, Copy)]
pub struct ViewSize {
    /// Organisations, each with one key.
    pub organisation_count: usize,
    /// Services, which share the routes evenly.
    pub service_count: usize,
    /// Routes of all services together.
    pub route_count: usize,
}

/// Measured cost of a view of one size.
#[derive(Debug, Clone, Copy)]
pub struct ViewCost {
    /// Number of objects in the view.
    pub size: ViewSize,
    /// Resident memory that the view added.
    pub memory_bytes: u64,
    /// Mean time from the text of one record to the view, while the view is built.
    pub build_record: Duration,
    /// Mean time to change one organisation in the whole view and to take a snapshot.
    pub change: Duration,
    /// Time to copy a `std` map of the organisations, for comparison.
    pub plain_copy: Duration,
    /// Mean time to look up a key.
    pub key: Duration,
    /// Mean time to look up a route.
    pub route: Duration,
    /// Mean time to find a route by comparing every route, for comparison.
    pub route_scan: Duration,
    /// Length of the checkpoint in bytes.
    pub checkpoint_bytes: usize,
    /// Time to write the checkpoint as text.
    pub checkpoint_write: Duration,
    /// Time to read the checkpoint from its text.
    pub checkpoint_read: Duration,
}

/// Routes that one organisation may use.
const ORGANISATION_ROUTES_COUNT: usize = 4;
/// Lookups of keys and of routes that are timed.
const LOOKUP_COUNT: usize = 100_000;
/// Changes that are timed.
const CHANGE_COUNT: usize = 1_000;
/// Scans of all routes that are timed.
const SCAN_COUNT: usize = 100;

/// Measures a view of one size. Lookups visit the objects in an order that depends on `seed`.
pub fn measure(size: ViewSize, seed: u64) -> ViewCost {
    let before_bytes = resident_bytes();
    let started_at = Instant::now();
    let mut view = build(size);
    let build_record = started_at.elapsed() / view.next as u32;
    let memory_bytes = resident_bytes().saturating_sub(before_bytes);
    let (checkpoint_bytes, checkpoint_write, checkpoint_read) = time_checkpoint(&view);
    let cost = ViewCost {
        size,
        memory_bytes,
        build_record,
        change: time_changes(&mut view, size),
        plain_copy: time_plain_copy(&view),
        key: time_keys(&view, size, seed),
        route: time_routes(&view, size, seed),
        route_scan: time_scans(&view, size, seed),
        checkpoint_bytes,
        checkpoint_write,
        checkpoint_read,
    };
    // Not freed, so that the next size does not reuse this memory and seem smaller.
    std::mem::forget(view);
    cost
}

/// Returns the costs as a table, with a row for each size.
pub fn table(costs: &[ViewCost]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header([
        "organisations and keys",
        "routes",
        "memory MB",
        "bytes an organisation",
        "build record us",
        "change + snapshot us",
        "plain map copy us",
        "key ns",
        "route ns",
        "route scan ns",
        "checkpoint MB",
        "write ms",
        "read ms",
    ]);
    for cost in costs {
        let organisations = cost.size.organisation_count;
        table.add_row([
            organisations.to_string(),
            cost.size.route_count.to_string(),
            format!("{:.1}", cost.memory_bytes as f64 / 1e6),
            (cost.memory_bytes / organisations as u64).to_string(),
            format!("{:.1}", micros(cost.build_record)),
            format!("{:.1}", micros(cost.change)),
            format!("{:.1}", micros(cost.plain_copy)),
            cost.key.as_nanos().to_string(),
            cost.route.as_nanos().to_string(),
            cost.route_scan.as_nanos().to_string(),
            format!("{:.2}", cost.checkpoint_bytes as f64 / 1e6),
            format!("{:.1}", micros(cost.checkpoint_write) / 1e3),
            format!("{:.1}", micros(cost.checkpoint_read) / 1e3),
        ]);
    }
    table
}

/// Returns a time in microseconds.
fn micros(time: Duration) -> f64 {
    time.as_nanos() as f64 / 1e3
}

/// Builds the view from the text of its records, as a daemon does.
fn build(size: ViewSize) -> View {
    let mut view = View::default();
    let routes_each = size.route_count / size.service_count;
    for service in 0..size.service_count {
        let mut routes = Vec::with_capacity(routes_each);
        for index in 0..routes_each {
            let number = service * routes_each + index;
            routes.push(RouteContract {
                route: route_name(number),
                path_prefix: path_of(number),
                repeatable: true,
                ..Default::default()
            });
        }
        let contract = ServiceContract {
            service: format!("service-{service}").as_str().into(),
            routes,
            ..Default::default()
        };
        append(&mut view, Change::PublishService { contract });
    }
    for number in 0..size.organisation_count {
        let contract = organisation(number, size, 10.0);
        let organisation = contract.organisation.clone();
        append(&mut view, Change::PublishOrganisation { contract });
        let key_hash = key_of(number);
        append(
            &mut view,
            Change::GrantKey {
                organisation,
                key_hash,
            },
        );
    }
    view
}

/// Applies a change to the view by way of the text of its record.
fn append(view: &mut View, change: Change) {
    let offset: Offset = view.next;
    let record = Record {
        operation: u128::from(offset) + 1,
        base: view.base_of(&change),
        author: "measure".to_owned(),
        at_ms: 0,
        change,
    };
    let text = serde_json::to_string(&record).expect("a record serialises to JSON");
    let record: Record = serde_json::from_str(&text).expect("a serialised record is valid");
    view.apply(offset, &record);
}

/// Builds an organisation's contract with a few of the routes.
fn organisation(number: usize, size: ViewSize, rate_per_s: f64) -> OrganisationContract {
    let route = |index| route_name((number * 7 + index) % size.route_count);
    OrganisationContract {
        organisation: format!("organisation-{number}").as_str().into(),
        rate_per_s,
        burst_count: 20,
        routes: (0..ORGANISATION_ROUTES_COUNT).map(route).collect(),
        ..Default::default()
    }
}

/// Returns the name of the route with this number.
fn route_name(number: usize) -> RouteId {
    format!("route-{number}").as_str().into()
}

/// Returns prefixes of different depth, some of which are the start of others.
fn path_of(number: usize) -> String {
    match number % 3 {
        0 => format!("/r{number}"),
        1 => format!("/r{}/items", number - 1),
        _ => format!("/r{}/items/detail", number - 2),
    }
}

/// Returns the hash of the key with this number.
fn key_of(number: usize) -> KeyHash {
    hash_key(&format!("key-{number}"))
}

/// Returns the mean time of a change with a snapshot of the view.
fn time_changes(view: &mut View, size: ViewSize) -> Duration {
    let started_at = Instant::now();
    for index in 0..CHANGE_COUNT {
        let number = (index * 7_919) % size.organisation_count;
        let contract = organisation(number, size, 10.0 + index as f64);
        append(view, Change::PublishOrganisation { contract });
        black_box(std::sync::Arc::new(view.clone()));
    }
    started_at.elapsed() / CHANGE_COUNT as u32
}

/// Returns the time to copy a `std` map of the organisations.
fn time_plain_copy(view: &View) -> Duration {
    let mut plain = HashMap::with_capacity(view.organisations.len());
    for (id, contract) in &view.organisations {
        plain.insert(id.clone(), contract.clone());
    }
    let started_at = Instant::now();
    black_box(plain.clone());
    started_at.elapsed()
}

/// Returns the mean time to look up a key.
fn time_keys(view: &View, size: ViewSize, seed: u64) -> Duration {
    let hashes: Vec<KeyHash> = sequence(size.organisation_count, seed)
        .map(key_of)
        .collect();
    let started_at = Instant::now();
    for key_hash in &hashes {
        assert!(matches!(view.key(key_hash), KeyLookup::Granted(_)));
    }
    started_at.elapsed() / LOOKUP_COUNT as u32
}

/// Returns the mean time to look up a route.
fn time_routes(view: &View, size: ViewSize, seed: u64) -> Duration {
    let paths = paths(size, seed);
    let started_at = Instant::now();
    for path in &paths {
        assert!(matches!(
            view.route("", "GET", path),
            RouteLookup::Found(..)
        ));
    }
    started_at.elapsed() / LOOKUP_COUNT as u32
}

/// Returns the mean time to find a route by comparing every route.
fn time_scans(view: &View, size: ViewSize, seed: u64) -> Duration {
    let paths = paths(size, seed);
    let started_at = Instant::now();
    for path in paths.iter().take(SCAN_COUNT) {
        let routes = view.services.values().flat_map(|service| &service.routes);
        let fitting = routes.filter(|route| path.starts_with(&route.path_prefix));
        assert!(black_box(fitting.max_by_key(|route| route.path_prefix.len())).is_some());
    }
    started_at.elapsed() / SCAN_COUNT as u32
}

/// Returns the length of the checkpoint, and the times to write and to read it.
fn time_checkpoint(view: &View) -> (usize, Duration, Duration) {
    let started_at = Instant::now();
    let text = view.to_checkpoint();
    let write = started_at.elapsed();
    let started_at = Instant::now();
    let read = View::from_checkpoint(&text).expect("a written checkpoint is valid");
    let elapsed = started_at.elapsed();
    assert_eq!(read.next, view.next);
    (text.len(), write, elapsed)
}

/// Returns the paths to look up, in an order that depends on `seed`.
fn paths(size: ViewSize, seed: u64) -> Vec<String> {
    let routes_each = size.route_count / size.service_count;
    let count = routes_each * size.service_count;
    let path = |number| format!("{}/7", path_of(number));
    sequence(count, seed).map(path).collect()
}

/// Returns pseudo-random numbers below `count`, so that caches can't predict the lookups.
fn sequence(count: usize, seed: u64) -> impl Iterator<Item = usize> {
    let mut state = seed.wrapping_mul(2).wrapping_add(1);
    (0..LOOKUP_COUNT).map(move |_| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % count
    })
}
