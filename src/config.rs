//! The settings as typed values. They are read once, since each request needs a dozen of them.

use crate::logic::constants::{
    DEFAULT_COLLAPSE_WINDOW, DEFAULT_ENDPOINT_POLL_INTERVAL, DEFAULT_KEEP_ALIVE,
    DEFAULT_LATENCY_OBJECTIVE,
};
use crate::{FunctionId, Micros, Settings, WorkloadId, ZoneId};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Workers recognize a repetition by its idempotency key, within a scope and a window.
    ByKey,
    /// It may run once only.
    #[default]
    NonIdempotent,
}

/// The workers among which an idempotency key is recognized.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum KeyScope {
    /// All workers.
    Fleet,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
    /// No other worker, and not the same one again.
    #[default]
    Nowhere,
}

/// What a workload's priority weight is the value of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PriorityWeightUnit {
    /// One request, whatever work it takes.
    #[default]
    Request,
    /// One unit of work.
    Work,
}

/// The settings of one workload.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkloadConfig {
    /// The latency within which an answer has its full value.
    pub latency_objective: Micros,
    /// The latency after which the client gives up; zero if it is not known.
    pub time_limit: Micros,
    /// How long after an attempt its idempotency key is recognized.
    pub key_window: Micros,
    /// The value of an answer in time.
    pub priority_weight: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Where its idempotency key is recognized.
    pub key_scope: KeyScope,
}

/// The settings of the decision module.
#[derive(Clone, Debug, Default)]
pub(crate) struct Config {
    /// The workloads by their number.
    workloads: Vec<WorkloadConfig>,
    /// Stands for workloads that the settings do not name.
    unnamed_workload: WorkloadConfig,
    /// The least latency objective of all workloads.
    pub tightest_objective: Micros,
    /// What priority weights are the value of.
    pub priority_weight_unit: PriorityWeightUnit,
    /// Endpoint lists come only to routers that subscribe to them.
    pub subscribes_to_endpoints: bool,
    /// The endpoints' sizes follow their current load instead of their machines.
    pub sizes_are_live: bool,
    /// Routers in the fleet.
    pub router_count: u32,
    /// This router's number, from zero.
    pub router_index: u32,
    /// The zone of this router.
    pub local_zone: ZoneId,
    /// Attempts that a request may have.
    pub max_attempts: usize,
    /// The longest Retry-After.
    pub max_retry_after: Micros,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// A request may have two attempts in flight.
    pub may_hedge: bool,
    /// Workers answer health checks.
    pub may_check_health: bool,
    /// Workers take load commands and queries for loaded instances.
    pub may_command_loads: bool,
    /// A worker without an instance answers a cold miss; otherwise it loads the function for the request.
    pub workers_answer_misses: bool,
    /// How long workers keep an idle instance at least.
    pub keep_alive: Micros,
    /// The window of the load budget; zero if there is no budget.
    pub load_budget_window: Micros,
    /// Load commands that a window allows without any request.
    pub load_budget_base: f64,
    /// Load commands that a window allows for each request in it.
    pub load_budget_per_request: f64,
    /// How long a restarted worker warms up.
    pub slow_start_window: Micros,
    /// The share of its capacity that a worker has as it starts to warm up, 0 to 1.
    pub slow_start_initial_fraction: f64,
    /// How long a worker can be overloaded before it collapses, in microseconds; at least one.
    pub collapse_window_us: f64,
    /// How long after a drain counts as told a worker may still get something new.
    pub drain_grace: Micros,
    /// How long a connection to a worker may take to be opened.
    pub connect_timeout: Micros,
    /// How often endpoint lists are to be polled.
    pub endpoint_poll_interval: Micros,
}

/// Reads settings by name, with defaults for those that are absent.
struct Reader<'a>(&'a Settings);

