//! Measures what the choice of server costs by the size of the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use comfy_table::{presets, Table};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::choice::ServerChoice;
use super::least_loaded::LeastLoaded;
use super::message::{AttemptOutcome, RequestPlan};
use crate::measure::memory::resident_bytes;
use crate::membership::message::FULL_SHARE_PERMILLE;
use crate::membership::{DaemonEntry, Fleet, ServerEntry};
use crate::settings::routing::RoutingSettings;
use crate::wire::exchange::WholeAnswer;

/// Servers on the VM of each daemon.
const SERVERS_EACH_COUNT: usize = 14;
/// Services at `FULL_DAEMON_COUNT` daemons.
const SERVICE_COUNT: usize = 3_600;
/// Failure domains that the daemons are spread over.
const DOMAIN_COUNT: usize = 6;
/// Picks that are timed for each size.
const PICK_COUNT: u32 = 100_000;
/// Changes of the fleet that are timed for each size.
const CHANGE_COUNT: u32 = 200;

/// Measures a choice for each number of daemons, with 14 servers on each VM.
pub fn table(daemon_counts: &[usize], seed: u64) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "daemons",
        "servers",
        "memory MB",
        "first index ms",
        "change of a daemon us",
        "pick, send and end us",
    ]);
    for daemon_count in daemon_counts {
        table.add_row(measure(*daemon_count, seed));
    }
    table
}

/// Returns the row of one size of the fleet.
fn measure(daemon_count: usize, seed: u64) -> Vec<String> {
    let mut fleet = Fleet::default();
    for index in 0..daemon_count {
        let entry = daemon(index, daemon_count, 1);
        fleet.daemons.insert(entry.daemon.clone(), Arc::new(entry));
    }
    let random = ChaCha8Rng::seed_from_u64(seed);
    let settings = RoutingSettings::default();
    let before_bytes = resident_bytes();
    let mut choice = LeastLoaded::new(settings, "domain-0".into(), random);
    let started_at = Instant::now();
    choice.update_fleet(Arc::new(fleet.clone()));
    let index = started_at.elapsed();
    let memory_bytes = resident_bytes().saturating_sub(before_bytes);
    let change = time_changes(&mut choice, &mut fleet, daemon_count);
    let pick = time_picks(&mut choice, daemon_count);
    // Not freed, so that the next size does not reuse this memory and seem smaller.
    std::mem::forget((choice, fleet));
    vec![
        daemon_count.to_string(),
        (daemon_count * SERVERS_EACH_COUNT).to_string(),
        format!("{:.1}", memory_bytes as f64 / 1e6),
        format!("{:.1}", index.as_secs_f64() * 1e3),
        format!("{:.1}", change.as_secs_f64() * 1e6),
        format!("{:.2}", pick.as_secs_f64() * 1e6),
    ]
}

/// Returns the number of services, which grows with the fleet up to 3,600 at 7,900 daemons.
fn service_count(daemon_count: usize) -> usize {
    (SERVICE_COUNT * daemon_count / FULL_DAEMON_COUNT).max(1)
}

/// Daemons of a fleet of full size.
const FULL_DAEMON_COUNT: usize = 7_900;

/// Builds the entry of one daemon; its servers are cold in even versions.
fn daemon(index: usize, daemon_count: usize, version: u64) -> DaemonEntry {
    let server = |number: usize| {
        let place = index * SERVERS_EACH_COUNT + number;
        ServerEntry {
            server: format!("server-{place}").as_str().into(),
            service: service(place % service_count(daemon_count)),
            slots_count: 5,
            cold: version % 2 == 0,
            draining: false,
            share_permille: FULL_SHARE_PERMILLE,
            ..Default::default()
        }
    };
    DaemonEntry {
        daemon: format!("daemon-{index}").as_str().into(),
        incarnation: 1,
        version,
        domain: format!("domain-{}", index % DOMAIN_COUNT).as_str().into(),
        guard_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        link_address: SocketAddr::from(([127, 0, 0, 1], 2)),
        leaving: false,
        servers: (0..SERVERS_EACH_COUNT).map(server).collect(),
    }
}

/// Returns the name of the service with this number.
fn service(number: usize) -> Arc<str> {
    format!("service-{number}").as_str().into()
}

/// Returns the mean time to take up a change of one daemon.
fn time_changes(choice: &mut LeastLoaded, fleet: &mut Fleet, daemon_count: usize) -> Duration {
    let mut spent = Duration::ZERO;
    for turn in 0..CHANGE_COUNT {
        let entry = daemon(
            turn as usize % daemon_count,
            daemon_count,
            u64::from(turn) + 2,
        );
        fleet.daemons.insert(entry.daemon.clone(), Arc::new(entry));
        let snapshot = Arc::new(fleet.clone());
        let started_at = Instant::now();
        choice.update_fleet(snapshot);
        spent += started_at.elapsed();
    }
    spent / CHANGE_COUNT
}

/// Returns the mean time to pick a server and to record its attempt.
fn time_picks(choice: &mut LeastLoaded, daemon_count: usize) -> Duration {
    let now = Instant::now();
    let services: Vec<_> = (0..service_count(daemon_count)).map(service).collect();
    let outcome = AttemptOutcome::Answered(WholeAnswer {
        status: 200,
        ..Default::default()
    });
    let mut plans: Vec<RequestPlan> = Vec::with_capacity(services.len());
    for service in services {
        plans.push(plan(service, now));
    }
    let started_at = Instant::now();
    for turn in 0..PICK_COUNT {
        let plan = &plans[turn as usize % plans.len()];
        let Some(target) = choice.pick(now, plan, &[]) else {
            continue;
        };
        choice.attempt_sent(now, plan, &target);
        choice.attempt_ended(now, plan, &target, &outcome, Duration::from_millis(5));
    }
    started_at.elapsed() / PICK_COUNT
}

/// Builds the plan of a request for a service.
fn plan(service: Arc<str>, now: Instant) -> RequestPlan {
    RequestPlan {
        request: 1,
        organisation: "organisation".into(),
        weight_share: 1,
        service,
        route: "route".into(),
        repeatable: true,
        foreground: true,
        rank: 0,
        attempts_limit_count: 0,
        body_bytes: 0,
        body_limit_bytes: 0,
        idempotency_key: None,
        target: Duration::ZERO,
        deadline_at: now + Duration::from_secs(10),
    }
}
