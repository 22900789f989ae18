//! All constants that decisions depend on, each with its reason. Most are relative to a setting.

use crate::Micros;

// ---- Defaults of settings that are absent and for which zero would make no sense

/// Latency objective of a workload.
pub(crate) const DEFAULT_LATENCY_OBJECTIVE: Micros = 1_000_000;
/// How long workers keep an idle instance.
pub(crate) const DEFAULT_KEEP_ALIVE: Micros = 8_000_000;
/// How long a worker can be overloaded before it collapses.
pub(crate) const DEFAULT_COLLAPSE_WINDOW: Micros = 2_000_000;
/// How often endpoint lists are polled.
pub(crate) const DEFAULT_ENDPOINT_POLL_INTERVAL: Micros = 10_000_000;

// ---- Readiness leases

/// A readiness lease lasts at least the notification delay divided by this: a shorter one would expire between two
/// attempts of a router with little traffic.
pub(super) const MIN_LEASE_DIVISOR: Micros = 2;

// ---- Intervals

/// The number of sweeps within the shortest latency objective of all workloads. A sweep reconsiders waiting requests
/// and updates the fleet medians.
pub(super) const SWEEPS_PER_OBJECTIVE: Micros = 20;
/// Queries and health checks time out after the shortest latency objective divided by this: workers answer them well
/// within that time, since they never wait for work.
pub(super) const CHECK_TIMEOUT_DIVISOR: Micros = 10;
/// The interval of health checks of an ejected worker grows up to this multiple of the first one.
pub(super) const MAX_CHECK_BACKOFF: u32 = 10;
/// The steps of opening a connection, each of which may take the connect timeout: the connect and its verification.
pub(super) const CONNECT_STEPS: Micros = 2;
/// A retry by idempotency key is prepared after the key window divided by this at the earliest: most attempts are answered
/// sooner, and need none.
pub(super) const KEY_WINDOW_PREPARATION_DIVISOR: Micros = 2;
/// Instances of a function are queried at most this often in one keep-alive, since they are loaded and unloaded no
/// faster.
pub(super) const QUERIES_PER_KEEP_ALIVE: Micros = 4;
/// An instance found by a query is trusted for the keep-alive divided by this: it may have been idle for a while.
pub(super) const QUERIED_INSTANCE_KEEP_ALIVE_DIVISOR: Micros = 2;
/// Instances are renewed after this fraction of their keep-alive.
pub(super) const RENEWAL_FRACTION: f64 = 0.8;
/// A failed subscription is retried within the poll interval of endpoint lists divided by this.
pub(super) const SUBSCRIBE_RETRIES_PER_POLL_INTERVAL: Micros = 4;
/// A function without requests for this many keep-alives is evicted.
pub(super) const EVICTION_KEEP_ALIVES: Micros = 4;

// ---- Observations

/// Initial estimate of a request's work as a fraction of the latency objective; a load is estimated at all of it.
pub(super) const INITIAL_WORK_FRACTION: f64 = 0.25;
/// Weight of the newest value in an exponentially weighted moving average: it covers about the last ten values.
pub(super) const EWMA_WEIGHT: f64 = 0.2;
/// An attempt is overdue once it has taken this many times its expected latency.
pub(super) const OVERDUE_FACTOR: f64 = 2.0;
/// Time constant with which the speed factor of a worker, or of loads, decays, so that a slow one is tried again.
pub(super) const SPEED_FACTOR_DECAY_US: f64 = 2e6;
/// Time constant with which a load report decays: with hundreds of routers, each receives a worker's report about
/// every ten seconds.
pub(super) const REPORT_DECAY_US: f64 = 1e7;
/// Upper bound of the speed factor observed in one answer: a long request in itself says little about its worker.
pub(super) const MAX_SPEED_FACTOR: f64 = 10.0;
/// A baseline is the lowest mean observed; it may rise with this time constant, in case the work changes.
pub(super) const BASELINE_RISE_US: f64 = 3e7;
/// The number of workers, those that reported last, over which medians are computed.
pub(super) const SAMPLED_REPORTS: usize = 128;

// ---- Congestion and overload

