//! The actual state of the emulated workers, which no router can see. An oracle bases its decisions on it, which gives
//! an upper bound for what routers can achieve.

use std::collections::BTreeMap;

/// The actual state of a function on a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct FunctionGroundTruth {
    /// The total concurrency of its loaded instances.
    pub concurrency: u32,
    /// Whether a load is in progress.
    pub is_loading: bool,
    /// Requests that run or wait.
    pub in_flight: u32,
}

/// The actual state of a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerGroundTruth {
    /// The number of cores, each of which runs one request at a time.
    pub cores: usize,
    /// Work that a core currently does per microsecond, with warm-up and slowdown taken into account.
    pub core_speed: f64,
    /// Requests that run or wait.
    pub in_flight: usize,
    /// The number of further requests for which it has a core or space in its queue.
    pub free_capacity: usize,
    /// Work of all requests that run or wait, in microseconds of a standard core.
    pub backlog: f64,
    /// Whether it accepts and answers requests.
    pub is_serving: bool,
    /// Its functions, by the hash of their names.
    pub functions: BTreeMap<u64, FunctionGroundTruth>,
}

/// All workers, by the hash of their names. Workers that are down are missing.
#[derive(Clone, Debug, Default)]
pub struct GroundTruth(pub BTreeMap<u64, WorkerGroundTruth>);
