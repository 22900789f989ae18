//! The part of calls begun in time where most functions are called less than once a minute: many modules together, on a
//! calm day, with a day's failed and replaced workers, and through the loss of a zone.

use super::decision_host::Counts;
use super::model::{Functions, Model, Shape};
use super::router::{module_seed, module_settings};
use super::simulated::{Act, Calls, Fleet, Lists, Loads, Played, Spec, BEGIN};
use super::starts::{Begun, Starts};
use super::{Plan, Play, Point, Role, Sink, Source, Stop};
use sanddrum::Micros;
use sanddrum_settings::{key, Occurrence, Section, SettingsError, ValueType};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

pub const PLAY: Play = Play {
    name: "start-target",
    section: Section {
        name: "start-target-plays",
        prefix: "start-target-plays",
        occurrence: Occurrence::Once,
        description: "many routers together; the n-th of each list makes a size",
        keys: &[
            key(
                "routers",
                ValueType::Integers(1.0, 1e5),
                Some("4 42 420"),
                "modules that are played",
            ),
            key(
                "workers",
                ValueType::Integers(1.0, 1e6),
                Some("10 100 1000"),
                "of each size",
            ),
            key(
                "functions",
                ValueType::Integers(1.0, 1e7),
                Some("200 2000 20000"),
                "of each size",
            ),
            key(
                "warm-up",
                ValueType::Duration,
                Some("20s"),
                "before calls count",
            ),
            key(
                "length",
                ValueType::Duration,
                Some("40s"),
                "calls that come in this time count",
            ),
            key(
                "time-a-point",
                ValueType::Duration,
                Some("300s"),
                "real time after which a run counts as not finished",
            ),
            key(
                "threads",
                ValueType::Integer(1.0, 64.0),
                Some("2"),
                "runs at a time",
            ),
        ],
    },
    check,
    play,
};

const BYTES_A_WORKER: u64 = 16 << 10;
/// A worker as one module knows it, with the copies there.
const BYTES_A_KNOWN_WORKER: u64 = 1 << 10;
/// A call that is under way, with its events.
const BYTES_A_CALL: u64 = 1 << 10;

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
    for (name, others) in [("workers", workers.len()), ("functions", functions.len())] {
        if others != routers.len() {
            let what = format!(
                "{} has {others} sizes, and routers has {}",
                at(name),
                routers.len()
            );
            return Err(plan.problem(&at(name), what, "name as many of each"));
        }
    }
    let each = routers.iter().zip(&workers).zip(&functions);
    let whole = |n: &u64| *n as usize;
    Ok(each
        .map(|((r, w), f)| Size {
            routers: whole(r),
            workers: whole(w),
            functions: whole(f),
        })
        .collect())
}

fn check(plan: &Plan) -> Result<(), SettingsError> {
    let l = &plan.settings;
    let calls = l.number("capacity.calls") / l.number("capacity.routers");
    let limit = l.duration_us("workloads.0.time-limit-us") as f64 / 1e6;
    for size in sizes(plan)? {
        let (routers, workers) = (size.routers as u64, size.workers as u64);
        let bytes = workers * BYTES_A_WORKER
            + routers
                .saturating_mul(workers)
                .saturating_mul(BYTES_A_KNOWN_WORKER)
            + (calls * limit * routers as f64) as u64 * BYTES_A_CALL;
        let runs = l.integer("start-target-plays.threads") as u64;
        let what = format!("{routers} routers and {workers} workers, {runs} runs at a time,");
        plan.fits(
            "start-target-plays.routers",
            &what,
            bytes.saturating_mul(runs),
        )?;
    }
    // The copies that calls need at a time: more than memory holds can't stand.
    let (work, memory) = (l.number("model.work-us") / 1e6, l.number("model.memory-mb"));
    for size in sizes(plan)? {
        let at_work = calls * size.routers as f64 * work / l.number("functions.0.lanes").max(1.0);
        let holds = (memory / l.number("functions.0.memory-mb")).floor() * size.workers as f64;
        if at_work > holds {
            let what = format!(
                "start-target-plays.workers: calls of {} routers keep {at_work:.0} copies at work, and {} workers hold {holds}",
                size.routers, size.workers
            );
            let remedy = "name more workers, or set model.memory larger";
            return Err(plan.problem("start-target-plays.workers", what, remedy));
        }
    }
    match l.duration_us("start-target-plays.length-us") {
        0 => {
            let what = "start-target-plays.length: no call would count";
            Err(l.error_at("start-target-plays.length-us", what, "set it above 0s"))
        }
        _ => Ok(()),
    }
}

