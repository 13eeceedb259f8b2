//! The command `banyanbeam demo`, which runs a whole deployment in one process.

use std::process::ExitCode;

use clap::Args;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::demo::deployment::{organisation_key, Deployment};
use crate::demo::fleet::OPERATOR_TOKEN;
use crate::demo::{self, DemoOptions, DeploymentName};
use crate::load::table::render;

/// Arguments of `banyanbeam demo`.
#[derive(Debug, Args)]
#[command(
    after_help = "Exit codes: 0 every answer was right; 1 an answer was wrong, or the demo failed.

Examples:
  banyanbeam demo
  banyanbeam demo --deployment atlas --requests 5000
  banyanbeam demo --stay"
)]
pub struct DemoArguments {
    /// Deployment that the demo runs.
    #[arg(long, value_enum, default_value = "nangolo")]
    deployment: DeploymentName,
    /// Number of requests to send.
    #[arg(long, default_value_t = 2_000)]
    requests: u64,
    /// Seed of the random mix of requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Keeps the deployment running afterwards, and prints its addresses and keys.
    #[arg(long)]
    stay: bool,
}

/// Runs the deployment with its load, prints the report and fails unless every answer was right.
pub fn run(arguments: &DemoArguments) -> eyre::Result<ExitCode> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let options = DemoOptions {
        deployment: arguments.deployment,
        request_count: arguments.requests,
        seed: arguments.seed,
    };
    let demo = demo::run(&options)?;
    print!("{}", render(&demo.report));
    if arguments.stay {
        print_addresses(&demo, &Deployment::named(arguments.deployment));
        signals.forever().next();
    }
    let code = if demo.report.is_consistent() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    };
    demo.fleet.stop();
    Ok(code)
}

/// Prints the addresses and keys of the running deployment, with two commands to try.
fn print_addresses(demo: &demo::DemoRun, deployment: &Deployment) {
    println!("platform log http://{}", demo.fleet.log_address);
    for vm in &demo.fleet.vms {
        println!(
            "entry http://{} with server {} in failure domain {}",
            vm.daemon.front_address, vm.server, vm.domain
        );
    }
    for contract in &deployment.organisations {
        println!(
            "key of {}: {}",
            contract.organisation,
            organisation_key(&contract.organisation)
        );
    }
    let (Some(vm), Some(request)) = (demo.fleet.vms.first(), deployment.mix().into_iter().next())
    else {
        return;
    };
    let front = vm.daemon.front_address;
    println!(
        "try: curl -H 'Authorization: Bearer {}' http://{front}{}",
        request.key, request.target
    );
    let operator = vm.daemon.operator_address;
    println!(
        "try: BANYANBEAM_TOKEN={OPERATOR_TOKEN} banyanbeam status --operator-address {operator}"
    );
    println!("stop with Ctrl-C");
}
