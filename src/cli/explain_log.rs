//! `banyanbeam explain-log`.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use eyre::WrapErr;

use super::EXIT_USAGE;
use crate::request_trace::{self, text, LogLine};

/// Arguments of `explain-log`.
#[derive(Debug, Args)]
#[command(after_help = EXPLAIN_LOG_HELP)]
pub struct ExplainLogArguments {
    /// Ids of requests, as in the field `request`.
    #[arg(long = "request", value_name = "ID")]
    requests: Vec<String>,
    /// Every request that ended without a server's answer.
    #[arg(long)]
    failed: bool,
    /// Most requests told.
    #[arg(long, default_value_t = 20)]
    limit: usize,
    /// Logs of daemons; standard input without any.
    files: Vec<PathBuf>,
}

const EXPLAIN_LOG_HELP: &str = "\
Examples:
  banyanbeam explain-log --request 9c41d07be2a35f68 logs/*.json
  cat logs/*.json | banyanbeam explain-log --failed --limit 5

Lines are put in order by cause, so clocks may differ. Lines that are no JSON are passed over.";

/// Runs `explain-log`.
pub fn run(arguments: &ExplainLogArguments) -> eyre::Result<ExitCode> {
    if arguments.requests.is_empty() && !arguments.failed {
        eprintln!("banyanbeam: name requests with --request, or ask for all with --failed");
        return Ok(ExitCode::from(EXIT_USAGE));
    }
    let lines = read(&arguments.files)?;
    let named = |request: &str| arguments.requests.iter().any(|wanted| wanted == request);
    let failed = failed_requests(&lines, arguments.failed);
    let request_traces =
        request_trace::request_traces(&lines, |request| named(request) || failed.contains(request));
    if request_traces.is_empty() {
        eprintln!(
            "banyanbeam: none of {} lines is about such a request",
            lines.len()
        );
        return Ok(ExitCode::FAILURE);
    }
    for request_trace in request_traces.iter().take(arguments.limit) {
        println!("{}", text::render(request_trace));
    }
    Ok(ExitCode::SUCCESS)
}

fn failed_requests(lines: &[LogLine], wanted: bool) -> std::collections::BTreeSet<&str> {
    let ended = |line: &&LogLine| {
        wanted && matches!(line.event.as_str(), "request_failed" | "request_refused")
    };
    let ends = lines.iter().filter(ended);
    ends.filter_map(|line| line.request.as_deref()).collect()
}

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

fn read_lines(input: impl BufRead, path: &Path) -> eyre::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for line in input.lines() {
        let line = line.wrap_err_with(|| format!("log {path:?}"))?;
        lines.extend(request_trace::read_line(&line));
    }
    Ok(lines)
}
