use rand::{Rng as _, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Rng from a seed: equal seeds draw equal numbers on every machine.
#[derive(Clone, Debug)]
pub struct Rng(Pcg64Mcg);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(Pcg64Mcg::seed_from_u64(seed))
    }
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }
    /// From nought up to, but without, one.
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// From nought up to, but without, `end`; nought where `end` is.
    pub fn index(&mut self, end: usize) -> usize {
        ((self.next_f64() * end as f64) as usize).min(end.saturating_sub(1))
    }
    /// Exponentially distributed, as the gaps between calls that know nothing of each other.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.next_f64()).ln()
    }
    pub fn random_bool(&mut self, probability: f64) -> bool {
        self.next_f64() < probability
    }
}
