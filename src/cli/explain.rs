//! The commands `banyanbeam explain` and `banyanbeam audit`, which show the audit trail of a
//! daemon.

use std::process::ExitCode;
use std::time::{Duration, UNIX_EPOCH};

use clap::Args;

use super::operate::{print_refusal, print_table, OperateArguments, EXIT_HELP};
use super::{EXIT_REFUSED, EXIT_USAGE};
use crate::audit::{Subject, Trail};
use crate::contract::short_hash;
use crate::operator::OperatorAnswer;
use crate::wire::hex;
use crate::wire::operator::{AUDIT, EXPLAIN};
use crate::wire::proof::hash_key;

/// Arguments of `banyanbeam explain`.
#[derive(Debug, Args)]
#[command(after_help = EXPLAIN_HELP)]
pub struct ExplainArguments {
    /// Subject to explain: request:ID, server:NAME, organisation:NAME, key:KEY-or-HASH, domain:NAME
    /// or daemon:NAME.
    subject: String,
    /// Address, token and output format of an operators' command.
    #[command(flatten)]
    operate: OperateArguments,
}

/// Examples printed after the help of `explain`.
const EXPLAIN_HELP: &str = "\
Examples:
  banyanbeam explain server:workshop-3
  banyanbeam explain key:bb_0123...
  banyanbeam explain domain:north

Each daemon explains only its own decisions: ask the daemon on a server's VM about its ejection,
and the entry that took a request about that request.";

/// Arguments of `banyanbeam audit`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_HELP)]
pub struct AuditArguments {
    /// Most changes, and most decisions, to show.
    #[arg(long, default_value_t = 50)]
    limit: usize,
    /// Address, token and output format of an operators' command.
    #[command(flatten)]
    operate: OperateArguments,
}

/// Prints the changes and decisions about one subject.
pub fn run(arguments: &ExplainArguments) -> eyre::Result<ExitCode> {
    let subject: Subject = match arguments.subject.parse() {
        Ok(subject) => subject,
        Err(problem) => {
            eprintln!("banyanbeam: {problem}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let subject = match subject {
        Subject::Key(key) => Subject::Key(trail_key_name(&key)),
        subject => subject,
    };
    fetch_and_print(&arguments.operate, &format!("{EXPLAIN}?subject={subject}"))
}

/// Prints the newest changes and decisions.
pub fn run_audit(arguments: &AuditArguments) -> eyre::Result<ExitCode> {
    let target = format!("{AUDIT}?limit={}", arguments.limit);
    fetch_and_print(&arguments.operate, &target)
}

/// Returns the name of a key in the trail, given the key, its hash, or the first digits of its
/// hash. The key itself is not sent to the daemon.
fn trail_key_name(key: &str) -> String {
    if key.len() == SHORT_HASH_DIGITS && key.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return key.to_owned();
    }
    short_hash(&hex::decode_32(key).unwrap_or_else(|| hash_key(key)))
}

/// Latest time that RFC 3339 can show: the last millisecond of the year 9999, since the epoch.
const TIME_LIMIT_MS: u64 = 253_402_300_799_999;
/// Hexadecimal digits of a key's hash in the trail.
const SHORT_HASH_DIGITS: usize = 16;

/// Fetches a trail from the daemon and prints it as tables or JSON.
fn fetch_and_print(operate: &OperateArguments, target: &str) -> eyre::Result<ExitCode> {
    let answer = operate.get(target)?;
    if operate.print_json(&answer)? {
        return Ok(ExitCode::SUCCESS);
    }
    match answer {
        OperatorAnswer::Trail(trail) => {
            print_trail(&trail);
            Ok(ExitCode::SUCCESS)
        }
        OperatorAnswer::Refused(refusal) => {
            print_refusal(&refusal);
            Ok(ExitCode::from(EXIT_REFUSED))
        }
        _ => Err(eyre::eyre!("unexpected kind of answer from the daemon")),
    }
}

/// Prints one table of changes and one of decisions.
fn print_trail(trail: &Trail) {
    let time = |at_ms: u64| {
        let since = Duration::from_millis(at_ms.min(TIME_LIMIT_MS));
        humantime::format_rfc3339_seconds(UNIX_EPOCH + since)
    };
    let mut rows = Vec::with_capacity(trail.changes.len());
    for change in &trail.changes {
        rows.push(vec![
            change.offset.to_string(),
            time(change.at_ms).to_string(),
            change.author.clone(),
            change.object.clone(),
            format!("{:?}", change.verdict),
            change.before.to_string(),
            change.after.to_string(),
        ]);
    }
    let headings = [
        "offset", "time", "who", "object", "verdict", "before", "after",
    ];
    print_table(&headings, rows);
    let mut rows = Vec::with_capacity(trail.decisions.len());
    for decision in &trail.decisions {
        let evidence = decision.evidence.iter();
        let evidence: Vec<String> = evidence
            .map(|(name, value)| format!("{name} = {value}"))
            .collect();
        rows.push(vec![
            time(decision.at_ms).to_string(),
            decision.subject.to_string(),
            decision.verdict.clone(),
            decision.rule.clone(),
            evidence.join("\n"),
        ]);
    }
    let headings = ["time", "subject", "decision", "rule", "evidence"];
    print_table(&headings, rows);
    if trail.dropped_count > 0 {
        println!("{} older decisions are no longer kept", trail.dropped_count);
    }
}
