//! The command `banyanbeam status`, which shows the state of a daemon and of the fleet.

use std::process::ExitCode;

use clap::Args;

use super::operate::{print_refusal, print_table, OperateArguments, EXIT_HELP};
use super::EXIT_REFUSED;
use crate::operator::message::StatusAnswer;
use crate::operator::OperatorAnswer;
use crate::wire::operator::STATUS;

/// Arguments of `banyanbeam status`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_HELP)]
pub struct StatusArguments {
    /// Shows the daemon's counters too.
    #[arg(long)]
    counters: bool,
    /// Address, token and output format of an operators' command.
    #[command(flatten)]
    operate: OperateArguments,
}

/// Fetches the status and prints it as tables or JSON.
pub fn run(arguments: &StatusArguments) -> eyre::Result<ExitCode> {
    let answer = arguments.operate.get(STATUS)?;
    if arguments.operate.print_json(&answer)? {
        return Ok(ExitCode::SUCCESS);
    }
    match answer {
        OperatorAnswer::Status(status) => {
            print_status(&status, arguments.counters);
            Ok(ExitCode::SUCCESS)
        }
        OperatorAnswer::Refused(refusal) => {
            print_refusal(&refusal);
            Ok(ExitCode::from(EXIT_REFUSED))
        }
        _ => Err(eyre::eyre!("unexpected kind of answer from the daemon")),
    }
}

/// Prints a table of the daemon, one of the services and, if asked for, one of the counters.
fn print_status(status: &StatusAnswer, with_counters: bool) {
    let yes_or_no = |holds: bool| if holds { "yes" } else { "no" }.to_owned();
    let out: Vec<&str> = status.domains_out.iter().map(|domain| &**domain).collect();
    let lines = [
        ("daemon", status.daemon.to_string()),
        ("incarnation", status.incarnation.to_string()),
        ("configuration up to offset", status.next.to_string()),
        ("configuration usable", yes_or_no(status.usable)),
        ("platform's log answers", yes_or_no(status.log_reachable)),
        (
            "withdrawals not yet durable",
            status.tombstone_count.to_string(),
        ),
        ("organisations", status.organisation_count.to_string()),
        ("services", status.service_count.to_string()),
        ("keys", status.key_count.to_string()),
        ("daemons", status.daemon_count.to_string()),
        ("failure domains out", out.join(", ")),
    ];
    let rows = lines.map(|(name, value)| vec![name.to_owned(), value]);
    print_table(&["what", "value"], rows.to_vec());
    let mut rows = Vec::new();
    for service in &status.services {
        rows.push(vec![
            service.service.to_string(),
            service.server_count.to_string(),
            service.serving_count.to_string(),
            service.floor_count.to_string(),
        ]);
    }
    print_table(&["service", "servers", "in service", "floor"], rows);
    if !with_counters {
        return;
    }
    let mut rows = Vec::new();
    for (name, count) in &status.counts {
        rows.push(vec![name.clone(), count.to_string()]);
    }
    print_table(&["counter", "count"], rows);
}
