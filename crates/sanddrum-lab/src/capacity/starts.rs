//! How soon calls begin.

use hdrhistogram::Histogram;
use sanddrum::Micros;

/// The longest time until a begin that is told apart, in microseconds.
const LONGEST: u64 = 3_600_000_000;

/// Calls of one kind, and those begun in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Begun {
    pub calls: u64,
    pub in_time: u64,
}

impl Begun {
    pub fn part(&self) -> f64 {
        self.in_time as f64 / self.calls.max(1) as f64
    }
}

/// Calls that came in a window, by whether their function is rare and whether they needed a load.
#[derive(Clone, Debug, Default)]
pub struct Starts {
    pub from: Micros,
    pub until: Micros,
    pub within: Micros,
    pub all: Begun,
    pub rare: Begun,
    /// It had a load begun, waited for one, or was held while one was ordered.
    pub cold: Begun,
    /// Neither.
    pub warm: Begun,
    /// Times until cold starts began, in microseconds; those that never did aren't in it.
    pub cold_after: Option<Histogram<u64>>,
}

impl Starts {
    /// Calls that come in this window count, and are in time if they begin so soon.
    pub fn new(from: Micros, until: Micros, within: Micros) -> Self {
        let (all, rare, cold, warm) = Default::default();
        // These bounds are ones that it can keep.
        let cold_after = Histogram::new_with_max(LONGEST, 3).ok();
        Starts {
            from,
            until,
            within,
            all,
            rare,
            cold,
            warm,
            cold_after,
        }
    }
    /// A call has its final answer: it began so long after it came, or never.
    pub(crate) fn call(&mut self, came: Micros, rare: bool, loads: bool, began: Option<Micros>) {
        if !(self.from..self.until).contains(&came) {
            return;
        }
        let in_time = u64::from(began.is_some_and(|after| after <= self.within));
        let count = |begun: &mut Begun| {
            (begun.calls, begun.in_time) = (begun.calls + 1, begun.in_time + in_time);
        };
        count(&mut self.all);
        count(if loads {
            &mut self.cold
        } else {
            &mut self.warm
        });
        if let (true, Some(after), Some(times)) = (loads, began, &mut self.cold_after) {
            times.saturating_record(after.max(0) as u64);
        }
        if rare {
            count(&mut self.rare);
        }
    }
}
