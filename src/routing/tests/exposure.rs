//! The bound on requests to servers under trial, at one entry and over a whole fleet.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::choice::{answered, entry, fleet, refused, view};
use super::plan;
use crate::contract::View;
use crate::error::ErrorKind;
use crate::membership::{DaemonEntry, Fleet};
use crate::rollout::{RolloutOrder, RolloutStep};
use crate::routing::choice::ServerChoice;
use crate::routing::exposure::TrialCounts;
use crate::routing::least_loaded::LeastLoaded;
use crate::routing::{AttemptOutcome, RequestPlan, Target};
use crate::settings::routing::RoutingSettings;

/// Time that every request runs.
const RUN: Duration = Duration::from_millis(600);

/// Returns a view with an order to roll out `version` of the service.
fn ordered(version: &str, order: u64) -> Arc<View> {
    let mut ordered = (*view(0.5, None)).clone();
    let rollout = RolloutOrder {
        service: "workshop".into(),
        target_version: version.into(),
        duration_ms: 16_000,
        order,
    };
    ordered
        .rollouts
        .insert("workshop".into(), Arc::new(rollout));
    Arc::new(ordered)
}

/// Returns daemons whose servers have version 1, and in the last `new_count` version 2 in `step`.
fn daemons(count: usize, new_count: usize, step: RolloutStep) -> Vec<DaemonEntry> {
    let daemon = |index| {
        let mut daemon = entry(index, 1000);
        let new = index >= count - new_count;
        daemon.servers[0].software_version = if new { "v2" } else { "v1" }.into();
        daemon.servers[0].rollout_step = if new { step } else { RolloutStep::None };
        daemon
    };
    (0..count).map(daemon).collect()
}

/// An entry, and how many of its attempts ran or may have run, in all and at version 2.
struct Entry {
    /// Its choice of servers.
    choice: LeastLoaded,
    /// Daemons before this index have servers of version 1.
    new_from: usize,
    /// Attempts that ran, or may have.
    ran_count: u64,
    /// Those of them at servers of version 2.
    exposed_count: u64,
}

impl Entry {
    /// Creates the entry of daemon `index`, which has read a view and then the order.
    fn new(index: usize, settings: &RoutingSettings, fleet: Arc<Fleet>, new_from: usize) -> Entry {
        let random = ChaCha8Rng::seed_from_u64(index as u64);
        let choice = LeastLoaded::new(settings.clone(), "north".into(), random);
        let mut choice = choice.with_daemon(format!("d{index}").into());
        choice.update_fleet(fleet);
        choice.update_view(view(0.5, None));
        choice.update_view(ordered("v2", 7));
        Entry {
            choice,
            new_from,
            ran_count: 0,
            exposed_count: 0,
        }
    }

    /// Returns whether a server has version 2.
    fn is_new(&self, target: &Target) -> bool {
        let index: usize = target.server[1..].parse().expect("the number of a server");
        index >= self.new_from
    }

    /// Sends a request.
    fn send(&mut self, now: Instant, plan: &RequestPlan) -> Target {
        let target = self.choice.pick(now, plan, &[]).expect("a server");
        self.choice.attempt_sent(now, plan, &target);
        self.ran_count += 1;
        self.exposed_count += u64::from(self.is_new(&target));
        target
    }

    /// Sends a request and ends it at once; returns whether it went to version 2.
    fn run(&mut self, now: Instant, number: u128, outcome: &AttemptOutcome) -> bool {
        let plan = numbered(now, number);
        let target = self.send(now, &plan);
        let elapsed = Duration::ZERO;
        self.choice
            .attempt_ended(now, &plan, &target, outcome, elapsed);
        self.is_new(&target)
    }
}

/// Returns the plan of a request with this number.
fn numbered(now: Instant, number: u128) -> RequestPlan {
    RequestPlan {
        request: number,
        service: "workshop".into(),
        route: "look-up".into(),
        ..plan(now + Duration::from_secs(3600))
    }
}

/// Returns settings with these bounds.
fn settings(trial_share: f64, trial_slack_count: u32) -> RoutingSettings {
    RoutingSettings {
        trial_share,
        trial_slack_count,
        ..Default::default()
    }
}

