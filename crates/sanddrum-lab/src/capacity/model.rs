//! The models of workers, functions and clients in simulated fleets: the emulated worker's own machine without its
//! connections, the popularity of functions, and the load of routers that are not simulated.

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
    description: "simulated workers, their function store and the requests",
    keys: &[
        key(
            "cores",
            ValueType::Integer(1.0, 1e3),
            Some("8"),
            "cores of a worker",
        ),
        key(
            "queue",
            ValueType::Integer(0.0, 1e5),
            Some("64"),
            "requests that wait at a worker; further ones are rejected",
        ),
        key(
            "memory",
            ValueType::Memory,
            Some("12GB"),
            "memory of a worker for instances",
        ),
        key(
            "loads-at-once",
            ValueType::Integer(1.0, 1e3),
            Some("4"),
            "concurrent loads at a worker; twice as many wait",
        ),
        key(
            "load",
            ValueType::Duration,
            Some("600ms"),
            "median time of a load",
        ),
        key(
            "load-spread",
            ValueType::Number(0.0, 2.0),
            Some("0.3"),
            "standard deviation of the logarithm of the load time",
        ),
        key(
            "work",
            ValueType::Duration,
            Some("20ms"),
            "mean work of a request, exponentially distributed",
        ),
        key(
            "report-every",
            ValueType::Duration,
            Some("250ms"),
            "maximum age of a load report",
        ),
        key(
            "same-zone",
            ValueType::Duration,
            Some("200us"),
            "latency of a message within a zone",
        ),
        key(
            "cross-zone",
            ValueType::Duration,
            Some("600us"),
            "latency of a message between two zones",
        ),
        key(
            "notice-least",
            ValueType::Duration,
            Some("200ms"),
            "minimum delay until changes of the endpoint list are published",
        ),
        key(
            "notice-most",
            ValueType::Duration,
            Some("1s"),
            "maximum delay until changes of the endpoint list are published",
        ),
        key(
            "silent-after",
            ValueType::Duration,
            Some("4s"),
            "a worker without heartbeats for this time counts as gone",
        ),
        key(
            "zipf",
            ValueType::Number(0.0, 5.0),
            Some("1.1"),
            "Zipf exponent of the popularity of functions",
        ),
        key(
            "rare-part",
            ValueType::Number(0.0, 0.99),
            Some("90%"),
            "fraction of functions called less than once a minute",
        ),
    ],
};

/// Rejects settings that can't be modelled.
pub(crate) fn check(plan: &Plan) -> Result<(), SettingsError> {
    let l = &plan.settings;
    if l.count("functions") == 0 {
        let remedy = "add (function \"f-*\" (workload \"...\"))";
        return Err(l.error_at(
            "",
            "no function is set, so there would be no requests",
            remedy,
        ));
    }
    let (called, first) = (l.text("functions.0.workload"), l.text("workloads.0.name"));
    if called != first {
        let what = format!(
            "functions.0.workload: requests are for the first function, which belongs to workload {called:?}"
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
                "an instance takes {} MB, which is more than model.memory holds",
                l.number(&name)
            );
            return Err(l.error_at(&name, what, "set a smaller size, or a larger model.memory"));
        }
    }
    if l.duration_us("model.notice-least-us") > l.duration_us("model.notice-most-us") {
        let what = "model.notice-least is above model.notice-most";
        return Err(l.error_at("model.notice-least-us", what, "for example 200ms and 1s"));
    }
    Ok(())
}

/// The settings of the model.
#[derive(Clone, Debug)]
pub struct Model {
    pub size: MachineConfig,
    pub load: Micros,
    pub load_spread: f64,
    pub work: Micros,
    pub report_interval: Micros,
    pub same_zone: Micros,
    pub cross_zone: Micros,
    pub publish_delay: (Micros, Micros),
    pub heartbeat_timeout: Micros,
    pub connect_timeout: Micros,
    pub idle_close: Micros,
    /// Concurrent executions on a connection.
    pub max_streams: usize,
    /// Connections from a router to a worker.
    pub max_connections: usize,
    pub load_timeout: Micros,
    pub health_check_timeout: Micros,
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
                // `sample_load_time` gives the complete duration of a load.
                start_us_per_mb: 0.0,
                initial_capacity: l.number("rules.cold-from"),
                warm_up: l.duration_us("rules.cold-us"),
                collapse_multiple: l.number("rules.fall-multiple"),
                collapse_window: l.duration_us("rules.fall-us"),
            },
            load: span("load"),
            load_spread: l.number("model.load-spread"),
            work: span("work"),
            report_interval: span("report-every"),
            same_zone: span("same-zone"),
            cross_zone: span("cross-zone"),
            publish_delay: (span("notice-least"), span("notice-most")),
            heartbeat_timeout: span("silent-after"),
            connect_timeout: l.duration_us("limits.connect-time-out-us"),
            idle_close: l.duration_us("limits.idle-close-us"),
            max_streams: l.integer("limits.streams"),
            max_connections: l.integer("limits.connections"),
            load_timeout: l.duration_us("limits.order-time-out-us"),
            health_check_timeout: l.duration_us("limits.probe-time-out-us"),
            time_limit: l.duration_us("workloads.0.time-limit-us")
                - l.duration_us("limits.answer-ahead-us"),
            drain_grace: l.duration_us("rules.drain-grace-us"),
        }
    }
    /// A random load time, log-normally distributed around the median.
    pub fn sample_load_time(&self, rng: &mut Rng) -> Micros {
        // A normally distributed value, by the Box-Muller transform.
        let (u, v) = (1.0 - rng.next_f64(), rng.next_f64());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        (self.load as f64 * (self.load_spread * normal).exp()).max(1.0) as Micros
    }
}

