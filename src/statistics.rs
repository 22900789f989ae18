//! Numeric helpers of the decision module: medians, exponential decay and hashes used as random numbers.

use crate::{FunctionId, Micros, WorkerId};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The upper median of the values; 1.0 if there are none.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(1.0)
}

/// The value after it has decayed exponentially towards `resting` for `elapsed` microseconds.
pub(crate) fn decayed(value: f64, resting: f64, elapsed: Micros, time_constant_us: f64) -> f64 {
    resting + (value - resting) * (-(elapsed.max(0) as f64) / time_constant_us).exp()
}

/// A hash that breaks ties between workers, in a different order for each function.
pub(crate) fn tie_break(function: FunctionId, worker: WorkerId) -> u64 {
    hash_of((function, worker))
}

/// The hash of a value by the standard library's default hasher, which gives the same result in every process.
pub(crate) fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Maps a hash or random number to the interval from 0.0 to 1.0.
pub(crate) fn unit_interval(bits: u64) -> f64 {
    bits as f64 / u64::MAX as f64
}

/// Removes the instants up to and including `until` from the front of a queue.
pub(crate) fn remove_until(instants: &mut VecDeque<Micros>, until: Micros) {
    while instants.front().is_some_and(|at| *at <= until) {
        instants.pop_front();
    }
}
