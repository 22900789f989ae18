//! How long what fails is left alone, and how often such things are tried in all.

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
        Backoff { least, most: most.max(least), wait: 0, until: Micros::MIN }
    }
    /// It failed after a while, which is the least that it is left alone for now. `part` is drawn, from nought to one.
    pub fn failed(&mut self, now: Micros, after: Micros, part: f64) -> Micros {
        self.wait = (self.wait * 2).max(after).clamp(self.least, self.most);
        self.until = now + (self.wait as f64 * (1.0 - part / 2.0)) as Micros;
        self.until
    }
    pub fn good(&mut self) {
        (self.wait, self.until) = (0, Micros::MIN);
    }
    /// The last try failed.
    pub fn is_doubtful(&self) -> bool {
        self.wait > 0
    }
    pub fn is_left_alone(&self, now: Micros) -> bool {
        now < self.until
    }
}

/// The budget of tries at what failed when it was last tried, shared by all who want something there: so many a second,
/// and a part of what goes well.
#[derive(Clone, Debug)]
pub struct Again {
    per_s: f64,
    left: f64,
    at: Micros,
}

/// Each connection that came to be earns this part of a further try.
const EARNED: f64 = 0.1;

impl Again {
    pub fn new(per_s: f64) -> Self {
        Again { per_s, left: per_s, at: Micros::MIN / 2 }
    }
    pub fn good(&mut self) {
        self.left = (self.left + EARNED).min(self.per_s.max(1.0));
    }
    /// A second's worth may be saved up.
    pub fn take(&mut self, now: Micros) -> bool {
        let earned = (now - self.at).max(0) as f64 / 1e6 * self.per_s;
        (self.left, self.at) = ((self.left + earned).min(self.per_s.max(1.0)), now);
        let has = self.left >= 1.0;
        if has {
            self.left -= 1.0;
        }
        has
    }
}
