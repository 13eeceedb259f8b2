//! `banyanbeam domain`.

use std::process::ExitCode;

use clap::{Args, Subcommand};

use super::operate::{print_refusal, print_table, OperateArguments, EXIT_HELP};
use super::EXIT_REFUSED;
use crate::operator::OperatorAnswer;
use crate::types::{format_id, new_operation_id};
use crate::wire::operator::{DomainBody, DOMAINS, DOMAINS_IN, DOMAINS_OUT};

/// Arguments of `domain`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_HELP)]
pub struct DomainArguments {
    #[command(subcommand)]
    verb: DomainVerb,
}

#[derive(Debug, Subcommand)]
enum DomainVerb {
    /// Takes a failure domain out of service; what runs there is finished.
    #[command(after_help = "Example:\n  banyanbeam domain out north")]
    Out {
        /// The failure domain.
        domain: String,
        /// Accepts that services fall below their floor. The audit trail shows it.
        #[arg(long)]
        override_floor: bool,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Brings a failure domain back; its backend servers count as cold.
    In {
        /// The failure domain.
        domain: String,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Lists failure domains.
    List {
        #[command(flatten)]
        operate: OperateArguments,
    },
}

#[derive(Debug, Args)]
struct ChangeArguments {
    /// Operation of an earlier try whose outcome is not known.
    #[arg(long)]
    operation: Option<String>,
    #[command(flatten)]
    operate: OperateArguments,
}

/// Runs the verb.
pub fn run(arguments: &DomainArguments) -> eyre::Result<ExitCode> {
    match &arguments.verb {
        DomainVerb::Out {
            domain,
            override_floor,
            change,
        } => send(DOMAINS_OUT, domain, *override_floor, change),
        DomainVerb::In { domain, change } => send(DOMAINS_IN, domain, false, change),
        DomainVerb::List { operate } => list(operate),
    }
}

fn send(
    target: &str,
    domain: &str,
    override_floor: bool,
    change: &ChangeArguments,
) -> eyre::Result<ExitCode> {
    let fresh = || format_id(new_operation_id());
    let body = DomainBody {
        operation: Some(change.operation.clone().unwrap_or_else(fresh)),
        domain: domain.into(),
        override_floor,
    };
    let answer = change.operate.post(target, &body)?;
    change.operate.finish(&answer)
}

fn list(operate: &OperateArguments) -> eyre::Result<ExitCode> {
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
        _ => Err(eyre::eyre!("the daemon answered another question")),
    }
}
