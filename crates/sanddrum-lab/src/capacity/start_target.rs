//! The fraction of requests that start in time when most functions are called less than once a minute: many routers
//! together, without failures, with a day's failed and replaced workers, and through the loss of a zone.

use super::decision_host::Counts;
use super::model::{Functions, Model, Popularity};
use super::router::{module_seed, module_settings};
use super::simulated::{
    Arrivals, Fleet, FleetSpec, ListSource, LoadTimes, RunStatus, ScriptedEvent, START_TIME,
};
use super::start_stats::{StartCounts, StartStats};
use super::{Benchmark, Plan, Point, Role, Sink, Source, Stop};
use sanddrum::Micros;
use sanddrum_settings::{key, Occurrence, Section, SettingsError, ValueType};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

pub const BENCHMARK: Benchmark = Benchmark {
    name: "start-target",
    section: Section {
        name: "start-target-plays",
        prefix: "start-target-plays",
        occurrence: Occurrence::Once,
        description: "many routers together; the n-th values of the lists form a size",
        keys: &[
            key(
                "routers",
                ValueType::Integers(1.0, 1e5),
                Some("4 42 420"),
                "number of simulated routers",
            ),
            key(
                "workers",
                ValueType::Integers(1.0, 1e6),
                Some("10 100 1000"),
                "number of workers",
            ),
            key(
                "functions",
                ValueType::Integers(1.0, 1e7),
                Some("200 2000 20000"),
                "number of functions",
            ),
            key(
                "warm-up",
                ValueType::Duration,
                Some("20s"),
                "virtual time before counting starts",
            ),
            key(
                "length",
                ValueType::Duration,
                Some("40s"),
                "virtual time whose requests are counted",
            ),
            key(
                "time-a-point",
                ValueType::Duration,
                Some("300s"),
                "real time after which a run is reported as not finished",
            ),
            key(
                "threads",
                ValueType::Integer(1.0, 64.0),
                Some("2"),
                "number of concurrent runs",
            ),
        ],
    },
    check,
    run,
};

const BYTES_PER_WORKER: u64 = 16 << 10;
/// Memory of a decision module for each worker, with its instances.
const BYTES_PER_KNOWN_WORKER: u64 = 1 << 10;
/// Memory of a request in progress, with its events.
const BYTES_PER_REQUEST: u64 = 1 << 10;

/// One size of the fleet.
#[derive(Clone, Copy, Debug)]
struct Size {
    routers: usize,
    workers: usize,
    functions: usize,
}

fn sizes(plan: &Plan) -> Result<Vec<Size>, SettingsError> {
    let at = |name: &str| format!("start-target-plays.{name}");
    let (routers, workers) = (plan.sizes(&at("routers"))?, plan.sizes(&at("workers"))?);
    let functions = plan.sizes(&at("functions"))?;
    for (name, count) in [("workers", workers.len()), ("functions", functions.len())] {
        if count != routers.len() {
            let what = format!(
                "{} has {count} sizes, and routers has {}",
                at(name),
                routers.len()
            );
            return Err(plan.error(&at(name), what, "set the same number of values for each"));
        }
    }
    let each = routers.iter().zip(&workers).zip(&functions);
    let to_usize = |n: &u64| *n as usize;
    Ok(each
        .map(|((r, w), f)| Size {
            routers: to_usize(r),
            workers: to_usize(w),
            functions: to_usize(f),
        })
        .collect())
}

fn check(plan: &Plan) -> Result<(), SettingsError> {
    let l = &plan.settings;
    let request_rate = l.number("capacity.calls") / l.number("capacity.routers");
    let limit = l.duration_us("workloads.0.time-limit-us") as f64 / 1e6;
    for size in sizes(plan)? {
        let (routers, workers) = (size.routers as u64, size.workers as u64);
        let bytes = workers * BYTES_PER_WORKER
            + routers
                .saturating_mul(workers)
                .saturating_mul(BYTES_PER_KNOWN_WORKER)
            + (request_rate * limit * routers as f64) as u64 * BYTES_PER_REQUEST;
        let runs = l.integer("start-target-plays.threads") as u64;
        let what = format!("{routers} routers and {workers} workers, {runs} runs at a time,");
        plan.check_memory(
            "start-target-plays.routers",
            &what,
            bytes.saturating_mul(runs),
        )?;
    }
    // Rejects a request rate whose concurrent instances don't fit in the workers' memory.
    let (work, memory) = (l.number("model.work-us") / 1e6, l.number("model.memory-mb"));
    for size in sizes(plan)? {
        let busy =
            request_rate * size.routers as f64 * work / l.number("functions.0.lanes").max(1.0);
        let capacity = (memory / l.number("functions.0.memory-mb")).floor() * size.workers as f64;
        if busy > capacity {
            let what = format!(
                "start-target-plays.workers: requests of {} routers keep {busy:.0} instances busy, but {} workers hold only {capacity}",
                size.routers, size.workers
            );
            let remedy = "set more workers, or a larger model.memory";
            return Err(plan.error("start-target-plays.workers", what, remedy));
        }
    }
    match l.duration_us("start-target-plays.length-us") {
        0 => {
            let what = "start-target-plays.length: no request would be counted in 0s";
            Err(l.error_at(
                "start-target-plays.length-us",
                what,
                "set a length above 0s",
            ))
        }
        _ => Ok(()),
    }
}

