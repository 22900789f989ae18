//! Every constant that the decisions rest on, each with its reason. Most are ratios to settings.

use crate::Micros;

// ---- Defaults where the settings say nothing and zero would make no sense

/// Latency objective of a workload.
pub(crate) const DEFAULT_LATENCY_OBJECTIVE: Micros = 1_000_000;
/// How long workers keep an idle instance.
pub(crate) const DEFAULT_KEEP_ALIVE: Micros = 8_000_000;
/// How long a worker can be overloaded before it collapses.
pub(crate) const DEFAULT_COLLAPSE_WINDOW: Micros = 2_000_000;
/// How often endpoint lists are polled.
pub(crate) const DEFAULT_ENDPOINT_POLL_INTERVAL: Micros = 10_000_000;

// ---- Readiness leases

/// A readiness lease is at least this part of the time after which changes count as told: a shorter one would end between
/// two attempts of a router with little traffic.
pub(super) const SHORTEST_LEASE_DIVISOR: Micros = 2;

// ---- Intervals

/// Waiting requests are reconsidered, and the fleet's medians updated, this often in the tightest latency objective.
pub(super) const SWEEPS_PER_OBJECTIVE: Micros = 20;
/// A worker answers a query or a health check, which never waits for work, well within this part of that objective.
pub(super) const POLLS_PER_OBJECTIVE: Micros = 10;
/// Health checks of an ejected worker become rarer up to this multiple of their first interval.
pub(super) const MAX_CHECK_BACKOFF: u32 = 10;
/// Instances of a function are queried again after this part of the keep-alive, as they come and go no faster.
pub(super) const QUERIES_PER_KEEP_ALIVE: Micros = 4;
/// A queried instance is trusted for this part of the keep-alive: it may have been idle for a while.
pub(super) const QUERIED_INSTANCE_LIFE_DIVISOR: Micros = 2;
/// Instances are renewed at this part of their keep-alive.
pub(super) const RENEWAL_POINT: f64 = 0.8;
/// A failed subscription is retried within this part of the interval at which endpoint lists are polled.
pub(super) const SUBSCRIBE_RETRIES_PER_POLL_INTERVAL: Micros = 4;
/// A function that is not called for this many keep-alives is evicted.
pub(super) const EVICTION_KEEP_ALIVES: Micros = 4;

// ---- Observations

/// Before anything is observed, work takes this part of the latency objective and a load the whole of it.
pub(super) const INITIAL_WORK_FRACTION: f64 = 0.25;
/// Weight of the newest value in an exponentially weighted mean: about the last ten count.
pub(super) const EWMA_WEIGHT: f64 = 0.2;
/// An attempt is overdue once its answer takes this many times longer than expected.
pub(super) const OVERDUE_FACTOR: f64 = 2.0;
/// The speed factor of a worker, or of loads, decays at this rate, so that a slow one is tried again.
pub(super) const SPEED_FACTOR_DECAY_US: f64 = 2e6;
/// A load report decays at this rate: of hundreds of routers each receives a worker's every ten seconds or so.
pub(super) const REPORT_DECAY_US: f64 = 1e7;
/// One answer counts for no more than this speed factor: a request that was itself long shows little of its worker.
pub(super) const MAX_SPEED_FACTOR: f64 = 10.0;
/// A baseline is the least mean seen; it may rise this slowly, should the work change.
pub(super) const BASELINE_RISE_US: f64 = 3e7;
/// Workers, of those that reported last, over which medians are taken.
pub(super) const SAMPLED_REPORTS: usize = 128;

// ---- Congestion and overload

/// A worker this many times slower than the fleet median is congested.
pub(super) const SLOW_FACTOR: f64 = 2.5;
/// A worker this many times slower than its baseline has more requests than cores, and instances for each of them.
pub(super) const CONGESTION_FACTOR: f64 = 2.0;
/// A worker with this many times the median of requests in flight has more than its part.
pub(super) const UNEVEN_FACTOR: f64 = 1.5;
/// Workers, or loads, count as overloaded once they take this many times their baseline.
pub(super) const OVERLOAD_FACTOR: f64 = 1.5;
/// Workers count as overloaded, too, once this share of the median worker's requests is queued.
pub(super) const QUEUED_FRACTION_LIMIT: f64 = 0.4;
/// Loads in progress at the median worker from which on they wait for each other: few run at a time.
pub(super) const CONGESTED_LOADS: f64 = 2.0;
/// Reports by which overload is judged at least: of fewer, one congested worker would decide too much.
pub(super) const MIN_REPORTS: f64 = 5.0;
/// Cores busy for more than this share leave requests queued.
pub(super) const BUSY_CORES: f64 = 0.95;

