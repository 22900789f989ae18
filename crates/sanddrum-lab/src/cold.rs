//! What cold workers got from all edges together, against what the settings allow them: N jobs of mean work in the
//! settings' window, and beyond that only as much as chance brings.

use crate::recorder::Log;
use crate::scenario::Scenario;
use sanddrum_net::Micros;

/// Beyond N, so many roots of N and so many jobs are put down to chance.
const ROOTS: f64 = 2.0;
const JOBS: f64 = 2.0;

/// The worst window of a worker while it was cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    pub worker: usize,
    pub at: Micros,
    /// Jobs of mean work that it got within the window that ends then, and that the settings allow.
    pub got: f64,
    pub allowed: f64,
}

impl Window {
    /// What it got over all that is allowed and put down to chance; above one it fell by the edges' doing.
    pub fn part(&self) -> f64 {
        self.got / (self.allowed + ROOTS * self.allowed.sqrt() + JOBS)
    }
}

/// The worst window of each start of a worker, in the order of the starts.
pub fn windows(log: &Log, scenario: &Scenario) -> Vec<Window> {
    let l = &scenario.settings;
    let (cold, from) = (l.duration_us("rules.cold-us"), l.number("rules.cold-from"));
    let (multiple, fall) = (
        l.number("rules.fall-multiple"),
        l.duration_us("rules.fall-us"),
    );
    let shares: f64 = scenario.calls.iter().map(|c| c.share).sum();
    let mean = scenario
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
        let while_cold = |at: &Micros| (*started..started + cold).contains(at);
        let runs = log
            .executions
            .iter()
            .filter(|run| run.worker == *worker && while_cold(&run.received_at));
        let mut came: Vec<(Micros, f64)> = runs
            .filter_map(|run| Some((run.received_at, work_of(&run.workload)? / mean)))
            .collect();
        came.sort_by_key(|(at, _)| *at);
        let mut worst = Window {
            worker: *worker,
            at: *started,
            got: 0.0,
            allowed: 0.0,
        };
        let (mut first, mut got) = (0, 0.0);
        for (at, jobs) in &came {
            got += jobs;
            while came[first].0 <= at - fall {
                got -= came[first].1;
                first += 1;
            }
            let part = from + (1.0 - from) * (at - started) as f64 / cold.max(1) as f64;
            let allowed = multiple * part * capacity * fall as f64 / mean;
            let window = Window {
                worker: *worker,
                at: *at,
                got,
                allowed,
            };
            if window.part() > worst.part() {
                worst = window;
            }
        }
        worst
    };
    log.worker_starts.iter().map(worst).collect()
}
