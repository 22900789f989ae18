//! The load on the discovery service: its core with simulated routers, which decide with the product's own code when
//! to connect, over the numbers of routers, rows and changes; the load in the worst second; and memory.

use super::discovery_environment::{DiscoveryEnvironment, DiscoveryEnvironmentSpec, SECOND};
use super::discovery_microbench::run_microbench;
use super::discovery_scenarios::{run_all, seconds, source_from, DiscoveryRun, Reporter, MAX_WAIT};
use super::simulated_router::FollowerStats;
use super::{Benchmark, Plan, Sink, Stop};
use sanddrum_emulator::DiscoverySpec;
use sanddrum_net::{LinkModel, Micros};
use sanddrum_settings::{key, Occurrence, Section, SettingsError, ValueType};
use std::time::Duration;

pub const BENCHMARK: Benchmark = Benchmark {
    name: "list-service",
    section: Section {
        name: "list-service-plays",
        prefix: "list-service-plays",
        occurrence: Occurrence::Once,
        description: "sizes at which the discovery service is measured, and the settings of the emulated service",
        keys: &[
            key(
                "routers",
                ValueType::Integers(1.0, 1e5),
                Some("10 100 1000"),
                "numbers of routers, with the largest number of rows",
            ),
            key(
                "rows",
                ValueType::Integers(1.0, 1e5),
                Some("100 1000 10000"),
                "numbers of rows, with rows-routers routers",
            ),
            key(
                "rows-routers",
                ValueType::Integer(1.0, 1e5),
                Some("1000"),
                "number of routers when rows or changes are varied",
            ),
            key(
                "changes",
                ValueType::Integers(1.0, 1e5),
                Some("1 10 100"),
                "changes a second, with the largest number of rows",
            ),
            key(
                "beating",
                ValueType::Integers(1.0, 1e5),
                Some("100 1000 10000"),
                "numbers of workers that send heartbeats",
            ),
            key(
                "quiet",
                ValueType::Duration,
                Some("60s"),
                "virtual time for which the service is measured without changes",
            ),
            key(
                "gone",
                ValueType::Duration,
                Some("60s"),
                "virtual time for which the service is down",
            ),
            key(
                "notice-least",
                ValueType::Duration,
                Some("200ms"),
                "minimum delay until changes are published",
            ),
            key(
                "notice-most",
                ValueType::Duration,
                Some("1s"),
                "maximum delay until changes are published",
            ),
            key(
                "whole",
                ValueType::Duration,
                Some("5ms"),
                "processing time of a full list on the emulated service's single core",
            ),
            key(
                "change",
                ValueType::Duration,
                Some("200us"),
                "processing time of an update with changes",
            ),
            key(
                "calls",
                ValueType::Integer(1.0, 1e6),
                Some("64"),
                "pending watches; connections with further ones are closed",
            ),
            key(
                "changes-kept",
                ValueType::Integer(1.0, 1e6),
                Some("256"),
                "number of recent changes kept for routers that reconnect",
            ),
            key(
                "beat-every",
                ValueType::Duration,
                Some("200ms"),
                "interval of a worker's heartbeats",
            ),
        ],
    },
    check,
    run,
};

/// The largest size of a row in transit, in bytes.
const ROW_BYTES: u64 = 60;
/// How many copies of a row for one router may exist at a time, in the service's output, in transit or at the router.
const MAX_COPIES: u64 = 2;
/// Only the workers that are simulated send heartbeats, so the others must not time out.
const NO_HEARTBEAT_TIMEOUT: Micros = 86_400 * SECOND;
const HEARTBEAT_RUN: Micros = 2 * SECOND;

fn key_name(name: &str) -> String {
    format!("list-service-plays.{name}")
}

fn check(plan: &Plan) -> Result<(), SettingsError> {
    let l = &plan.settings;
    let most = |name: &str| plan.sizes(&key_name(name)).map(|sizes| largest(&sizes));
    let (routers, rows) = (most("routers")?, most("rows")?);
    let base_routers = l.integer("list-service-plays.rows-routers") as u64;
    most("changes")?;
    most("beating")?;
    let bytes = routers.max(base_routers) * rows * ROW_BYTES * MAX_COPIES;
    plan.check_memory(
        &key_name("routers"),
        &format!("{routers} routers with lists of {rows} rows"),
        bytes,
    )?;
    let (min_delay, max_delay) = (
        l.duration_us("list-service-plays.notice-least-us"),
        l.duration_us("list-service-plays.notice-most-us"),
    );
    if min_delay > max_delay {
        let what = "list-service-plays.notice-least is above notice-most";
        return Err(l.error_at(
            &key_name("notice-least-us"),
            what,
            "for example 200ms and 1s",
        ));
    }
    Ok(())
}

pub(super) fn largest(sizes: &[u64]) -> u64 {
    sizes.iter().copied().max().unwrap_or(1)
}

