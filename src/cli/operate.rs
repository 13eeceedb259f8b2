//! What the operators' verbs share: the client, its arguments, and the exit codes.

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

/// Environment variable with the operator's token.
pub const TOKEN_VARIABLE: &str = "BANYANBEAM_TOKEN";

/// Exit codes of every operators' verb, for `--help`.
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

/// Arguments of every operators' verb.
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
    /// Asks a daemon.
    pub fn get(&self, target: &str) -> eyre::Result<OperatorAnswer> {
        self.client()?.get(target)
    }

    /// Asks a daemon for a change.
    pub fn post<T: Serialize>(&self, target: &str, body: &T) -> eyre::Result<OperatorAnswer> {
        self.client()?.post(target, body)
    }

    fn client(&self) -> eyre::Result<OperatorClient> {
        let token = self.token()?;
        let address = self.operator_address;
        Ok(OperatorClient { address, token })
    }

    fn token(&self) -> eyre::Result<String> {
        if let Some(path) = &self.token_file {
            let text = std::fs::read_to_string(path)
                .wrap_err_with(|| format!("token file {:?}", path.display()))?;
            return Ok(text.trim().to_owned());
        }
        std::env::var(TOKEN_VARIABLE)
            .wrap_err_with(|| format!("{TOKEN_VARIABLE} is not set and there is no --token-file"))
    }

    /// Prints an answer as JSON where asked for. Says whether it did.
    pub fn print_json(&self, answer: &OperatorAnswer) -> eyre::Result<bool> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(answer)?);
        }
        Ok(self.json)
    }

    /// Prints what became of a change, and gives the exit code.
    pub fn finish(&self, answer: &OperatorAnswer) -> eyre::Result<ExitCode> {
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
            _ => Err(eyre::eyre!("the daemon answered another question")),
        }
    }
}

/// Long cells are wrapped at this width.
const TABLE_WIDTH_COLUMNS: u16 = 120;

/// Prints a table with these headings.
pub fn print_table(headings: &[&str], rows: Vec<Vec<String>>) {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_content_arrangement(ContentArrangement::Dynamic);
    table.set_width(TABLE_WIDTH_COLUMNS);
    table.set_header(headings.to_vec());
    table.add_rows(rows);
    println!("{table}");
}

/// Prints a refusal with its wrong fields.
pub fn print_refusal(refusal: &Refusal) {
    eprintln!("banyanbeam: {}: {}", refusal.kind.code(), refusal.text);
    for error in &refusal.errors {
        eprintln!("  {error}");
    }
}

fn print_results(results: &[ChangeResult]) {
    let mut rows = Vec::with_capacity(results.len());
    for result in results {
        let outcome = result.outcome.as_ref().map_or_else(unchanged, describe);
        rows.push(vec![
            result.object.clone(),
            outcome,
            result.operation.clone(),
        ]);
    }
    print_table(&["object", "outcome", "operation"], rows);
}

fn unchanged() -> String {
    "unchanged".to_owned()
}

fn describe(outcome: &SubmitOutcome) -> String {
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

/// The gravest outcome decides.
fn exit_code(results: &[ChangeResult]) -> ExitCode {
    let outcomes = results.iter().filter_map(|result| result.outcome.as_ref());
    let code = outcomes.map(outcome_code).max_by_key(|code| gravity(*code));
    code.map_or(ExitCode::SUCCESS, ExitCode::from)
}

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

fn gravity(code: u8) -> u8 {
    match code {
        0 => 0,
        EXIT_NOT_DURABLE => 1,
        EXIT_UNKNOWN => 3,
        _ => 2,
    }
}
