//! Tests of the least loaded choice: shares, paths, load and probes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::plan;
use crate::contract::{Change, Record, RouteContract, ServiceContract, View};
use crate::error::ErrorKind;
use crate::membership::{DaemonEntry, Fleet, ServerEntry, FULL_SHARE_PERMILLE};
use crate::routing::choice::ServerChoice;
use crate::routing::least_loaded::LeastLoaded;
use crate::routing::{AttemptOutcome, RequestPlan, Target};
use crate::settings::routing::RoutingSettings;
use crate::wire::exchange::WholeAnswer;

/// Failure domains of the daemons; the entry is in the first.
const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// Returns a daemon with one server, which gets `share_permille` of its normal requests.
pub(super) fn entry(index: usize, share_permille: u16) -> DaemonEntry {
    let server = ServerEntry {
        server: format!("s{index}").into(),
        service: "workshop".into(),
        slots_count: 5,
        cold: false,
        draining: false,
        share_permille,
        ..Default::default()
    };
    DaemonEntry {
        daemon: format!("d{index}").into(),
        incarnation: 1,
        version: 1,
        domain: DOMAINS[index % 3].into(),
        guard_address: "127.0.0.1:1".parse().unwrap(),
        link_address: "127.0.0.1:2".parse().unwrap(),
        leaving: false,
        servers: vec![server],
    }
}

/// Returns a fleet of these daemons.
pub(super) fn fleet(entries: impl IntoIterator<Item = DaemonEntry>) -> Arc<Fleet> {
    let mut fleet = Fleet::default();
    for entry in entries {
        fleet.daemons.insert(entry.daemon.clone(), Arc::new(entry));
    }
    Arc::new(fleet)
}

/// Returns a view with this floor, whose route may be repeated.
pub(super) fn view(floor_share: f64, domain_out: Option<&str>) -> Arc<View> {
    view_of(floor_share, domain_out, true)
}

/// Returns a view with one service and at most one failure domain out of service.
fn view_of(floor_share: f64, domain_out: Option<&str>, repeatable: bool) -> Arc<View> {
    let route = RouteContract {
        route: "look-up".into(),
        path_prefix: "/look-up".to_owned(),
        repeatable,
        ..Default::default()
    };
    let contract = ServiceContract {
        service: "workshop".into(),
        floor_share,
        routes: vec![route],
        ..Default::default()
    };
    let mut changes = vec![Change::PublishService { contract }];
    if let Some(domain) = domain_out {
        changes.push(Change::DomainOut {
            domain: domain.into(),
            override_floor: true,
        });
    }
    let mut view = View::default();
    for (index, change) in changes.into_iter().enumerate() {
        let record = Record {
            operation: index as u128 + 1,
            base: None,
            author: "test".to_owned(),
            at_ms: 0,
            change,
        };
        view.apply(index as u64, &record);
    }
    Arc::new(view)
}

/// A choice over six servers in three failure domains, and a plan to pick for.
pub(super) struct Bench {
    /// Time at which servers are picked; it moves only when a test changes it.
    pub(super) now: Instant,
    /// Choice of server that the tests examine.
    pub(super) choice: LeastLoaded,
    /// Plan of each request that is picked for.
    pub(super) plan: RequestPlan,
}

impl Bench {
    /// Creates a choice among the servers of these daemons.
    pub(super) fn new(entries: impl IntoIterator<Item = DaemonEntry>) -> Bench {
        let now = Instant::now();
        let random = ChaCha8Rng::seed_from_u64(1);
        let settings = RoutingSettings::default();
        let mut choice = LeastLoaded::new(settings, DOMAINS[0].into(), random);
        choice.update_view(view(0.5, None));
        choice.update_fleet(fleet(entries));
        let plan = RequestPlan {
            service: "workshop".into(),
            route: "look-up".into(),
            ..plan(now + Duration::from_secs(3600))
        };
        Bench { now, choice, plan }
    }

    /// Picks `count` times, each request still running when the next is picked if `keep_open`.
    fn picks(&mut self, count: usize, keep_open: bool) -> BTreeMap<String, usize> {
        let mut picked = BTreeMap::new();
        for _ in 0..count {
            let Some(target) = self.choice.pick(self.now, &self.plan, &[]) else {
                continue;
            };
            *picked.entry(target.server.to_string()).or_default() += 1;
            self.choice.attempt_sent(self.now, &self.plan, &target);
            if !keep_open {
                self.end(&target, &answered(), Duration::from_millis(10));
            }
        }
        picked
    }

