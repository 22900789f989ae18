//! What the programs share: logs, exit codes, and running an edge.

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

/// Exit codes, the same for every command.
pub mod exit {
    /// All was well.
    pub const GOOD: u8 = 0;
    /// It ran, and what it found is not well: a rule broken, a job not finished.
    pub const BAD: u8 = 1;
    /// It could not run as asked: wrong arguments or settings.
    pub const USAGE: u8 = 2;
    /// It could not go on: a port taken, a file not to be written.
    pub const TROUBLE: u8 = 3;
}

/// Prints a problem and gives its exit code.
pub fn fail(code: u8, problem: impl Display) -> ExitCode {
    eprintln!("{problem}");
    ExitCode::from(code)
}
