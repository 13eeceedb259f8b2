//! Scripted loads and faults, and the policies that are measured with them.

use std::time::Duration;

use super::baselines::{FixedShares, HomeLease};
use super::fault::{Fault, NetworkOptions};
use super::load::{Load, Spread};
use super::network::{Network, PolicyFactory};
use crate::allowance::state::{AllowanceOptions, AllowanceState};
use crate::contract::OrganisationContract;
use crate::settings::allowance::AllowanceSettings;

/// The policies that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// Partitions with grantors and loans: `AllowanceState`.
    Escrow,
    /// A fixed share for every daemon: `FixedShares`.
    FixedShares,
    /// One home daemon for each organisation: `HomeLease`.
    HomeLease,
}

impl PolicyKind {
    /// All policies, in the order of the tables.
    pub const ALL: [PolicyKind; 3] = [
        PolicyKind::Escrow,
        PolicyKind::FixedShares,
        PolicyKind::HomeLease,
    ];

    /// Returns the name that tables show.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Escrow => "escrow",
            PolicyKind::FixedShares => "fixed shares",
            PolicyKind::HomeLease => "home with lease",
        }
    }

    /// Returns a factory of this policy for a fleet of `daemon_count` daemons.
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

/// A scripted run: contracts, loads and faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name that tables show.
    pub name: &'static str,
    /// Contracts of the organisations.
    pub contracts: Vec<OrganisationContract>,
    /// Requests of the organisations.
    pub loads: Vec<Load>,
    /// Faults, with their time after the start.
    pub faults: Vec<(Duration, Fault)>,
    /// Length of the run.
    pub duration: Duration,
    /// Time after the start at which a holder dies, if the scenario measures recovery.
    pub holder_dies_after: Option<Duration>,
}

/// Number of daemons in every scenario, in three failure domains.
pub const DAEMON_COUNT: usize = 9;
/// Time after the start at which requests begin.
const LOAD_START: Duration = Duration::from_secs(5);
/// Time after the start at which requests end.
const LOAD_END: Duration = Duration::from_secs(65);
/// Share of its contracted rate that an organisation sends unless the scenario says otherwise.
const TYPICAL_LOAD_SHARE: f64 = 0.8;

fn contract(index: usize, rate_per_s: f64, burst_count: u32) -> OrganisationContract {
    OrganisationContract {
        organisation: format!("organisation-{index}").into(),
        rate_per_s,
        burst_count,
        ..Default::default()
    }
}

/// Returns the contracts of two large organisations and six small ones.
fn typical_contracts() -> Vec<OrganisationContract> {
    let rate = |index: usize| if index < 2 { 200.0 } else { 20.0 };
    let contracts = (0..8).map(|index| contract(index, rate(index), rate(index) as u32));
    contracts.collect()
}

/// Returns a scenario without faults in which every organisation stays within its rate.
fn typical_scenario(name: &'static str, spread: impl Fn(usize) -> Spread) -> Scenario {
    let contracts = typical_contracts();
    let load = |(index, contract): (usize, &OrganisationContract)| Load {
        organisation: index,
        rate_per_s: contract.rate_per_s * TYPICAL_LOAD_SHARE,
        spread: spread(index),
        begins_after: LOAD_START,
        ends_after: LOAD_END,
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

/// Returns the scenario with faults, given in seconds after the start.
fn with_faults(mut scenario: Scenario, faults: Vec<(u64, Fault)>) -> Scenario {
    let faults = faults.into_iter();
    scenario.faults = faults
        .map(|(at_s, fault)| (Duration::from_secs(at_s), fault))
        .collect();
    scenario
}

/// Returns a scenario with bursts of 2 to 5 tokens, fewer than there are daemons.
fn small_bursts() -> Scenario {
    let mut scenario = typical_scenario("burst below daemons", |_| Spread::Even);
    for (index, contract) in scenario.contracts.iter_mut().enumerate() {
        contract.rate_per_s = 10.0;
        contract.burst_count = 2 + index as u32 % 4;
    }
    for load in &mut scenario.loads {
        load.rate_per_s = 2.0;
    }
    scenario
}

/// Returns a scenario in which one organisation sends at five times its rate.
fn five_times() -> Scenario {
    let mut scenario = typical_scenario("one at 5 times its rate", |_| Spread::Even);
    scenario.loads[0].rate_per_s = scenario.contracts[0].rate_per_s * 5.0;
    scenario
}

/// Returns a scenario in which the log is down for an hour, at a twentieth of the typical rates.
fn log_down() -> Scenario {
    let mut scenario = typical_scenario("log down for an hour", |_| Spread::Even);
    let until = Duration::from_secs(3_640);
    for load in &mut scenario.loads {
        load.rate_per_s /= 20.0;
        load.ends_after = until;
    }
    for contract in &mut scenario.contracts {
        contract.rate_per_s /= 20.0;
        contract.burst_count = contract.burst_count.div_ceil(2);
    }
    scenario.duration = until + Duration::from_secs(1);
    let faults = vec![(10, Fault::LogDown(true)), (3_610, Fault::LogDown(false))];
    with_faults(scenario, faults)
}

/// Returns a scenario in which all daemons of one failure domain crash.
fn domain_gone() -> Scenario {
    let faults = (0..DAEMON_COUNT).filter(|daemon| daemon % 3 == 0);
    let faults = faults.map(|daemon| (20, Fault::Crash(daemon))).collect();
    with_faults(typical_scenario("a domain gone", |_| Spread::Even), faults)
}

/// Returns a scenario in which every daemon in turn leaves, ends and starts again.
fn rolling_restart() -> Scenario {
    let mut scenario = typical_scenario("rolling restart of all", |_| Spread::Even);
    let ends = Duration::from_secs(140);
    scenario.duration = ends;
    for load in &mut scenario.loads {
        load.ends_after = ends;
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

/// Returns a scenario in which a holder crashes while organisations exceed their rates.
fn holder_killed() -> Scenario {
    let mut scenario = typical_scenario("a holder killed", |_| Spread::Even);
    for load in &mut scenario.loads {
        load.rate_per_s *= 2.0;
    }
    scenario.holder_dies_after = Some(Duration::from_secs(20));
    with_faults(scenario, vec![(20, Fault::Crash(1))])
}

/// Returns every scenario, in the order of the tables.
pub fn all() -> Vec<Scenario> {
    let pause = Fault::Pause(4, Duration::from_secs(10));
    vec![
        typical_scenario("even", |_| Spread::Even),
        typical_scenario("skewed to one entry", Spread::Skewed),
        typical_scenario("moving", |_| Spread::Moving(Duration::from_secs(2))),
        small_bursts(),
        five_times(),
        log_down(),
        domain_gone(),
        with_faults(
            typical_scenario("a paused holder", |_| Spread::Even),
            vec![(20, pause)],
        ),
        holder_killed(),
        rolling_restart(),
    ]
}

/// Runs a scenario once with one policy.
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