    /// Ends an attempt at `target` that took `elapsed`.
    fn end(&mut self, target: &Target, outcome: &AttemptOutcome, elapsed: Duration) {
        self.choice
            .attempt_ended(self.now, &self.plan, target, outcome, elapsed);
    }

    /// Sends an attempt to a server, which ends with this outcome after 1 ms.
    fn fail(&mut self, server: usize, outcome: &AttemptOutcome) {
        let target = Target {
            daemon: format!("d{server}").into(),
            guard_address: "127.0.0.1:1".parse().unwrap(),
            server: format!("s{server}").into(),
        };
        self.choice.attempt_sent(self.now, &self.plan, &target);
        self.end(&target, outcome, Duration::from_millis(1));
    }
}

/// Returns the outcome of an attempt that was answered with status 200.
pub(super) fn answered() -> AttemptOutcome {
    AttemptOutcome::Answered(WholeAnswer {
        status: 200,
        ..Default::default()
    })
}

/// Returns the outcome of an attempt that was not run.
pub(super) fn refused(kind: ErrorKind, by_guard: bool) -> AttemptOutcome {
    AttemptOutcome::NotRun {
        kind,
        retry_after: None,
        by_guard,
    }
}

/// Returns six daemons whose servers get all their normal requests.
pub(super) fn all() -> impl Iterator<Item = DaemonEntry> {
    (0..6).map(|index| entry(index, FULL_SHARE_PERMILLE))
}

#[test]
fn servers_of_the_own_domain_are_preferred_while_idle_and_all_are_used_under_load() {
    // Arrange
    let mut bench = Bench::new(all());

    // Act
    let idle = bench.picks(200, false);
    let loaded = bench.picks(30, true);

    // Assert
    let near: usize = ["s0", "s3"].iter().filter_map(|name| idle.get(*name)).sum();
    assert!(near > 160, "{idle:?}");
    assert_eq!(loaded.len(), 6, "{loaded:?}");
    assert!(loaded.values().all(|count| *count <= 8), "{loaded:?}");
}

#[test]
fn ejected_leaving_and_draining_servers_and_domains_out_of_service_get_no_requests() {
    // Arrange
    let mut entries: Vec<DaemonEntry> = all().collect();
    entries[0].servers[0].share_permille = 0;
    entries[1].leaving = true;
    entries[3].servers[0].draining = true;
    let mut bench = Bench::new(entries);
    bench.choice.update_view(view(0.5, Some("west")));

    // Act
    let picked = bench.picks(100, true);

    // Assert
    assert_eq!(picked, BTreeMap::from([("s4".to_owned(), 100)]));
}

#[test]
fn a_change_of_one_daemon_updates_the_candidates() {
    // Arrange
    let mut bench = Bench::new(all());
    let mut entries: Vec<DaemonEntry> = all().collect();
    entries[0].servers[0].share_permille = 0;
    entries.remove(3);

    // Act
    bench.choice.update_fleet(fleet(entries));
    let picked = bench.picks(300, true);

    // Assert
    let names: Vec<&str> = picked.keys().map(String::as_str).collect();
    assert_eq!(names, ["s1", "s2", "s4", "s5"]);
}

#[test]
fn a_probed_server_gets_few_requests_and_only_repeatable_ones() {
    // Arrange
    let entries = (0..6).map(|index| entry(index, if index == 0 { 20 } else { 1000 }));
    let mut bench = Bench::new(entries);

    // Act
    let repeatable = bench.picks(5_000, false);
    bench.plan.repeatable = false;
    let once = bench.picks(5_000, false);

    // Assert
    let probes = repeatable.get("s0").copied().unwrap_or(0);
    assert!((10..=200).contains(&probes), "{probes} probes");
    assert_eq!(once.get("s0"), None);
}

#[test]
fn a_slow_server_gets_fewer_requests() {
    // Arrange
    let mut bench = Bench::new(all());
    for _ in 0..30 {
        for server in 0..6 {
            let target = Target {
                daemon: format!("d{server}").into(),
                guard_address: "127.0.0.1:1".parse().unwrap(),
                server: format!("s{server}").into(),
            };
            bench.choice.attempt_sent(bench.now, &bench.plan, &target);
            let elapsed = Duration::from_millis(if server == 3 { 80 } else { 10 });
            bench.end(&target, &answered(), elapsed);
        }
    }

    // Act
    let picked = bench.picks(60, true);

    // Assert
    let slow = picked.get("s3").copied().unwrap_or(0);
    assert!(slow <= 5, "{picked:?}");
}

