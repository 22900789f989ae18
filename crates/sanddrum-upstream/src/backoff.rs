//! Exponential backoff with jitter.

use sanddrum::Micros;

/// A delay that doubles with each consecutive failure. Up to half of it is random, so that attempts that failed at the
/// same time are not all retried at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Micros,
    max: Micros,
    /// The last delay before jitter; zero after a success.
    delay: Micros,
    until: Micros,
}

impl Backoff {
    /// A backoff without a failure; `max` is at least `min`.
    pub fn new(min: Micros, max: Micros) -> Self {
        Backoff {
            min,
            max: max.max(min),
            delay: 0,
            until: Micros::MIN,
        }
    }
    /// Records an attempt that failed after `elapsed`, and returns when to retry. Within the bounds the delay before
    /// jitter is at least `elapsed`: attempts that take long to fail would otherwise be made almost continuously.
    /// `jitter` is a random number in `[0, 1)`.
    pub fn record_failure(&mut self, now: Micros, elapsed: Micros, jitter: f64) -> Micros {
        self.delay = (self.delay * 2).max(elapsed).clamp(self.min, self.max);
        self.until = now + (self.delay as f64 * (1.0 - jitter / 2.0)) as Micros;
        self.until
    }
    /// Records a success.
    pub fn reset(&mut self) {
        (self.delay, self.until) = (0, Micros::MIN);
    }
    /// Whether the last attempt failed.
    pub fn has_failed(&self) -> bool {
        self.delay > 0
    }
    /// Whether the next attempt has to wait.
    pub fn is_backing_off(&self, now: Micros) -> bool {
        now < self.until
    }
}
