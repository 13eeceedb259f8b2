//! The command `banyanbeam standin`, which runs a stand-in for a part of the platform.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::standin::{backend_server, platform_log};

/// Arguments of `banyanbeam standin`.
#[derive(Debug, Args)]
pub struct StandinArguments {
    /// Stand-in that the process runs.
    #[command(subcommand)]
    kind: StandinKind,
}

/// The stand-ins, each a subcommand of `banyanbeam standin`.
#[derive(Debug, Subcommand)]
enum StandinKind {
    /// Runs the platform's append-only log.
    PlatformLog {
        /// Address to listen on; port 0 takes a free one.
        #[arg(long, default_value = "127.0.0.1:8090")]
        address: SocketAddr,
    },
    /// Runs a backend server that announces itself to a daemon.
    BackendServer {
        /// Name of the server.
        #[arg(long)]
        server: String,
        /// Name of its service.
        #[arg(long)]
        service: String,
        /// Address to listen on; port 0 takes a free one.
        #[arg(long, default_value = "127.0.0.1:0")]
        address: SocketAddr,
        /// Address at which the daemon on this VM takes announcements.
        #[arg(long, default_value = "127.0.0.1:8082")]
        announce: SocketAddr,
        /// Most requests that it runs at a time.
        #[arg(long, default_value_t = 5)]
        slots: u32,
        /// Time that a request takes, in milliseconds.
        #[arg(long, default_value_t = 5)]
        work_ms: u64,
    },
}

/// Runs the stand-in until SIGTERM or SIGINT.
pub fn run(arguments: &StandinArguments) -> eyre::Result<ExitCode> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let address = match &arguments.kind {
        StandinKind::PlatformLog { address } => platform_log::start(*address)?.address,
        StandinKind::BackendServer {
            server,
            service,
            address,
            announce,
            slots,
            work_ms,
        } => {
            let options = backend_server::BackendServerOptions {
                server: server.as_str().into(),
                service: service.as_str().into(),
                address: *address,
                announce_address: *announce,
                slots_count: *slots,
                work: Duration::from_millis(*work_ms),
            };
            backend_server::start(&options)?.address
        }
    };
    println!("listening {address}");
    signals.forever().next();
    Ok(ExitCode::SUCCESS)
}