#[test]
fn a_retry_does_not_go_to_servers_that_have_just_refused() {
    // Arrange
    let mut bench = Bench::new(all());
    for server in 0..5 {
        bench.fail(server, &refused(ErrorKind::Busy, true));
    }
    let tried = ["s0".into()];

    // Act
    let free = bench.choice.pick(bench.now, &bench.plan, &tried);
    bench.fail(5, &refused(ErrorKind::Busy, true));
    let all_busy = bench.choice.pick(bench.now, &bench.plan, &tried);
    let first_attempt = bench.choice.pick(bench.now, &bench.plan, &[]);

    // Assert
    assert_eq!(free.map(|target| target.server), Some("s5".into()));
    assert_eq!(all_busy, None);
    assert!(first_attempt.is_some());
}

#[test]
fn an_unreachable_guard_is_avoided_then_probed_once_and_opened_by_an_answer() {
    // Arrange
    let mut bench = Bench::new(all());
    bench.fail(0, &refused(ErrorKind::NoServer, false));

    // Act
    let avoided = bench.picks(200, true);
    bench.now += Duration::from_millis(400);
    let probing = bench.picks(200, true);

    // Assert
    assert_eq!(avoided.get("s0"), None);
    assert_eq!(probing.get("s0"), Some(&1));
    bench.fail(0, &answered());
    assert!(bench.picks(200, true).contains_key("s0"));
}

#[test]
fn one_lost_answer_does_not_close_a_path_but_two_in_a_row_do() {
    // Arrange
    let lost = AttemptOutcome::Unknown {
        kind: ErrorKind::OutcomeUnknown,
        by_guard: false,
    };
    let mut bench = Bench::new(all());

    // Act
    bench.fail(0, &lost);
    let after_one = bench.picks(100, false);
    bench.fail(0, &lost);
    bench.fail(0, &lost);
    let after_more = bench.picks(100, false);

    // Assert
    assert!(after_one.contains_key("s0"));
    assert_eq!(after_more.get("s0"), None);
}

#[test]
fn paths_are_not_avoided_if_that_leaves_fewer_servers_than_the_floor() {
    // Arrange
    let mut bench = Bench::new(all());
    for server in 0..3 {
        bench.fail(server, &refused(ErrorKind::NoServer, false));
    }
    let at_the_floor = bench.picks(100, true);

    // Act
    bench.fail(3, &refused(ErrorKind::NoServer, false));
    let below_it = bench.picks(200, true);

    // Assert
    let names: Vec<&str> = at_the_floor.keys().map(String::as_str).collect();
    assert_eq!(names, ["s3", "s4", "s5"]);
    assert_eq!(below_it.len(), 6, "{below_it:?}");
}

#[test]
fn a_cold_server_gets_a_few_requests_although_warm_ones_are_idle() {
    // Arrange
    let mut entries: Vec<DaemonEntry> = all().collect();
    entries[1].servers[0].cold = true;
    entries[1].servers[0].slots_count = 1;
    let mut bench = Bench::new(entries);

    // Act
    let picked = bench.picks(2_000, false);

    // Assert
    let cold = picked.get("s1").copied().unwrap_or(0);
    assert!((20..=200).contains(&cold), "{picked:?}");
}

#[test]
fn a_service_without_repeatable_routes_is_probed_by_other_requests() {
    // Arrange
    let entries = (0..6).map(|index| entry(index, if index == 0 { 20 } else { 1000 }));
    let mut bench = Bench::new(entries);
    bench.choice.update_view(view_of(0.5, None, false));
    bench.plan.repeatable = false;

    // Act
    let picked = bench.picks(5_000, false);

    // Assert
    let probes = picked.get("s0").copied().unwrap_or(0);
    assert!((10..=200).contains(&probes), "{probes} probes");
}

#[test]
fn no_attempt_is_given_up_on_a_route_without_a_known_time() {
    let mut bench = Bench::new(all());
    assert_eq!(bench.choice.patience(&bench.plan), None);
    bench.picks(1, false);
    assert!(bench.choice.patience(&bench.plan).is_some());
}
