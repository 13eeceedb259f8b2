//! The scripted loads and failures.

use std::time::Duration;

use super::baselines::{FixedShares, HomeLease};
use super::fault::{Fault, NetworkOptions};
use super::load::{Load, Spread};
use super::network::{Network, PolicyFactory};
use crate::allowance::state::{AllowanceOptions, AllowanceState};
use crate::contract::OrganisationContract;
use crate::settings::allowance::AllowanceSettings;

/// A kind to keep rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// Partitions, grantors, loans.
    Escrow,
    /// A fixed share for every daemon.
    FixedShares,
    /// One home an organisation with a lease.
    HomeLease,
}

impl PolicyKind {
    /// All ways.
    pub const ALL: [PolicyKind; 3] = [
        PolicyKind::Escrow,
        PolicyKind::FixedShares,
        PolicyKind::HomeLease,
    ];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Escrow => "escrow",
            PolicyKind::FixedShares => "fixed shares",
            PolicyKind::HomeLease => "home with lease",
        }
    }

    /// Makes the states of this kind.
    pub fn factory(self, daemon_count: usize) -> PolicyFactory {
        match self {
            PolicyKind::Escrow => Box::new(|own| {
                let settings = AllowanceSettings::default();
                Box::new(AllowanceState::new(AllowanceOptions::new(own, settings)))
            }),
            PolicyKind::FixedShares => Box::new(move |own| {
                let digits = own.name.daemon.rsplit('-').next();
                let index = digits.and_then(|digits| digits.parse().ok()).unwrap_or(0);
                Box::new(FixedShares::new(index, daemon_count as u32))
            }),
            PolicyKind::HomeLease => Box::new(|own| Box::new(HomeLease::new(own))),
        }
    }
}

/// One script.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Its name in tables.
    pub name: &'static str,
    /// The contracts.
    pub contracts: Vec<OrganisationContract>,
    /// The requests.
    pub loads: Vec<Load>,
    /// The failures, by time after the start.
    pub faults: Vec<(Duration, Fault)>,
    /// When it ends.
    pub duration: Duration,
    /// When a holder dies, where the script asks how long its share is away.
    pub holder_dies_after: Option<Duration>,
}

/// Daemons of every script, in three failure domains.
pub const DAEMON_COUNT: usize = 9;
/// When the requests begin.
const LOAD_START: Duration = Duration::from_secs(5);
const LOAD_END: Duration = Duration::from_secs(65);
/// Share of its rate that an organisation sends where the script names no other.
const TYPICAL_SHARE: f64 = 0.8;

fn contract(index: usize, rate_per_s: f64, burst_count: u32) -> OrganisationContract {
    OrganisationContract {
        organisation: format!("organisation-{index}").into(),
        rate_per_s,
        burst_count,
        ..Default::default()
    }
}

/// Two large organisations and six small ones.
fn typical_contracts() -> Vec<OrganisationContract> {
    let rate = |index: usize| if index < 2 { 200.0 } else { 20.0 };
    let contracts = (0..8).map(|index| contract(index, rate(index), rate(index) as u32));
    contracts.collect()
}

fn typical(name: &'static str, spread: impl Fn(usize) -> Spread) -> Scenario {
    let contracts = typical_contracts();
    let load = |(index, contract): (usize, &OrganisationContract)| Load {
        organisation: index,
        rate_per_s: contract.rate_per_s * TYPICAL_SHARE,
        spread: spread(index),
        from: LOAD_START,
        until: LOAD_END,
    };
    Scenario {
        name,
        loads: contracts.iter().enumerate().map(load).collect(),
        contracts,
        faults: Vec::new(),
        duration: LOAD_END + Duration::from_secs(1),
        holder_dies_after: None,
    }
}

fn with_faults(mut scenario: Scenario, faults: Vec<(u64, Fault)>) -> Scenario {
    let faults = faults.into_iter();
    scenario.faults = faults
        .map(|(at_s, fault)| (Duration::from_secs(at_s), fault))
        .collect();
    scenario
}

