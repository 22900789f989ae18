//! What stands in for workers, functions and callers in hollow plays: the stand-in worker's own machine without its
//! connections, the shape of the calls, and what the routers that aren't played would have had loaded.

use super::Plan;
use sanddrum::{FunctionId, Micros, WorkerId};
use sanddrum_emulator::machine::{Machine, MachineConfig};
use sanddrum_emulator::OnMiss;
use sanddrum_net::Rng;
use sanddrum_settings::{key, LoadedSettings, Occurrence, Section, SettingsError, ValueType};
use sanddrum_wire::{stable_id, LoadReport};

pub const SECTION: Section = Section {
    name: "model",
    prefix: "model",
    occurrence: Occurrence::Once,
    description: "hollow workers, their store and the calls",
    keys: &[
        key(
            "cores",
            ValueType::Integer(1.0, 1e3),
            Some("8"),
            "of a worker",
        ),
        key(
            "queue",
            ValueType::Integer(0.0, 1e5),
            Some("64"),
            "jobs that wait at a worker; more are full",
        ),
        key(
            "memory",
            ValueType::Memory,
            Some("12GB"),
            "of a worker, for copies",
        ),
        key(
            "loads-at-once",
            ValueType::Integer(1.0, 1e3),
            Some("4"),
            "at a worker; twice as many wait",
        ),
        key(
            "load",
            ValueType::Duration,
            Some("600ms"),
            "a load, in the middle",
        ),
        key(
            "load-spread",
            ValueType::Number(0.0, 2.0),
            Some("0.3"),
            "the deviation of its logarithm",
        ),
        key(
            "work",
            ValueType::Duration,
            Some("20ms"),
            "of a call, in the mean; drawn exponentially",
        ),
        key(
            "report-every",
            ValueType::Duration,
            Some("250ms"),
            "how old a load report may be",
        ),
        key(
            "same-zone",
            ValueType::Duration,
            Some("200us"),
            "a message's way within a zone",
        ),
        key(
            "cross-zone",
            ValueType::Duration,
            Some("600us"),
            "and between two",
        ),
        key(
            "notice-least",
            ValueType::Duration,
            Some("200ms"),
            "changes of the list reach a router after",
        ),
        key(
            "notice-most",
            ValueType::Duration,
            Some("1s"),
            "and at the latest after",
        ),
        key(
            "silent-after",
            ValueType::Duration,
            Some("4s"),
            "a worker unheard for so long counts as gone",
        ),
        key(
            "zipf",
            ValueType::Number(0.0, 5.0),
            Some("1.1"),
            "how uneven the popularity of functions is",
        ),
        key(
            "rare-part",
            ValueType::Number(0.0, 0.99),
            Some("90%"),
            "functions called less than once a minute",
        ),
    ],
};

/// Why a model can't be.
pub(crate) fn check(plan: &Plan) -> Result<(), SettingsError> {
    let l = &plan.settings;
    if l.count("functions") == 0 {
        let remedy = "add (function \"f-*\" (workload \"...\"))";
        return Err(l.error_at(
            "",
            "no function is set, and nothing would be called",
            remedy,
        ));
    }
    let (called, first) = (l.text("functions.0.workload"), l.text("workloads.0.name"));
    if called != first {
        let what = format!(
            "functions.0.workload: calls are of the first function, which is of {called:?}"
        );
        return Err(l.error_at(
            "functions.0.workload",
            what,
            format!("put workload {called:?} before {first:?}"),
        ));
    }
    for n in 0..l.count("functions") {
        let name = format!("functions.{n}.memory-mb");
        if l.number(&name) > l.number("model.memory-mb") {
            let what = format!(
                "a copy takes {} MB, which is more than model.memory holds",
                l.number(&name)
            );
            return Err(l.error_at(&name, what, "set it smaller, or model.memory larger"));
        }
    }
    if l.duration_us("model.notice-least-us") > l.duration_us("model.notice-most-us") {
        let what = "model.notice-least is above model.notice-most";
        return Err(l.error_at("model.notice-least-us", what, "as 200ms and 1s"));
    }
    Ok(())
}

/// The figures of the model, as set.
#[derive(Clone, Debug)]
pub struct Model {
    pub size: MachineConfig,
    pub load: Micros,
    pub load_spread: f64,
    pub work: Micros,
    pub report_every: Micros,
    pub same_zone: Micros,
    pub cross_zone: Micros,
    pub notice: (Micros, Micros),
    pub silent_after: Micros,
    pub connect_time_out: Micros,
    pub idle_close: Micros,
    /// Executions that a connection carries, and connections to a worker.
    pub streams: usize,
    pub connections: usize,
    pub order_time_out: Micros,
    pub probe_time_out: Micros,
    pub time_limit: Micros,
    pub drain_grace: Micros,
}

