//! The command line. Each module holds the arguments and the code of one command.

mod check;
mod contract;
mod demo;
mod domain;
mod explain;
mod explain_log;
mod key;
mod logging;
mod measure;
mod measure_allowance;
mod measure_capacity;
mod measure_fleet;
mod measure_membership;
mod measure_view;
mod operate;
pub mod serve;
mod settings;
mod standin;
mod status;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Exit code for invalid arguments, settings or input files.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a request that the daemon refused; nothing was changed.
pub const EXIT_REFUSED: u8 = 3;
/// Exit code for a change that another operator's change preceded; nothing was changed.
pub const EXIT_CONFLICT: u8 = 4;
/// Exit code for a change whose outcome is unknown.
pub const EXIT_UNKNOWN: u8 = 5;
/// Exit code for a withdrawal that is in force, but not yet durable.
pub const EXIT_NOT_DURABLE: u8 = 6;
/// Exit code for a change that was not appended because the platform's log does not answer.
pub const EXIT_LOG_DOWN: u8 = 7;

/// A proxy fleet for backend servers with gray failures.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Arguments {
    /// Command that the process runs.
    #[command(subcommand)]
    command: Command,
}

/// The commands of the program.
#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a whole deployment in one process and checks every answer.
    Demo(demo::DemoArguments),
    /// Runs one daemon until SIGTERM or SIGINT.
    Serve(serve::ServeArguments),
    /// Checks a settings file and exits.
    Check(check::CheckArguments),
    /// Measures decisions on scripted loads under virtual time.
    Measure(measure::MeasureArguments),
    /// Prints the default settings as JSON.
    Settings(settings::SettingsArguments),
    /// Publishes and shows contracts.
    Contract(contract::ContractArguments),
    /// Grants, withdraws and lists keys.
    Key(key::KeyArguments),
    /// Takes failure domains out of service and brings them back.
    Domain(domain::DomainArguments),
    /// Shows the state of a daemon and of the fleet.
    Status(status::StatusArguments),
    /// Explains the decisions about a request, server, key or other subject, with evidence and
    /// rule.
    Explain(explain::ExplainArguments),
    /// Explains what happened to requests, from the logs of daemons.
    ExplainLog(explain_log::ExplainLogArguments),
    /// Shows the newest changes and decisions.
    Audit(explain::AuditArguments),
    /// Runs a stand-in for a part of the platform, for tests.
    Standin(standin::StandinArguments),
}

/// Runs the command and returns the exit code of the process.
pub fn run(arguments: Arguments) -> ExitCode {
    let result = match arguments.command {
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Serve(arguments) => serve::run(&arguments),
        Command::Check(arguments) => check::run(&arguments),
        Command::Measure(arguments) => measure::run(&arguments),
        Command::Settings(arguments) => settings::run(&arguments),
        Command::Contract(arguments) => contract::run(&arguments),
        Command::Key(arguments) => key::run(&arguments),
        Command::Domain(arguments) => domain::run(&arguments),
        Command::Status(arguments) => status::run(&arguments),
        Command::Explain(arguments) => explain::run(&arguments),
        Command::ExplainLog(arguments) => explain_log::run(&arguments),
        Command::Audit(arguments) => explain::run_audit(&arguments),
        Command::Standin(arguments) => standin::run(&arguments),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("banyanbeam: {error:#}");
            ExitCode::FAILURE
        }
    }
}