/// What happens meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Day {
    Calm,
    /// As many workers fail and are replaced as on a whole day.
    Failures,
    ZoneLost,
}

const DAYS: [Day; 3] = [Day::Calm, Day::Failures, Day::ZoneLost];

impl Day {
    fn name(self) -> &'static str {
        match self {
            Day::Calm => "many routers, calm",
            Day::Failures => "many routers, a day's failed and replaced workers at once",
            Day::ZoneLost => "many routers, a zone lost for half the time",
        }
    }
}

struct Run {
    starts: Starts,
    counts: Counts,
    seconds: f64,
    links: usize,
    played: Played,
}

fn run(plan: &Plan, size: &Size, day: Day, stop: &Stop) -> Result<Run, String> {
    let l = &plan.settings;
    let span = |name: &str| l.duration_us(&format!("start-target-plays.{name}-us"));
    let calls = l.number("capacity.calls") / l.number("capacity.routers");
    let shape = Shape::Rare {
        zipf: l.number("model.zipf"),
        part: l.number("model.rare-part"),
        calls: calls * size.routers as f64,
    };
    let module = |n| {
        Ok((
            module_seed(plan, n),
            module_settings(plan, n, size.routers, l.flag("copies.orders"))?,
        ))
    };
    let modules: Result<Vec<_>, String> = (0..size.routers).map(module).collect();
    let (warm, until) = (
        BEGIN + span("warm-up"),
        BEGIN + span("warm-up") + span("length"),
    );
    let zones = l.names("zones").len();
    let mut fleet = Fleet::new(Spec {
        modules: modules?,
        workers: size.workers,
        zones,
        model: Model::of(l),
        functions: Rc::new(Functions::new(l, size.functions, shape, plan.seed)),
        calls: Calls::Drawn { rate: calls, until },
        lists: Lists::AtStart,
        loads: Loads::Drawn,
        others: None,
        seed: plan.seed,
    });
    fleet.starts = Starts::new(warm, until, l.duration_us("capacity.start-within-us"));
    match day {
        Day::Calm => {}
        Day::Failures => failures(plan, &mut fleet, size, warm, until),
        Day::ZoneLost => {
            let quarter = (until - warm) / 4;
            fleet.script(warm + quarter, Act::ZoneLost(zones / 2));
            fleet.script(until - quarter, Act::ZoneBack(zones / 2));
        }
    }
    let deadline = Instant::now() + Duration::from_micros(span("time-a-point").max(0) as u64);
    let mut played = fleet.run_until(warm, deadline, stop);
    let before = fleet.counts();
    if played == Played::Done {
        played = fleet.run_until(until, deadline, stop);
    }
    let (counts, links) = (fleet.counts().since(&before), fleet.links());
    let seconds = ((fleet.now() - warm) as f64 / 1e6).max(1e-6);
    if played == Played::Done {
        // Calls that came in time and have no answer yet get theirs.
        played = fleet.run_until(
            until + l.duration_us("workloads.0.time-limit-us"),
            deadline,
            stop,
        );
    }
    Ok(Run {
        starts: fleet.starts,
        counts,
        seconds,
        links,
        played,
    })
}

/// As many as fall on so many workers on a day, one at least, spread over the time.
fn failures(plan: &Plan, fleet: &mut Fleet, size: &Size, from: Micros, until: Micros) {
    let l = &plan.settings;
    let scaled = |name: &str| {
        let all = l.number(&format!("capacity.{name}"));
        (all * size.workers as f64 / l.number("capacity.workers"))
            .round()
            .max(1.0) as usize
    };
    let (failed, replaced) = (scaled("failed"), scaled("replaced"));
    let mut chance = fleet.chance();
    let mut left: Vec<usize> = (0..size.workers).collect();
    for n in 0..(failed + replaced).min(size.workers / 2) {
        let worker = left.swap_remove(chance.index(left.len()));
        let at = from + (chance.next_f64() * (until - from) as f64) as Micros;
        fleet.script(
            at,
            if n < failed {
                Act::Fail(worker)
            } else {
                Act::Replace(worker)
            },
        );
    }
}