fn small_bursts() -> Scenario {
    let mut scenario = typical("burst below daemons", |_| Spread::Even);
    for (index, contract) in scenario.contracts.iter_mut().enumerate() {
        contract.rate_per_s = 10.0;
        contract.burst_count = 2 + index as u32 % 4;
    }
    for load in &mut scenario.loads {
        load.rate_per_s = 2.0;
    }
    scenario
}

fn five_times() -> Scenario {
    let mut scenario = typical("one at 5 times its rate", |_| Spread::Even);
    scenario.loads[0].rate_per_s = scenario.contracts[0].rate_per_s * 5.0;
    scenario
}

fn log_down() -> Scenario {
    let mut scenario = typical("log down for an hour", |_| Spread::Even);
    let until = Duration::from_secs(3_640);
    for load in &mut scenario.loads {
        load.rate_per_s /= 20.0;
        load.until = until;
    }
    for contract in &mut scenario.contracts {
        contract.rate_per_s /= 20.0;
        contract.burst_count = contract.burst_count.div_ceil(2);
    }
    scenario.duration = until + Duration::from_secs(1);
    let faults = vec![(10, Fault::LogDown(true)), (3_610, Fault::LogDown(false))];
    with_faults(scenario, faults)
}

fn domain_gone() -> Scenario {
    let faults = (0..DAEMON_COUNT).filter(|daemon| daemon % 3 == 0);
    let faults = faults.map(|daemon| (20, Fault::Crash(daemon))).collect();
    with_faults(typical("a domain gone", |_| Spread::Even), faults)
}

fn rolling_restart() -> Scenario {
    let mut scenario = typical("rolling restart of all", |_| Spread::Even);
    let ends = Duration::from_secs(140);
    scenario.duration = ends;
    for load in &mut scenario.loads {
        load.until = ends;
    }
    let mut faults = Vec::new();
    for daemon in 0..DAEMON_COUNT {
        let at_s = 15 + 12 * daemon as u64;
        faults.push((at_s, Fault::Leave(daemon)));
        faults.push((at_s + 5, Fault::Crash(daemon)));
        faults.push((at_s + 6, Fault::Start(daemon)));
    }
    with_faults(scenario, faults)
}

fn holder_killed() -> Scenario {
    let mut scenario = typical("a holder killed", |_| Spread::Even);
    for load in &mut scenario.loads {
        load.rate_per_s *= 2.0;
    }
    scenario.holder_dies_after = Some(Duration::from_secs(20));
    with_faults(scenario, vec![(20, Fault::Crash(1))])
}

/// Every script.
pub fn all() -> Vec<Scenario> {
    let pause = Fault::Pause(4, Duration::from_secs(10));
    vec![
        typical("even", |_| Spread::Even),
        typical("skewed to one entry", Spread::Skewed),
        typical("moving", |_| Spread::Moving(Duration::from_secs(2))),
        small_bursts(),
        five_times(),
        log_down(),
        domain_gone(),
        with_faults(
            typical("a paused holder", |_| Spread::Even),
            vec![(20, pause)],
        ),
        holder_killed(),
        rolling_restart(),
    ]
}

/// Runs a script once.
pub fn run(scenario: &Scenario, kind: PolicyKind, seed: u64, options: NetworkOptions) -> Network {
    let options = NetworkOptions {
        seed,
        daemon_count: DAEMON_COUNT,
        ..options
    };
    let mut network = Network::new(options, kind.factory(DAEMON_COUNT), &scenario.contracts);
    for daemon in 0..DAEMON_COUNT {
        let at = Duration::from_millis(50 * daemon as u64);
        network.schedule_fault(at, Fault::Start(daemon));
    }
    for (at, fault) in &scenario.faults {
        network.schedule_fault(*at, fault.clone());
    }
    for load in &scenario.loads {
        load.schedule(seed, DAEMON_COUNT, &mut network);
    }
    network.run_until(scenario.duration);
    network
}