/// The parameters of the emulated discovery service from the plan.
pub(crate) fn discovery_spec(plan: &Plan) -> DiscoverySpec {
    let l = &plan.settings;
    let span = |name: &str| l.duration_us(&format!("list-service-plays.{name}-us"));
    DiscoverySpec {
        min_publish_delay: span("notice-least"),
        max_publish_delay: span("notice-most"),
        heartbeat_timeout: NO_HEARTBEAT_TIMEOUT,
        change_history: l.integer("list-service-plays.changes-kept"),
        snapshot_cost: span("whole"),
        delta_cost: span("change"),
        max_pending_watches: l.integer("list-service-plays.calls"),
    }
}

fn environment(
    plan: &Plan,
    routers: u64,
    rows: u64,
    stop: &Stop,
) -> Result<DiscoveryEnvironment, String> {
    let spec = DiscoveryEnvironmentSpec {
        settings: plan.settings.clone(),
        service: discovery_spec(plan),
        seed: plan.seed,
        routers: routers as usize,
        rows: rows as usize,
        links: LinkModel::default(),
        real_edges: false,
        zones: plan.settings.integer("capacity.zones"),
        heartbeat_interval: plan
            .settings
            .duration_us("list-service-plays.beat-every-us")
            .max(1000),
    };
    DiscoveryEnvironment::new(spec, stop.clone(), Duration::MAX / 4).map_err(|e| e.to_string())
}

fn run(plan: &Plan, sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    let sizes = |name: &str| plan.sizes(&key_name(name)).map_err(|e| e.to_string());
    let (routers, rows) = (sizes("routers")?, sizes("rows")?);
    let base_routers = plan.settings.integer("list-service-plays.rows-routers") as u64;
    let most_rows = largest(&rows);
    run_microbench(plan, &routers, &rows, sink, stop)?;
    for at in sizes("beating")? {
        measure_heartbeats(plan, at, sink, stop)?;
    }
    let run_fleet =
        |axis, at: u64, fixed, routers: u64, rows: u64, sink: &mut Sink| -> Result<(), String> {
            if stop.is_set() {
                return Ok(());
            }
            let environment = environment(plan, routers, rows, stop)?;
            run_all(&mut DiscoveryRun {
                plan,
                reporter: Reporter {
                    sink,
                    axis,
                    at: at as f64,
                    fixed,
                },
                environment,
            })
        };
    for at in &rows {
        run_fleet(
            "rows",
            *at,
            format!("{base_routers} routers"),
            base_routers,
            *at,
            sink,
        )?;
    }
    for at in &routers {
        run_fleet(
            "routers",
            *at,
            format!("{most_rows} rows"),
            *at,
            most_rows,
            sink,
        )?;
    }
    for at in sizes("changes")? {
        if stop.is_set() {
            return Ok(());
        }
        let environment = environment(plan, base_routers, most_rows, stop)?;
        let fixed = format!("{base_routers} routers and {most_rows} rows");
        let reporter = Reporter {
            sink,
            axis: "changes a second",
            at: at as f64,
            fixed,
        };
        let mut run = DiscoveryRun {
            plan,
            reporter,
            environment,
        };
        run.environment
            .start_routers(base_routers as usize, false)
            .map_err(|e| e.to_string())?;
        let all = |f: &FollowerStats| f.routers.iter().all(|router| router.first_update.is_some());
        run.reset_time_limit();
        if run.environment.run_until_true(MAX_WAIT, all).is_ok() {
            let zone =
                (most_rows as usize).div_ceil(plan.settings.integer("capacity.zones").max(1));
            run.measure_changes(at, zone)?;
        }
    }
    Ok(())
}

/// Measures the heartbeats of workers without any router.
fn measure_heartbeats(
    plan: &Plan,
    workers: u64,
    sink: &mut Sink,
    stop: &Stop,
) -> Result<(), String> {
    if stop.is_set() {
        return Ok(());
    }
    let environment = environment(plan, 1, workers, stop)?;
    let reporter = Reporter {
        sink,
        axis: "rows",
        at: workers as f64,
        fixed: "no router".into(),
    };
    let mut run = DiscoveryRun {
        plan,
        reporter,
        environment,
    };
    run.reset_time_limit();
    run.environment.add_workers(workers as usize);
    let second_start = run
        .environment
        .run_for(SECOND)
        .and_then(|()| run.environment.run_to_next_second());
    let from = *second_start.as_ref().unwrap_or(&run.environment.now());
    let ran = second_start.and_then(|_| run.environment.run_for(HEARTBEAT_RUN));
    let source = source_from(&ran);
    let (heartbeats, nanoseconds) = {
        let stats = run.environment.stats.borrow();
        let to = run.environment.now();
        (
            stats.sum(from, to, |s| s.heartbeats) as f64,
            stats.sum(from, to, |s| s.nanoseconds) as f64,
        )
    };
    let span = seconds(run.environment.now() - from).max(seconds(SECOND) / 10.0);
    run.reporter.record(
        "all workers beat",
        "beats a second",
        "beats",
        heartbeats / span,
        source,
    )?;
    run.reporter.record(
        "all workers beat",
        "processor time a second",
        "ms",
        nanoseconds / 1e6 / span,
        source,
    )?;
    run.reporter.record(
        "all workers beat",
        "processor time a beat",
        "us",
        nanoseconds / 1e3 / heartbeats.max(1.0),
        source,
    )
}
