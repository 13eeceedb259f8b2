//! `banyanbeam explain` and `banyanbeam audit`.

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

/// Arguments of `explain`.
#[derive(Debug, Args)]
#[command(after_help = EXPLAIN_HELP)]
pub struct ExplainArguments {
    /// What to explain: request:ID, server:NAME, organisation:NAME, key:KEY-or-HASH, domain:NAME
    /// or daemon:NAME.
    subject: String,
    #[command(flatten)]
    operate: OperateArguments,
}

const EXPLAIN_HELP: &str = "\
Examples:
  banyanbeam explain server:workshop-3
  banyanbeam explain key:bb_0123...
  banyanbeam explain domain:north

Each daemon tells what it decided itself: ask the daemon beside a server about its ejection, and
the entry about a request.";

/// Arguments of `audit`.
#[derive(Debug, Args)]
#[command(after_help = EXIT_HELP)]
pub struct AuditArguments {
    /// Most changes and most decisions shown.
    #[arg(long, default_value_t = 50)]
    limit: usize,
    #[command(flatten)]
    operate: OperateArguments,
}

/// Runs `explain`.
pub fn run(arguments: &ExplainArguments) -> eyre::Result<ExitCode> {
    let subject: Subject = match arguments.subject.parse() {
        Ok(subject) => subject,
        Err(problem) => {
            eprintln!("banyanbeam: {problem}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let subject = match subject {
        Subject::Key(key) => Subject::Key(known_name(&key)),
        subject => subject,
    };
    print(&arguments.operate, &format!("{EXPLAIN}?subject={subject}"))
}

/// Runs `audit`.
pub fn run_audit(arguments: &AuditArguments) -> eyre::Result<ExitCode> {
    let target = format!("{AUDIT}?limit={}", arguments.limit);
    print(&arguments.operate, &target)
}

/// The name of a key in the trail, from the key, its hash, or the start of its hash. The key
/// itself is not sent.
fn known_name(key: &str) -> String {
    if key.len() == SHORT_HASH_DIGITS && key.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return key.to_owned();
    }
    short_hash(&hex::decode_32(key).unwrap_or_else(|| hash_key(key)))
}

/// The last millisecond of the year 9999.
const TIME_LIMIT_MS: u64 = 253_402_300_799_999;
const SHORT_HASH_DIGITS: usize = 16;

fn print(operate: &OperateArguments, target: &str) -> eyre::Result<ExitCode> {
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
        _ => Err(eyre::eyre!("the daemon answered another question")),
    }
}

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
