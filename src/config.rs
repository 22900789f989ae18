//! The settings as typed values, parsed once because every request needs about a dozen of them.

use crate::logic::constants::{
    DEFAULT_COLLAPSE_WINDOW, DEFAULT_ENDPOINT_POLL_INTERVAL, DEFAULT_KEEP_ALIVE,
    DEFAULT_LATENCY_OBJECTIVE,
};
use crate::{FunctionId, Micros, Settings, WorkloadId, ZoneId};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Idempotency {
    /// The request may be executed any number of times.
    Idempotent,
    /// Workers recognize a repeated request by its idempotency key, within a scope and a time window.
    ByKey,
    /// The request may be executed at most once.
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
    /// No worker, not even the one that received the key before.
    #[default]
    NoWorker,
}

/// The unit that a workload's priority weight applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PriorityWeightUnit {
    /// One request, regardless of the work it takes.
    #[default]
    Request,
    /// One unit of work.
    Work,
}

/// The settings of one workload.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkloadConfig {
    /// The latency up to which a response has its full value.
    pub latency_objective: Micros,
    /// The latency after which the client gives up; zero if unknown.
    pub time_limit: Micros,
    /// How long workers recognize the idempotency key of an attempt.
    pub key_window: Micros,
    /// The value of a response within the latency objective.
    pub priority_weight: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// The workers that recognize its idempotency key.
    pub key_scope: KeyScope,
}

/// The settings of the decision module.
#[derive(Clone, Debug, Default)]
pub(crate) struct Config {
    /// The configured workloads, by number.
    workloads: Vec<WorkloadConfig>,
    /// Used for all workloads that are not configured.
    default_workload: WorkloadConfig,
    /// The shortest latency objective of all workloads.
    pub tightest_objective: Micros,
    /// The unit that priority weights apply to.
    pub priority_weight_unit: PriorityWeightUnit,
    /// Endpoint lists are sent only to routers that subscribe to them.
    pub subscribes_to_endpoints: bool,
    /// Endpoint sizes reflect the current load rather than the machine's capacity.
    pub sizes_are_live: bool,
    /// The number of routers in the fleet.
    pub router_count: u32,
    /// This router's number, from zero.
    pub router_index: u32,
    /// The zone of this router.
    pub local_zone: ZoneId,
    /// The maximum number of attempts per request.
    pub max_attempts: usize,
    /// The upper bound of Retry-After.
    pub max_retry_after: Micros,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// A request may be hedged: two attempts in flight.
    pub may_hedge: bool,
    /// Workers support health checks.
    pub may_check_health: bool,
    /// Workers support load commands and queries for loaded instances.
    pub may_command_loads: bool,
    /// A worker without an instance responds with a cold miss; if false, it loads the function for the request.
    pub workers_answer_misses: bool,
    /// The minimum time for which workers keep an idle instance loaded.
    pub keep_alive: Micros,
    /// The window of the load budget; zero if there is no budget.
    pub load_budget_window: Micros,
    /// Load commands allowed per window regardless of requests.
    pub load_budget_base: f64,
    /// Additional load commands allowed per window for each request in it.
    pub load_budget_per_request: f64,
    /// How long a worker warms up after a restart.
    pub slow_start_window: Micros,
    /// The fraction of its capacity that a worker has right after a restart, 0 to 1.
    pub slow_start_initial_fraction: f64,
    /// How long a worker can be overloaded before it collapses, in microseconds; at least 1.
    pub collapse_window_us: f64,
    /// How long a draining worker may still get new work after this router is considered notified of the drain.
    pub drain_grace: Micros,
    /// The time-out for opening a connection to a worker.
    pub connect_timeout: Micros,
    /// The interval at which endpoint lists are polled.
    pub endpoint_poll_interval: Micros,
}

/// Reads settings by name and returns the default for absent ones.
struct Reader<'a>(&'a Settings);

impl Reader<'_> {
    fn duration(&self, name: &str, default: Micros) -> Micros {
        self.0.number(name).map_or(default, |n| n as Micros)
    }

    fn count(&self, name: &str, default: usize) -> usize {
        self.0.number(name).map_or(default, |n| n as usize)
    }

    fn count_u32(&self, name: &str, default: u32) -> u32 {
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
            _ => KeyScope::NoWorker,
        }
    }

    fn workload(&self, number: usize) -> WorkloadConfig {
        let name = |key: &str| format!("workloads.{number}.{key}");
        WorkloadConfig {
            latency_objective: self.duration(&name("start-target-us"), DEFAULT_LATENCY_OBJECTIVE),
            time_limit: self.duration(&name("time-limit-us"), 0),
            key_window: self.duration(&name("repeat-window-us"), 0),
            priority_weight: self.number(&name("importance"), 1.0),
            idempotency: self.idempotency(&name("effect")),
            key_scope: self.key_scope(&name("group")),
        }
    }
}

impl Config {
    /// Reads the settings; absent ones take their defaults.
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
        let collapse_window = reader.duration("rules.fall-us", DEFAULT_COLLAPSE_WINDOW);
        Config {
            tightest_objective: tightest.unwrap_or(DEFAULT_LATENCY_OBJECTIVE),
            default_workload: reader.workload(workloads.len()),
            workloads,
            priority_weight_unit,
            subscribes_to_endpoints: reader.text_equals("membership-mode", "subscribe"),
            sizes_are_live: reader.text_equals("sizes", "live"),
            router_count: reader.count_u32("routers", 1),
            router_index: reader.count_u32("me", 0),
            local_zone: ZoneId(reader.count("zone", 0)),
            max_attempts: reader.count("limits.max-executions", 1),
            max_retry_after: reader.duration("limits.max-retry-after-us", Micros::MAX),
            may_cancel: reader.is_set("limits.cancel"),
            may_hedge: reader.is_set("limits.second-copies"),
            may_check_health: reader.is_set("limits.probes"),
            may_command_loads: reader.is_set("copies.orders"),
            workers_answer_misses: reader.text_equals("copies.on-miss", "miss"),
            keep_alive: reader.duration("copies.keep-alive-us", DEFAULT_KEEP_ALIVE),
            load_budget_window: reader.duration("copies.load-window-us", 0),
            load_budget_base: reader.number("copies.load-free", 0.0),
            load_budget_per_request: reader.number("copies.load-share", 0.0),
            slow_start_window: reader.duration("rules.cold-us", 0),
            slow_start_initial_fraction: reader.number("rules.cold-from", 1.0),
            collapse_window_us: collapse_window.max(1) as f64,
            drain_grace: reader.duration("rules.drain-grace-us", 0),
            connect_timeout: reader.duration("limits.connect-timeout-us", 0),
            endpoint_poll_interval: reader
                .duration("rules.ask-every-us", DEFAULT_ENDPOINT_POLL_INTERVAL),
        }
    }

    /// The settings of a workload, defaults if it is not configured.
    pub fn workload(&self, id: WorkloadId) -> &WorkloadConfig {
        self.workloads.get(id.0).unwrap_or(&self.default_workload)
    }

    /// The instant at which a worker that started at `started_at` has warmed up.
    pub fn warm_at(&self, started_at: Micros) -> Micros {
        started_at + self.slow_start_window
    }
}

/// A `design.` option: the value set for this function, or else the value set for all functions.
pub(crate) fn design_option(settings: &Settings, function: FunctionId, name: &str) -> Option<f64> {
    let for_function = settings.number(&format!("design.{}.{name}", function.0));
    for_function.or_else(|| settings.number(&format!("design.{name}")))
}
