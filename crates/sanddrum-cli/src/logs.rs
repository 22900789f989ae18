//! Logging to standard error, which never holds the program up.

use clap::{Args, ValueEnum};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use tracing_subscriber::EnvFilter;

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Args, Clone, Debug)]
pub struct Logs {
    /// What is logged: error, warn, info, debug or trace, also by part, as sanddrum_edge=debug
    #[arg(long, default_value = "warn", global = true, value_name = "WHAT")]
    pub log: String,
    /// How it is written
    #[arg(long, value_enum, default_value_t = Format::Text, global = true)]
    pub log_format: Format,
}

/// Begins logging to standard error.
///
/// # Errors
/// The filter can't be understood.
pub fn begin(logs: &Logs) -> Result<(), String> {
    let filter = EnvFilter::try_new(&logs.log).map_err(|e| format!("--log {}: {e}", logs.log))?;
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(|| LineWriter);
    let begun = match logs.log_format {
        Format::Text => lines.try_init(),
        Format::Json => lines.json().flatten_event(true).try_init(),
    };
    begun.map_err(|e| e.to_string())
}

/// The longest line: a pipe that has room takes so much whole (POSIX, PIPE_BUF on Linux).
const LONGEST_LINE: usize = 4096;

/// Lines that found no room since the last one that did.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Writes lines to standard error where there is room for them, and counts those that it drops. Guards against a reader of
/// the log that stalls: a write that waits for it would hold up all that the process serves.
struct LineWriter;

fn has_room(stderr: &io::Stderr) -> bool {
    let mut waits = [PollFd::new(stderr, PollFlags::OUT)];
    let at_once = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut waits, Some(&at_once)).is_ok_and(|ready| ready > 0)
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let stderr = io::stderr();
        if !has_room(&stderr) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = stderr.lock().write(
                format!("{dropped} lines were dropped, as nobody read the log\n").as_bytes(),
            );
            if !has_room(&stderr) {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                return Ok(line.len());
            }
        }
        let cut = &line[..line.len().min(LONGEST_LINE)];
        stderr.lock().write_all(cut)?;
        if cut.len() < line.len() {
            stderr.lock().write_all(b"\n")?;
        }
        Ok(line.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
