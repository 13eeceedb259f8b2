//! Stand-ins and cases of the review. `standins CASE RECORD TEMPORARY TROUBLE` plays a case, writes
//! the file RECORD, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
//! With TROUBLE 0 it leaves out the disruption.

mod drain;
mod http;
mod relay;
mod silence;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
    /// The case could not run.
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, temporary, trouble] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD TEMPORARY TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    let log = world::Log::create(Path::new(record));
    log.line(match trouble {
        true => "the case with its disruption",
        false => "the case without its disruption (TROUBLE=0)",
    });
    let temporary = Path::new(temporary);
    let play = || match case.as_str() {
        "drain" => drain::play(&log, temporary, trouble),
        "silence" => silence::play(&log, temporary, trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let verdict = verdict.unwrap_or_else(|_| Verdict::NotRun("a stand-in failed".to_owned()));
    match verdict {
        Verdict::Broken => ExitCode::from(1),
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::NotRun(problem) => {
            log.line(&format!("the case couldn't run: {problem}"));
            ExitCode::from(2)
        }
    }
}