/// The failures during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Conditions {
    Calm,
    /// As many workers fail and are replaced as in a whole day.
    Failures,
    ZoneLost,
}

const ALL_CONDITIONS: [Conditions; 3] =
    [Conditions::Calm, Conditions::Failures, Conditions::ZoneLost];

impl Conditions {
    fn name(self) -> &'static str {
        match self {
            Conditions::Calm => "many routers, calm",
            Conditions::Failures => "many routers, a day's failed and replaced workers at once",
            Conditions::ZoneLost => "many routers, a zone lost for half the time",
        }
    }
}

struct Run {
    starts: StartStats,
    counts: Counts,
    seconds: f64,
    connections: usize,
    status: RunStatus,
}

fn run_once(plan: &Plan, size: &Size, conditions: Conditions, stop: &Stop) -> Result<Run, String> {
    let l = &plan.settings;
    let span = |name: &str| l.duration_us(&format!("start-target-plays.{name}-us"));
    let request_rate = l.number("capacity.calls") / l.number("capacity.routers");
    let shape = Popularity::Rare {
        zipf: l.number("model.zipf"),
        fraction: l.number("model.rare-part"),
        request_rate: request_rate * size.routers as f64,
    };
    let module = |n| {
        Ok((
            module_seed(plan, n),
            module_settings(plan, n, size.routers, l.flag("copies.orders"))?,
        ))
    };
    let modules: Result<Vec<_>, String> = (0..size.routers).map(module).collect();
    let (warm, until) = (
        START_TIME + span("warm-up"),
        START_TIME + span("warm-up") + span("length"),
    );
    let zones = l.names("zones").len();
    let mut fleet = Fleet::new(FleetSpec {
        modules: modules?,
        workers: size.workers,
        zones,
        model: Model::of(l),
        functions: Rc::new(Functions::new(l, size.functions, shape, plan.seed)),
        arrivals: Arrivals::Random {
            rate: request_rate,
            until,
        },
        lists: ListSource::AtStart,
        loads: LoadTimes::Random,
        background: None,
        seed: plan.seed,
    });
    fleet.starts = StartStats::new(warm, until, l.duration_us("capacity.start-within-us"));
    match conditions {
        Conditions::Calm => {}
        Conditions::Failures => schedule_failures(plan, &mut fleet, size, warm, until),
        Conditions::ZoneLost => {
            let quarter = (until - warm) / 4;
            fleet.schedule_event(warm + quarter, ScriptedEvent::ZoneLost(zones / 2));
            fleet.schedule_event(until - quarter, ScriptedEvent::ZoneRestored(zones / 2));
        }
    }
    let deadline = Instant::now() + Duration::from_micros(span("time-a-point").max(0) as u64);
    let mut status = fleet.run_until(warm, deadline, stop);
    let before = fleet.counts();
    if status == RunStatus::Done {
        status = fleet.run_until(until, deadline, stop);
    }
    let (counts, connections) = (fleet.counts().since(&before), fleet.connections());
    let seconds = ((fleet.now() - warm) as f64 / 1e6).max(1e-6);
    if status == RunStatus::Done {
        // Waits for the answers of counted requests.
        status = fleet.run_until(
            until + l.duration_us("workloads.0.time-limit-us"),
            deadline,
            stop,
        );
    }
    Ok(Run {
        starts: fleet.starts,
        counts,
        seconds,
        connections,
        status,
    })
}

/// Schedules a day's failures and replacements, scaled to the number of workers but at least one of each, at random
/// times of the run.
fn schedule_failures(plan: &Plan, fleet: &mut Fleet, size: &Size, from: Micros, until: Micros) {
    let l = &plan.settings;
    let scaled = |name: &str| {
        let all = l.number(&format!("capacity.{name}"));
        (all * size.workers as f64 / l.number("capacity.workers"))
            .round()
            .max(1.0) as usize
    };
    let (failed, replaced) = (scaled("failed"), scaled("replaced"));
    let mut rng = fleet.script_rng();
    let mut left: Vec<usize> = (0..size.workers).collect();
    for n in 0..(failed + replaced).min(size.workers / 2) {
        let worker = left.swap_remove(rng.index(left.len()));
        let at = from + (rng.next_f64() * (until - from) as f64) as Micros;
        fleet.schedule_event(
            at,
            if n < failed {
                ScriptedEvent::Fail(worker)
            } else {
                ScriptedEvent::Replace(worker)
            },
        );
    }
}

