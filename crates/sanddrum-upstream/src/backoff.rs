//! How long what fails is left alone.

use sanddrum::Micros;

/// A wait that doubles from failure to failure, by chance up to half of it less, so that many who failed together do
/// not come back together.
#[derive(Clone, Debug)]
pub struct Backoff {
    least: Micros,
    most: Micros,
    wait: Micros,
    until: Micros,
}

impl Backoff {
    pub fn new(least: Micros, most: Micros) -> Self {
        Backoff {
            least,
            most: most.max(least),
            wait: 0,
            until: Micros::MIN,
        }
    }
    /// It failed after a while, which is the least that it is left alone for now. `part` is drawn, from nought to one.
    pub fn record_failure(&mut self, now: Micros, after: Micros, part: f64) -> Micros {
        self.wait = (self.wait * 2).max(after).clamp(self.least, self.most);
        self.until = now + (self.wait as f64 * (1.0 - part / 2.0)) as Micros;
        self.until
    }
    pub fn reset(&mut self) {
        (self.wait, self.until) = (0, Micros::MIN);
    }
    /// The last try failed.
    pub fn has_failed(&self) -> bool {
        self.wait > 0
    }
    pub fn is_backing_off(&self, now: Micros) -> bool {
        now < self.until
    }
}
