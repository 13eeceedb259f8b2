//! The command line. One file a command.

mod check;
mod demo;
mod logging;
mod measure;
mod measure_allowance;
mod serve;
mod settings;
mod standin;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Exit code of wrong settings or arguments.
pub const EXIT_USAGE: u8 = 2;

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
