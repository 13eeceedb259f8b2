//! The command `banyanbeam domain`, which takes failure domains out of service and back.

use std::process::ExitCode;

use clap::{Args, Subcommand};

use super::operate::{print_refusal, print_table, OperateArguments, EXIT_HELP};
use super::EXIT_REFUSED;
use crate::operator::OperatorAnswer;
use crate::types::{format_id, new_operation_id};
use crate::wire::operator::{DomainBody, DOMAINS, DOMAINS_IN, DOMAINS_OUT};

/// Arguments of `banyanbeam domain`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_HELP)]
pub struct DomainArguments {
    /// Subcommand that the process runs.
    #[command(subcommand)]
    verb: DomainCommand,
}

/// Subcommands of `banyanbeam domain`.
#[derive(Debug, Subcommand)]
enum DomainCommand {
    /// Takes a failure domain out of service; requests that run there are finished.
    #[command(after_help = "Example:\n  banyanbeam domain out north")]
    Out {
        /// Name of the failure domain.
        domain: String,
        /// Accepts that services fall below their floor; the audit trail records it.
        #[arg(long)]
        override_floor: bool,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Brings a failure domain back into service; its backend servers count as cold.
    In {
        /// Name of the failure domain.
        domain: String,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Lists the failure domains with their state and size.
    List {
        #[command(flatten)]
        operate: OperateArguments,
    },
}

/// Arguments that both changes of a failure domain take.
#[derive(Debug, Args)]
struct ChangeArguments {
    /// Id of an earlier operation whose outcome is unknown, to send it again.
    #[arg(long)]
    operation: Option<String>,
    /// Address, token and output format of an operators' command.
    #[command(flatten)]
    operate: OperateArguments,
}

/// Runs the subcommand and returns its exit code.
pub fn run(arguments: &DomainArguments) -> eyre::Result<ExitCode> {
    match &arguments.verb {
        DomainCommand::Out {
            domain,
            override_floor,
            change,
        } => send_change(DOMAINS_OUT, domain, *override_floor, change),
        DomainCommand::In { domain, change } => send_change(DOMAINS_IN, domain, false, change),
        DomainCommand::List { operate } => list_domains(operate),
    }
}

/// Sends a change of a failure domain and prints its outcome.
fn send_change(
    target: &str,
    domain: &str,
    override_floor: bool,
    change: &ChangeArguments,
) -> eyre::Result<ExitCode> {
    let new_operation = || format_id(new_operation_id());
    let body = DomainBody {
        operation: Some(change.operation.clone().unwrap_or_else(new_operation)),
        domain: domain.into(),
        override_floor,
    };
    let answer = change.operate.post(target, &body)?;
    change.operate.print_outcome(&answer)
}

/// Prints the failure domains as a table or JSON.
fn list_domains(operate: &OperateArguments) -> eyre::Result<ExitCode> {
    let answer = operate.get(DOMAINS)?;
    if operate.print_json(&answer)? {
        return Ok(ExitCode::SUCCESS);
    }
    match answer {
        OperatorAnswer::Domains(domains) => {
            let mut rows = Vec::with_capacity(domains.len());
            for domain in domains {
                let state = if domain.out { "out" } else { "in" };
                rows.push(vec![
                    domain.domain.to_string(),
                    state.to_owned(),
                    domain.daemon_count.to_string(),
                    domain.server_count.to_string(),
                    domain.back_at.map_or("-".to_owned(), |at| at.to_string()),
                ]);
            }
            let headings = ["domain", "state", "daemons", "servers", "back at offset"];
            print_table(&headings, rows);
            Ok(ExitCode::SUCCESS)
        }
        OperatorAnswer::Refused(refusal) => {
            print_refusal(&refusal);
            Ok(ExitCode::from(EXIT_REFUSED))
        }
        _ => Err(eyre::eyre!("unexpected kind of answer from the daemon")),
    }
}
