use clap::{Args, ValueEnum};
use std::io;
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
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    let begun = match logs.log_format {
        Format::Text => lines.try_init(),
        Format::Json => lines.json().flatten_event(true).try_init(),
    };
    begun.map_err(|e| e.to_string())
}
