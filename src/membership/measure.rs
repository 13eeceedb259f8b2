//! Measures membership under virtual time, with message sizes of the real encoding.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use comfy_table::{presets, Table};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::message::{DaemonEntry, MembershipEvent, ServerEntry, FULL_SHARE_PERMILLE};
use super::state::MembershipState;
use super::virtual_fleet::VirtualFleet;
use crate::measure::memory::resident_bytes;
use crate::settings::membership::MembershipSettings;
use crate::types::DaemonId;

/// Parameters of a measurement.
#[derive(Debug, Clone)]
pub struct MeasureSettings {
    /// Fleet sizes to measure, in daemons.
    pub daemon_counts: Vec<usize>,
    /// Backend servers on each daemon's VM.
    pub servers_count: usize,
    /// Changes per second over the whole fleet.
    pub changes_per_s: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Failure domains that the daemons are spread over.
const DOMAIN_COUNT: usize = 6;
/// Longest time waited until all daemons of a fleet that starts at once have equal digests.
const EQUAL_LIMIT: Duration = Duration::from_secs(1_800);
/// Time over which bytes are counted, once without and once with changes.
const MEASURED_TIME: Duration = Duration::from_secs(120);
/// Longest time waited for a change to reach all daemons, or for a new daemon to know all others.
const WAIT_LIMIT: Duration = Duration::from_secs(300);
/// Interval of checking whether a condition holds.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Measured figures of one fleet size.
struct FleetFigures {
    /// Virtual seconds from the start of all daemons until their digests are equal.
    equal_after_s: f64,
    /// Bytes per second of each daemon while nothing changes.
    idle_bytes_per_s: Spread,
    /// Bytes per second of each daemon while servers change.
    busy_bytes_per_s: Spread,
    /// Seconds from a change until all daemons know it.
    change_s: Spread,
    /// Seconds that a new daemon takes to learn the whole fleet.
    full_sync_s: f64,
    /// Bytes that the new daemon receives meanwhile.
    full_sync_bytes: u64,
    /// Processor time of one daemon while nothing changes, in percent of one core.
    processor_share_percent: f64,
}

/// Median and greatest of some values.
#[derive(Default)]
struct Spread {
    median: f64,
    greatest: f64,
}

impl Spread {
    fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        Spread {
            median: values.get(values.len() / 2).copied().unwrap_or(f64::NAN),
            greatest: values.last().copied().unwrap_or(f64::NAN),
        }
    }
}

/// Measures fleets of several sizes and returns a Markdown table.
pub fn fleet_table(settings: &MeasureSettings) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "daemons",
        "all started at once: equal after s",
        "idle bytes/s, median / most",
        "with changes",
        "change everywhere s, median / last",
        "first view s",
        "first view bytes",
        "processor of a daemon %",
    ]);
    for daemon_count in &settings.daemon_counts {
        let found = measure_fleet(settings, *daemon_count);
        table.add_row([
            daemon_count.to_string(),
            format!("{:.0}", found.equal_after_s),
            format_spread(&found.idle_bytes_per_s, 0),
            format_spread(&found.busy_bytes_per_s, 0),
            format_spread(&found.change_s, 1),
            format!("{:.1}", found.full_sync_s),
            found.full_sync_bytes.to_string(),
            format!("{:.3}", found.processor_share_percent),
        ]);
    }
    table.to_string()
}

fn format_spread(spread: &Spread, digits: usize) -> String {
    format!(
        "{:.*} / {:.*}",
        digits, spread.median, digits, spread.greatest
    )
}

fn daemon_name(index: usize) -> String {
    format!("daemon-{index:05}")
}

fn domain_name(index: usize) -> String {
    format!("domain-{}", index % DOMAIN_COUNT)
}

/// Returns the servers of one daemon. `slots_count` is set for the first one, to mark a change.
fn make_servers(index: usize, count: usize, slots_count: u32) -> Vec<ServerEntry> {
    let server = |place: usize| ServerEntry {
        server: format!("server-{index:05}-{place:02}").into(),
        service: format!("service-{:04}", (index * count + place) % 3600).into(),
        slots_count: match place {
            0 => slots_count,
            _ => 5,
        },
        cold: false,
        draining: false,
        share_permille: FULL_SHARE_PERMILLE,
        ..Default::default()
    };
    (0..count).map(server).collect()
}

