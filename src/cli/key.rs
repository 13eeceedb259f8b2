//! The command `banyanbeam key`, which grants, withdraws and lists the keys of organisations.

use std::process::ExitCode;

use clap::{Args, Subcommand};
use rand::RngCore;

use super::operate::{print_refusal, print_table, OperateArguments, EXIT_HELP};
use super::EXIT_REFUSED;
use crate::journal::SubmitOutcome;
use crate::operator::OperatorAnswer;
use crate::types::{format_id, new_operation_id};
use crate::wire::hex;
use crate::wire::operator::{GrantBody, WithdrawBody, KEYS, KEYS_WITHDRAW};
use crate::wire::proof::hash_key;

/// Arguments of `banyanbeam key`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_HELP)]
pub struct KeyArguments {
    /// Subcommand that the process runs.
    #[command(subcommand)]
    verb: KeyCommand,
}

/// Subcommands of `banyanbeam key`.
#[derive(Debug, Subcommand)]
enum KeyCommand {
    /// Grants a new key to an organisation and prints it once. Only its hash leaves this process.
    #[command(after_help = "Example:\n  banyanbeam key grant optician-1")]
    Grant {
        /// Name of the organisation.
        organisation: String,
        /// Grants this key instead of a new one, such as a key whose grant has an unknown outcome.
        #[arg(long)]
        key: Option<String>,
        /// Id of an earlier operation whose outcome is unknown, to send it again.
        #[arg(long)]
        operation: Option<String>,
        #[command(flatten)]
        operate: OperateArguments,
    },
    /// Withdraws a key for good; works also while the platform's log is down.
    #[command(after_help = "Example:\n  banyanbeam key withdraw bb_0123...")]
    Withdraw {
        /// The key, or its SHA-256 in hexadecimal.
        key: String,
        /// Id of an earlier operation whose outcome is unknown, to send it again.
        #[arg(long)]
        operation: Option<String>,
        #[command(flatten)]
        operate: OperateArguments,
    },
    /// Lists keys by their hashes.
    List {
        /// Lists only the keys of this organisation.
        #[arg(long)]
        organisation: Option<String>,
        #[command(flatten)]
        operate: OperateArguments,
    },
}

/// Number of random bytes in a new key.
const KEY_BYTES: usize = 32;

/// Runs the subcommand and returns its exit code.
pub fn run(arguments: &KeyArguments) -> eyre::Result<ExitCode> {
    match &arguments.verb {
        KeyCommand::Grant {
            organisation,
            key,
            operation,
            operate,
        } => grant(organisation, key.as_ref(), operation.as_ref(), operate),
        KeyCommand::Withdraw {
            key,
            operation,
            operate,
        } => {
            let key_hash = hex::decode_32(key).unwrap_or_else(|| hash_key(key));
            let body = WithdrawBody {
                operation: Some(operation.clone().unwrap_or_else(new_operation_text)),
                key_hash: hex::encode(&key_hash),
            };
            operate.print_outcome(&operate.post(KEYS_WITHDRAW, &body)?)
        }
        KeyCommand::List {
            organisation,
            operate,
        } => list_keys(organisation.as_deref(), operate),
    }
}

/// Returns the text form of a new operation id.
fn new_operation_text() -> String {
    format_id(new_operation_id())
}

/// Sends a grant, and prints the key unless the grant was refused.
fn grant(
    organisation: &str,
    key: Option<&String>,
    operation: Option<&String>,
    operate: &OperateArguments,
) -> eyre::Result<ExitCode> {
    let key = key.cloned().unwrap_or_else(new_key);
    let body = GrantBody {
        operation: Some(operation.cloned().unwrap_or_else(new_operation_text)),
        organisation: organisation.into(),
        key_hash: hex::encode(&hash_key(&key)),
    };
    let answer = operate.post(KEYS, &body)?;
    if may_be_granted(&answer) {
        // With `--json`, standard output holds only JSON. The key is printed here and nowhere else.
        match operate.json {
            true => eprintln!("key {key}"),
            false => println!("key {key}"),
        }
    }
    operate.print_outcome(&answer)
}

/// Returns whether the key was granted or may have been.
fn may_be_granted(answer: &OperatorAnswer) -> bool {
    let OperatorAnswer::Results(results) = answer else {
        return false;
    };
    let outcomes = results.iter().filter_map(|result| result.outcome.as_ref());
    let mut granted = outcomes.filter(|outcome| {
        matches!(
            outcome,
            SubmitOutcome::Accepted { .. }
                | SubmitOutcome::Unknown { .. }
                | SubmitOutcome::Repeated
        )
    });
    granted.next().is_some()
}

/// Returns a new random key with the prefix `bb_`.
fn new_key() -> String {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    format!("bb_{}", hex::encode(&bytes))
}

/// Prints the keys as a table or JSON.
fn list_keys(organisation: Option<&str>, operate: &OperateArguments) -> eyre::Result<ExitCode> {
    let target = match organisation {
        Some(organisation) => format!("{KEYS}?organisation={organisation}"),
        None => KEYS.to_owned(),
    };
    let answer = operate.get(&target)?;
    if operate.print_json(&answer)? {
        return Ok(ExitCode::SUCCESS);
    }
    match answer {
        OperatorAnswer::Keys(keys) => {
            let mut rows = Vec::with_capacity(keys.len());
            for key in keys {
                let state = if key.withdrawn {
                    "withdrawn"
                } else {
                    "granted"
                };
                rows.push(vec![
                    key.organisation.to_string(),
                    state.to_owned(),
                    key.key_hash,
                ]);
            }
            print_table(&["organisation", "state", "key hash"], rows);
            Ok(ExitCode::SUCCESS)
        }
        OperatorAnswer::Refused(refusal) => {
            print_refusal(&refusal);
            Ok(ExitCode::from(EXIT_REFUSED))
        }
        _ => Err(eyre::eyre!("unexpected kind of answer from the daemon")),
    }
}
