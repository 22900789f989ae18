//! What the list service bears: its own core, with routers that decide by the product's modules when to call it, over
//! numbers of routers, of rows and of changes; its worst seconds; and its memory.

use super::discovery_environment::{DiscoveryEnvironment, DiscoveryEnvironmentSpec, SECOND};
use super::discovery_microbench::run_microbench;
use super::discovery_scenarios::{run_all, seconds, source_of, DiscoveryRun, Reporter, MAX_WAIT};
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
        description: "sizes at which the list service is measured, and the stand-in that it is",
        keys: &[
            key(
                "routers",
                ValueType::Integers(1.0, 1e5),
                Some("10 100 1000"),
                "with the most rows",
            ),
            key(
                "rows",
                ValueType::Integers(1.0, 1e5),
                Some("100 1000 10000"),
                "with so many routers:",
            ),
            key(
                "rows-routers",
                ValueType::Integer(1.0, 1e5),
                Some("1000"),
                "while rows or changes grow",
            ),
            key(
                "changes",
                ValueType::Integers(1.0, 1e5),
                Some("1 10 100"),
                "a second, with the most rows",
            ),
            key(
                "beating",
                ValueType::Integers(1.0, 1e5),
                Some("100 1000 10000"),
                "workers that all tell that they run",
            ),
            key(
                "quiet",
                ValueType::Duration,
                Some("60s"),
                "how long a quiet time is looked at",
            ),
            key(
                "gone",
                ValueType::Duration,
                Some("60s"),
                "how long the service is gone",
            ),
            key(
                "notice-least",
                ValueType::Duration,
                Some("200ms"),
                "changes are told after",
            ),
            key(
                "notice-most",
                ValueType::Duration,
                Some("1s"),
                "and at the latest after",
            ),
            key(
                "whole",
                ValueType::Duration,
                Some("5ms"),
                "what a whole list takes it on its one core, as the stand-in has it",
            ),
            key(
                "change",
                ValueType::Duration,
                Some("200us"),
                "what an answer of changes takes it",
            ),
            key(
                "calls",
                ValueType::Integer(1.0, 1e6),
                Some("64"),
                "calls in hand; whoever calls beyond that is closed",
            ),
            key(
                "changes-kept",
                ValueType::Integer(1.0, 1e6),
                Some("256"),
                "for routers that come back",
            ),
            key(
                "beat-every",
                ValueType::Duration,
                Some("200ms"),
                "how often a worker tells that it runs",
            ),
        ],
    },
    check,
    run,
};

/// What a row takes at most on its way, in bytes, and how often it may be there at a time: at the service, on the way
/// and where it is read.
const ROW_BYTES: u64 = 60;
const MAX_COPIES: u64 = 2;
/// Nobody is heard in these plays but the workers that are played.
const NO_HEARTBEAT_TIMEOUT: Micros = 86_400 * SECOND;
const HEARTBEAT_RUN: Micros = 2 * SECOND;

fn key_of(name: &str) -> String {
    format!("list-service-plays.{name}")
}

fn check(plan: &Plan) -> Result<(), SettingsError> {
    let l = &plan.settings;
    let most = |name: &str| plan.sizes(&key_of(name)).map(|sizes| largest(&sizes));
    let (routers, rows) = (most("routers")?, most("rows")?);
    let base = l.integer("list-service-plays.rows-routers") as u64;
    most("changes")?;
    most("beating")?;
    let bytes = routers.max(base) * rows * ROW_BYTES * MAX_COPIES;
    plan.check_memory(
        &key_of("routers"),
        &format!("{routers} routers with lists of {rows} rows"),
        bytes,
    )?;
    let (least, last) = (
        l.duration_us("list-service-plays.notice-least-us"),
        l.duration_us("list-service-plays.notice-most-us"),
    );
    if least > last {
        let what = "list-service-plays.notice-least is above notice-most";
        return Err(l.error_at(&key_of("notice-least-us"), what, "as 200ms and 1s"));
    }
    Ok(())
}

pub(super) fn largest(sizes: &[u64]) -> u64 {
    sizes.iter().copied().max().unwrap_or(1)
}

/// The stand-in as the plan has it.
pub(crate) fn list_spec(plan: &Plan) -> DiscoverySpec {
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
        list: list_spec(plan),
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
    let sizes = |name: &str| plan.sizes(&key_of(name)).map_err(|e| e.to_string());
    let (routers, rows) = (sizes("routers")?, sizes("rows")?);
    let base = plan.settings.integer("list-service-plays.rows-routers") as u64;
    let most_rows = largest(&rows);
    run_microbench(plan, &routers, &rows, sink, stop)?;
    for at in sizes("beating")? {
        heartbeats(plan, at, sink, stop)?;
    }
    let fleet =
        |axis, at: u64, with, routers: u64, rows: u64, sink: &mut Sink| -> Result<(), String> {
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
                    with,
                },
                environment,
            })
        };
    for at in &rows {
        fleet("rows", *at, format!("{base} routers"), base, *at, sink)?;
    }
    for at in &routers {
        fleet(
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
        let environment = environment(plan, base, most_rows, stop)?;
        let with = format!("{base} routers and {most_rows} rows");
        let reporter = Reporter {
            sink,
            axis: "changes a second",
            at: at as f64,
            with,
        };
        let mut run = DiscoveryRun {
            plan,
            reporter,
            environment,
        };
        run.environment
            .start_routers(base as usize, false)
            .map_err(|e| e.to_string())?;
        let all = |f: &FollowerStats| f.routers.iter().all(|router| router.first_update.is_some());
        run.reset_time_limit();
        if run.environment.run_until_true(MAX_WAIT, all).is_ok() {
            let zone =
                (most_rows as usize).div_ceil(plan.settings.integer("capacity.zones").max(1));
            run.changes(at, zone)?;
        }
    }
    Ok(())
}

/// Workers that all tell that they run, and nobody asks.
fn heartbeats(plan: &Plan, workers: u64, sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    if stop.is_set() {
        return Ok(());
    }
    let environment = environment(plan, 1, workers, stop)?;
    let reporter = Reporter {
        sink,
        axis: "rows",
        at: workers as f64,
        with: "no router".into(),
    };
    let mut run = DiscoveryRun {
        plan,
        reporter,
        environment,
    };
    run.reset_time_limit();
    run.environment.add_workers(workers as usize);
    let begun = run
        .environment
        .run_for(SECOND)
        .and_then(|()| run.environment.to_whole_second());
    let from = *begun.as_ref().unwrap_or(&run.environment.now());
    let ran = begun.and_then(|_| run.environment.run_for(HEARTBEAT_RUN));
    let source = source_of(&ran);
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
