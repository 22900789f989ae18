//! The random number generator of simulations and of their load generators.

use rand::{Rng as _, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A seeded random number generator: equal seeds give equal sequences on every machine.
#[derive(Clone, Debug)]
pub struct Rng(Pcg64Mcg);

impl Rng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Rng(Pcg64Mcg::seed_from_u64(seed))
    }
    /// Returns a uniformly distributed 64-bit number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }
    /// Returns a uniformly distributed number in `[0, 1)`.
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// Returns a uniformly distributed index below `end`, or zero if `end` is zero.
    pub fn index(&mut self, end: usize) -> usize {
        ((self.next_f64() * end as f64) as usize).min(end.saturating_sub(1))
    }
    /// Returns an exponentially distributed number with this mean, such as the time between independent arrivals.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.next_f64()).ln()
    }
    /// Returns true with this probability.
    pub fn random_bool(&mut self, probability: f64) -> bool {
        self.next_f64() < probability
    }
}
