//! Runs an edge as a router on the platform, configured by its environment and its startup configuration. Features
//! that the platform does not allow are off: see docs/operating/platform.md.

use crate::retry::retry_transient_errors;
use crate::{exit, fail};
use sanddrum_edge::{Edge, EdgeOptions, Platform, CONFIGURATION_FILE};
use sanddrum_net::{EventLoop, Shutdown};
use sanddrum_platform::StartupConfig;
use std::path::PathBuf;
use std::process::ExitCode;

/// The startup configuration is reloaded on SIGHUP. The event loop also polls a watched file at an interval, which is
/// therefore long.
const CONFIGURATION_CHECK_INTERVAL_US: i64 = 3_600_000_000;

/// Reads the configuration file that RELAY_CONFIG names. RELAY_NAME and RELAY_LISTEN override the router's name and
/// listening address in it.
fn read_configuration() -> Result<(PathBuf, StartupConfig), String> {
    let variable = |name: &str| std::env::var(name).ok().filter(|text| !text.is_empty());
    let file = variable("RELAY_CONFIG")
        .map(PathBuf::from)
        .ok_or("RELAY_CONFIG: not set")?;
    let text = retry_transient_errors(|| std::fs::read_to_string(&file)).map_err(|e| {
        format!(
            "RELAY_CONFIG: {}: {e}; name a readable file",
            file.display()
        )
    })?;
    let mut configuration =
        StartupConfig::read(&text).map_err(|why| format!("{}: {why}", file.display()))?;
    configuration.name = variable("RELAY_NAME").unwrap_or(configuration.name);
    configuration.listen = variable("RELAY_LISTEN").unwrap_or(configuration.listen);
    // If the configuration allows more sockets than there are file descriptors, idle clients could use up all of them.
    let open_files = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    configuration.max_descriptors = configuration
        .max_descriptors
        .min(open_files.unwrap_or(u64::MAX));
    Ok((file, configuration))
}

pub(crate) fn run(driver: EventLoop) -> ExitCode {
    let (file, configuration) = match read_configuration() {
        Ok(configuration) => configuration,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    match serve(driver, file, &configuration) {
        Ok(Shutdown::Graceful) => ExitCode::from(exit::SUCCESS),
        Ok(Shutdown::Immediate) => fail(exit::RUNTIME_ERROR, "stopped immediately"),
        Err(e) => fail(exit::RUNTIME_ERROR, e),
    }
}

fn serve(
    mut driver: EventLoop,
    file: PathBuf,
    configuration: &StartupConfig,
) -> Result<Shutdown, String> {
    let settings = configuration
        .deployment_settings()
        .map_err(|e| e.to_string())?;
    let now = driver.now();
    let platform = Platform {
        initial_events: configuration.feed_events().map_err(|e| e.to_string())?,
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
    let host = driver
        .add(Box::new(edge), vec![listener], None)
        .map_err(|e| e.to_string())?;
    driver.watch_file(
        host,
        CONFIGURATION_FILE,
        file,
        CONFIGURATION_CHECK_INTERVAL_US,
    );
    driver.ignore_repeated_signals();
    driver.run().map_err(|e| e.to_string())
}