/// Returns an entry with this slack of its own, and 20 servers of which 4 are under trial.
fn lone_entry(slack_count: u32) -> Entry {
    let fleet = fleet(daemons(20, 4, RolloutStep::Trial));
    let mut entry = Entry::new(0, &settings(0.1, 40 * slack_count), fleet, 16);
    entry.choice.update_view(ordered("v2", 8));
    entry
}

/// What a fleet of entries did during a trial.
struct Play {
    /// Requests that were sent.
    all_count: u64,
    /// Requests that went to version 2.
    exposed_count: u64,
    /// When the first of them was sent, from the begin of the trial.
    first_after: Duration,
    /// The most by which the exposure came near its bound at any time; below 1 if it held.
    fullest_share: f64,
}

/// Plays entries that each send `rate_per_s` requests at random times.
fn play(entry_count: usize, rate_per_s: f64, length: Duration, bounds: (f64, u32)) -> Play {
    let (share, slack_count) = bounds;
    let settings = settings(share, slack_count);
    let fleet = fleet(daemons(entry_count, entry_count / 4, RolloutStep::Trial));
    let new_from = entry_count - entry_count / 4;
    let began = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let entries =
        (0..entry_count).map(|index| Entry::new(index, &settings, fleet.clone(), new_from));
    let mut entries: Vec<Entry> = entries.collect();
    let count = (rate_per_s * length.as_secs_f64() * entry_count as f64) as usize;
    let sent = (0..count).map(|_| {
        let after = length.mul_f64(random.random_range(0.0..1.0));
        (after, random.random_range(0..entry_count))
    });
    let mut sent: Vec<(Duration, usize)> = sent.collect();
    sent.sort();
    let mut open: VecDeque<(Instant, usize, RequestPlan, Target)> = VecDeque::new();
    let mut result = Play {
        all_count: 0,
        exposed_count: 0,
        first_after: length,
        fullest_share: 0.0,
    };
    for (number, (after, index)) in sent.into_iter().enumerate() {
        let now = began + after;
        while open.front().is_some_and(|(at, ..)| *at <= now) {
            let (at, index, plan, target) = open.pop_front().expect("checked");
            let choice = &mut entries[index].choice;
            choice.attempt_ended(at, &plan, &target, &answered(), RUN);
        }
        let plan = numbered(now, number as u128);
        let target = entries[index].send(now, &plan);
        result.all_count += 1;
        if entries[index].is_new(&target) {
            result.exposed_count += 1;
            result.first_after = result.first_after.min(after);
        }
        open.push_back((now + RUN, index, plan, target));
        let bound = share * result.all_count as f64 + f64::from(slack_count);
        result.fullest_share = result
            .fullest_share
            .max(result.exposed_count as f64 / bound);
    }
    result
}

#[test]
fn a_fleet_of_107_entries_stays_under_the_bound_and_has_evidence_within_a_second() {
    // Act
    let play = play(107, 1.35, Duration::from_secs(16), (0.1, 50));

    // Assert
    let Play {
        all_count,
        exposed_count,
        first_after,
        fullest_share,
    } = play;
    println!("{exposed_count} of {all_count}, first after {first_after:?}, {fullest_share:.2}");
    assert!(fullest_share < 1.0, "{fullest_share}");
    assert!(first_after < Duration::from_secs(1), "{first_after:?}");
    assert!(
        exposed_count >= 100,
        "too little evidence: {exposed_count} of {all_count}"
    );
}

#[test]
fn a_fleet_under_high_load_stays_under_the_bound_and_uses_most_of_its_share() {
    // Act
    let play = play(40, 100.0, Duration::from_secs(8), (0.1, 50));

    // Assert
    let Play {
        all_count,
        exposed_count,
        fullest_share,
        ..
    } = play;
    println!("{exposed_count} of {all_count}, {fullest_share:.2}");
    assert!(fullest_share < 1.0, "{fullest_share}");
    assert!(
        exposed_count as f64 > 0.06 * all_count as f64,
        "{exposed_count} of {all_count}"
    );
}

#[test]
fn entries_that_see_half_of_the_fleet_each_stay_under_the_slack() {
    // Arrange: no request is answered, so nothing but the slack may be used.
    let now = Instant::now();
    let all = daemons(107, 20, RolloutStep::Trial);
    let mut exposed_count = 0;

    // Act
    for index in 0..107 {
        let seen = all.iter().enumerate();
        let seen = seen.filter(|(other, _)| other % 2 == index % 2 || *other >= 87);
        let fleet = fleet(seen.map(|(_, daemon)| daemon.clone()));
        let mut entry = Entry::new(index, &settings(0.1, 50), fleet, 87);
        for number in 0..20 {
            entry.send(now, &numbered(now, number));
        }
        exposed_count += entry.exposed_count;
    }

    // Assert
    assert!((25..=50).contains(&exposed_count), "{exposed_count}");
}

