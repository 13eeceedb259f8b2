//! `banyanbeam standin`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::standin::{backend_server, platform_log};

/// Arguments of `standin`.
#[derive(Debug, Args)]
pub struct StandinArguments {
    #[command(subcommand)]
    kind: StandinKind,
}

#[derive(Debug, Subcommand)]
enum StandinKind {
    /// The platform's append-only log.
    PlatformLog {
        /// Where it listens; port 0 takes a free one.
        #[arg(long, default_value = "127.0.0.1:8090")]
        address: SocketAddr,
    },
    /// A backend server.
    BackendServer {
        /// Its name.
        #[arg(long)]
        server: String,
        /// Its service.
        #[arg(long)]
        service: String,
        /// Where it listens; port 0 takes a free one.
        #[arg(long, default_value = "127.0.0.1:0")]
        address: SocketAddr,
        /// Where the daemon beside it takes announcements.
        #[arg(long, default_value = "127.0.0.1:8082")]
        announce: SocketAddr,
        /// Requests that it runs at a time.
        #[arg(long, default_value_t = 5)]
        slots: u32,
        /// How long a request takes, in milliseconds.
        #[arg(long, default_value_t = 5)]
        work_ms: u64,
    },
}

/// Runs a stand-in until a signal asks it to stop.
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
