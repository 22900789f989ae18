//! An estimate of one customer's request rate over the whole fleet.

use crate::quota_policy::REPORTS_EXPIRE_AFTER_WINDOWS;
use sanddrum::{Micros, WorkerId};
use std::collections::VecDeque;

/// The number of recent dispatches from which the number of workers is estimated.
const MAX_DISPATCHES: usize = 64;

/// One customer's request rate over the whole fleet, estimated by an edge from what workers report with the answers to
/// its own requests, however few those are.
///
/// A worker reports the rate there. The fleet's rate is the mean of these times the number of workers that the
/// customer's requests are spread over. That number is estimated as in capture-recapture: by how often two of the
/// edge's own requests went to the same worker. An edge with little traffic need not have sent a request to each.
#[derive(Clone, Debug, Default)]
pub struct FleetRateEstimate {
    dispatches: VecDeque<WorkerId>,
    /// Means of the reported rates, in requests a second.
    of_customer: f64,
    of_all: f64,
    /// The number of reports that the means are of, each weighted by its age.
    weight: f64,
    reported_at: Micros,
}

impl FleetRateEstimate {
    /// Records that a request of this customer was dispatched to a worker.
    pub fn record_dispatch(&mut self, worker: WorkerId) {
        if self.dispatches.len() == MAX_DISPATCHES {
            self.dispatches.pop_front();
        }
        self.dispatches.push_back(worker);
    }
    /// Records the rates at a worker, in requests a second, that were reported with an answer. The answered request
    /// itself is subtracted: the report is only seen because of it, so that the rate would be overestimated.
    pub fn record_report(&mut self, now: Micros, window: Micros, of_customer: f64, of_all: f64) {
        let one_per_window = 1e6 / window as f64;
        let decay = (-((now - self.reported_at).max(0) as f64) / window as f64).exp();
        let weight = self.weight * decay + 1.0;
        let updated = |mean: f64, sample: f64| mean + (sample - mean) / weight;
        self.of_customer = updated(self.of_customer, (of_customer - one_per_window).max(0.0));
        self.of_all = updated(self.of_all, (of_all - one_per_window).max(0.0));
        (self.weight, self.reported_at) = (weight, now);
    }
    fn is_fresh(&self, now: Micros, window: Micros) -> bool {
        self.weight > 0.0 && now < self.reported_at + REPORTS_EXPIRE_AFTER_WINDOWS * window
    }
    /// The estimated number of workers that the customer's requests are spread over.
    pub fn workers(&self) -> f64 {
        let mut workers: Vec<WorkerId> = self.dispatches.iter().copied().collect();
        workers.sort_unstable();
        let dispatches = workers.len() as f64;
        let coinciding_pairs: f64 = workers
            .chunk_by(|a, b| a == b)
            .map(|run| run.len() as f64 * (run.len() as f64 - 1.0))
            .sum();
        // Where no two coincide there are at least about as many workers as there are pairs.
        dispatches * (dispatches - 1.0).max(1.0) / coinciding_pairs.max(2.0)
    }
    /// The customer's requests a second over the whole fleet, if any were reported recently.
    pub fn fleet_rate(&self, now: Micros, window: Micros) -> Option<f64> {
        self.is_fresh(now, window)
            .then(|| self.of_customer * self.workers())
    }
    /// The customer's fraction of all requests at the workers that it uses, if any were reported recently.
    pub fn fleet_share(&self, now: Micros, window: Micros) -> Option<f64> {
        (self.is_fresh(now, window) && self.of_all > 0.0).then(|| self.of_customer / self.of_all)
    }
}
