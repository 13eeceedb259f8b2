//! The command line. One file a command.

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
pub mod reload;
pub mod serve;
mod settings;
mod standin;
mod status;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Exit code of wrong settings or arguments.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a refusal; nothing was changed.
pub const EXIT_REFUSED: u8 = 3;
/// Exit code when another operator changed the object first.
pub const EXIT_CONFLICT: u8 = 4;
/// Exit code when the outcome of a change is not known.
pub const EXIT_UNKNOWN: u8 = 5;
/// Exit code of a withdrawal that is in force, but not yet durable.
pub const EXIT_NOT_DURABLE: u8 = 6;
/// Exit code when the platform's log does not answer; nothing was changed.
pub const EXIT_LOG_DOWN: u8 = 7;

/// A proxy fleet for backend servers with gray failures.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Shows a whole deployment in one process and checks every answer.
    Demo(demo::DemoArguments),
    /// Runs one daemon until SIGTERM or SIGINT.
    Serve(serve::ServeArguments),
    /// Checks a settings file and does nothing else.
    Check(check::CheckArguments),
    /// Measures decisions on scripted loads under virtual time.
    Measure(measure::MeasureArguments),
    /// Prints settings.
    Settings(settings::SettingsArguments),
    /// Publishes and shows contracts.
    Contract(contract::ContractArguments),
    /// Grants, withdraws and lists keys.
    Key(key::KeyArguments),
    /// Takes failure domains out of service and back.
    Domain(domain::DomainArguments),
    /// Shows how a daemon and the fleet are.
    Status(status::StatusArguments),
    /// Says why something was decided, with the evidence and the rule.
    Explain(explain::ExplainArguments),
    /// Tells what became of requests, and why, from the logs of daemons.
    ExplainLog(explain_log::ExplainLogArguments),
    /// Shows the newest changes and decisions.
    Audit(explain::AuditArguments),
    /// Runs a stand-in of what the platform gives, for tests.
    Standin(standin::StandinArguments),
}

/// Runs the command and gives the exit code.
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
