//! The costs of a single router among many: its decision module over the numbers of workers, functions, requests a
//! second and routers, and the cost of changes of the endpoint list.

use super::decision_host::Counts;
use super::model::{BackgroundRouters, Functions, Model, Popularity};
use super::simulated::{Arrivals, Fleet, FleetSpec, ListSource, LoadTimes, RunStatus, START_TIME};
use super::{
    derived, edge_comparison, edge_process, memory, Benchmark, Plan, Point, Role, Sink, Source,
    Stop,
};
use sanddrum::{Micros, Settings, Value};
use sanddrum_settings::{key, Occurrence, Section, SettingsError, ValueType};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub const BENCHMARK: Benchmark = Benchmark {
    name: "router",
    section: Section {
        name: "router-plays",
        prefix: "router-plays",
        occurrence: Occurrence::Once,
        description: "one router among many",
        keys: &[
            key(
                "workers",
                ValueType::Integers(1.0, 1e6),
                Some("100 1000 10000"),
                "numbers of workers to measure",
            ),
            key(
                "functions",
                ValueType::Integers(1.0, 1e8),
                Some("2000 20000 200000 2000000"),
                "numbers of functions to measure",
            ),
            key(
                "calls",
                ValueType::Integers(1.0, 1e6),
                Some("16 160 1600"),
                "requests a second at the router to measure",
            ),
            key(
                "routers",
                ValueType::Integers(1.0, 1e6),
                Some("42 420 4200"),
                "numbers of routers to measure",
            ),
            key(
                "changes",
                ValueType::Integers(1.0, 1e9),
                Some("1200 12000 120000"),
                "changes of the endpoint list a day",
            ),
            key(
                "real-workers",
                ValueType::Integers(1.0, 1e4),
                Some("10 100 1000"),
                "numbers of workers for the comparison with a real edge, which takes length",
            ),
            key(
                "at-workers",
                ValueType::Integer(1.0, 1e6),
                Some("10000"),
                "number of workers when another quantity is varied",
            ),
            key(
                "warm-up",
                ValueType::Duration,
                Some("16s"),
                "virtual time before counting starts",
            ),
            key(
                "length",
                ValueType::Duration,
                Some("32s"),
                "virtual time for which counts are taken",
            ),
            key(
                "weigh",
                ValueType::Duration,
                Some("30s"),
                "limit on the real time for measuring a module's memory",
            ),
            key(
                "stands-by",
                ValueType::Duration,
                Some("5s"),
                "real time for which an idle edge process is measured",
            ),
            key(
                "list-changes",
                ValueType::Integer(0.0, 1e6),
                Some("300"),
                "changes of the endpoint list from which the mean cost is measured",
            ),
        ],
    },
    check,
    run,
};

/// Estimated memory of a simulated worker, in bytes, with its instances and its row in the endpoint list; `check` uses
/// it to reject, before anything runs, sizes that need more than half of the machine's memory.
const BYTES_PER_WORKER: u64 = 8 << 10;
const BYTES_PER_FUNCTION: u64 = 512;
/// Approximate memory of the router's module for each worker in the endpoint list.
const BYTES_PER_KNOWN_WORKER: u64 = 1 << 10;

fn check(plan: &Plan) -> Result<(), SettingsError> {
    let l = &plan.settings;
    for name in [
        "workers",
        "functions",
        "calls",
        "routers",
        "changes",
        "real-workers",
    ] {
        let key = format!("router-plays.{name}");
        let sizes = plan.sizes(&key)?;
        let each = match name {
            "workers" | "real-workers" => BYTES_PER_WORKER + BYTES_PER_KNOWN_WORKER,
            "functions" => BYTES_PER_FUNCTION,
            _ => 0,
        };
        let most = sizes.into_iter().max().unwrap_or(0);
        plan.check_memory(&key, &format!("{most} {name}"), most.saturating_mul(each))?;
    }
    let most = l.integer("router-plays.at-workers") as u64;
    let each = BYTES_PER_WORKER + BYTES_PER_KNOWN_WORKER;
    plan.check_memory(
        "router-plays.at-workers",
        &format!("{most} workers"),
        most.saturating_mul(each),
    )?;
    if l.duration_us("router-plays.length-us") == 0 {
        let key = "router-plays.length-us";
        return Err(l.error_at(
            key,
            "router-plays.length: nothing would be counted in 0s",
            "set a length above 0s",
        ));
    }
    Ok(())
}

