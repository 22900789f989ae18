//! Runs the simulator adapter as a process: messages on standard input, decisions on standard output.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match sanddrum_simulator_adapter::serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sanddrum-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