// ---- Admission, load shedding and concurrency limits

/// A request is in time if this many times its expected time fits: times scatter about as widely as their mean.
pub(super) const IN_TIME_MARGIN: f64 = 2.0;
/// A late answer cuts the share of requests admitted under overload by this part.
pub(super) const LATE_DECREASE: f64 = 0.1;
/// A first attempt that is rejected cuts it by this part.
pub(super) const REJECTION_DECREASE: f64 = 2.0 * LATE_DECREASE;
/// An answer in time raises it by this much. Not by a part of itself, or nothing would make many routers converge.
pub(super) const IN_TIME_INCREASE: f64 = LATE_DECREASE / 10.0;
/// An answer in time from a worker without a queue raises it by this much.
pub(super) const IDLE_INCREASE: f64 = 5.0 * IN_TIME_INCREASE;
/// The least share admitted, so that some answers come back by which it can rise again.
pub(super) const MIN_ADMITTED_FRACTION: f64 = 0.01;
/// What an answer in time adds to the retry budget of rejected requests.
pub(super) const RETRY_CREDIT: f64 = 0.1;
/// What an answer in time adds to the query budget, and so does a query that finds an instance: together no more
/// queries than requests in time.
pub(super) const QUERY_CREDIT: f64 = 0.5;
/// Requests in flight that a worker gets before anything is observed of it, from all routers together.
pub(super) const INITIAL_CONCURRENCY_LIMIT: f64 = 24.0;
/// What a full set of requests in time adds to a limit; less than one, as the other routers add to theirs, too.
pub(super) const LIMIT_INCREASE: f64 = 0.25;
/// What is left of a worker's limit once its answers are too slow for their latency objectives.
pub(super) const LIMIT_DECREASE: f64 = 0.8;
/// Requests of less value for their work than the mean fill this share of a worker's limit.
pub(super) const LOW_VALUE_LIMIT_FRACTION: f64 = 0.6;
/// Failures that count, each of which doubles the time for which a worker is left alone.
pub(super) const MAX_FAILURE_SCORE: u32 = 6;
/// A worker that warms up gets this part of its proportional share; the rest is for bursts and chance.
pub(super) const SLOW_START_HEADROOM: f64 = 0.7;

// ---- Candidates

/// Preferred endpoints inspected for a request, and as many fallbacks beyond them: a few random choices find the
/// emptier ones nearly as well as all do. A function with more than both is split into parts, each with its own.
pub(super) const PREFERRED_ENDPOINTS: usize = 4;
/// They are looked for among this many times as many workers: more where half of them may not be called.
pub(super) const INSPECTED_PER_PREFERRED: usize = 4;
/// Workers of a ranking that are inspected for preferred endpoints and fallbacks.
pub(super) const INSPECTED_ENDPOINTS: usize = 2 * PREFERRED_ENDPOINTS * INSPECTED_PER_PREFERRED;
/// Instances inspected for a request: those of all preferred endpoints and fallbacks, each repeated at most once.
pub(super) const MAX_WARM_CANDIDATES: usize = 4 * PREFERRED_ENDPOINTS;
/// Preferred endpoints of any function: with one, some workers would by chance get far more work than others.
pub(super) const MIN_PREFERRED: usize = 2;
/// A function gets so many preferred endpoints that each bears this part of a mean worker's load from it; half of
/// it where a wrong presumption costs a cold miss and not a load.
pub(super) const PREFERRED_LOAD_FRACTION: f64 = 0.5;
/// Instances that a router keeps pre-warmed at one worker at most.
pub(super) const MAX_PREWARMED_INSTANCES: i64 = 16;