/// A variant of the benchmark of a single router.
#[derive(Clone, Copy, Debug)]
struct Variant {
    name: &'static str,
    load_commands: bool,
    background: bool,
    /// The module gets only the number of routers, whether it may send load commands and what a cold miss does;
    /// without further settings it sends no health checks either.
    minimal: bool,
}

const fn variant(
    name: &'static str,
    load_commands: bool,
    background: bool,
    minimal: bool,
) -> Variant {
    Variant {
        name,
        load_commands,
        background,
        minimal,
    }
}

const VARIANTS: [Variant; 4] = [
    variant("bare module alone, orders off", false, false, true),
    variant("bare module alone, orders on", true, false, true),
    variant("router among others, orders off", false, true, false),
    variant("router among others, orders on", true, true, false),
];
/// The variant that matches an edge with default settings.
const DEFAULT_VARIANT: Variant = VARIANTS[3];

/// The size of the deployment in one measurement.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub workers: usize,
    pub functions: usize,
    /// Requests a second at the router.
    pub calls: f64,
    pub routers: usize,
}

impl Size {
    fn from_plan(plan: &Plan) -> Self {
        let l = &plan.settings;
        let routers = l.integer("capacity.routers");
        Size {
            workers: l.integer("router-plays.at-workers"),
            functions: l.integer("capacity.functions"),
            calls: l.number("capacity.calls") / routers as f64,
            routers,
        }
    }
}

/// The decision module's settings, as the edge with this number derives them from the plan.
///
/// # Errors
/// A setting is rejected.
pub fn module_settings(
    plan: &Plan,
    number: usize,
    routers: usize,
    load_commands: bool,
) -> Result<Settings, String> {
    let mut l = plan.settings.clone();
    let zones = l.names("zones");
    let zone = zones
        .get(number % zones.len().max(1))
        .cloned()
        .unwrap_or_default();
    let load_commands = if load_commands { "yes" } else { "no" };
    let (number, routers) = (number.to_string(), routers.to_string());
    for (name, value) in [
        ("edge.number", number.as_str()),
        ("edge.edges", routers.as_str()),
        ("edge.zone", zone.as_str()),
        ("copies.orders", load_commands),
    ] {
        l.override_value(name, value, "capacity")
            .map_err(|e| e.to_string())?;
    }
    Ok(l.decision_settings())
}

impl Variant {
    fn settings(&self, plan: &Plan, routers: usize) -> Result<Settings, String> {
        if !self.minimal {
            return module_settings(plan, 0, routers, self.load_commands);
        }
        let mut settings = Settings::default();
        for (name, value) in [
            ("routers", Value::Number(routers as f64)),
            ("copies.orders", Value::Flag(self.load_commands)),
            (
                "copies.on-miss",
                Value::Text(plan.settings.text("copies.on-miss").into()),
            ),
        ] {
            settings.0.insert(name.into(), value);
        }
        Ok(settings)
    }
}

/// The seed of a decision module, computed as scenarios do for edges.
pub fn module_seed(plan: &Plan, number: usize) -> u64 {
    plan.seed
        .wrapping_mul(1009)
        .wrapping_add(number as u64 * 101 + 1)
}

/// A fleet with a single simulated router.
pub fn single_router_fleet(
    plan: &Plan,
    size: &Size,
    settings: Settings,
    background: bool,
    until: Micros,
) -> Fleet {
    let l = &plan.settings;
    let shape = Popularity::Zipf(l.number("model.zipf"));
    let background_rate = size.calls * (size.routers - 1) as f64;
    Fleet::new(FleetSpec {
        modules: vec![(module_seed(plan, 0), settings)],
        workers: size.workers,
        zones: l.names("zones").len(),
        model: Model::of(l),
        functions: Rc::new(Functions::new(l, size.functions, shape, plan.seed)),
        arrivals: Arrivals::Random {
            rate: size.calls,
            until,
        },
        lists: ListSource::AtStart,
        loads: LoadTimes::Random,
        background: background.then_some(BackgroundRouters {
            request_rate: background_rate,
            seed: plan.seed,
        }),
        seed: plan.seed,
    })
}