fn measure_fleet(settings: &MeasureSettings, daemon_count: usize) -> FleetFigures {
    let mut fleet = VirtualFleet::new(MembershipSettings::default(), settings.seed);
    for index in 0..daemon_count {
        fleet.start(&daemon_name(index), &domain_name(index), &[]);
        let local = MembershipEvent::Local(make_servers(index, settings.servers_count, 5));
        fleet.deliver(&daemon_name(index), local);
    }
    let equal_after_s = run_until_equal(&mut fleet);
    let began = Instant::now();
    let idle_bytes_per_s = measure_bytes_per_s(&mut fleet, MEASURED_TIME);
    let spent_s = began.elapsed().as_secs_f64();
    let virtual_s = MEASURED_TIME.as_secs_f64() * daemon_count as f64;
    let (busy_bytes_per_s, change_s) = measure_changes(&mut fleet, settings, daemon_count);
    let (full_sync_s, full_sync_bytes) = measure_full_sync(&mut fleet, daemon_count);
    FleetFigures {
        equal_after_s,
        idle_bytes_per_s,
        busy_bytes_per_s,
        change_s,
        full_sync_s,
        full_sync_bytes,
        processor_share_percent: 100.0 * spent_s / virtual_s,
    }
}

/// Runs until all daemons have equal digests; returns the time since the start in seconds.
fn run_until_equal(fleet: &mut VirtualFleet) -> f64 {
    let names = fleet.alive();
    while fleet.elapsed() < EQUAL_LIMIT {
        fleet.run_until(fleet.elapsed() + Duration::from_secs(1));
        let first = fleet.digest(&names[0]);
        if names.iter().all(|name| fleet.digest(name) == first) {
            return fleet.elapsed().as_secs_f64();
        }
    }
    f64::INFINITY
}

fn total_bytes(fleet: &VirtualFleet) -> BTreeMap<DaemonId, u64> {
    let names = fleet.alive();
    let total = |name: &DaemonId| {
        let traffic = fleet.traffic(name);
        traffic.sent_bytes + traffic.received_bytes
    };
    names
        .iter()
        .map(|name| (name.clone(), total(name)))
        .collect()
}

fn bytes_per_s(
    before: &BTreeMap<DaemonId, u64>,
    after: &BTreeMap<DaemonId, u64>,
    span: Duration,
) -> Spread {
    let rate =
        |(name, total): (&DaemonId, &u64)| (total - before[name]) as f64 / span.as_secs_f64();
    Spread::of(after.iter().map(rate).collect())
}

fn measure_bytes_per_s(fleet: &mut VirtualFleet, span: Duration) -> Spread {
    let before = total_bytes(fleet);
    fleet.run_until(fleet.elapsed() + span);
    bytes_per_s(&before, &total_bytes(fleet), span)
}

/// A change of one daemon that not all daemons know yet.
struct OpenChange {
    daemon: DaemonId,
    /// Slots of that server after the change; rises with each change.
    slots_count: u32,
    changed_at: Duration,
    /// Daemons that do not know it yet.
    unknown_by: Vec<DaemonId>,
}

/// Changes servers at the set rate; returns bytes per second, and seconds until all know.
fn measure_changes(
    fleet: &mut VirtualFleet,
    settings: &MeasureSettings,
    daemon_count: usize,
) -> (Spread, Spread) {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let before = total_bytes(fleet);
    let start = fleet.elapsed();
    let mut open: Vec<OpenChange> = Vec::new();
    let mut times_s = Vec::new();
    let mut busy = Spread::default();
    let mut next_at = start;
    let mut slots_count = 5;
    while fleet.elapsed() < start + MEASURED_TIME || !open.is_empty() {
        let now = fleet.elapsed();
        while next_at <= now && now < start + MEASURED_TIME {
            next_at += Duration::from_secs_f64(1.0 / settings.changes_per_s);
            slots_count += 1;
            let index = random.random_range(0..daemon_count);
            let local =
                MembershipEvent::Local(make_servers(index, settings.servers_count, slots_count));
            let daemon = daemon_name(index);
            fleet.deliver(&daemon, local);
            open.retain(|change| *change.daemon != *daemon);
            open.push(OpenChange {
                daemon: daemon.as_str().into(),
                slots_count,
                changed_at: now,
                unknown_by: fleet.alive(),
            });
        }
        fleet.run_until(now + CHECK_INTERVAL);
        let now = fleet.elapsed();
        if now >= start + MEASURED_TIME && busy.median == 0.0 {
            busy = bytes_per_s(&before, &total_bytes(fleet), now - start);
        }
        for change in &mut open {
            change
                .unknown_by
                .retain(|name| !knows_change(fleet, name, &change.daemon, change.slots_count));
        }
        open.retain(|change| {
            let late = now > change.changed_at + WAIT_LIMIT;
            let done = change.unknown_by.is_empty();
            if done {
                times_s.push((now - change.changed_at).as_secs_f64());
            }
            if late {
                times_s.push(f64::INFINITY);
            }
            !done && !late
        });
    }
    (busy, Spread::of(times_s))
}