/// A function of the simulated fleet.
#[derive(Clone, Debug)]
pub struct Function {
    pub id: FunctionId,
    /// The name on the wire: `workload/function`.
    pub name: String,
    pub memory_mb: f64,
    pub concurrency: u32,
    /// The usual load time, if set.
    pub load: Option<Micros>,
    /// Called less than once a minute by all routers together.
    pub rare: bool,
}

/// The functions and their shares of the requests.
#[derive(Clone, Debug)]
pub struct Functions {
    pub all: Vec<Function>,
    /// Cumulative fractions of all requests.
    cumulative: Vec<f64>,
}

/// The distribution of requests over functions.
#[derive(Clone, Copy, Debug)]
pub enum Popularity {
    /// A Zipf distribution with this exponent.
    Zipf(f64),
    /// The given fraction of the functions is rare: each is called between once an hour and once a minute, out of
    /// `request_rate` requests a second in total. The others have a Zipf distribution.
    Rare {
        zipf: f64,
        fraction: f64,
        request_rate: f64,
    },
}

const ONCE_A_MINUTE: f64 = 1.0 / 60.0;
const ONCE_AN_HOUR: f64 = 1.0 / 3600.0;

impl Functions {
    /// Creates `count` functions that match the plan's first function pattern.
    pub fn new(l: &LoadedSettings, count: usize, shape: Popularity, seed: u64) -> Self {
        let prefix = l.text("functions.0.name").trim_end_matches('*').to_string();
        let workload = l.text("functions.0.workload").to_string();
        let (memory_mb, concurrency) = (
            l.number("functions.0.memory-mb"),
            l.integer("functions.0.lanes") as u32,
        );
        let load = l
            .contains("functions.0.load-us")
            .then(|| l.duration_us("functions.0.load-us"));
        let mut rng = Rng::new(seed ^ 0xf0);
        let (zipf, frequent, request_rate) = match shape {
            Popularity::Zipf(zipf) => (zipf, count, 1.0),
            Popularity::Rare {
                zipf,
                fraction,
                request_rate,
            } => (
                zipf,
                ((count as f64 * (1.0 - fraction)).round() as usize).clamp(1, count),
                request_rate,
            ),
        };
        let rates: Vec<f64> = (frequent..count)
            .map(|_| ONCE_AN_HOUR * (ONCE_A_MINUTE / ONCE_AN_HOUR).powf(rng.next_f64()))
            .collect();
        let rare_fraction = rates.iter().sum::<f64>() / request_rate;
        let total_weight: f64 = (1..=frequent).map(|rank| (rank as f64).powf(-zipf)).sum();
        let fractions = (1..=frequent)
            .map(|rank| (rank as f64).powf(-zipf) / total_weight * (1.0 - rare_fraction).max(0.0));
        let mut sum = 0.0;
        let cumulative = fractions
            .chain(rates.iter().map(|rate| rate / request_rate))
            .map(|fraction| {
                sum += fraction;
                sum
            });
        let cumulative = cumulative.collect();
        let function = |n: usize| {
            let name = format!("{workload}/{prefix}{n}");
            Function {
                id: FunctionId(stable_id(&name)),
                name,
                memory_mb,
                concurrency,
                load,
                rare: n >= frequent,
            }
        };
        Functions {
            all: (0..count).map(function).collect(),
            cumulative,
        }
    }
    /// A random function, weighted by its share of the requests.
    pub fn sample(&self, rng: &mut Rng) -> usize {
        let all = self.cumulative.last().copied().unwrap_or(1.0);
        let at = rng.next_f64() * all;
        self.cumulative
            .partition_point(|sum| *sum <= at)
            .min(self.all.len().saturating_sub(1))
    }
    /// The function's fraction of all requests.
    pub fn fraction(&self, n: usize) -> f64 {
        let before = n
            .checked_sub(1)
            .and_then(|n| self.cumulative.get(n))
            .copied()
            .unwrap_or(0.0);
        self.cumulative.get(n).map_or(0.0, |sum| sum - before)
            / self.cumulative.last().copied().unwrap_or(1.0)
    }
}

