//! Compares what cold workers received from all edges together with what the settings allow: N requests of mean work
//! within the window of the settings, plus what random variation explains.

use crate::recorder::Log;
use crate::scenario::Scenario;
use sanddrum_net::Micros;

/// Random variation explains an excess over N of this many times the square root of N, plus this many requests.
const DEVIATION_FACTOR: f64 = 2.0;
const DEVIATION_REQUESTS: f64 = 2.0;

/// The worst time window of a worker while it was cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    pub worker: usize,
    pub at: Micros,
    /// The requests, in units of mean work, that it received in the window that ends at `at`, and those allowed.
    pub received: f64,
    pub allowed: f64,
}

impl Window {
    /// What it received as a fraction of what is allowed plus random variation. Above one, the edges overloaded it.
    pub fn ratio(&self) -> f64 {
        self.received / (self.allowed + DEVIATION_FACTOR * self.allowed.sqrt() + DEVIATION_REQUESTS)
    }
}

/// The worst window of each start of a worker, in the order of the starts.
pub fn windows(log: &Log, scenario: &Scenario) -> Vec<Window> {
    let l = &scenario.settings;
    let (cold_time, initial_capacity) =
        (l.duration_us("rules.cold-us"), l.number("rules.cold-from"));
    let (multiple, window_length) = (
        l.number("rules.fall-multiple"),
        l.duration_us("rules.fall-us"),
    );
    let shares: f64 = scenario.calls.iter().map(|c| c.share).sum();
    let mean_work = scenario
        .calls
        .iter()
        .map(|c| c.share * c.mean_work as f64)
        .sum::<f64>()
        / shares.max(1e-9);
    let work_of = |workload: &str| {
        scenario
            .calls
            .iter()
            .find(|c| c.workload == workload)
            .map(|c| c.mean_work as f64)
    };
    let worst = |(worker, started): &(usize, Micros)| {
        let spec = scenario.worker(*worker, "", "", "");
        let capacity = spec.size();
        let is_cold = |at: &Micros| (*started..started + cold_time).contains(at);
        let runs = log
            .executions
            .iter()
            .filter(|run| run.worker == *worker && is_cold(&run.received_at));
        let mut arrivals: Vec<(Micros, f64)> = runs
            .filter_map(|run| Some((run.received_at, work_of(&run.workload)? / mean_work)))
            .collect();
        arrivals.sort_by_key(|(at, _)| *at);
        let mut worst = Window {
            worker: *worker,
            at: *started,
            received: 0.0,
            allowed: 0.0,
        };
        let (mut first, mut received) = (0, 0.0);
        for (at, requests) in &arrivals {
            received += requests;
            while arrivals[first].0 <= at - window_length {
                received -= arrivals[first].1;
                first += 1;
            }
            let capacity_fraction = initial_capacity
                + (1.0 - initial_capacity) * (at - started) as f64 / cold_time.max(1) as f64;
            let allowed =
                multiple * capacity_fraction * capacity * window_length as f64 / mean_work;
            let window = Window {
                worker: *worker,
                at: *at,
                received,
                allowed,
            };
            if window.ratio() > worst.ratio() {
                worst = window;
            }
        }
        worst
    };
    log.worker_starts.iter().map(worst).collect()
}