fn run(plan: &Plan, sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    let sizes = sizes(plan).map_err(|e| e.to_string())?;
    let runs: Vec<(Size, Conditions)> = sizes
        .iter()
        .flat_map(|size| ALL_CONDITIONS.map(|conditions| (*size, conditions)))
        .collect();
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..plan.settings.integer("start-target-plays.threads").max(1) {
            let (sender, next, runs) = (sender.clone(), &next, &runs);
            scope.spawn(move || {
                while let Some((size, conditions)) = runs.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    if stop.is_set()
                        || sender
                            .send((*size, *conditions, run_once(plan, size, *conditions, stop)))
                            .is_err()
                    {
                        break;
                    }
                }
            });
        }
        drop(sender);
        let mut finished_runs: BTreeMap<(usize, Conditions), Run> = BTreeMap::new();
        let recorded = receiver
            .into_iter()
            .try_for_each(|(size, conditions, run)| {
                let run = run?;
                record_points(sink, &size, conditions.name(), &run)?;
                finished_runs.insert((size.workers, conditions), run);
                if conditions == Conditions::ZoneLost {
                    Ok(())
                } else {
                    extrapolate_day(sink, &size, &finished_runs)
                }
            });
        // Stops the other runs if one has failed or the results can't be written.
        recorded.inspect_err(|_| stop.set())
    })
}

/// Extrapolates to a whole day the fractions of requests that started within the target: the run with failed and
/// replaced workers counts for its own duration, and the run without failures for the rest of the day.
fn extrapolate_day(
    sink: &mut Sink,
    size: &Size,
    finished_runs: &BTreeMap<(usize, Conditions), Run>,
) -> Result<(), String> {
    let of = |conditions| {
        finished_runs
            .get(&(size.workers, conditions))
            .filter(|run| run.status == RunStatus::Done)
    };
    let (Some(calm), Some(failures)) = (of(Conditions::Calm), of(Conditions::Failures)) else {
        return Ok(());
    };
    let failure_share = failures.seconds / SECONDS_PER_DAY;
    let over_day = |of: fn(&StartStats) -> StartCounts| {
        let (calm, failures) = (of(&calm.starts), of(&failures.starts));
        let part = calm.fraction() * (1.0 - failure_share) + failures.fraction() * failure_share;
        (calm.requests > 0 && failures.requests > 0).then_some(part)
    };
    for (figure, value) in [
        (
            "calls begun within the target",
            over_day(|starts| starts.all),
        ),
        (
            "cold starts begun within the target",
            over_day(|starts| starts.cold),
        ),
    ] {
        let Some(value) = value else { continue };
        let (play, figure) = ("many routers, a whole day".to_string(), figure.to_string());
        let (at, source) = (size.workers as f64, Source::WorkedOut);
        let (role, unit, axis) = (Role::StartTarget, "of them", "workers");
        sink.point(Point {
            role,
            play,
            figure,
            unit,
            axis,
            at,
            value,
            source,
        })?;
    }
    Ok(())
}

const SECONDS_PER_DAY: f64 = 86_400.0;

fn record_points(sink: &mut Sink, size: &Size, play: &str, run: &Run) -> Result<(), String> {
    let source = match run.status {
        RunStatus::Done => Source::Played,
        RunStatus::OutOfTime => Source::NotFinished,
        RunStatus::Stopped => return Ok(()),
    };
    let at = size.workers as f64;
    let mut point = |role: Role, figure: &str, unit: &'static str, value: f64| {
        let (play, figure) = (play.to_string(), figure.to_string());
        sink.point(Point {
            role,
            play,
            figure,
            unit,
            axis: "workers",
            at,
            value,
            source,
        })
    };
    let StartStats {
        all,
        rare,
        cold,
        warm,
        cold_start_times,
        ..
    } = &run.starts;
    if let Some(times) = cold_start_times.as_ref().filter(|times| !times.is_empty()) {
        for (quantile, name) in [(0.5, "median"), (0.99, "99 in 100")] {
            let ms = times.value_at_quantile(quantile) as f64 / 1e3;
            point(Role::StartTarget, &format!("cold start, {name}"), "ms", ms)?;
        }
    }
    for (name, counts) in [
        ("calls", all),
        ("cold starts", cold),
        ("warm starts", warm),
        ("calls of rare functions", rare),
    ] {
        let StartCounts { requests, .. } = *counts;
        point(
            Role::StartTarget,
            &format!("{name} counted"),
            "",
            requests as f64,
        )?;
        if requests > 0 {
            point(
                Role::StartTarget,
                &format!("{name} begun within the target"),
                "of them",
                counts.fraction(),
            )?;
        }
    }
    let c = &run.counts;
    let per_call = |n: u64| n as f64 / c.requests.max(1) as f64;
    let per_worker_second = |n: u64| n as f64 / run.seconds / at;
    for (figure, unit, value) in [
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
    ] {
        point(Role::Router, figure, unit, value)?;
    }
    for (figure, value) in [
        ("asks a second", per_worker_second(c.load_queries)),
        ("orders a second", per_worker_second(c.load_commands)),
        ("probes a second", per_worker_second(c.health_checks)),
        ("handshakes a second", per_worker_second(c.handshakes)),
        ("executions a second", per_worker_second(c.attempts)),
    ] {
        point(Role::Worker, figure, "1/s", value)?;
    }
    point(
        Role::Worker,
        "connections kept",
        "",
        run.connections as f64 / at,
    )?;
    point(
        Role::Store,
        "fetches a second",
        "1/s",
        c.loads as f64 / run.seconds,
    )
}