impl Model {
    pub fn of(l: &LoadedSettings) -> Self {
        let span = |name: &str| l.duration_us(&format!("model.{name}-us"));
        Model {
            size: MachineConfig {
                cores: l.integer("model.cores"),
                speed: 1.0,
                queue_limit: l.integer("model.queue"),
                memory_mb: l.number("model.memory-mb"),
                concurrent_loads: l.integer("model.loads-at-once"),
                keep_alive: l.duration_us("copies.keep-alive-us"),
                on_miss: if l.text("copies.on-miss") == "miss" {
                    OnMiss::Miss
                } else {
                    OnMiss::Load
                },
                // The whole of a load is drawn.
                start_us_per_mb: 0.0,
                initial_capacity: l.number("rules.cold-from"),
                warm_up: l.duration_us("rules.cold-us"),
                collapse_multiple: l.number("rules.fall-multiple"),
                collapse_window: l.duration_us("rules.fall-us"),
            },
            load: span("load"),
            load_spread: l.number("model.load-spread"),
            work: span("work"),
            report_every: span("report-every"),
            same_zone: span("same-zone"),
            cross_zone: span("cross-zone"),
            notice: (span("notice-least"), span("notice-most")),
            silent_after: span("silent-after"),
            connect_time_out: l.duration_us("limits.connect-time-out-us"),
            idle_close: l.duration_us("limits.idle-close-us"),
            streams: l.integer("limits.streams"),
            connections: l.integer("limits.connections"),
            order_time_out: l.duration_us("limits.order-time-out-us"),
            probe_time_out: l.duration_us("limits.probe-time-out-us"),
            time_limit: l.duration_us("workloads.0.time-limit-us")
                - l.duration_us("limits.answer-ahead-us"),
            drain_grace: l.duration_us("rules.drain-grace-us"),
        }
    }
    /// What a load takes, drawn about the middle one.
    pub fn draw_load(&self, chance: &mut Rng) -> Micros {
        // A normal draw, by Box and Muller.
        let (u, v) = (1.0 - chance.next_f64(), chance.next_f64());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        (self.load as f64 * (self.load_spread * normal).exp()).max(1.0) as Micros
    }
}

/// A function as hollow parts know it.
#[derive(Clone, Debug)]
pub struct Function {
    pub id: FunctionId,
    /// `workload/function`, as workers know it.
    pub name: String,
    pub memory_mb: f64,
    pub lanes: u32,
    /// What a load usually takes, where that is set.
    pub load: Option<Micros>,
    /// Called less than once a minute, by all routers together.
    pub rare: bool,
}

/// Functions and how often each is called.
#[derive(Clone, Debug)]
pub struct Functions {
    pub all: Vec<Function>,
    /// Parts of all calls, summed up.
    sums: Vec<f64>,
}

/// How popular functions are.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// By rank, to the power of this.
    Zipf(f64),
    /// The same for those that aren't rare; this part is called between once an hour and once a minute, where there
    /// are so many calls a second in all.
    Rare { zipf: f64, part: f64, calls: f64 },
}

const ONCE_A_MINUTE: f64 = 1.0 / 60.0;
const ONCE_AN_HOUR: f64 = 1.0 / 3600.0;

impl Functions {
    /// So many of the plan's first function pattern.
    pub fn new(l: &LoadedSettings, count: usize, shape: Shape, seed: u64) -> Self {
        let prefix = l.text("functions.0.name").trim_end_matches('*').to_string();
        let workload = l.text("functions.0.workload").to_string();
        let (memory_mb, lanes) = (
            l.number("functions.0.memory-mb"),
            l.integer("functions.0.lanes") as u32,
        );
        let load = l
            .contains("functions.0.load-us")
            .then(|| l.duration_us("functions.0.load-us"));
        let mut chance = Rng::new(seed ^ 0xf0);
        let (zipf, frequent, calls) = match shape {
            Shape::Zipf(zipf) => (zipf, count, 1.0),
            Shape::Rare { zipf, part, calls } => (
                zipf,
                ((count as f64 * (1.0 - part)).round() as usize).clamp(1, count),
                calls,
            ),
        };
        let rates: Vec<f64> = (frequent..count)
            .map(|_| ONCE_AN_HOUR * (ONCE_A_MINUTE / ONCE_AN_HOUR).powf(chance.next_f64()))
            .collect();
        let of_rare = rates.iter().sum::<f64>() / calls;
        let whole: f64 = (1..=frequent).map(|rank| (rank as f64).powf(-zipf)).sum();
        let parts =
            (1..=frequent).map(|rank| (rank as f64).powf(-zipf) / whole * (1.0 - of_rare).max(0.0));
        let mut sum = 0.0;
        let sums = parts
            .chain(rates.iter().map(|rate| rate / calls))
            .map(|part| {
                sum += part;
                sum
            });
        let sums = sums.collect();
        let function = |n: usize| {
            let name = format!("{workload}/{prefix}{n}");
            Function {
                id: FunctionId(stable_id(&name)),
                name,
                memory_mb,
                lanes,
                load,
                rare: n >= frequent,
            }
        };
        Functions {
            all: (0..count).map(function).collect(),
            sums,
        }
    }
    /// One, as often as it is called.
    pub fn draw(&self, chance: &mut Rng) -> usize {
        let all = self.sums.last().copied().unwrap_or(1.0);
        let at = chance.next_f64() * all;
        self.sums
            .partition_point(|sum| *sum <= at)
            .min(self.all.len().saturating_sub(1))
    }
    /// Its part of all calls.
    pub fn part(&self, n: usize) -> f64 {
        let before = n
            .checked_sub(1)
            .and_then(|n| self.sums.get(n))
            .copied()
            .unwrap_or(0.0);
        self.sums.get(n).map_or(0.0, |sum| sum - before) / self.sums.last().copied().unwrap_or(1.0)
    }
}

