//! Runs one scenario with several numbers of edges and the same seeds, and compares the service, and the load on the
//! discovery service and the workers in their worst seconds.

use crate::environment::product_edge;
use crate::plots::{write_line_chart, Series};
use crate::scenario::Scenario;
use crate::scenario_runner::Outcome;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The results for one number of edges; each triple is the mean, the minimum and the maximum over the seeds.
#[derive(Clone, Debug)]
pub struct FleetSizeResult {
    pub edges: usize,
    pub service: [f64; 3],
    /// The second from which at least 90 % of the calls were answered in time until the end of the run.
    pub recovered_at: [f64; 3],
    pub violations: usize,
    /// The highest load within one second, by the name of the load; for full snapshots the sum over the run.
    pub worst: Vec<(&'static str, [f64; 3])>,
    /// The fraction of the calls that were in time, by second.
    pub seconds: Vec<f64>,
}

struct SeedResult {
    service: f64,
    recovered_at: f64,
    violations: usize,
    worst: Vec<(&'static str, f64)>,
    seconds: Vec<f64>,
}

/// The reported loads: the name, the receiver, and the key of the value in the outcome.
const PEAK_LOADS: &[(&str, &str, &str)] = &[
    ("discovery calls", "list", "calls"),
    ("discovery bytes", "list", "bytes"),
    ("full snapshots", "list", "whole_lists"),
    ("handshakes", "worker", "handshakes"),
    ("probes", "worker", "probes"),
    ("asks", "worker", "asks"),
    ("orders", "worker", "orders"),
    ("misses", "worker", "misses"),
];
/// The fraction of calls in time from which service counts as recovered.
const RECOVERED_SERVICE: f64 = 0.9;

impl SeedResult {
    fn of(outcome: &Outcome) -> SeedResult {
        let seconds = outcome.verdict.seconds.iter();
        let seconds: Vec<f64> = seconds
            .map(|(begun, in_time)| f64::from(*in_time) / f64::from((*begun).max(1)))
            .collect();
        let low = seconds.iter().rposition(|part| *part < RECOVERED_SERVICE);
        let worst = PEAK_LOADS.iter().map(|(name, receiver, key)| {
            (
                *name,
                outcome.peak_load[receiver][key].as_f64().unwrap_or(0.0),
            )
        });
        SeedResult {
            service: outcome.verdict.service,
            recovered_at: low.map_or(0.0, |n| n as f64 + 1.0),
            violations: outcome.verdict.violations.len(),
            worst: worst.collect(),
            seconds,
        }
    }
}

/// The mean, the minimum and the maximum.
fn spread(values: impl Iterator<Item = f64> + Clone) -> [f64; 3] {
    let count = values.clone().count().max(1) as f64;
    let sum: f64 = values.clone().sum();
    [
        sum / count,
        values.clone().fold(f64::MAX, f64::min),
        values.fold(f64::MIN, f64::max),
    ]
}

/// Runs a scenario with each number of edges and with `seeds` seeds, on `threads` threads. `progress` is called with
/// the number of finished runs.
///
/// # Errors
/// A run could not be set up.
pub fn sizes(
    scenario: &Scenario,
    edges: &[usize],
    seeds: u64,
    threads: usize,
    progress: impl Fn(usize) + Sync,
) -> io::Result<Vec<FleetSizeResult>> {
    let all: Vec<(usize, u64)> = edges
        .iter()
        .flat_map(|n| (0..seeds).map(move |more| (*n, scenario.seed + more)))
        .collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let text = scenario.text.as_str();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                while let Some((n, seed)) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let run = Scenario::read("scenario", text, *seed).map_err(io::Error::other);
                    let run = run.and_then(|mut scenario| {
                        scenario.edges = *n;
                        crate::play_virtually(scenario, product_edge())
                    });
                    let Ok(mut done) = done.lock() else { return };
                    done.push((*n, *seed, run.map(|outcome| SeedResult::of(&outcome))));
                    progress(done.len());
                }
            });
        }
    });
    let mut done = done
        .into_inner()
        .map_err(|_| io::Error::other("a thread panicked"))?;
    done.sort_by_key(|(n, seed, _)| (*n, *seed));
    let mut runs = Vec::new();
    for (n, _, run) in done {
        runs.push((n, run?));
    }
    let of = |n: &usize| {
        let of: Vec<&SeedResult> = runs
            .iter()
            .filter(|(at, _)| at == n)
            .map(|(_, run)| run)
            .collect();
        let longest = of.iter().map(|run| run.seconds.len()).max().unwrap_or(0);
        let second =
            |at: usize| spread(of.iter().filter_map(|run| run.seconds.get(at).copied()))[0];
        FleetSizeResult {
            edges: *n,
            service: spread(of.iter().map(|run| run.service)),
            recovered_at: spread(of.iter().map(|run| run.recovered_at)),
            violations: of.iter().map(|run| run.violations).sum(),
            worst: (0..PEAK_LOADS.len())
                .map(|w| (PEAK_LOADS[w].0, spread(of.iter().map(|run| run.worst[w].1))))
                .collect(),
            seconds: (0..longest).map(second).collect(),
        }
    };
    Ok(edges.iter().map(of).collect())
}

/// Plots the service over time for each number of edges, and the peak loads over the number of edges.
///
/// # Errors
/// A file can't be written.
pub fn plot_sizes(folder: &Path, name: &str, all: &[FleetSizeResult]) -> Result<(), String> {
    let service = all.iter().map(|of| Series {
        name: format!("{} edges", of.edges),
        points: of
            .seconds
            .iter()
            .enumerate()
            .map(|(n, part)| (n as f64, *part))
            .collect(),
    });
    let file = folder.join(format!("{name}-service.svg"));
    write_line_chart(
        &file,
        "Service by second",
        ("second", "calls in time / calls started"),
        &service.collect::<Vec<_>>(),
    )?;
    let worst = |w: usize| Series {
        name: PEAK_LOADS[w].0.to_string(),
        points: all
            .iter()
            .map(|of| (of.edges as f64, of.worst[w].1[0]))
            .collect(),
    };
    // Bytes have another scale, and full snapshots are counted over the whole run.
    let plotted: Vec<Series> = (0..PEAK_LOADS.len())
        .filter(|w| ![1, 2].contains(w))
        .map(worst)
        .collect();
    let file = folder.join(format!("{name}-worst.svg"));
    write_line_chart(
        &file,
        "Worst second of the discovery service and of a worker",
        ("edges", "count in one second"),
        &plotted,
    )
}