fn knows_change(
    fleet: &VirtualFleet,
    observer: &DaemonId,
    daemon: &DaemonId,
    slots_count: u32,
) -> bool {
    let view = fleet.view(observer);
    let Some(entry) = view.daemons.get(daemon) else {
        return false;
    };
    let first = entry.servers.first();
    first.is_some_and(|server| server.slots_count >= slots_count)
}

/// Returns the seconds and the received bytes until a daemon that starts without the platform's log
/// knows all others.
fn measure_full_sync(fleet: &mut VirtualFleet, daemon_count: usize) -> (f64, u64) {
    fleet.set_log(false);
    let start = fleet.elapsed();
    let seed = daemon_name(0);
    fleet.start("newcomer", "domain-0", &[&seed]);
    while fleet.elapsed() < start + WAIT_LIMIT {
        fleet.run_until(fleet.elapsed() + CHECK_INTERVAL);
        if fleet.view("newcomer").daemons.len() > daemon_count {
            let took = (fleet.elapsed() - start).as_secs_f64();
            return (took, fleet.traffic("newcomer").received_bytes);
        }
    }
    (f64::INFINITY, fleet.traffic("newcomer").received_bytes)
}

/// Measures memory and processing time of one daemon's state at several fleet sizes, as a table.
pub fn state_table(settings: &MeasureSettings) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "daemons known",
        "bytes of memory",
        "change to snapshot us",
        "digest walk us",
    ]);
    for daemon_count in &settings.daemon_counts {
        let before = resident_bytes();
        let (mut state, now) = filled_state(settings, *daemon_count);
        let bytes = resident_bytes().saturating_sub(before);
        let change_us = change_time_us(&mut state, settings, now);
        let walk_us = compare_time_us(&mut state, now);
        // Not freed, since the next size would reuse its memory and seem smaller.
        std::mem::forget(state);
        table.add_row([
            daemon_count.to_string(),
            bytes.to_string(),
            format!("{change_us:.1}"),
            format!("{walk_us:.1}"),
        ]);
    }
    table.to_string()
}

fn make_entry(index: usize, version: u64, servers: Vec<ServerEntry>) -> DaemonEntry {
    DaemonEntry {
        daemon: daemon_name(index).as_str().into(),
        incarnation: 1,
        version,
        domain: domain_name(index).as_str().into(),
        guard_address: VirtualFleet::address(index),
        link_address: VirtualFleet::address(index),
        leaving: false,
        servers,
    }
}

/// Returns the state of a daemon that knows `daemon_count` others, and its time.
fn filled_state(settings: &MeasureSettings, daemon_count: usize) -> (MembershipState, Instant) {
    let now = Instant::now();
    let random = ChaCha8Rng::seed_from_u64(settings.seed);
    let own = make_entry(daemon_count, 0, Vec::new());
    let mut state = MembershipState::new(MembershipSettings::default(), own, random, now);
    for index in 0..daemon_count {
        let received = make_entry(index, 1, make_servers(index, settings.servers_count, 5));
        state.handle(now, MembershipEvent::EntryReceived(received));
    }
    (state, now)
}

/// Repetitions over which a processing time is averaged.
const REPEAT_COUNT: u64 = 200;

/// Returns the mean microseconds from receiving a description to the snapshot that shows it.
fn change_time_us(state: &mut MembershipState, settings: &MeasureSettings, now: Instant) -> f64 {
    let changes: Vec<DaemonEntry> = (0..REPEAT_COUNT)
        .map(|turn| make_entry(0, turn + 2, make_servers(0, settings.servers_count, 6)))
        .collect();
    let step = Duration::from_millis(100);
    let began = Instant::now();
    let mut kept = Arc::default();
    for (turn, change) in changes.into_iter().enumerate() {
        let at = now + step * turn as u32;
        for action in state.handle(at, MembershipEvent::EntryReceived(change)) {
            if let super::message::MembershipAction::FleetChanged(fleet) = action {
                kept = fleet;
            }
        }
    }
    drop(kept);
    began.elapsed().as_secs_f64() * 1e6 / REPEAT_COUNT as f64
}

/// Returns the mean microseconds to answer a comparison of the whole tree.
fn compare_time_us(state: &mut MembershipState, now: Instant) -> f64 {
    let request = super::message::CompareRequest {
        depth: 0,
        prefix: 0,
        digests: vec![0; 16],
    };
    let from = crate::link::PeerName {
        daemon: daemon_name(0).as_str().into(),
        incarnation: 1,
    };
    let began = Instant::now();
    for ticket in 0..REPEAT_COUNT {
        let asked = MembershipEvent::RequestReceived {
            ticket,
            from: from.clone(),
            request: crate::link::PeerRequest::Compare(request.clone()),
        };
        state.handle(now, asked);
    }
    began.elapsed().as_secs_f64() * 1e6 / REPEAT_COUNT as f64
}
