//! What all operators' commands share: the HTTP client, its arguments, tables and exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use comfy_table::{presets, ContentArrangement, Table};
use eyre::WrapErr;
use serde::Serialize;

use super::{EXIT_CONFLICT, EXIT_LOG_DOWN, EXIT_NOT_DURABLE, EXIT_REFUSED, EXIT_UNKNOWN};
use crate::journal::SubmitOutcome;
use crate::operator::client::OperatorClient;
use crate::operator::message::{ChangeResult, Refusal};
use crate::operator::OperatorAnswer;

/// Environment variable that holds the operator's token.
pub const TOKEN_VARIABLE: &str = "BANYANBEAM_TOKEN";

/// Exit codes of every operators' command, printed after its help.
pub const EXIT_HELP: &str = "\
Exit codes:
  0  done
  1  the daemon can't be reached, or its answer can't be read
  2  wrong arguments
  3  refused; nothing was changed
  4  another operator changed the object first; nothing was changed
  5  the outcome is not known; send the same operation again (--operation)
  6  the withdrawal is in force, but not yet durable
  7  the platform's log does not answer; nothing was changed

The token is read from the environment variable BANYANBEAM_TOKEN or from --token-file.";

/// Arguments of every operators' command.
#[derive(Debug, Args)]
pub struct OperateArguments {
    /// Operators' address of any daemon.
    #[arg(long, default_value = "127.0.0.1:8084")]
    operator_address: SocketAddr,
    /// File with the operator's token.
    #[arg(long)]
    token_file: Option<PathBuf>,
    /// Prints JSON instead of tables.
    #[arg(long)]
    pub json: bool,
}

impl OperateArguments {
    /// Sends a `GET` request to the daemon and returns its answer.
    pub fn get(&self, target: &str) -> eyre::Result<OperatorAnswer> {
        self.client()?.get(target)
    }

    /// Sends a change to the daemon by `POST` and returns its answer.
    pub fn post<T: Serialize>(&self, target: &str, body: &T) -> eyre::Result<OperatorAnswer> {
        self.client()?.post(target, body)
    }

    /// Returns a client with the operator's token.
    fn client(&self) -> eyre::Result<OperatorClient> {
        let token = self.token()?;
        let address = self.operator_address;
        Ok(OperatorClient { address, token })
    }

    /// Reads the operator's token from the token file or the environment.
    fn token(&self) -> eyre::Result<String> {
        if let Some(path) = &self.token_file {
            let text = std::fs::read_to_string(path)
                .wrap_err_with(|| format!("token file {:?}", path.display()))?;
            return Ok(text.trim().to_owned());
        }
        std::env::var(TOKEN_VARIABLE)
            .wrap_err_with(|| format!("{TOKEN_VARIABLE} is not set and there is no --token-file"))
    }

    /// Prints an answer as JSON if `--json` was given, and returns whether it did.
    pub fn print_json(&self, answer: &OperatorAnswer) -> eyre::Result<bool> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(answer)?);
        }
        Ok(self.json)
    }

    /// Prints the outcome of a change and returns the exit code.
    pub fn print_outcome(&self, answer: &OperatorAnswer) -> eyre::Result<ExitCode> {
        let printed = self.print_json(answer)?;
        match answer {
            OperatorAnswer::Results(results) => {
                if !printed {
                    print_results(results);
                }
                Ok(exit_code(results))
            }
            OperatorAnswer::Refused(refusal) => {
                if !printed {
                    print_refusal(refusal);
                }
                Ok(ExitCode::from(EXIT_REFUSED))
            }
            _ => Err(eyre::eyre!("unexpected kind of answer from the daemon")),
        }
    }
}

/// Width of tables; longer cells are wrapped.
const TABLE_WIDTH_COLUMNS: u16 = 120;

/// Prints a table with these headings to standard output.
pub fn print_table(headings: &[&str], rows: Vec<Vec<String>>) {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_content_arrangement(ContentArrangement::Dynamic);
    table.set_width(TABLE_WIDTH_COLUMNS);
    table.set_header(headings.to_vec());
    table.add_rows(rows);
    println!("{table}");
}

/// Prints a refusal with its field errors to standard error.
pub fn print_refusal(refusal: &Refusal) {
    eprintln!("banyanbeam: {}: {}", refusal.kind.code(), refusal.text);
    for error in &refusal.errors {
        eprintln!("  {error}");
    }
}

/// Prints a table with the outcome for each object of a change.
fn print_results(results: &[ChangeResult]) {
    let mut rows = Vec::with_capacity(results.len());
    for result in results {
        let outcome = result
            .outcome
            .as_ref()
            .map_or_else(unchanged_text, describe_outcome);
        rows.push(vec![
            result.object.clone(),
            outcome,
            result.operation.clone(),
        ]);
    }
    print_table(&["object", "outcome", "operation"], rows);
}

/// Returns the text for an object that already was as requested.
fn unchanged_text() -> String {
    "unchanged".to_owned()
}

/// Describes an outcome in one line.
fn describe_outcome(outcome: &SubmitOutcome) -> String {
    match outcome {
        SubmitOutcome::Accepted { offset } => format!("accepted at offset {offset}"),
        SubmitOutcome::Conflict { by, at } => {
            let by = by.as_deref().unwrap_or("another operator");
            let at = at.map_or_else(String::new, |at| format!(" at offset {at}"));
            format!("not accepted: changed by {by}{at}")
        }
        SubmitOutcome::Invalid => "not accepted: invalid".to_owned(),
        SubmitOutcome::Repeated => "seen before; see `audit`".to_owned(),
        SubmitOutcome::LogDown => "not appended: the platform's log does not answer".to_owned(),
        SubmitOutcome::Busy => "not appended: the daemon is overloaded".to_owned(),
        SubmitOutcome::Unknown { read_up_to } => {
            format!("unknown: not seen below offset {read_up_to}; send the operation again")
        }
        SubmitOutcome::NotDurable {
            confirmed_count,
            fleet_count,
        } => format!("in force on {confirmed_count} of {fleet_count} daemons, not yet durable"),
    }
}

/// Returns the exit code of the most severe outcome.
fn exit_code(results: &[ChangeResult]) -> ExitCode {
    let outcomes = results.iter().filter_map(|result| result.outcome.as_ref());
    let code = outcomes
        .map(outcome_code)
        .max_by_key(|code| severity(*code));
    code.map_or(ExitCode::SUCCESS, ExitCode::from)
}

/// Returns the exit code of one outcome.
fn outcome_code(outcome: &SubmitOutcome) -> u8 {
    match outcome {
        SubmitOutcome::Accepted { .. } => 0,
        SubmitOutcome::Conflict { .. } => EXIT_CONFLICT,
        SubmitOutcome::Invalid | SubmitOutcome::Busy => EXIT_REFUSED,
        SubmitOutcome::LogDown => EXIT_LOG_DOWN,
        SubmitOutcome::Unknown { .. } | SubmitOutcome::Repeated => EXIT_UNKNOWN,
        SubmitOutcome::NotDurable { .. } => EXIT_NOT_DURABLE,
    }
}

/// Ranks exit codes: not durable is above success, then definite failures, and an unknown outcome
/// is the most severe.
fn severity(code: u8) -> u8 {
    match code {
        0 => 0,
        EXIT_NOT_DURABLE => 1,
        EXIT_UNKNOWN => 3,
        _ => 2,
    }
}
