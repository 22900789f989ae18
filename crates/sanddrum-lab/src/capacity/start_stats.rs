//! Counts the requests that start within a target time.

use hdrhistogram::Histogram;
use sanddrum::Micros;

/// The largest start time that the histogram distinguishes, in microseconds.
const MAX_START_US: u64 = 3_600_000_000;

/// The number of requests of one kind, and of those that started in time.
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

/// Start times of the requests that arrive in a window, by whether their function is rare and whether they needed a
/// load.
#[derive(Clone, Debug, Default)]
pub struct StartStats {
    pub window_start: Micros,
    pub window_end: Micros,
    pub target: Micros,
    pub all: StartCounts,
    pub rare: StartCounts,
    /// Requests that started a load, waited for one, or were held while a load command was sent.
    pub cold: StartCounts,
    /// All other requests.
    pub warm: StartCounts,
    /// Times from arrival to start of cold requests in microseconds, without those that never started.
    pub cold_start_times: Option<Histogram<u64>>,
}

impl StartStats {
    /// Counts requests that arrive in the window; they are in time if they start within `target` after their arrival.
    pub fn new(window_start: Micros, window_end: Micros, target: Micros) -> Self {
        let (all, rare, cold, warm) = Default::default();
        // Creation only fails for invalid bounds.
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
    /// Records a request with a final answer. `start_time` is the time from its arrival to its start, or `None` if it
    /// never started.
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
