//! Memory of the discovery service and its costs of full lists and changes, measured with its core alone and clients
//! that accept all output at once.

use super::cpu_clock::ThreadCpuClock;
use super::discovery_environment::row;
use super::discovery_load::{discovery_spec, largest};
use super::{Plan, Point, Role, Sink, Source, Stop};
use sanddrum_emulator::{DiscoveryFaults, DiscoveryService};
use sanddrum_net::{ConnectionId, Core, Event, Io, ListenerId, Micros};
use sanddrum_wire::{frame::encode_frame, EndpointRecord, Hello, ToDiscovery, Watch, VERSION};
use std::cell::RefCell;
use std::rc::Rc;

/// The number of full lists or changes over which the processor time is averaged.
const SAMPLES: u64 = 20;

/// Accepts all output and counts its bytes.
#[derive(Default)]
struct CountingIo {
    bytes: u64,
}

impl Io for CountingIo {
    fn connect(&mut self, _: &str) -> ConnectionId {
        ConnectionId(0)
    }
    fn write(&mut self, _: ConnectionId, bytes: &[u8]) -> usize {
        self.bytes += bytes.len() as u64;
        bytes.len()
    }
    fn close(&mut self, _: ConnectionId) {}
    fn reset(&mut self, _: ConnectionId) {}
    fn pause(&mut self, _: ConnectionId, _: bool) {}
    fn save_state(&mut self, _: &[u8]) {}
}

/// This process's resident memory, in bytes.
fn resident_bytes() -> Result<u64, String> {
    let file = "/proc/self/status";
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
    kilobytes
        .map(|kb| kb * 1024)
        .ok_or_else(|| format!("{file}: no VmRSS"))
}

/// The service's core with routers that connect one after the other, each after the previous one got its list.
struct ServiceBench {
    service: DiscoveryService,
    io: CountingIo,
    now: Micros,
    snapshot_cost: Micros,
    publish_delay: Micros,
    routers: u64,
    /// The incarnation of the changing worker.
    incarnation: u64,
}

/// The connection of the changing worker.
const WORKER: ConnectionId = ConnectionId(u64::MAX);

impl ServiceBench {
    fn new(plan: &Plan, rows: u64) -> Self {
        let (spec, now) = (discovery_spec(plan), 1_000_000_000);
        let zones = plan.settings.integer("capacity.zones");
        let rows: Vec<_> = (0..rows as usize).map(|n| row(n, zones)).collect();
        let (snapshot_cost, publish_delay) = (spec.snapshot_cost, spec.max_publish_delay);
        let service = DiscoveryService::new(
            spec,
            plan.seed,
            1,
            Rc::new(RefCell::new(DiscoveryFaults::default())),
        );
        let service = service.with_endpoints(now, &rows);
        let mut bench = ServiceBench {
            service,
            io: CountingIo::default(),
            now,
            snapshot_cost,
            publish_delay,
            routers: 0,
            incarnation: 1,
        };
        bench.service.on_event(
            now,
            Event::Accepted {
                conn: WORKER,
                listener: ListenerId(0),
            },
            &mut bench.io,
        );
        bench
    }
    /// Registers a restarted worker, and publishes the change to all routers.
    fn change(&mut self) {
        self.incarnation += 1;
        let register = ToDiscovery::Register(EndpointRecord {
            incarnation: self.incarnation,
            ..row(0, 1)
        });
        let event = Event::Bytes {
            conn: WORKER,
            bytes: &encode_frame(&register),
        };
        self.service.on_event(self.now, event, &mut self.io);
        self.now += self.publish_delay + 1;
        self.service.process(self.now, &mut self.io);
    }
    /// Connects another router, which gets the full list.
    fn add_router(&mut self) {
        let (conn, listener) = (ConnectionId(self.routers), ListenerId(0));
        self.routers += 1;
        self.now += self.snapshot_cost + 1;
        let name = crate::Scenario::edge_name(self.routers as usize);
        let hello = ToDiscovery::Hello(Hello {
            version: VERSION,
            name,
            incarnation: 1,
            age_us: None,
        });
        let bytes = [
            encode_frame(&hello),
            encode_frame(&ToDiscovery::Watch(Watch::default())),
        ]
        .concat();
        self.service
            .on_event(self.now, Event::Accepted { conn, listener }, &mut self.io);
        self.service.on_event(
            self.now,
            Event::Bytes {
                conn,
                bytes: &bytes,
            },
            &mut self.io,
        );
        self.service.process(self.now, &mut self.io);
    }
}