fn play(plan: &Plan, sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    let sizes = sizes(plan).map_err(|e| e.to_string())?;
    let runs: Vec<(Size, Day)> = sizes
        .iter()
        .flat_map(|size| DAYS.map(|day| (*size, day)))
        .collect();
    let next = AtomicUsize::new(0);
    let (tell, told) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..plan.settings.integer("start-target-plays.threads").max(1) {
            let (tell, next, runs) = (tell.clone(), &next, &runs);
            scope.spawn(move || {
                while let Some((size, day)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if stop.is_set()
                        || tell
                            .send((*size, *day, run(plan, size, *day, stop)))
                            .is_err()
                    {
                        break;
                    }
                }
            });
        }
        drop(tell);
        let mut days: BTreeMap<(usize, Day), Run> = BTreeMap::new();
        let taken = told.into_iter().try_for_each(|(size, day, run)| {
            let run = run?;
            points(sink, &size, day.name(), &run)?;
            days.insert((size.workers, day), run);
            if day == Day::ZoneLost {
                Ok(())
            } else {
                whole_day(sink, &size, &days)
            }
        });
        // What can't be written is measured no further.
        taken.inspect_err(|_| stop.set())
    })
}

/// What the failed and replaced workers of a day, played at once, come to over the whole day.
fn whole_day(
    sink: &mut Sink,
    size: &Size,
    days: &BTreeMap<(usize, Day), Run>,
) -> Result<(), String> {
    let of = |day| {
        days.get(&(size.workers, day))
            .filter(|run| run.played == Played::Done)
    };
    let (Some(calm), Some(failures)) = (of(Day::Calm), of(Day::Failures)) else {
        return Ok(());
    };
    let struck = failures.seconds / SECONDS_A_DAY;
    let over_day = |of: fn(&Starts) -> Begun| {
        let (calm, failures) = (of(&calm.starts), of(&failures.starts));
        let part = calm.part() * (1.0 - struck) + failures.part() * struck;
        (calm.calls > 0 && failures.calls > 0).then_some(part)
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

const SECONDS_A_DAY: f64 = 86_400.0;

fn points(sink: &mut Sink, size: &Size, play: &str, run: &Run) -> Result<(), String> {
    let source = match run.played {
        Played::Done => Source::Played,
        Played::OutOfTime => Source::NotFinished,
        Played::Stopped => return Ok(()),
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
    let Starts {
        all,
        rare,
        cold,
        warm,
        cold_after,
        ..
    } = &run.starts;
    if let Some(times) = cold_after.as_ref().filter(|times| !times.is_empty()) {
        for (quantile, name) in [(0.5, "median"), (0.99, "99 in 100")] {
            let ms = times.value_at_quantile(quantile) as f64 / 1e3;
            point(Role::StartTarget, &format!("cold start, {name}"), "ms", ms)?;
        }
    }
    for (name, begun) in [
        ("calls", all),
        ("cold starts", cold),
        ("warm starts", warm),
        ("calls of rare functions", rare),
    ] {
        let Begun { calls, .. } = *begun;
        point(
            Role::StartTarget,
            &format!("{name} counted"),
            "",
            calls as f64,
        )?;
        if calls > 0 {
            point(
                Role::StartTarget,
                &format!("{name} begun within the target"),
                "of them",
                begun.part(),
            )?;
        }
    }
    let c = &run.counts;
    let a_call = |n: u64| n as f64 / c.calls.max(1) as f64;
    let at_a_worker = |n: u64| n as f64 / run.seconds / at;
    for (figure, unit, value) in [
        ("processor time a call", "us", a_call(c.nanoseconds) / 1e3),
        ("asks a call", "", a_call(c.asks)),
        ("orders a call", "", a_call(c.orders)),
        ("probes a call", "", a_call(c.probes)),
        ("executions a call", "", a_call(c.executions)),
        ("loads a call", "", a_call(c.loads)),
        (
            "finished",
            "of calls",
            c.finished as f64 / c.ended().max(1) as f64,
        ),
    ] {
        point(Role::Router, figure, unit, value)?;
    }
    for (figure, value) in [
        ("asks a second", at_a_worker(c.asks)),
        ("orders a second", at_a_worker(c.orders)),
        ("probes a second", at_a_worker(c.probes)),
        ("handshakes a second", at_a_worker(c.handshakes)),
        ("executions a second", at_a_worker(c.executions)),
    ] {
        point(Role::Worker, figure, "1/s", value)?;
    }
    point(Role::Worker, "connections kept", "", run.links as f64 / at)?;
    point(
        Role::Store,
        "fetches a second",
        "1/s",
        c.loads as f64 / run.seconds,
    )
}
