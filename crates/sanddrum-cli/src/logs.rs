//! Logging to standard error that never blocks the program.

use clap::{Args, ValueEnum};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tracing::Level;
use tracing_subscriber::filter::{dynamic_filter_fn, EnvFilter, FilterExt};
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, registry};

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Format {
    /// Human-readable text
    Text,
    /// One JSON object per line
    Json,
}

#[derive(Args, Clone, Debug)]
pub struct Logs {
    /// Log level: error, warn, info, debug or trace; also per module, such as sanddrum_edge=debug
    #[arg(long, default_value = "warn", global = true, value_name = "WHAT")]
    pub log: String,
    /// Log format
    #[arg(long, value_enum, default_value_t = Format::Text, global = true)]
    pub log_format: Format,
}

/// Starts logging to standard error.
///
/// # Errors
/// The filter is invalid, or logging has been started already.
pub fn init(logs: &Logs) -> Result<(), String> {
    let filter = EnvFilter::try_new(&logs.log).map_err(|e| format!("--log {}: {e}", logs.log))?;
    let filter = filter.or(dynamic_filter_fn(|line, _| {
        DEBUG_LOG.load(Ordering::Relaxed)
            && *line.level() <= Level::DEBUG
            && line.target().starts_with(OWN_TARGETS)
    }));
    let lines = fmt::layer().with_writer(|| LineWriter);
    let result = match logs.log_format {
        Format::Text => registry().with(lines.with_filter(filter)).try_init(),
        Format::Json => {
            let lines = lines.json().flatten_event(true);
            registry().with(lines.with_filter(filter)).try_init()
        }
    };
    result.map_err(|e| e.to_string())
}

/// Whether the programs' own lines are logged at the debug level, whatever the filter says.
pub static DEBUG_LOG: AtomicBool = AtomicBool::new(false);

/// The first part of the names of the programs' own modules.
const OWN_TARGETS: &str = "sanddrum";

/// Lines are cut to this length: a writable pipe takes up to this many bytes at once (POSIX: PIPE_BUF on Linux).
const MAX_LINE_BYTES: usize = 4096;

/// Number of lines dropped since the last one that was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Writes lines to standard error if that doesn't block, and otherwise drops and counts them. If the reader of the log
/// stalls, a blocking write would stall every request of the process.
struct LineWriter;

fn is_writable(stderr: &io::Stderr) -> bool {
    let mut descriptors = [PollFd::new(stderr, PollFlags::OUT)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut descriptors, Some(&no_wait)).is_ok_and(|ready| ready > 0)
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let stderr = io::stderr();
        if !is_writable(&stderr) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = stderr.lock().write(
                format!("{dropped} log lines were dropped because the reader did not keep up\n")
                    .as_bytes(),
            );
            if !is_writable(&stderr) {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                return Ok(line.len());
            }
        }
        let cut = &line[..line.len().min(MAX_LINE_BYTES)];
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
