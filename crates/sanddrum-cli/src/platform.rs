//! Runs an edge as a router on the platform, configured by its environment and its startup configuration. Features
//! that the platform does not allow are off: see docs/operating/platform.md.

use crate::retry::retry_transient_errors;
use crate::{exit, fail};
use sanddrum_edge::{Edge, EdgeOptions, Platform, CONFIGURATION_FILE};
use sanddrum_net::{EventLoop, Shutdown};
use sanddrum_platform::{StartupConfig, StartupConfigError, StartupConfigReader};
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The startup configuration is reloaded on SIGHUP. The event loop also polls a watched file at an interval, which is
/// therefore long.
const CONFIGURATION_CHECK_INTERVAL_US: i64 = 3_600_000_000;
/// The size of the parts in which the configuration is read at the start, in bytes.
const READ_PART_BYTES: usize = 64 * 1024;

/// Reads the configuration file that RELAY_CONFIG names. RELAY_NAME and RELAY_LISTEN override the router's name and
/// listening address in it.
fn read_configuration() -> Result<(PathBuf, StartupConfig), String> {
    let variable = |name: &str| std::env::var(name).ok().filter(|text| !text.is_empty());
    let file = variable("RELAY_CONFIG")
        .map(PathBuf::from)
        .ok_or("RELAY_CONFIG: not set")?;
    let mut configuration = read_file(&file)?;
    configuration.name = variable("RELAY_NAME").unwrap_or(configuration.name);
    configuration.listen = variable("RELAY_LISTEN").unwrap_or(configuration.listen);
    // If the configuration allows more sockets than there are file descriptors, idle clients could use up all of them.
    let open_files = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    configuration.max_descriptors = configuration
        .max_descriptors
        .min(open_files.unwrap_or(u64::MAX));
    Ok((file, configuration))
}

/// Reads a configuration file in parts, as on a reload: its known events may take many megabytes.
fn read_file(path: &Path) -> Result<StartupConfig, String> {
    let unreadable = |error: std::io::Error| {
        let path = path.display();
        format!("RELAY_CONFIG: {path}: {error}; name a readable file")
    };
    let unusable = |error: StartupConfigError| format!("{}: {error}", path.display());
    let mut file = retry_transient_errors(|| File::open(path)).map_err(unreadable)?;
    let mut reader = StartupConfigReader::for_start();
    let mut part = vec![0; READ_PART_BYTES];
    loop {
        let length = retry_transient_errors(|| file.read(&mut part)).map_err(unreadable)?;
        if length == 0 {
            return reader.finish(0).map_err(unusable);
        }
        reader.push(&part[..length]).map_err(unusable)?;
    }
}

pub(crate) fn run(driver: EventLoop) -> ExitCode {
    let (file, configuration) = match read_configuration() {
        Ok(configuration) => configuration,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    match serve(driver, file, configuration) {
        Ok(Shutdown::Graceful) => ExitCode::from(exit::SUCCESS),
        Ok(Shutdown::Immediate) => fail(exit::RUNTIME_ERROR, "stopped immediately"),
        Err(e) => fail(exit::RUNTIME_ERROR, e),
    }
}

fn serve(
    mut driver: EventLoop,
    file: PathBuf,
    mut configuration: StartupConfig,
) -> Result<Shutdown, String> {
    let settings = configuration
        .deployment_settings()
        .map_err(|e| e.to_string())?;
    let now = driver.now();
    let platform = Platform {
        initial_events: std::mem::take(&mut configuration.known_events),
        machine_kinds: configuration.worker_kinds(),
    };
    let listener = retry_transient_errors(|| EventLoop::bind(&configuration.listen));
    let (listener, address) = listener.map_err(|e| format!("{}: {e}", configuration.listen))?;
    tracing::info!(
        listen = address,
        feed = configuration.feed,
        "platform router starting"
    );
    let start = EdgeOptions {
        settings,
        seed: configuration.seed,
        cached_state: None,
        incarnation: now as u64,
        metrics_page: None,
        platform: Some(platform),
    };
    let edge = Edge::with_settings(start, &configuration.decision_settings());
    // The configuration's settings are not needed any more, and may be large.
    drop(configuration);
    let host = driver
        .add(Box::new(edge), vec![listener], None)
        .map_err(|e| e.to_string())?;
    driver.watch_large_file(
        host,
        CONFIGURATION_FILE,
        file,
        CONFIGURATION_CHECK_INTERVAL_US,
    );
    driver.ignore_repeated_signals();
    driver.run().map_err(|e| e.to_string())
}
