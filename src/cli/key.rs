//! `banyanbeam key`.

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

/// Arguments of `key`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_HELP)]
pub struct KeyArguments {
    #[command(subcommand)]
    verb: KeyVerb,
}

#[derive(Debug, Subcommand)]
enum KeyVerb {
    /// Grants a new key to an organisation and prints it once. Only its hash leaves this process.
    #[command(after_help = "Example:\n  banyanbeam key grant optician-1")]
    Grant {
        /// The organisation.
        organisation: String,
        /// Grants this key instead of a new one, such as one whose grant has an unknown outcome.
        #[arg(long)]
        key: Option<String>,
        /// Operation of an earlier try whose outcome is not known.
        #[arg(long)]
        operation: Option<String>,
        #[command(flatten)]
        operate: OperateArguments,
    },
    /// Withdraws a key for good, also while the platform's log is down.
    #[command(after_help = "Example:\n  banyanbeam key withdraw bb_0123...")]
    Withdraw {
        /// The key, or its SHA-256 in hexadecimal.
        key: String,
        /// Operation of an earlier try whose outcome is not known.
        #[arg(long)]
        operation: Option<String>,
        #[command(flatten)]
        operate: OperateArguments,
    },
    /// Lists keys by their hashes.
    List {
        /// Only those of this organisation.
        #[arg(long)]
        organisation: Option<String>,
        #[command(flatten)]
        operate: OperateArguments,
    },
}

const KEY_BYTES: usize = 32;

/// Runs the verb.
pub fn run(arguments: &KeyArguments) -> eyre::Result<ExitCode> {
    match &arguments.verb {
        KeyVerb::Grant {
            organisation,
            key,
            operation,
            operate,
        } => grant(organisation, key.as_ref(), operation.as_ref(), operate),
        KeyVerb::Withdraw {
            key,
            operation,
            operate,
        } => {
            let key_hash = hex::decode_32(key).unwrap_or_else(|| hash_key(key));
            let body = WithdrawBody {
                operation: Some(operation.clone().unwrap_or_else(fresh_operation)),
                key_hash: hex::encode(&key_hash),
            };
            operate.finish(&operate.post(KEYS_WITHDRAW, &body)?)
        }
        KeyVerb::List {
            organisation,
            operate,
        } => list(organisation.as_deref(), operate),
    }
}

fn fresh_operation() -> String {
    format_id(new_operation_id())
}

fn grant(
    organisation: &str,
    key: Option<&String>,
    operation: Option<&String>,
    operate: &OperateArguments,
) -> eyre::Result<ExitCode> {
    let key = key.cloned().unwrap_or_else(new_key);
    let body = GrantBody {
        operation: Some(operation.cloned().unwrap_or_else(fresh_operation)),
        organisation: organisation.into(),
        key_hash: hex::encode(&hash_key(&key)),
    };
    let answer = operate.post(KEYS, &body)?;
    if may_be_granted(&answer) {
        // Standard error keeps `--json` readable; the key is shown here and nowhere else.
        match operate.json {
            true => eprintln!("key {key}"),
            false => println!("key {key}"),
        }
    }
    operate.finish(&answer)
}

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

fn new_key() -> String {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    format!("bb_{}", hex::encode(&bytes))
}

fn list(organisation: Option<&str>, operate: &OperateArguments) -> eyre::Result<ExitCode> {
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
        _ => Err(eyre::eyre!("the daemon answered another question")),
    }
}