/// The result of a run with a single router.
pub struct Measurement {
    pub counts: Counts,
    /// Virtual seconds that the counts cover.
    pub seconds: f64,
    pub connections: usize,
    pub status: RunStatus,
    /// All rounds of the run, so that they can be replayed.
    pub rounds: Vec<(Micros, sanddrum::EventBatch)>,
    /// Kept alive: once freed, its memory would be reused by the modules whose memory is measured next.
    pub fleet: Fleet,
}

/// Runs a single router through the warm-up and the counted time, within the limit on real time.
pub fn measure(
    plan: &Plan,
    size: &Size,
    settings: &Settings,
    background: bool,
    stop: &Stop,
) -> Measurement {
    let l = &plan.settings;
    let warm = START_TIME + l.duration_us("router-plays.warm-up-us");
    let until = warm + l.duration_us("router-plays.length-us");
    let mut fleet = single_router_fleet(plan, size, settings.clone(), background, until);
    fleet.rounds = Some(Vec::new());
    let deadline = Instant::now()
        + Duration::from_micros(l.duration_us("capacity.time-a-point-us").max(0) as u64);
    let mut status = fleet.run_until(warm, deadline, stop);
    let mut before = fleet.counts();
    if status == RunStatus::Done {
        status = fleet.run_until(until, deadline, stop);
    } else {
        // The partial result counts from the start, including the warm-up.
        before = Counts::default();
    }
    let since = if before.requests > 0 {
        warm
    } else {
        START_TIME
    };
    Measurement {
        counts: fleet.counts().since(&before),
        seconds: ((fleet.now() - since) as f64 / 1e6).max(1e-6),
        connections: fleet.connections(),
        status,
        rounds: fleet.rounds.take().unwrap_or_default(),
        fleet,
    }
}

impl Measurement {
    /// The name, unit and value of each figure.
    pub fn figures(&self) -> Vec<(&'static str, &'static str, f64)> {
        let c = &self.counts;
        let per_call = |n: u64| n as f64 / c.requests.max(1) as f64;
        let per_second = |n: u64| n as f64 / self.seconds;
        vec![
            ("processor time a call", "us", per_call(c.nanoseconds) / 1e3),
            ("asks a call", "", per_call(c.load_queries)),
            ("orders a call", "", per_call(c.load_commands)),
            ("probes a call", "", per_call(c.health_checks)),
            ("executions a call", "", per_call(c.attempts)),
            ("loads a call", "", per_call(c.loads)),
            (
                "finished",
                "of calls",
                c.finished as f64 / c.ended().max(1) as f64,
            ),
            ("cancels a second", "1/s", per_second(c.cancels)),
            ("handshakes a second", "1/s", per_second(c.handshakes)),
            ("connections kept", "", self.connections as f64),
            ("control messages a second", "1/s", per_second(c.messages)),
            ("control bytes a second", "B/s", per_second(c.bytes)),
            (
                "processor time of all decisions",
                "of a core",
                per_second(c.nanoseconds) / 1e9,
            ),
            (
                "processor time of rounds without calls",
                "of a core",
                per_second(c.control_nanoseconds) / 1e9,
            ),
            (
                "processor time of the connection module",
                "of a core",
                per_second(c.connection_nanoseconds) / 1e9,
            ),
        ]
    }
}

