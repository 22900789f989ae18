//! What is true of the emulated workers, for an oracle that sees it: an upper bound that no router can know.

use std::collections::BTreeMap;

/// A function at a worker, as it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct FunctionTruth {
    /// Requests that its loaded instances run at a time, summed up.
    pub concurrency: u32,
    /// A load is under way.
    pub is_loading: bool,
    /// Requests that run or wait.
    pub in_flight: u32,
}

/// A worker, as it is.
#[derive(Clone, Debug, Default)]
pub struct WorkerTruth {
    /// Requests that it runs at a time.
    pub cores: usize,
    /// Work that a core does in a microsecond now, warm-up and slowdown included.
    pub core_speed: f64,
    /// Requests that run or wait.
    pub in_flight: usize,
    /// Requests that it accepts before it rejects one.
    pub free_capacity: usize,
    /// Work that is left to do, in microseconds of a standard core.
    pub backlog: f64,
    /// It answers what it is sent.
    pub is_serving: bool,
    /// Its functions, by the hash of their names.
    pub functions: BTreeMap<u64, FunctionTruth>,
}

/// All workers, by the hash of their names; those that are down are missing.
#[derive(Clone, Debug, Default)]
pub struct GroundTruth(pub BTreeMap<u64, WorkerTruth>);