impl Reader<'_> {
    fn span(&self, name: &str, default: Micros) -> Micros {
        self.0.number(name).map_or(default, |n| n as Micros)
    }

    fn count(&self, name: &str, default: usize) -> usize {
        self.0.number(name).map_or(default, |n| n as usize)
    }

    fn small_count(&self, name: &str, default: u32) -> u32 {
        self.0.number(name).map_or(default, |n| n as u32)
    }

    fn number(&self, name: &str, default: f64) -> f64 {
        self.0.number(name).unwrap_or(default)
    }

    fn is_set(&self, name: &str) -> bool {
        self.0.flag(name) == Some(true)
    }

    fn text_equals(&self, name: &str, text: &str) -> bool {
        self.0.text(name) == Some(text)
    }

    fn idempotency(&self, name: &str) -> Idempotency {
        match self.0.text(name) {
            Some("restartable") => Idempotency::Idempotent,
            Some("fingerprinted") => Idempotency::ByKey,
            _ => Idempotency::NonIdempotent,
        }
    }

    fn key_scope(&self, name: &str) -> KeyScope {
        match self.0.text(name) {
            Some("all") => KeyScope::Fleet,
            Some("zone") => KeyScope::Zone,
            Some("cell") => KeyScope::Cell,
            _ => KeyScope::Nowhere,
        }
    }

    fn workload(&self, number: usize) -> WorkloadConfig {
        let name = |key: &str| format!("workloads.{number}.{key}");
        WorkloadConfig {
            latency_objective: self.span(&name("start-target-us"), DEFAULT_LATENCY_OBJECTIVE),
            time_limit: self.span(&name("time-limit-us"), 0),
            key_window: self.span(&name("repeat-window-us"), 0),
            priority_weight: self.number(&name("importance"), 1.0),
            idempotency: self.idempotency(&name("effect")),
            key_scope: self.key_scope(&name("group")),
        }
    }
}

impl Config {
    /// Reads the settings; what is absent takes its default.
    pub fn read(settings: &Settings) -> Self {
        let reader = Reader(settings);
        let workload_count = reader.count("workloads.count", 1).max(1);
        let workloads: Vec<_> = (0..workload_count).map(|n| reader.workload(n)).collect();
        let objectives = workloads.iter().map(|w| w.latency_objective);
        let tightest = objectives.filter(|objective| *objective > 0).min();
        let priority_weight_unit = if reader.text_equals("importance-by", "work") {
            PriorityWeightUnit::Work
        } else {
            PriorityWeightUnit::Request
        };
        let collapse_window = reader.span("rules.fall-us", DEFAULT_COLLAPSE_WINDOW);
        Config {
            tightest_objective: tightest.unwrap_or(DEFAULT_LATENCY_OBJECTIVE),
            unnamed_workload: reader.workload(workloads.len()),
            workloads,
            priority_weight_unit,
            subscribes_to_endpoints: reader.text_equals("membership-mode", "subscribe"),
            sizes_are_live: reader.text_equals("sizes", "live"),
            router_count: reader.small_count("routers", 1),
            router_index: reader.small_count("me", 0),
            local_zone: ZoneId(reader.count("zone", 0)),
            max_attempts: reader.count("limits.max-executions", 1),
            max_retry_after: reader.span("limits.max-retry-after-us", Micros::MAX),
            may_cancel: reader.is_set("limits.cancel"),
            may_hedge: reader.is_set("limits.second-copies"),
            may_check_health: reader.is_set("limits.probes"),
            may_command_loads: reader.is_set("copies.orders"),
            workers_answer_misses: reader.text_equals("copies.on-miss", "miss"),
            keep_alive: reader.span("copies.keep-alive-us", DEFAULT_KEEP_ALIVE),
            load_budget_window: reader.span("copies.load-window-us", 0),
            load_budget_base: reader.number("copies.load-free", 0.0),
            load_budget_per_request: reader.number("copies.load-share", 0.0),
            slow_start_window: reader.span("rules.cold-us", 0),
            slow_start_initial_fraction: reader.number("rules.cold-from", 1.0),
            collapse_window_us: collapse_window.max(1) as f64,
            drain_grace: reader.span("rules.drain-grace-us", 0),
            connect_timeout: reader.span("limits.connect-timeout-us", 0),
            endpoint_poll_interval: reader
                .span("rules.ask-every-us", DEFAULT_ENDPOINT_POLL_INTERVAL),
        }
    }

    /// The settings of a workload.
    pub fn workload(&self, id: WorkloadId) -> &WorkloadConfig {
        self.workloads.get(id.0).unwrap_or(&self.unnamed_workload)
    }

    /// A restarted worker is warm from this instant on.
    pub fn warm_at(&self, started_at: Micros) -> Micros {
        started_at + self.slow_start_window
    }
}

/// One of the `design.` options: as set for this function, else as set for all.
pub(crate) fn design_option(settings: &Settings, function: FunctionId, name: &str) -> Option<f64> {
    let for_function = settings.number(&format!("design.{}.{name}", function.0));
    for_function.or_else(|| settings.number(&format!("design.{name}")))
}
