//! How soon calls begin.

use hdrhistogram::Histogram;
use sanddrum::Micros;

/// The longest time until a begin that is told apart, in microseconds.
const MAX_START_US: u64 = 3_600_000_000;

/// Calls of one kind, and those begun in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartCounts {
    pub requests: u64,
    pub in_time: u64,
}

impl StartCounts {
    pub fn fraction(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }
}

/// Calls that came in a window, by whether their function is rare and whether they needed a load.
#[derive(Clone, Debug, Default)]
pub struct StartStats {
    pub window_start: Micros,
    pub window_end: Micros,
    pub target: Micros,
    pub all: StartCounts,
    pub rare: StartCounts,
    /// It had a load begun, waited for one, or was held while one was ordered.
    pub cold: StartCounts,
    /// Neither.
    pub warm: StartCounts,
    /// Times until cold starts began, in microseconds; those that never did aren't in it.
    pub cold_start_times: Option<Histogram<u64>>,
}

impl StartStats {
    /// Calls that come in this window count, and are in time if they begin so soon.
    pub fn new(window_start: Micros, window_end: Micros, target: Micros) -> Self {
        let (all, rare, cold, warm) = Default::default();
        // These bounds are ones that it can keep.
        let cold_start_times = Histogram::new_with_max(MAX_START_US, 3).ok();
        StartStats {
            window_start,
            window_end,
            target,
            all,
            rare,
            cold,
            warm,
            cold_start_times,
        }
    }
    /// A call has its final answer: it began so long after it came, or never.
    pub(crate) fn record(
        &mut self,
        arrived: Micros,
        rare: bool,
        needed_load: bool,
        start_time: Option<Micros>,
    ) {
        if !(self.window_start..self.window_end).contains(&arrived) {
            return;
        }
        let in_time = u64::from(start_time.is_some_and(|after| after <= self.target));
        let count = |counts: &mut StartCounts| {
            (counts.requests, counts.in_time) = (counts.requests + 1, counts.in_time + in_time);
        };
        count(&mut self.all);
        count(if needed_load {
            &mut self.cold
        } else {
            &mut self.warm
        });
        if let (true, Some(after), Some(times)) =
            (needed_load, start_time, &mut self.cold_start_times)
        {
            times.saturating_record(after.max(0) as u64);
        }
        if rare {
            count(&mut self.rare);
        }
    }
}
