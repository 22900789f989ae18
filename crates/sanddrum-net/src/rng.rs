use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Chance from a seed: equal seeds draw equal numbers on every machine.
#[derive(Clone, Debug)]
pub struct Chance(Pcg64Mcg);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Chance(Pcg64Mcg::seed_from_u64(seed))
    }
    pub fn draw(&mut self) -> u64 {
        self.0.next_u64()
    }
    /// From nought up to, but without, one.
    pub fn part(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// From nought up to, but without, `end`; nought where `end` is.
    pub fn below(&mut self, end: usize) -> usize {
        ((self.part() * end as f64) as usize).min(end.saturating_sub(1))
    }
    /// Exponentially distributed, as the gaps between calls that know nothing of each other.
    pub fn gap(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.part()).ln()
    }
    pub fn is_below(&mut self, part: f64) -> bool {
        self.part() < part
    }
}
