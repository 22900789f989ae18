//! What one router costs: its decision module as one of many, over workers, functions, calls a second and the count of
//! routers; and what a change of the worker list costs it.

use super::decision_host::Counts;
use super::model::{Functions, Model, Others, Shape};
use super::simulated::{Calls, Fleet, Lists, Loads, Played, Spec, BEGIN};
use super::{beside, edge_process, memory, workers, Plan, Play, Point, Role, Sink, Source, Stop};
use sanddrum::{Micros, Settings, Value};
use sanddrum_settings::{key, Occurrence, Section, SettingsError, ValueType};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub const PLAY: Play = Play {
    name: "router",
    section: Section {
        name: "router-plays",
        prefix: "router-plays",
        occurrence: Occurrence::Once,
        description: "one router as one of many",
        keys: &[
            key(
                "workers",
                ValueType::Integers(1.0, 1e6),
                Some("100 1000 10000"),
                "sizes along the workers",
            ),
            key(
                "functions",
                ValueType::Integers(1.0, 1e8),
                Some("2000 20000 200000 2000000"),
                "along the functions",
            ),
            key(
                "calls",
                ValueType::Integers(1.0, 1e6),
                Some("16 160 1600"),
                "a second at the router",
            ),
            key(
                "routers",
                ValueType::Integers(1.0, 1e6),
                Some("42 420 4200"),
                "along the count of routers",
            ),
            key(
                "changes",
                ValueType::Integers(1.0, 1e9),
                Some("1200 12000 120000"),
                "of the worker list a day",
            ),
            key(
                "real-workers",
                ValueType::Integers(1.0, 1e4),
                Some("10 100 1000"),
                "beside a real edge, as long as length",
            ),
            key(
                "at-workers",
                ValueType::Integer(1.0, 1e6),
                Some("10000"),
                "workers along the other axes",
            ),
            key(
                "warm-up",
                ValueType::Duration,
                Some("16s"),
                "before anything is counted",
            ),
            key(
                "length",
                ValueType::Duration,
                Some("32s"),
                "for so long it is",
            ),
            key(
                "weigh",
                ValueType::Duration,
                Some("30s"),
                "real time in which a module's memory is told, or isn't",
            ),
            key(
                "stands-by",
                ValueType::Duration,
                Some("5s"),
                "real time for which an edge process without calls is looked at",
            ),
            key(
                "list-changes",
                ValueType::Integer(0.0, 1e6),
                Some("300"),
                "of the list, to tell what one costs",
            ),
        ],
    },
    check,
    play,
};

/// About what a hollow worker and a row of the list take, with the copies there; measured with room to spare.
const BYTES_A_WORKER: u64 = 8 << 10;
const BYTES_A_FUNCTION: u64 = 512;
/// A router's module knows each worker.
const BYTES_A_KNOWN_WORKER: u64 = 1 << 10;

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
            "workers" | "real-workers" => BYTES_A_WORKER + BYTES_A_KNOWN_WORKER,
            "functions" => BYTES_A_FUNCTION,
            _ => 0,
        };
        let most = sizes.into_iter().max().unwrap_or(0);
        plan.fits(&key, &format!("{most} {name}"), most.saturating_mul(each))?;
    }
    let most = l.integer("router-plays.at-workers") as u64;
    let each = BYTES_A_WORKER + BYTES_A_KNOWN_WORKER;
    plan.fits(
        "router-plays.at-workers",
        &format!("{most} workers"),
        most.saturating_mul(each),
    )?;
    if l.duration_us("router-plays.length-us") == 0 {
        let key = "router-plays.length-us";
        return Err(l.error_at(
            key,
            "router-plays.length: nothing would be counted",
            "set it above 0s",
        ));
    }
    Ok(())
}

/// A router, in one way to play it.
#[derive(Clone, Copy, Debug)]
struct Way {
    name: &'static str,
    orders: bool,
    others: bool,
    /// The module is told how many routers there are, whether it may order, and nothing else: it may not probe either.
    bare: bool,
}

const fn way(name: &'static str, orders: bool, others: bool, bare: bool) -> Way {
    Way {
        name,
        orders,
        others,
        bare,
    }
}

const WAYS: [Way; 4] = [
    way("bare module alone, orders off", false, false, true),
    way("bare module alone, orders on", true, false, true),
    way("router among others, orders off", false, true, false),
    way("router among others, orders on", true, true, false),
];
/// The way that an edge goes by default.
const USUAL: Way = WAYS[3];