/// What the routers that aren't played do to workers: copies that their calls would have had loaded stand with the
/// chance that the calls imply, drawn anew each keep-alive, and their jobs count in reports. How they crowd the lanes of
/// a copy isn't modelled.
#[derive(Clone, Copy, Debug)]
pub struct Others {
    /// Calls a second of all of them together.
    pub calls: f64,
    pub seed: u64,
}

/// A function's calls go to two workers at least, and to more where each would have more than this part of a mean
/// worker's calls from it.
const PLACES: f64 = 2.0;
const PLACE_PART: f64 = 0.5;

impl Others {
    /// Whether a copy stands at a worker to which a played router turns.
    fn stands(
        &self,
        now: Micros,
        at: &SimulatedWorker,
        functions: &Functions,
        n: usize,
        workers: usize,
    ) -> bool {
        let keep = at.machine.config.keep_alive.max(1);
        let part = functions.part(n);
        let places = (part * workers as f64 / PLACE_PART)
            .ceil()
            .clamp(PLACES, (workers as f64).max(PLACES));
        let expected = part * self.calls * (keep as f64 / 1e6) / places;
        let draw = (now / keep) as u64 ^ (n as u64).rotate_left(20) ^ at.id.0.rotate_left(40);
        Rng::new(self.seed ^ draw).next_f64() < 1.0 - (-expected).exp()
    }
    /// A report with the others' jobs in it.
    fn in_report(
        &self,
        now: Micros,
        at: &SimulatedWorker,
        report: LoadReport,
        jobs: f64,
    ) -> LoadReport {
        let mut chance = Rng::new(self.seed ^ at.id.0 ^ now as u64);
        // A Poisson draw, by the gaps between arrivals; jobs at a worker are few.
        let (mut more, mut gone) = (0.0, chance.exponential(1.0));
        while gone < jobs {
            (more, gone) = (more + 1.0, gone + chance.exponential(1.0));
        }
        let cores = at.machine.config.cores.max(1) as f64;
        LoadReport {
            in_flight: report.in_flight.map(|held| held + more),
            busy: report.busy.map(|busy| (busy + more / cores).min(1.0)),
            ..report
        }
    }
}

/// A worker without connections.
pub struct SimulatedWorker {
    pub id: WorkerId,
    pub zone: usize,
    pub machine: Machine,
    pub incarnation: u64,
    /// It answers; one that doesn't is silent.
    pub up: bool,
    pub drains: bool,
    /// When its own time comes next.
    pub wake: Option<Micros>,
    report: Option<(Micros, LoadReport)>,
}

impl SimulatedWorker {
    /// One that has run for long.
    pub fn new(n: usize, zones: usize, size: &MachineConfig, seed: u64) -> Self {
        let id = WorkerId(stable_id(&crate::Scenario::worker_name(n)));
        let seed = seed.wrapping_mul(31).wrapping_add(n as u64);
        let machine = Machine::new(size.clone(), seed, 0);
        let zone = n % zones.max(1);
        SimulatedWorker {
            id,
            zone,
            machine,
            incarnation: 1,
            up: true,
            drains: false,
            wake: None,
            report: None,
        }
    }
    /// It starts anew, empty and cold.
    pub fn restart(&mut self, now: Micros) {
        let size = self.machine.config.clone();
        self.incarnation += 1;
        self.machine = Machine::new(size, self.id.0 ^ self.incarnation, now);
        (self.up, self.drains, self.report, self.wake) = (true, false, None, None);
    }
    pub(crate) fn report(
        &mut self,
        now: Micros,
        every: Micros,
        others: Option<(Others, f64)>,
    ) -> LoadReport {
        match self.report {
            Some((at, report)) if now < at + every => report,
            _ => {
                let own = self.machine.load_report();
                let report =
                    others.map_or(own, |(others, jobs)| others.in_report(now, self, own, jobs));
                self.report = Some((now, report));
                report
            }
        }
    }
    pub(crate) fn others_had(
        &mut self,
        now: Micros,
        others: Others,
        functions: &Functions,
        n: usize,
        workers: usize,
    ) {
        if others.stands(now, self, functions, n, workers) {
            let f = &functions.all[n];
            self.machine.preload(now, &f.name, f.memory_mb, f.lanes);
        }
    }
}