/// A worker is congested above this multiple of the fleet median speed factor.
pub(super) const SLOW_FACTOR: f64 = 2.5;
/// A worker is congested above this multiple of its own baseline: it then has more requests than cores, and an
/// instance for each of them.
pub(super) const CONGESTION_FACTOR: f64 = 2.0;
/// A worker is congested above this multiple of the median requests in flight, relative to its size.
pub(super) const EXCESS_IN_FLIGHT_FACTOR: f64 = 1.5;
/// Workers count as overloaded, and loads as congested, above this multiple of their baseline.
pub(super) const OVERLOAD_FACTOR: f64 = 1.5;
/// Workers also count as overloaded once more than this fraction of the median worker's requests is queued.
pub(super) const QUEUED_FRACTION_LIMIT: f64 = 0.4;
/// Loads count as congested above this number in progress at the median worker: few run at a time, the others queue.
pub(super) const CONGESTED_LOAD_COUNT: f64 = 2.0;
/// Overload is detected from at least this many reports, if there are as many: among fewer, one congested worker would
/// have too much influence.
pub(super) const MIN_REPORTS: f64 = 5.0;
/// Requests are assumed to be queued for cores above this fraction of busy cores.
pub(super) const BUSY_CORES_THRESHOLD: f64 = 0.95;

// ---- Admission, load shedding and concurrency limits

/// A request is predicted to be in time if this many times its expected time fits: latencies vary by about their mean.
pub(super) const IN_TIME_MARGIN: f64 = 2.0;
/// A late answer reduces the fraction of requests admitted under overload by this fraction of itself.
pub(super) const LATE_DECREASE: f64 = 0.1;
/// A rejected first attempt reduces it by this fraction of itself.
pub(super) const REJECTION_DECREASE: f64 = 2.0 * LATE_DECREASE;
/// An answer in time raises it by this much. With an increase relative to itself, many routers would not converge.
pub(super) const IN_TIME_INCREASE: f64 = LATE_DECREASE / 10.0;
/// An answer in time from a worker without a queue raises it by this much.
pub(super) const IDLE_INCREASE: f64 = 5.0 * IN_TIME_INCREASE;
/// The least fraction admitted, so that there are answers by which it can rise again.
pub(super) const MIN_ADMITTED_FRACTION: f64 = 0.01;
/// What an answer in time adds to the retry budget of rejected requests.
pub(super) const RETRY_CREDIT: f64 = 0.1;
/// What an answer in time adds to the query budget. A query that finds an instance adds the same amount, so that
/// queries do not outnumber the requests answered in time.
pub(super) const QUERY_CREDIT: f64 = 0.5;
/// Initial concurrency limit of a worker, summed over all routers.
pub(super) const INITIAL_CONCURRENCY_LIMIT: f64 = 24.0;
/// What a full concurrency limit of answers in time adds to it; less than one, since other routers raise theirs, too.
pub(super) const LIMIT_INCREASE: f64 = 0.25;
/// The concurrency limit of a worker is multiplied by this when the worker is congested, rejects a request or is too
/// slow for the latency objective.
pub(super) const LIMIT_DECREASE: f64 = 0.8;
/// Requests of below-average value per unit of work may use this fraction of a worker's concurrency limit.
pub(super) const LOW_VALUE_LIMIT_FRACTION: f64 = 0.6;
/// Upper bound of the failure score, each point of which doubles the backoff from a worker.
pub(super) const MAX_FAILURE_SCORE: u32 = 6;
/// The part of its proportional share of work that a worker receives while it warms up; the rest is headroom for
/// bursts and random variation.
pub(super) const SLOW_START_HEADROOM: f64 = 0.7;

// ---- Candidates

/// Preferred endpoints inspected for a request, and as many fallbacks: a few random choices find lightly loaded
/// workers nearly as well as inspecting all. A function that needs more than both is partitioned, each partition with
/// its own.
pub(super) const PREFERRED_ENDPOINTS: usize = 4;
/// Workers inspected to find one preferred endpoint or fallback: more than one, as the retry policy or slow start may
/// exclude some. Even if half of them are excluded, there are enough.
pub(super) const INSPECTED_PER_PREFERRED: usize = 4;
/// Workers of a ranking that are inspected to find preferred endpoints and fallbacks.
pub(super) const INSPECTED_ENDPOINTS: usize = 2 * PREFERRED_ENDPOINTS * INSPECTED_PER_PREFERRED;
/// Instances inspected for a request: those of all preferred endpoints and fallbacks, each listed at most twice.
pub(super) const MAX_WARM_CANDIDATES: usize = 4 * PREFERRED_ENDPOINTS;
/// The least number of preferred endpoints of a function: with only one, random variation would give some workers far
/// more work than others.
pub(super) const MIN_PREFERRED: usize = 2;
/// A function gets so many preferred endpoints that it adds no more than this fraction of the mean load of a worker to
/// each of them. Where a wrong presumption costs a cold miss instead of a load, the limit is half of this.
pub(super) const PREFERRED_LOAD_FRACTION: f64 = 0.5;
/// The most instances that a router keeps pre-warmed at one worker.
pub(super) const MAX_PREWARMED_INSTANCES: i64 = 16;
