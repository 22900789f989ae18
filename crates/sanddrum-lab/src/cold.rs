//! Compares the work that cold workers received from all edges together with the work that the settings allow: N
//! requests of mean work within the window that the settings give, plus an allowance for random variation.

use crate::recorder::Log;
use crate::scenario::Scenario;
use sanddrum_net::Micros;

/// The allowance for random variation: `DEVIATION_FACTOR` times the square root of N, plus `DEVIATION_REQUESTS`.
const DEVIATION_FACTOR: f64 = 2.0;
const DEVIATION_REQUESTS: f64 = 2.0;

/// The time window in which a cold worker received the most work compared with what was allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    pub worker: usize,
    pub at: Micros,
    /// The work that it received in the window that ends at `at`, in requests of mean work.
    pub received: f64,
    /// The work that was allowed in this window, in requests of mean work.
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
        let executions = log
            .executions
            .iter()
            .filter(|execution| execution.worker == *worker && is_cold(&execution.received_at));
        let mut arrivals: Vec<(Micros, f64)> = executions
            .filter_map(|execution| {
                Some((
                    execution.received_at,
                    work_of(&execution.workload)? / mean_work,
                ))
            })
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
