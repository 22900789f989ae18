//! One scenario with ever more edges, on the same seeds: what comes of it, and what falls on the list service and the
//! workers in their worst seconds.

use crate::environment::product_edge;
use crate::plots::{lines, Line};
use crate::scenario::Scenario;
use crate::scenario_runner::Outcome;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// What came of one size, each figure as the mean, the least and the most over the seeds.
#[derive(Clone, Debug)]
pub struct FleetSizeResult {
    pub edges: usize,
    pub service: [f64; 3],
    /// The second from which on nine tenths of the calls are in time.
    pub recovered_at: [f64; 3],
    pub violations: usize,
    /// Named figures of worst seconds.
    pub worst: Vec<(&'static str, [f64; 3])>,
    /// Calls in time of calls begun, by second.
    pub seconds: Vec<f64>,
}

struct SeedResult {
    service: f64,
    recovered_at: f64,
    violations: usize,
    worst: Vec<(&'static str, f64)>,
    seconds: Vec<f64>,
}

/// What is told of the worst seconds: its name, whose it is, and its key there.
const WORST: &[(&str, &str, &str)] = &[
    ("list calls", "list", "calls"),
    ("list bytes", "list", "bytes"),
    ("whole lists", "list", "whole_lists"),
    ("handshakes", "worker", "handshakes"),
    ("probes", "worker", "probes"),
    ("asks", "worker", "asks"),
    ("orders", "worker", "orders"),
    ("misses", "worker", "misses"),
];
const NEARLY_ALL: f64 = 0.9;

impl SeedResult {
    fn of(outcome: &Outcome) -> SeedResult {
        let seconds = outcome.verdict.seconds.iter();
        let seconds: Vec<f64> = seconds
            .map(|(begun, in_time)| f64::from(*in_time) / f64::from((*begun).max(1)))
            .collect();
        let low = seconds.iter().rposition(|part| *part < NEARLY_ALL);
        let worst = WORST.iter().map(|(name, whose, key)| {
            (*name, outcome.peak_load[whose][key].as_f64().unwrap_or(0.0))
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

/// The mean, the least and the most.
fn spread(figures: impl Iterator<Item = f64> + Clone) -> [f64; 3] {
    let count = figures.clone().count().max(1) as f64;
    let sum: f64 = figures.clone().sum();
    [
        sum / count,
        figures.clone().fold(f64::MAX, f64::min),
        figures.fold(f64::MIN, f64::max),
    ]
}

/// Plays a scenario at each of these sizes on so many seeds.
///
/// # Errors
/// A run could not be set up.
pub fn sizes(
    scenario: &Scenario,
    edges: &[usize],
    seeds: u64,
    threads: usize,
    told: impl Fn(usize) + Sync,
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
                    told(done.len());
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
            worst: (0..WORST.len())
                .map(|w| (WORST[w].0, spread(of.iter().map(|run| run.worst[w].1))))
                .collect(),
            seconds: (0..longest).map(second).collect(),
        }
    };
    Ok(edges.iter().map(of).collect())
}

/// Draws service over time for each size, and the worst seconds against the size.
///
/// # Errors
/// A file can't be written.
pub fn plot_sizes(folder: &Path, name: &str, all: &[FleetSizeResult]) -> Result<(), String> {
    let service = all.iter().map(|of| Line {
        name: format!("{} edges", of.edges),
        points: of
            .seconds
            .iter()
            .enumerate()
            .map(|(n, part)| (n as f64, *part))
            .collect(),
    });
    let file = folder.join(format!("{name}-service.svg"));
    lines(
        &file,
        "Service by second",
        ("second", "calls in time of calls begun"),
        &service.collect::<Vec<_>>(),
    )?;
    let worst = |w: usize| Line {
        name: WORST[w].0.to_string(),
        points: all
            .iter()
            .map(|of| (of.edges as f64, of.worst[w].1[0]))
            .collect(),
    };
    // Bytes are of another size, and whole lists are counted over the day.
    let shown: Vec<Line> = (0..WORST.len())
        .filter(|w| ![1, 2].contains(w))
        .map(worst)
        .collect();
    let file = folder.join(format!("{name}-worst.svg"));
    lines(
        &file,
        "Worst second of the list service and of a worker",
        ("edges", "a second"),
        &shown,
    )
}
