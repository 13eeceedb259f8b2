//! The command `banyanbeam contract`, which publishes and shows contracts.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Subcommand};
use eyre::WrapErr;

use super::operate::{print_refusal, print_table, OperateArguments, EXIT_HELP};
use super::{EXIT_REFUSED, EXIT_USAGE};
use crate::operator::message::{ContractFile, ContractsAnswer};
use crate::operator::OperatorAnswer;
use crate::types::{format_id, new_operation_id, Offset};
use crate::wire::operator::{PublishBody, CONTRACTS};

/// Arguments of `banyanbeam contract`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_HELP)]
pub struct ContractArguments {
    /// Subcommand that the process runs.
    #[command(subcommand)]
    verb: ContractCommand,
}

/// Subcommands of `banyanbeam contract`.
#[derive(Debug, Subcommand)]
enum ContractCommand {
    /// Publishes the contracts of a file. One invalid contract refuses the whole file.
    #[command(after_help = PUBLISH_HELP)]
    Publish {
        /// Contract file: JSON with `services` and `organisations`.
        file: PathBuf,
        /// Refuses an object that was changed since this version, given as OBJECT=OFFSET, or
        /// OBJECT=new for one that must not exist. May be repeated.
        #[arg(long, value_parser = parse_base)]
        base: Vec<(String, Option<Offset>)>,
        /// Id of an earlier operation whose outcome is unknown, to send it again.
        #[arg(long)]
        operation: Option<String>,
        #[command(flatten)]
        operate: OperateArguments,
    },
    /// Shows the contracts in force with their versions.
    Show {
        #[command(flatten)]
        operate: OperateArguments,
    },
}

/// Examples and file format, printed after the help of `contract publish`.
const PUBLISH_HELP: &str = "\
Examples:
  banyanbeam contract publish contracts.json
  banyanbeam contract publish contracts.json --base organisation/optician-1=17

A contract file:
  {\"services\": [{\"service\": \"workshop\", \"floor_share\": 0.5, \"slots_count\": 5,
     \"routes\": [{\"route\": \"sheets\", \"method\": \"GET\", \"path_prefix\": \"/sheets\",
                 \"repeatable\": true}]}],
   \"organisations\": [{\"organisation\": \"optician-1\", \"rate_per_s\": 20, \"burst_count\": 40,
     \"weight_share\": 1, \"routes\": [\"sheets\"]}]}

Exit codes: see `banyanbeam contract --help`.";

/// Parses OBJECT=OFFSET or OBJECT=new; the offset is none for `new`.
fn parse_base(text: &str) -> Result<(String, Option<Offset>), String> {
    let (object, base) = text
        .split_once('=')
        .ok_or_else(|| format!("{text:?} must be OBJECT=OFFSET or OBJECT=new"))?;
    if base == "new" {
        return Ok((object.to_owned(), None));
    }
    let offset = base
        .parse()
        .map_err(|_| format!("offset {base:?} must be a number or `new`"))?;
    Ok((object.to_owned(), Some(offset)))
}

/// Runs the subcommand and returns its exit code.
pub fn run(arguments: &ContractArguments) -> eyre::Result<ExitCode> {
    match &arguments.verb {
        ContractCommand::Publish {
            file,
            base,
            operation,
            operate,
        } => {
            let text = std::fs::read_to_string(file)
                .wrap_err_with(|| format!("contract file {:?}", file.display()))?;
            let contracts: ContractFile = match serde_json::from_str(&text) {
                Ok(contracts) => contracts,
                Err(error) => {
                    eprintln!("banyanbeam: contract file {:?}: {error}", file.display());
                    return Ok(ExitCode::from(EXIT_USAGE));
                }
            };
            let operation = operation
                .clone()
                .unwrap_or_else(|| format_id(new_operation_id()));
            let body = PublishBody {
                operation: Some(operation.clone()),
                contracts,
                bases: base.iter().cloned().collect::<BTreeMap<_, _>>(),
            };
            if !operate.json {
                println!("operation {operation}");
            }
            operate.print_outcome(&operate.post(CONTRACTS, &body)?)
        }
        ContractCommand::Show { operate } => show_contracts(operate),
    }
}

/// Prints the contracts in force as tables or JSON.
fn show_contracts(operate: &OperateArguments) -> eyre::Result<ExitCode> {
    let answer = operate.get(CONTRACTS)?;
    if operate.print_json(&answer)? {
        return Ok(ExitCode::SUCCESS);
    }
    match answer {
        OperatorAnswer::Contracts(contracts) => print_contracts(&contracts),
        OperatorAnswer::Refused(refusal) => {
            print_refusal(&refusal);
            return Ok(ExitCode::from(EXIT_REFUSED));
        }
        _ => eyre::bail!("unexpected kind of answer from the daemon"),
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints one table of service routes and one of organisations.
fn print_contracts(contracts: &ContractsAnswer) {
    println!("configuration up to offset {}", contracts.next);
    let version = |version: Option<Offset>| version.map_or("-".to_owned(), |at| at.to_string());
    let mut rows = Vec::new();
    for versioned in &contracts.services {
        for route in &versioned.contract.routes {
            rows.push(vec![
                versioned.contract.service.to_string(),
                version(versioned.version),
                versioned.contract.floor_share.to_string(),
                versioned.contract.slots_count.to_string(),
                route.route.to_string(),
                format!("{} {}", route.method, route.path_prefix),
                route.repeatable.to_string(),
                route.deadline_ms.to_string(),
            ]);
        }
    }
    let headings = [
        "service",
        "version",
        "floor_share",
        "slots_count",
        "route",
        "path",
        "repeatable",
        "deadline_ms",
    ];
    print_table(&headings, rows);
    let mut rows = Vec::new();
    for versioned in &contracts.organisations {
        let routes: Vec<&str> = versioned
            .contract
            .routes
            .iter()
            .map(|route| &**route)
            .collect();
        rows.push(vec![
            versioned.contract.organisation.to_string(),
            version(versioned.version),
            versioned.contract.rate_per_s.to_string(),
            versioned.contract.burst_count.to_string(),
            versioned.contract.weight_share.to_string(),
            routes.join(", "),
        ]);
    }
    let headings = [
        "organisation",
        "version",
        "rate_per_s",
        "burst_count",
        "weight_share",
        "routes",
    ];
    print_table(&headings, rows);
}
