//! Sums that the decision module works with; none of them knows what it is about.

use crate::{FunctionId, Micros, WorkerId};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The middle one; one where there is none.
pub(crate) fn middle(mut figures: Vec<f64>) -> f64 {
    figures.sort_unstable_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(1.0)
}

/// A figure that goes back to calm with time.
pub(crate) fn faded(figure: f64, calm: f64, passed: Micros, span: f64) -> f64 {
    calm + (figure - calm) * (-(passed.max(0) as f64) / span).exp()
}

pub(crate) fn tie(function: FunctionId, worker: WorkerId) -> u64 {
    hash_of((function, worker))
}

pub(crate) fn hash_of(what: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

/// Drops what is not later than this.
pub(crate) fn drop_until(times: &mut VecDeque<Micros>, until: Micros) {
    while times.front().is_some_and(|at| *at <= until) {
        times.pop_front();
    }
}
