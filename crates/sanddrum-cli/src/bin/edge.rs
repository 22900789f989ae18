//! The edge: serves clients over connections to workers.

use clap::Parser;
use sanddrum_cli::{edge, exit, fail, logs};
use std::process::ExitCode;

/// Accepts requests from clients, chooses a worker for each and keeps connections to the workers
#[derive(Parser)]
#[command(
    name = "sanddrum-edge",
    version,
    after_help = "Examples:
  sanddrum-edge --settings armor.sx --zone bat-a --number 0 --edges 3 --state-file edge-0.state
  sanddrum-edge --settings armor.sx --listen 127.0.0.1:8081 --set limits.max-open=500 --log info

SIGTERM starts a graceful shutdown: no new requests are accepted, and the edge exits once every open request has its final response. A second SIGTERM stops it immediately."
)]
struct Cli {
    #[command(flatten)]
    edge: edge::EdgeArgs,
    #[command(flatten)]
    logs: logs::Logs,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(problem) = logs::init(&cli.logs) {
        return fail(exit::USAGE, problem);
    }
    edge::run(&cli.edge)
}
