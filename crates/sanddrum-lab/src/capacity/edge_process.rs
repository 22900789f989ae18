//! Memory and processor time of an idle edge process with an endpoint list of a given size.

use super::{Plan, Point, Role, Sink, Source, Stop};
use sanddrum_emulator::{DiscoveryService, DiscoverySpec};
use sanddrum_net::{EventLoop, Micros, NullObserver};
use sanddrum_wire::{EndpointRecord, Phase};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Time within which the edge must get its endpoint list.
const STARTUP_TIMEOUT: Micros = 30_000_000;
const POLL_INTERVAL: Micros = 100_000;

/// An edge process and its folder. Drop kills the process and removes the folder.
struct EdgeProcess {
    child: Child,
    folder: PathBuf,
}

impl Drop for EdgeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Measures an idle edge process for each number of workers of the router benchmark. Does nothing if the plan has no
/// program.
///
/// # Errors
/// A process could not be started or did not get its endpoint list.
pub(crate) fn run(plan: &Plan, sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    let Some(program) = &plan.program else {
        return Ok(());
    };
    for workers in plan.settings.integers("router-plays.workers") {
        if stop.is_set() {
            return Ok(());
        }
        sink.progress(&format!(
            "idle edge process with {workers} workers in its endpoint list"
        ));
        let Some((bytes, core)) = measure_idle(program, plan, workers, stop)? else {
            return Ok(());
        };
        for (figure, unit, value) in [
            ("memory, standing by", "MB", bytes / (1 << 20) as f64),
            ("processor time, standing by", "of a core", core),
        ] {
            let (play, figure) = ("edge process".to_string(), figure.to_string());
            let (axis, at, source) = ("workers", workers as f64, Source::Played);
            sink.point(Point {
                role: Role::Router,
                play,
                figure,
                unit,
                axis,
                at,
                value,
                source,
            })?;
        }
    }
    Ok(())
}

fn row(n: u64, zones: &[String]) -> EndpointRecord {
    EndpointRecord {
        name: format!("worker-{n}"),
        address: format!(
            "10.{}.{}.{}:7000",
            100 + n / 62_500,
            n / 250 % 250,
            n % 250 + 1
        ),
        zone: zones
            .get(n as usize % zones.len().max(1))
            .cloned()
            .unwrap_or_default(),
        size: 8.0,
        phase: Phase::Ready,
        incarnation: 1,
        age_us: -1,
        ..EndpointRecord::default()
    }
}

/// Returns the resident memory of an idle edge process in bytes and the fraction of a core that it uses, or `None` if
/// a stop was requested.
fn measure_idle(
    program: &Path,
    plan: &Plan,
    workers: u64,
    stop: &Stop,
) -> Result<Option<(f64, f64)>, String> {
    let text = |e: std::io::Error| e.to_string();
    let (listener, list_address) = EventLoop::bind("127.0.0.1:0").map_err(text)?;
    let mut driver = EventLoop::new(Box::new(NullObserver)).map_err(text)?;
    let spec = DiscoverySpec {
        min_publish_delay: 0,
        max_publish_delay: 0,
        heartbeat_timeout: Micros::MAX / 4,
        change_history: 16,
        snapshot_cost: 0,
        delta_cost: 0,
        max_pending_watches: 64,
    };
    let zones = plan.settings.names("zones");
    let rows: Vec<EndpointRecord> = (0..workers).map(|n| row(n, &zones)).collect();
    let list =
        DiscoveryService::new(spec, 1, 1, Default::default()).with_endpoints(driver.now(), &rows);
    driver
        .add(Box::new(list), vec![listener], None)
        .map_err(text)?;
    let folder = std::env::temp_dir().join(format!(
        "sanddrum-capacity-{}-{workers}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).map_err(text)?;
    let names: Vec<String> = zones.iter().map(|zone| format!("{zone:?}")).collect();
    let settings = format!(
        "(deployment (zones {}))\n(workload \"call\")\n(function \"f-*\" (workload \"call\"))\n",
        names.join(" ")
    );
    let (file, address) = (folder.join("edge.sx"), folder.join("address"));
    std::fs::write(&file, settings).map_err(text)?;
    let routers = plan.settings.integer("capacity.routers").to_string();
    let mut command = Command::new(program);
    command
        .arg("edge")
        .arg("--settings")
        .arg(&file)
        .arg("--address-file")
        .arg(&address);
    command.args([
        "--listen",
        "127.0.0.1:0",
        "--list",
        &list_address,
        "--edges",
        &routers,
        "--with-parent",
    ]);
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    let child = command
        .spawn()
        .map_err(|e| format!("{}: {e}", program.display()))?;
    let process = EdgeProcess { child, folder };
    let wanted = format!("sanddrum_workers_listed {workers}");
    let until = driver.now() + STARTUP_TIMEOUT;
    while !std::fs::read_to_string(&address).is_ok_and(|at| metrics(at.trim()).contains(&wanted)) {
        if stop.is_set() {
            return Ok(None);
        }
        if driver.now() > until {
            return Err(format!(
                "an edge did not get its endpoint list of {workers} workers within 30 s"
            ));
        }
        let next = driver.now() + POLL_INTERVAL;
        driver.run_until(next).map_err(text)?;
    }
    let mut wait = |span: Micros| {
        let until = driver.now() + span;
        driver.run_until(until).map_err(text)
    };
    let measured_for = plan
        .settings
        .duration_us("router-plays.stands-by-us")
        .max(1);
    wait(measured_for / 2)?;
    let before = cpu_ticks(&process.child)?;
    wait(measured_for)?;
    let spent =
        (cpu_ticks(&process.child)? - before) / rustix::param::clock_ticks_per_second() as f64;
    Ok(Some((
        resident_bytes(&process.child)?,
        spent / (measured_for as f64 / 1e6),
    )))
}

/// The edge's metrics page; empty if the edge doesn't answer.
fn metrics(address: &str) -> String {
    let page = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: edge\r\nconnection: close\r\n\r\n")?;
        let mut page = String::new();
        stream.read_to_string(&mut page)?;
        Ok(page)
    };
    page().unwrap_or_default()
}

fn read_proc_file(child: &Child, file: &str) -> Result<String, String> {
    let file = format!("/proc/{}/{file}", child.id());
    std::fs::read_to_string(&file).map_err(|e| format!("{file}: {e}"))
}

/// Resident memory, in bytes.
fn resident_bytes(child: &Child) -> Result<f64, String> {
    let text = read_proc_file(child, "statm")?;
    let pages: Option<f64> = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok());
    Ok(pages.unwrap_or_default() * rustix::param::page_size() as f64)
}

/// Processor time in user and kernel mode, in clock ticks.
fn cpu_ticks(child: &Child) -> Result<f64, String> {
    let text = read_proc_file(child, "stat")?;
    // The second field, the name in parentheses, may contain spaces.
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|n| n.parse().ok())
        .collect();
    Ok(fields.iter().sum())
}
