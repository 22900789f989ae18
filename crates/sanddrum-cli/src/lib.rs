//! The commands of the programs, with their logging and exit codes.

#![allow(clippy::missing_errors_doc, clippy::too_many_lines, missing_docs)] // unfinished: docs/ROADMAP.md

pub mod call;
pub mod capacity;
pub mod certs;
pub mod config;
pub mod edge;
pub mod fleet;
pub mod keys;
pub mod lab;
pub mod load;
pub mod logs;
pub mod platform;
pub mod retry;
pub mod soak;

use std::fmt::Display;
use std::process::ExitCode;

/// Exit codes, the same for all commands.
pub mod exit {
    /// The command succeeded.
    pub const SUCCESS: u8 = 0;
    /// The command ran and reports a negative result: a violated rule, a request that did not finish.
    pub const CHECK_FAILED: u8 = 1;
    /// The command could not start: invalid arguments or settings.
    pub const USAGE: u8 = 2;
    /// The command could not continue: a port in use, a file that can't be written.
    pub const RUNTIME_ERROR: u8 = 3;
}

/// Prints an error message to standard error and returns the exit code.
pub fn fail(code: u8, problem: impl Display) -> ExitCode {
    eprintln!("{problem}");
    ExitCode::from(code)
}