#[test]
fn an_entry_that_began_after_the_order_has_no_slack() {
    // Arrange
    let now = Instant::now();
    let random = ChaCha8Rng::seed_from_u64(1);
    let choice = LeastLoaded::new(settings(0.1, 400), "north".into(), random);
    let mut entry = lone_entry(2);
    entry.choice = choice.with_daemon("d0".into());
    entry.choice.update_view(ordered("v2", 7));
    entry
        .choice
        .update_fleet(fleet(daemons(20, 4, RolloutStep::Trial)));

    // Act
    let early = (0..13).any(|number| entry.run(now, number, &answered()));
    let credited = entry.run(now, 13, &answered());

    // Assert
    assert!(!early);
    assert!(
        credited,
        "thirteen answers and a share of 0.08 allow one request"
    );
}

#[test]
fn a_request_that_a_server_under_trial_refused_goes_to_the_others_and_gives_its_credit_back() {
    // Arrange
    let now = Instant::now();
    let mut entry = lone_entry(1);
    let first = entry.run(now, 1, &refused(ErrorKind::NoServer, true));

    // Act
    let again = entry.run(now, 1, &answered());
    let others: Vec<bool> = (2..5)
        .map(|number| entry.run(now, number, &answered()))
        .collect();

    // Assert
    assert!(first && !again);
    assert_eq!(
        others,
        [true, false, false],
        "the slack of one request is there again"
    );
    let counts = TrialCounts {
        sent_count: 2,
        withheld_count: 3,
    };
    assert_eq!(entry.choice.take_trial_counts(), counts);
    assert_eq!(entry.choice.take_trial_counts(), TrialCounts::default());
}

#[test]
fn a_request_is_refused_if_only_servers_under_trial_are_left_and_no_credit() {
    // Arrange
    let now = Instant::now();
    let mut entry = lone_entry(0);
    entry
        .choice
        .update_fleet(fleet(daemons(4, 4, RolloutStep::Trial)));
    let plan = numbered(now, 1);

    // Act
    let picked = entry.choice.pick(now, &plan, &[]);
    let last_resort = entry.choice.pick_tripped(now, &plan, &[]);

    // Assert
    assert_eq!((picked, last_resort), (None, None));
}

#[test]
fn a_second_order_has_a_slack_of_its_own_and_none_of_the_credit_of_the_first() {
    // Arrange
    let now = Instant::now();
    let mut entry = lone_entry(1);
    entry
        .choice
        .update_fleet(fleet(daemons(20, 4, RolloutStep::None)));
    for number in 0..100 {
        entry.run(now, number, &answered());
    }

    // Act
    entry.choice.update_view(ordered("v2", 9));
    entry
        .choice
        .update_fleet(fleet(daemons(20, 4, RolloutStep::Trial)));
    let sent: Vec<bool> = (100..104)
        .map(|number| entry.run(now, number, &answered()))
        .collect();

    // Assert
    assert_eq!(sent, [true, false, false, false]);
}

#[test]
fn servers_of_an_ordered_version_get_requests_without_a_step_only_after_full_service() {
    // Arrange
    let now = Instant::now();
    let cases = [
        (RolloutStep::None, false),
        (RolloutStep::Full, true),
        (RolloutStep::None, true),
        (RolloutStep::Closed, false),
        (RolloutStep::None, false),
    ];
    let mut entry = lone_entry(0);
    for (step, expected) in cases {
        // Act
        entry.choice.update_fleet(fleet(daemons(20, 4, step)));
        let used = (0..100).any(|number| entry.run(now, number, &answered()));

        // Assert
        assert_eq!(used, expected, "{step:?}");
    }
}

#[test]
fn an_order_for_another_version_and_an_unknown_order_give_no_credit() {
    // Arrange
    let now = Instant::now();
    for view in [ordered("v3", 9), view(0.5, None)] {
        let mut entry = lone_entry(50);

        // Act
        entry.choice.update_view(view);
        let used = (0..100).any(|number| entry.run(now, number, &answered()));

        // Assert
        assert!(!used);
    }
}
