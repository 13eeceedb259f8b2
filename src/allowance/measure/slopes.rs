//! Measures the cost of one daemon's allowance by the number of organisations.

use std::sync::Arc;
use std::time::{Duration, Instant};

use comfy_table::{presets, Table};

use crate::allowance::message::{AllowanceAction, AllowanceEvent};
use crate::allowance::partition::{Candidate, PARTITION_COUNT};
use crate::allowance::record::EscrowRecord;
use crate::allowance::state::{AllowanceOptions, AllowanceState};
use crate::contract::{OrganisationContract, View};
use crate::link::{BorrowRequest, EscrowId, PeerName};
use crate::measure::memory::resident_bytes;
use crate::settings::allowance::AllowanceSettings;

/// Number of daemons in the largest fleet that the design is for.
const FLEET_DAEMON_COUNT: u64 = 7_900;
/// Number of operations over which a time is averaged.
const TAKE_COUNT: u32 = 200_000;

/// Measures one daemon that holds every partition, once for each number of organisations.
pub fn table(counts: &[usize]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "organisations",
        "own token us",
        "lend us",
        "memory held KB",
        "bytes an organisation",
    ]);
    for count in counts {
        table.add_row(measure(*count));
    }
    table
}

/// Returns the row for one number of organisations: times of taking and lending a token, memory.
fn measure(count: usize) -> Vec<String> {
    let view = Arc::new(view_of(count));
    let before = resident_bytes();
    let (mut state, start) = holder(view.clone());
    let names: Vec<_> = view.organisations.keys().cloned().collect();
    for (index, name) in names.iter().enumerate() {
        lend(&mut state, start, index as u64, name.clone());
    }
    let held = resident_bytes().saturating_sub(before);
    let clock = Instant::now();
    for turn in 0..TAKE_COUNT {
        let event = AllowanceEvent::Take {
            request: u128::from(turn),
            organisation: names[turn as usize % names.len()].clone(),
        };
        std::hint::black_box(state.handle(start, event));
    }
    let take = clock.elapsed() / TAKE_COUNT;
    let clock = Instant::now();
    for turn in 0..TAKE_COUNT {
        let name = names[turn as usize % names.len()].clone();
        lend(&mut state, start, u64::from(turn), name);
    }
    let lent = clock.elapsed() / TAKE_COUNT;
    // Not freed, so that the next size cannot reuse the memory and appear smaller.
    std::mem::forget((state, view));
    vec![
        count.to_string(),
        format!("{:.2}", take.as_secs_f64() * 1e6),
        format!("{:.2}", lent.as_secs_f64() * 1e6),
        (held / 1024).to_string(),
        (held / count.max(1) as u64).to_string(),
    ]
}

/// Lends one token of an organisation to a peer.
fn lend(state: &mut AllowanceState, now: Instant, call: u64, organisation: Arc<str>) {
    let event = AllowanceEvent::Borrow {
        call,
        from: peer("another"),
        request: BorrowRequest {
            escrow: EscrowId::Organisation(organisation),
            count: 1,
        },
    };
    let actions: Vec<AllowanceAction> = state.handle(now, event);
    std::hint::black_box(actions);
}

fn peer(name: &str) -> PeerName {
    PeerName {
        daemon: name.into(),
        incarnation: 1,
    }
}

/// Returns a state that holds every partition, and the time of its creation.
fn holder(view: Arc<View>) -> (AllowanceState, Instant) {
    let own = Candidate {
        name: peer("holder"),
        domain: "domain-1".into(),
    };
    let options = AllowanceOptions::new(own.clone(), AllowanceSettings::default());
    let mut state = AllowanceState::new(options);
    let now = Instant::now();
    state.handle(now, AllowanceEvent::View(view));
    let claim = EscrowRecord::Claim {
        holder: own.name,
        grantor: None,
        partitions: (0..PARTITION_COUNT).collect(),
    };
    let read = AllowanceEvent::Read {
        asked_at: now,
        records: vec![(0, Some(claim))],
        whole: true,
    };
    state.handle(now, read);
    (state, now)
}

/// Returns a view with contracts of `count` organisations.
fn view_of(count: usize) -> View {
    let mut view = View::default();
    for index in 0..count {
        let contract = OrganisationContract {
            organisation: format!("organisation-{index}").into(),
            rate_per_s: 100.0,
            burst_count: 1_000,
            ..Default::default()
        };
        let id = contract.organisation.clone();
        view.organisations.insert(id, Arc::new(contract));
    }
    view
}

/// Returns a text that estimates the holders, lease requests and records per day of the largest
/// fleet.
pub fn escrow_estimate() -> String {
    let period = Duration::from_millis(500);
    let leases_per_s = 1.0 / period.as_secs_f64();
    let restarts_per_day = 11_000_u64;
    let held_partitions = u64::from(PARTITION_COUNT);
    let holder_share = held_partitions as f64 / FLEET_DAEMON_COUNT as f64;
    let records_per_day = restarts_per_day as f64 * holder_share.min(1.0) * RECORDS_PER_RESTART;
    format!(
        "holders at most {held_partitions} of {FLEET_DAEMON_COUNT} daemons; a holder requests \
         {leases_per_s} leases a second; {restarts_per_day} restarts a day bring about \
         {records_per_day:.0} records a day"
    )
}

/// Records per restart of a holder: hand-overs out and back, and the grantors named by each new
/// holder and by its grantees.
const RECORDS_PER_RESTART: f64 = 6.0;
