//! One router on the users' platform: the same edge, told all that it needs by its environment and its start
//! configuration. What the platform leaves no room for is off: see docs/operating/platform.md.

use crate::retry::until_it_works;
use crate::{exit, fail};
use sanddrum_edge::{Edge, EdgeOptions, Platform, CONFIGURATION_FILE};
use sanddrum_net::{EventLoop, Shutdown};
use sanddrum_platform::StartupConfig;
use std::path::PathBuf;
use std::process::ExitCode;

/// The start configuration is looked at on SIGHUP; besides, seldom, as the driver wants a span.
const LOOK_EVERY: i64 = 3_600_000_000;

/// Reads the configuration that the environment names; the environment's own name and address count before it.
fn configuration() -> Result<(PathBuf, StartupConfig), String> {
    let variable = |name: &str| std::env::var(name).ok().filter(|text| !text.is_empty());
    let file = variable("RELAY_CONFIG")
        .map(PathBuf::from)
        .ok_or("RELAY_CONFIG: no file is named")?;
    let text = until_it_works(|| std::fs::read_to_string(&file)).map_err(|e| {
        format!(
            "RELAY_CONFIG: {}: {e}; give a file that can be read",
            file.display()
        )
    })?;
    let mut read =
        StartupConfig::read(&text).map_err(|why| format!("{}: {why}", file.display()))?;
    read.name = variable("RELAY_NAME").unwrap_or(read.name);
    read.listen = variable("RELAY_LISTEN").unwrap_or(read.listen);
    // Guards against a configuration that promises more descriptors than there are: idle clients would take the last.
    let open_files = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    read.max_descriptors = read.max_descriptors.min(open_files.unwrap_or(u64::MAX));
    Ok((file, read))
}

pub(crate) fn run(driver: EventLoop) -> ExitCode {
    let (file, read) = match configuration() {
        Ok(read) => read,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    match serve(driver, file, &read) {
        Ok(Shutdown::Graceful) => ExitCode::from(exit::GOOD),
        Ok(Shutdown::Immediate) => fail(exit::TROUBLE, "ended at once"),
        Err(e) => fail(exit::TROUBLE, e),
    }
}

fn serve(mut driver: EventLoop, file: PathBuf, read: &StartupConfig) -> Result<Shutdown, String> {
    let settings = read.deployment_settings().map_err(|e| e.to_string())?;
    let now = driver.now();
    let platform = Platform {
        initial_events: read.feed_events().map_err(|e| e.to_string())?,
        machine_kinds: read.worker_kinds(),
    };
    let door = until_it_works(|| EventLoop::bind(&read.listen));
    let (door, at) = door.map_err(|e| format!("{}: {e}", read.listen))?;
    tracing::info!(
        listen = at,
        feed = read.feed,
        "a router of the platform begins"
    );
    let start = EdgeOptions {
        settings,
        seed: read.seed,
        cached_state: None,
        incarnation: now as u64,
        metrics_page: None,
        platform: Some(platform),
    };
    let edge = Edge::with_settings(start, &read.decision_settings());
    let host = driver
        .add(Box::new(edge), vec![door], None)
        .map_err(|e| e.to_string())?;
    driver.watch_file(host, CONFIGURATION_FILE, file, LOOK_EVERY);
    driver.ignore_repeated_signals();
    driver.run().map_err(|e| e.to_string())
}
