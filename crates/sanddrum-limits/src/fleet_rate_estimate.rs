use crate::TOLD_HOLDS;
use sanddrum::{Micros, WorkerId};
use std::collections::VecDeque;

/// Sends that are remembered to tell over how many workers a customer's jobs go.
const SENDS: usize = 64;

/// What an edge sees of one customer's pace over the whole fleet, from what workers tell with the answers to its own
/// few jobs.
///
/// A worker tells the pace there. The whole is that pace times the number of workers that the jobs go over, and those
/// are found as one finds the size of a crowd from how often one meets the same face twice: by how often two of the own
/// jobs went to one worker. That needs no job of one's own at each worker, so it holds at edges with little traffic.
#[derive(Clone, Debug, Default)]
pub struct FleetRateEstimate {
    sends: VecDeque<WorkerId>,
    /// Means of what was told, and how much they rest on.
    of_customer: f64,
    of_all: f64,
    weight: f64,
    at: Micros,
}

impl FleetRateEstimate {
    pub fn record_dispatch(&mut self, worker: WorkerId) {
        if self.sends.len() == SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back(worker);
    }
    /// A job's answer told the paces at its worker. The job itself is left out: seen from one's own jobs, one always
    /// seems to send more than one does.
    pub fn record_report(&mut self, now: Micros, window: Micros, of_customer: f64, of_all: f64) {
        let one = 1e6 / window as f64;
        let faded = (-((now - self.at).max(0) as f64) / window as f64).exp();
        let weight = self.weight * faded + 1.0;
        let mean = |mean: f64, new: f64| mean + (new - mean) / weight;
        self.of_customer = mean(self.of_customer, (of_customer - one).max(0.0));
        self.of_all = mean(self.of_all, (of_all - one).max(0.0));
        (self.weight, self.at) = (weight, now);
    }
    fn is_fresh(&self, now: Micros, window: Micros) -> bool {
        self.weight > 0.0 && now < self.at + TOLD_HOLDS * window
    }
    /// RejectReason how many workers the jobs go.
    pub fn workers(&self) -> f64 {
        let mut sends: Vec<WorkerId> = self.sends.iter().copied().collect();
        sends.sort_unstable();
        let n = sends.len() as f64;
        let same = sends
            .chunk_by(|a, b| a == b)
            .map(|run| run.len() as f64 * (run.len() as f64 - 1.0));
        let met: f64 = same.sum();
        // Where no two ever met, there are at least about as many as pairs were tried.
        n * (n - 1.0).max(1.0) / met.max(2.0)
    }
    /// The customer's jobs a second over the whole fleet, if anything was told of late.
    pub fn fleet_rate(&self, now: Micros, window: Micros) -> Option<f64> {
        self.is_fresh(now, window)
            .then(|| self.of_customer * self.workers())
    }
    /// The customer's part of all jobs, where its jobs go.
    pub fn fleet_share(&self, now: Micros, window: Micros) -> Option<f64> {
        (self.is_fresh(now, window) && self.of_all > 0.0).then(|| self.of_customer / self.of_all)
    }
}
