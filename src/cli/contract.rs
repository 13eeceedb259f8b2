//! `banyanbeam contract`.

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

/// Arguments of `contract`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_HELP)]
pub struct ContractArguments {
    #[command(subcommand)]
    verb: ContractVerb,
}

#[derive(Debug, Subcommand)]
enum ContractVerb {
    /// Puts the contracts of a file in force. A bad contract refuses the whole file.
    #[command(after_help = PUBLISH_HELP)]
    Publish {
        /// Contract file: JSON with `services` and `organisations`.
        file: PathBuf,
        /// Refuses an object that was changed since this version, as OBJECT=OFFSET; OBJECT=new
        /// for one that must not exist. May be repeated.
        #[arg(long, value_parser = parse_base)]
        base: Vec<(String, Option<Offset>)>,
        /// Operation of an earlier try whose outcome is not known.
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

/// Runs the verb.
pub fn run(arguments: &ContractArguments) -> eyre::Result<ExitCode> {
    match &arguments.verb {
        ContractVerb::Publish {
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
            operate.finish(&operate.post(CONTRACTS, &body)?)
        }
        ContractVerb::Show { operate } => show(operate),
    }
}

fn show(operate: &OperateArguments) -> eyre::Result<ExitCode> {
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
        _ => eyre::bail!("the daemon answered another question"),
    }
    Ok(ExitCode::SUCCESS)
}

fn print_contracts(contracts: &ContractsAnswer) {
    println!("configuration up to offset {}", contracts.next);
    let version = |version: Option<Offset>| version.map_or("-".to_owned(), |at| at.to_string());
    let mut rows = Vec::new();
    for held in &contracts.services {
        for route in &held.contract.routes {
            rows.push(vec![
                held.contract.service.to_string(),
                version(held.version),
                held.contract.floor_share.to_string(),
                held.contract.slots_count.to_string(),
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
    for held in &contracts.organisations {
        let routes: Vec<&str> = held.contract.routes.iter().map(|route| &**route).collect();
        rows.push(vec![
            held.contract.organisation.to_string(),
            version(held.version),
            held.contract.rate_per_s.to_string(),
            held.contract.burst_count.to_string(),
            held.contract.weight_share.to_string(),
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