fn run(plan: &Plan, sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    let base = Size::from_plan(plan);
    let sizes = |name: &str| plan.settings.integers(&format!("router-plays.{name}"));
    for variant in VARIANTS {
        for workers in sizes("workers") {
            let size = Size {
                workers: workers as usize,
                ..base
            };
            run_size(
                plan,
                sink,
                stop,
                variant,
                ("workers", workers as f64),
                &size,
            )?;
        }
    }
    derived::derive_points(plan, sink)?;
    for functions in sizes("functions") {
        let size = Size {
            functions: functions as usize,
            ..base
        };
        run_size(
            plan,
            sink,
            stop,
            DEFAULT_VARIANT,
            ("functions", functions as f64),
            &size,
        )?;
    }
    for calls in sizes("calls") {
        let size = Size {
            calls: calls as f64,
            ..base
        };
        run_size(
            plan,
            sink,
            stop,
            DEFAULT_VARIANT,
            ("calls a second", calls as f64),
            &size,
        )?;
    }
    for routers in sizes("routers") {
        let size = Size {
            routers: routers as usize,
            ..base
        };
        run_size(
            plan,
            sink,
            stop,
            DEFAULT_VARIANT,
            ("routers", routers as f64),
            &size,
        )?;
    }
    edge_comparison::run(plan, sink, stop)?;
    edge_process::run(plan, sink, stop)?;
    for workers in sizes("workers") {
        measure_list_costs(
            plan,
            sink,
            stop,
            &Size {
                workers: workers as usize,
                ..base
            },
        )?;
    }
    Ok(())
}

fn run_size(
    plan: &Plan,
    sink: &mut Sink,
    stop: &Stop,
    variant: Variant,
    (axis, at): (&'static str, f64),
    size: &Size,
) -> Result<(), String> {
    if stop.is_set() {
        return Ok(());
    }
    sink.progress(&format!("{}, {axis} {at}: {size:?}", variant.name));
    let settings = variant.settings(plan, size.routers)?;
    let measured = measure(plan, size, &settings, variant.background, stop);
    let source = match measured.status {
        RunStatus::Done => Source::Played,
        RunStatus::OutOfTime => Source::NotFinished,
        RunStatus::Stopped => return Ok(()),
    };
    let point = |figure: &str, unit: &'static str, value: f64, source: Source| Point {
        role: Role::Router,
        play: variant.name.to_string(),
        figure: figure.to_string(),
        unit,
        axis,
        at,
        value,
        source,
    };
    for (figure, unit, value) in measured.figures() {
        sink.point(point(figure, unit, value, source))?;
    }
    if measured.status == RunStatus::Done {
        let limit =
            Duration::from_micros(plan.settings.duration_us("router-plays.weigh-us").max(0) as u64);
        if let Some(bytes) = memory::module_memory(
            &settings,
            module_seed(plan, 0),
            &measured.rounds,
            limit,
            stop,
        ) {
            sink.point(point(
                "memory of the decision module",
                "MB",
                bytes / (1 << 20) as f64,
                source,
            ))?;
        }
    }
    Ok(())
}

/// Measures the cost of a change and of a full endpoint list for a router with its usual request rate.
fn measure_list_costs(
    plan: &Plan,
    sink: &mut Sink,
    stop: &Stop,
    size: &Size,
) -> Result<(), String> {
    let changes = plan.settings.integer("router-plays.list-changes");
    if stop.is_set() || changes == 0 {
        return Ok(());
    }
    let measured = memory::list_costs(plan, size, changes, stop)?;
    let Some(costs) = measured else { return Ok(()) };
    let mut point = |figure: &str, unit, axis, at, value, source| {
        let (play, figure) = ("the worker list".to_string(), figure.to_string());
        sink.point(Point {
            role: Role::Router,
            play,
            figure,
            unit,
            axis,
            at,
            value,
            source,
        })
    };
    for (figure, unit, value) in [
        ("processor time a whole list", "us", costs.full_list_us),
        ("processor time a change", "us", costs.change_us),
        ("bytes a change", "B", costs.change_bytes),
    ] {
        point(
            figure,
            unit,
            "workers",
            size.workers as f64,
            value,
            Source::Played,
        )?;
    }
    if size.workers != plan.settings.integer("router-plays.at-workers") {
        return Ok(());
    }
    for changes in plan.settings.integers("router-plays.changes") {
        let (at, per_second) = (changes as f64, changes as f64 / SECONDS_PER_DAY);
        for (figure, unit, value) in [
            (
                "processor time of changes",
                "of a core",
                costs.change_us / 1e6 * per_second,
            ),
            ("messages of changes a second", "1/s", per_second),
            (
                "bytes of changes a second",
                "B/s",
                costs.change_bytes * per_second,
            ),
        ] {
            point(figure, unit, "changes a day", at, value, Source::WorkedOut)?;
        }
    }
    Ok(())
}

const SECONDS_PER_DAY: f64 = 86_400.0;