struct Reporter<'a> {
    sink: &'a mut Sink,
}

impl Reporter<'_> {
    fn record(
        &mut self,
        play: String,
        figure: &str,
        unit: &'static str,
        (axis, at): (&'static str, u64),
        value: f64,
    ) -> Result<(), String> {
        let (role, source) = (Role::ListService, Source::Played);
        let figure = figure.to_string();
        self.sink.point(Point {
            role,
            play,
            figure,
            unit,
            axis,
            at: at as f64,
            value,
            source,
        })
    }
}

/// Measures memory over rows and over routers, and the costs of full lists over rows and of changes over routers.
/// Memory is the growth of the process, so everything is kept until the end.
pub(super) fn run_microbench(
    plan: &Plan,
    routers: &[u64],
    rows: &[u64],
    sink: &mut Sink,
    stop: &Stop,
) -> Result<(), String> {
    let max_rows = largest(rows);
    let mut benches = Vec::new();
    let mut reporter = Reporter { sink };
    for at in rows {
        if stop.is_set() {
            return Ok(());
        }
        // Small services are created several times, because a process grows by pages.
        let count = (max_rows / at).max(1);
        let before = resident_bytes()?;
        benches.extend((0..count).map(|_| ServiceBench::new(plan, *at)));
        let per_service = resident_bytes()?.saturating_sub(before) as f64 / count as f64;
        reporter.record(
            "alone, no router".into(),
            "memory",
            "bytes",
            ("rows", *at),
            per_service,
        )?;
        let Some(bench) = benches.last_mut() else {
            continue;
        };
        let (sent, start) = (bench.io.bytes, ThreadCpuClock::now());
        (0..SAMPLES).for_each(|_| bench.add_router());
        let nanoseconds = (ThreadCpuClock::now() - start) as f64 / SAMPLES as f64;
        let bytes = (bench.io.bytes - sent) as f64 / SAMPLES as f64;
        reporter.record(
            "a whole list".into(),
            "processor time",
            "us",
            ("rows", *at),
            nanoseconds / 1e3,
        )?;
        reporter.record(
            "a whole list".into(),
            "bytes out",
            "bytes",
            ("rows", *at),
            bytes,
        )?;
    }
    for rows in [rows.iter().copied().min().unwrap_or(1), max_rows] {
        let mut bench = ServiceBench::new(plan, rows);
        let before = resident_bytes()?;
        for at in routers {
            while bench.routers < *at {
                bench.add_router();
                if stop.is_set() {
                    return Ok(());
                }
            }
            let growth = resident_bytes()?.saturating_sub(before) as f64;
            let (play, at) = (format!("alone, {rows} rows"), ("routers", *at));
            reporter.record(play, "memory for routers", "bytes", at, growth)?;
            let (sent, start) = (bench.io.bytes, ThreadCpuClock::now());
            (0..SAMPLES).for_each(|_| bench.change());
            let nanoseconds = (ThreadCpuClock::now() - start) as f64 / SAMPLES as f64;
            let bytes = (bench.io.bytes - sent) as f64 / SAMPLES as f64;
            let play = format!("a change, {rows} rows");
            reporter.record(play.clone(), "processor time", "us", at, nanoseconds / 1e3)?;
            reporter.record(play, "bytes out", "bytes", at, bytes)?;
        }
        benches.push(bench);
    }
    Ok(())
}