/// One size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub workers: usize,
    pub functions: usize,
    /// A second at the router.
    pub calls: f64,
    pub routers: usize,
}

impl Size {
    fn usual(plan: &Plan) -> Self {
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

/// The module's settings as an edge of this number makes them from its own.
///
/// # Errors
/// A setting is refused.
pub fn module_settings(
    plan: &Plan,
    number: usize,
    routers: usize,
    orders: bool,
) -> Result<Settings, String> {
    let mut l = plan.settings.clone();
    let zones = l.names("zones");
    let zone = zones
        .get(number % zones.len().max(1))
        .cloned()
        .unwrap_or_default();
    let orders = if orders { "yes" } else { "no" };
    let (number, routers) = (number.to_string(), routers.to_string());
    for (name, value) in [
        ("edge.number", number.as_str()),
        ("edge.edges", routers.as_str()),
        ("edge.zone", zone.as_str()),
        ("copies.orders", orders),
    ] {
        l.override_value(name, value, "capacity")
            .map_err(|e| e.to_string())?;
    }
    Ok(l.decision_settings())
}

impl Way {
    fn settings(&self, plan: &Plan, routers: usize) -> Result<Settings, String> {
        if !self.bare {
            return module_settings(plan, 0, routers, self.orders);
        }
        let mut settings = Settings::default();
        for (name, value) in [
            ("routers", Value::Number(routers as f64)),
            ("copies.orders", Value::Flag(self.orders)),
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

/// A module's seed, as a scenario gives them to edges.
pub fn module_seed(plan: &Plan, number: usize) -> u64 {
    plan.seed
        .wrapping_mul(1009)
        .wrapping_add(number as u64 * 101 + 1)
}

/// One router's fleet at a size, with these settings of its module.
pub fn alone(plan: &Plan, size: &Size, settings: Settings, others: bool, until: Micros) -> Fleet {
    let l = &plan.settings;
    let shape = Shape::Zipf(l.number("model.zipf"));
    let rest = size.calls * (size.routers - 1) as f64;
    Fleet::new(Spec {
        modules: vec![(module_seed(plan, 0), settings)],
        workers: size.workers,
        zones: l.names("zones").len(),
        model: Model::of(l),
        functions: Rc::new(Functions::new(l, size.functions, shape, plan.seed)),
        calls: Calls::Drawn {
            rate: size.calls,
            until,
        },
        lists: Lists::AtStart,
        loads: Loads::Drawn,
        others: others.then_some(Others {
            calls: rest,
            seed: plan.seed,
        }),
        seed: plan.seed,
    })
}

/// What a play of one router gave.
pub struct Measured {
    pub counts: Counts,
    /// Virtual seconds for which it was counted.
    pub seconds: f64,
    pub links: usize,
    pub played: Played,
    /// Rounds of the whole play, to play them again.
    pub rounds: Vec<(Micros, sanddrum::EventBatch)>,
    /// Kept, as its memory, once freed, would be what a module that is weighed gets.
    pub fleet: Fleet,
}

/// Plays one router through its warm-up and what is counted, within a bound on real time.
pub fn measure(
    plan: &Plan,
    size: &Size,
    settings: &Settings,
    others: bool,
    stop: &Stop,
) -> Measured {
    let l = &plan.settings;
    let warm = BEGIN + l.duration_us("router-plays.warm-up-us");
    let until = warm + l.duration_us("router-plays.length-us");
    let mut fleet = alone(plan, size, settings.clone(), others, until);
    fleet.rounds = Some(Vec::new());
    let deadline = Instant::now()
        + Duration::from_micros(l.duration_us("capacity.time-a-point-us").max(0) as u64);
    let mut played = fleet.run_until(warm, deadline, stop);
    let mut before = fleet.counts();
    if played == Played::Done {
        played = fleet.run_until(until, deadline, stop);
    } else {
        // What there is counts from the start, warm-up and all.
        before = Counts::default();
    }
    let since = if before.calls > 0 { warm } else { BEGIN };
    Measured {
        counts: fleet.counts().since(&before),
        seconds: ((fleet.now() - since) as f64 / 1e6).max(1e-6),
        links: fleet.links(),
        played,
        rounds: fleet.rounds.take().unwrap_or_default(),
        fleet,
    }
}

impl Measured {
    /// Each figure with its unit.
    pub fn figures(&self) -> Vec<(&'static str, &'static str, f64)> {
        let c = &self.counts;
        let a_call = |n: u64| n as f64 / c.calls.max(1) as f64;
        let a_second = |n: u64| n as f64 / self.seconds;
        vec![
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
            ("cancels a second", "1/s", a_second(c.cancels)),
            ("handshakes a second", "1/s", a_second(c.handshakes)),
            ("connections kept", "", self.links as f64),
            ("control messages a second", "1/s", a_second(c.messages)),
            ("control bytes a second", "B/s", a_second(c.bytes)),
            (
                "processor time of all decisions",
                "of a core",
                a_second(c.nanoseconds) / 1e9,
            ),
            (
                "processor time of rounds without calls",
                "of a core",
                a_second(c.control_nanoseconds) / 1e9,
            ),
            (
                "processor time of the connection module",
                "of a core",
                a_second(c.connection_nanoseconds) / 1e9,
            ),
        ]
    }
}

fn play(plan: &Plan, sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    let usual = Size::usual(plan);
    let sizes = |name: &str| plan.settings.integers(&format!("router-plays.{name}"));
    for way in WAYS {
        for workers in sizes("workers") {
            let size = Size {
                workers: workers as usize,
                ..usual
            };
            one(plan, sink, stop, way, ("workers", workers as f64), &size)?;
        }
    }
    workers::work_out(plan, sink)?;
    for functions in sizes("functions") {
        let size = Size {
            functions: functions as usize,
            ..usual
        };
        one(
            plan,
            sink,
            stop,
            USUAL,
            ("functions", functions as f64),
            &size,
        )?;
    }
    for calls in sizes("calls") {
        let size = Size {
            calls: calls as f64,
            ..usual
        };
        one(
            plan,
            sink,
            stop,
            USUAL,
            ("calls a second", calls as f64),
            &size,
        )?;
    }
    for routers in sizes("routers") {
        let size = Size {
            routers: routers as usize,
            ..usual
        };
        one(plan, sink, stop, USUAL, ("routers", routers as f64), &size)?;
    }
    beside::play(plan, sink, stop)?;
    edge_process::play(plan, sink, stop)?;
    for workers in sizes("workers") {
        list_changes(
            plan,
            sink,
            stop,
            &Size {
                workers: workers as usize,
                ..usual
            },
        )?;
    }
    Ok(())
}

fn one(
    plan: &Plan,
    sink: &mut Sink,
    stop: &Stop,
    way: Way,
    (axis, at): (&'static str, f64),
    size: &Size,
) -> Result<(), String> {
    if stop.is_set() {
        return Ok(());
    }
    sink.told(&format!("{}, {axis} {at}: {size:?}", way.name));
    let settings = way.settings(plan, size.routers)?;
    let measured = measure(plan, size, &settings, way.others, stop);
    let source = match measured.played {
        Played::Done => Source::Played,
        Played::OutOfTime => Source::NotFinished,
        Played::Stopped => return Ok(()),
    };
    let point = |figure: &str, unit: &'static str, value: f64, source: Source| Point {
        role: Role::Router,
        play: way.name.to_string(),
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
    if measured.played == Played::Done {
        let limit =
            Duration::from_micros(plan.settings.duration_us("router-plays.weigh-us").max(0) as u64);
        if let Some(bytes) = memory::of_module(
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

/// What a change of the list and a whole list cost a router that has its usual calls.
fn list_changes(plan: &Plan, sink: &mut Sink, stop: &Stop, size: &Size) -> Result<(), String> {
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
        ("processor time a whole list", "us", costs.whole_us),
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
        let (at, a_second) = (changes as f64, changes as f64 / SECONDS_A_DAY);
        for (figure, unit, value) in [
            (
                "processor time of changes",
                "of a core",
                costs.change_us / 1e6 * a_second,
            ),
            ("messages of changes a second", "1/s", a_second),
            (
                "bytes of changes a second",
                "B/s",
                costs.change_bytes * a_second,
            ),
        ] {
            point(figure, unit, "changes a day", at, value, Source::WorkedOut)?;
        }
    }
    Ok(())
}

const SECONDS_A_DAY: f64 = 86_400.0;
