//! The edge: answers clients and holds connections to workers.

use clap::Parser;
use sanddrum_cli::{edge, exit, fail, logs};
use std::process::ExitCode;

/// Answers clients, decides where each job runs, and holds the connections to the workers
#[derive(Parser)]
#[command(
    name = "sanddrum-edge",
    version,
    after_help = "Examples:
  sanddrum-edge --settings armor.sx --zone bat-a --number 0 --edges 3 --state-file edge-0.state
  sanddrum-edge --settings armor.sx --listen 127.0.0.1:8081 --set limits.max-open=500 --log info

SIGTERM has it take no new jobs and end once each held one has its final answer; a second one ends it at once."
)]
struct Cli {
    #[command(flatten)]
    edge: edge::EdgeArgs,
    #[command(flatten)]
    logs: logs::Logs,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(problem) = logs::begin(&cli.logs) {
        return fail(exit::USAGE, problem);
    }
    edge::run(&cli.edge)
}