/// The effect on workers of the routers that are not simulated. An instance that their requests would have loaded
/// exists with the probability that the request rate implies, sampled anew in each keep-alive period, and their
/// requests count in load reports. Their use of an instance's concurrency isn't modelled.
#[derive(Clone, Copy, Debug)]
pub struct BackgroundRouters {
    /// Requests a second of all these routers together.
    pub request_rate: f64,
    pub seed: u64,
}

/// The requests for a function are spread over at least `MIN_WORKERS_PER_FUNCTION` workers, and over more if the
/// function would otherwise take more than the fraction `MAX_WORKER_SHARE` of the mean request rate of a worker.
const MIN_WORKERS_PER_FUNCTION: f64 = 2.0;
const MAX_WORKER_SHARE: f64 = 0.5;

impl BackgroundRouters {
    /// Whether a worker that a simulated router contacts already has an instance of function `n`.
    fn has_instance(
        &self,
        now: Micros,
        worker: &SimulatedWorker,
        functions: &Functions,
        n: usize,
        workers: usize,
    ) -> bool {
        let keep_alive = worker.machine.config.keep_alive.max(1);
        let fraction = functions.fraction(n);
        let workers_with_instance = (fraction * workers as f64 / MAX_WORKER_SHARE).ceil().clamp(
            MIN_WORKERS_PER_FUNCTION,
            (workers as f64).max(MIN_WORKERS_PER_FUNCTION),
        );
        let expected =
            fraction * self.request_rate * (keep_alive as f64 / 1e6) / workers_with_instance;
        let sample_seed =
            (now / keep_alive) as u64 ^ (n as u64).rotate_left(20) ^ worker.id.0.rotate_left(40);
        Rng::new(self.seed ^ sample_seed).next_f64() < 1.0 - (-expected).exp()
    }
    /// Adds the requests of these routers to a load report.
    fn add_to_report(
        &self,
        now: Micros,
        worker: &SimulatedWorker,
        report: LoadReport,
        requests: f64,
    ) -> LoadReport {
        let mut rng = Rng::new(self.seed ^ worker.id.0 ^ now as u64);
        // A Poisson-distributed value from the gaps between arrivals; fast enough, as a worker has few requests.
        let (mut added, mut elapsed) = (0.0, rng.exponential(1.0));
        while elapsed < requests {
            (added, elapsed) = (added + 1.0, elapsed + rng.exponential(1.0));
        }
        let cores = worker.machine.config.cores.max(1) as f64;
        LoadReport {
            in_flight: report.in_flight.map(|held| held + added),
            busy: report.busy.map(|busy| (busy + added / cores).min(1.0)),
            ..report
        }
    }
}

/// A worker without connections: messages reach its machine directly.
pub struct SimulatedWorker {
    pub id: WorkerId,
    pub zone: usize,
    pub machine: Machine,
    pub incarnation: u64,
    /// The worker answers; messages to a worker that isn't up are lost.
    pub up: bool,
    pub is_draining: bool,
    /// When the machine has to be advanced next.
    pub wake: Option<Micros>,
    report: Option<(Micros, LoadReport)>,
}

impl SimulatedWorker {
    /// A worker that has been running for a long time, in its first incarnation.
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
            is_draining: false,
            wake: None,
            report: None,
        }
    }
    /// Starts a new incarnation, which has no instances and is warming up.
    pub fn restart(&mut self, now: Micros) {
        let size = self.machine.config.clone();
        self.incarnation += 1;
        self.machine = Machine::new(size, self.id.0 ^ self.incarnation, now);
        (self.up, self.is_draining, self.report, self.wake) = (true, false, None, None);
    }
    pub(crate) fn report(
        &mut self,
        now: Micros,
        every: Micros,
        background: Option<(BackgroundRouters, f64)>,
    ) -> LoadReport {
        match self.report {
            Some((at, report)) if now < at + every => report,
            _ => {
                let own = self.machine.load_report();
                let report = background.map_or(own, |(background, requests)| {
                    background.add_to_report(now, self, own, requests)
                });
                self.report = Some((now, report));
                report
            }
        }
    }
    pub(crate) fn add_background_instances(
        &mut self,
        now: Micros,
        background: BackgroundRouters,
        functions: &Functions,
        n: usize,
        workers: usize,
    ) {
        if background.has_instance(now, self, functions, n, workers) {
            let f = &functions.all[n];
            self.machine
                .preload(now, &f.name, f.memory_mb, f.concurrency);
        }
    }
}
