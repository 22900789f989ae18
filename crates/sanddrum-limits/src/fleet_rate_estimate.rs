//! An estimate of one customer's request rate over the whole fleet.

use crate::quota_policy::REPORTS_EXPIRE_AFTER_WINDOWS;
use sanddrum::{Micros, WorkerId};
use std::collections::VecDeque;

/// The number of recent dispatches from which the number of workers is estimated.
const MAX_DISPATCHES: usize = 64;

/// One customer's request rate over the whole fleet, estimated by an edge from the reports that come with the answers
/// to its own requests, however few those are.
///
/// Each report states the customer's rate at that worker. The fleet rate is the mean of the reported rates times the
/// number of workers that the customer's requests are spread over. That number is estimated by capture-recapture, from
/// how often two of the edge's own requests went to the same worker, so an edge with little traffic need not have sent
/// a request to every worker.
#[derive(Clone, Debug, Default)]
pub struct FleetRateEstimate {
    dispatches: VecDeque<WorkerId>,
    /// Means of the reported rates, in requests per second.
    customer_rate: f64,
    total_rate: f64,
    /// The number of reports in the means, each weighted by its age.
    weight: f64,
    reported_at: Micros,
}

impl FleetRateEstimate {
    /// Records that a request from this customer was dispatched to a worker.
    pub fn record_dispatch(&mut self, worker: WorkerId) {
        if self.dispatches.len() == MAX_DISPATCHES {
            self.dispatches.pop_front();
        }
        self.dispatches.push_back(worker);
    }
    /// Records the rates, in requests per second, that a worker reported with an answer. The answered request itself is
    /// subtracted: every report comes with a request, which would bias the rate upwards.
    pub fn record_report(
        &mut self,
        now: Micros,
        window: Micros,
        customer_rate: f64,
        total_rate: f64,
    ) {
        let one_per_window = 1e6 / window as f64;
        let decay = (-((now - self.reported_at).max(0) as f64) / window as f64).exp();
        let weight = self.weight * decay + 1.0;
        let updated = |mean: f64, sample: f64| mean + (sample - mean) / weight;
        self.customer_rate = updated(
            self.customer_rate,
            (customer_rate - one_per_window).max(0.0),
        );
        self.total_rate = updated(self.total_rate, (total_rate - one_per_window).max(0.0));
        (self.weight, self.reported_at) = (weight, now);
    }
    fn has_recent_report(&self, now: Micros, window: Micros) -> bool {
        self.weight > 0.0 && now < self.reported_at + REPORTS_EXPIRE_AFTER_WINDOWS * window
    }
    /// The estimated number of workers that the customer's requests are spread over.
    pub fn estimated_workers(&self) -> f64 {
        let mut workers: Vec<WorkerId> = self.dispatches.iter().copied().collect();
        workers.sort_unstable();
        let dispatches = workers.len() as f64;
        let coinciding_pairs: f64 = workers
            .chunk_by(|a, b| a == b)
            .map(|run| run.len() as f64 * (run.len() as f64 - 1.0))
            .sum();
        // If no two requests went to the same worker, there are at least about as many workers as pairs of requests.
        dispatches * (dispatches - 1.0).max(1.0) / coinciding_pairs.max(2.0)
    }
    /// The customer's requests per second over the whole fleet, if a report is recent enough.
    pub fn fleet_rate(&self, now: Micros, window: Micros) -> Option<f64> {
        self.has_recent_report(now, window)
            .then(|| self.customer_rate * self.estimated_workers())
    }
    /// The customer's fraction of all requests at the workers that it uses, if a report is recent enough.
    pub fn fleet_share(&self, now: Micros, window: Micros) -> Option<f64> {
        (self.has_recent_report(now, window) && self.total_rate > 0.0)
            .then(|| self.customer_rate / self.total_rate)
    }
}
