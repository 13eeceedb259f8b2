//! The command `banyanbeam explain-log`, which traces requests through the logs of daemons.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use eyre::WrapErr;

use super::EXIT_USAGE;
use crate::request_trace::{self, text, LogLine};

/// Arguments of `banyanbeam explain-log`.
#[derive(Debug, Args)]
#[command(after_help = EXPLAIN_LOG_HELP)]
pub struct ExplainLogArguments {
    /// Id of a request to explain, as in the log field `request`; may be repeated.
    #[arg(long = "request", value_name = "ID")]
    requests: Vec<String>,
    /// Explains every request that ended without a server's answer.
    #[arg(long)]
    failed: bool,
    /// Most requests to explain.
    #[arg(long, default_value_t = 20)]
    limit: usize,
    /// Log files of daemons; standard input if there are none.
    files: Vec<PathBuf>,
}

/// Examples printed after the help of `explain-log`.
const EXPLAIN_LOG_HELP: &str = "\
Examples:
  banyanbeam explain-log --request 9c41d07be2a35f68 logs/*.json
  cat logs/*.json | banyanbeam explain-log --failed --limit 5

Lines are ordered by cause, so the clocks of daemons may differ. Lines that are not
JSON are skipped.";

/// Reads the logs and prints one trace for each of the requests.
pub fn run(arguments: &ExplainLogArguments) -> eyre::Result<ExitCode> {
    if arguments.requests.is_empty() && !arguments.failed {
        eprintln!("banyanbeam: select requests with --request, or all failed ones with --failed");
        return Ok(ExitCode::from(EXIT_USAGE));
    }
    let lines = read(&arguments.files)?;
    let named = |request: &str| arguments.requests.iter().any(|wanted| wanted == request);
    let failed = failed_requests(&lines, arguments.failed);
    let request_traces =
        request_trace::request_traces(&lines, |request| named(request) || failed.contains(request));
    if request_traces.is_empty() {
        eprintln!(
            "banyanbeam: no line of {} is about a selected request",
            lines.len()
        );
        return Ok(ExitCode::FAILURE);
    }
    for request_trace in request_traces.iter().take(arguments.limit) {
        println!("{}", text::render(request_trace));
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the ids of requests that failed or were refused; none unless they are `wanted`.
fn failed_requests(lines: &[LogLine], wanted: bool) -> std::collections::BTreeSet<&str> {
    let ended = |line: &&LogLine| {
        wanted && matches!(line.event.as_str(), "request_failed" | "request_refused")
    };
    let ends = lines.iter().filter(ended);
    ends.filter_map(|line| line.request.as_deref()).collect()
}

/// Reads the log lines of all files, or of standard input if there are none.
fn read(files: &[PathBuf]) -> eyre::Result<Vec<LogLine>> {
    if files.is_empty() {
        return read_lines(std::io::stdin().lock(), Path::new("standard input"));
    }
    let mut lines = Vec::new();
    for path in files {
        let file = File::open(path).wrap_err_with(|| format!("log {path:?}"))?;
        lines.extend(read_lines(BufReader::new(file), path)?);
    }
    Ok(lines)
}

/// Reads the log lines of one input and skips lines that are not JSON.
fn read_lines(input: impl BufRead, path: &Path) -> eyre::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for line in input.lines() {
        let line = line.wrap_err_with(|| format!("log {path:?}"))?;
        lines.extend(request_trace::read_line(&line));
    }
    Ok(lines)
}
