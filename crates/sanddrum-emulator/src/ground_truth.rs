//! What is true of the stand-in workers, for an oracle that sees it: an upper bound that no router can know.

use std::collections::BTreeMap;

/// A function at a worker as it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueFunction {
    /// Of its standing copies.
    pub lanes: u32,
    pub loading: bool,
    pub held: u32,
}

/// A worker as it is.
#[derive(Clone, Debug, Default)]
pub struct TrueWorker {
    pub cores: usize,
    /// The speed of a core now, with coldness and slowness in it.
    pub pace: f64,
    pub held: usize,
    /// Jobs that it takes before it is full.
    pub room: usize,
    /// Work that is left to do here, in microseconds of a core at full pace.
    pub backlog: f64,
    /// It answers what it is sent.
    pub serves: bool,
    /// Functions by their number.
    pub functions: BTreeMap<u64, TrueFunction>,
}

/// All workers by their number; those that are down are missing.
#[derive(Clone, Debug, Default)]
pub struct Truth(pub BTreeMap<u64, TrueWorker>);
