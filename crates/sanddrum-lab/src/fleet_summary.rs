//! Summarizes how the edges performed together: the load on workers for each finished request, whether important work
//! was rejected while less important work was served, and the range of service over the edges. Like the verdict, it is
//! computed from the traffic alone.

use crate::cold;
use crate::recorder::{ClientAttempt, Load, Log};
use crate::scenario::Scenario;
use sanddrum_net::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The service of edges with fewer calls than this is not significant, so they are left out.
const MIN_CALLS: u32 = 50;

/// The messages of each kind that all edges sent to workers, per request that finished.
pub fn amplification(log: &Log) -> Value {
    let finished = log
        .client_attempts
        .iter()
        .filter(|attempt| status(attempt) == Some(200))
        .count()
        .max(1) as f64;
    let each = |sum: u64| (sum as f64 / finished * 1e3).round() / 1e3;
    let of = |count: fn(&Load) -> u64| each(log.sum(false, count));
    json!({
        "executions": each(log.executions.len() as u64),
        "misses": of(|l| l.cold_misses),
        "probes": of(|l| l.health_checks),
        "asks": of(|l| l.load_queries),
        "orders": of(|l| l.load_commands),
        "handshakes": of(|l| l.handshakes),
    })
}

fn status(attempt: &ClientAttempt) -> Option<u16> {
    attempt.answers.first().map(|(_, status)| *status)
}

/// The rejected and the served work of one workload in one second, in microseconds.
#[derive(Clone, Copy, Default)]
struct Second {
    rejected: f64,
    served: f64,
}

/// The rejected importance that could have been served instead of less important work in the same second, at any edge,
/// as a fraction of all rejected importance.
pub fn inversions(log: &Log, scenario: &Scenario) -> f64 {
    let mut seconds: BTreeMap<Micros, Vec<Second>> = BTreeMap::new();
    for attempt in &log.client_attempts {
        let Some((at, status)) = attempt.answers.first() else {
            continue;
        };
        let Some(n) = scenario
            .calls
            .iter()
            .position(|c| c.workload == attempt.workload)
        else {
            continue;
        };
        let second = seconds.entry(at / 1_000_000).or_default();
        second.resize(scenario.calls.len(), Second::default());
        let work = scenario.calls[n].mean_work as f64;
        match status {
            200 => second[n].served += work,
            503 => second[n].rejected += work,
            _ => {}
        }
    }
    // The importance of a workload for each microsecond of its work.
    let value =
        |n: &usize| scenario.calls[*n].importance / scenario.calls[*n].mean_work.max(1) as f64;
    let mut by_value: Vec<usize> = (0..scenario.calls.len()).collect();
    by_value.sort_by(|a, b| value(b).total_cmp(&value(a)));
    let (mut inverted, mut total) = (0.0, 0.0);
    for second in seconds.values() {
        let mut available: Vec<f64> = second.iter().map(|s| s.served).collect();
        for n in &by_value {
            let mut work = second[*n].rejected;
            total += work * value(n);
            for lower in by_value
                .iter()
                .rev()
                .filter(|other| value(other) < value(n))
            {
                let fits = work.min(available[*lower]);
                available[*lower] -= fits;
                work -= fits;
                inverted += fits * value(n);
            }
        }
    }
    inverted / f64::max(total, f64::MIN_POSITIVE)
}

/// The fraction of the calls that the worst and the best edge answered in time; a call counts for the edge of its first
/// attempt.
pub fn edge_service_range(log: &Log, scenario: &Scenario) -> (f64, f64) {
    let mut first_attempts: BTreeMap<u64, (&str, bool)> = BTreeMap::new();
    for attempt in &log.client_attempts {
        let target = scenario
            .calls
            .iter()
            .find(|c| c.workload == attempt.workload)
            .map_or(0, |c| c.start_target);
        let served = attempt
            .answers
            .first()
            .is_some_and(|(at, s)| *s == 200 && at - attempt.call_started_at <= target);
        first_attempts
            .entry(attempt.call)
            .or_insert((&attempt.edge, false))
            .1 |= served;
    }
    let mut by_edge: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for (edge, served) in first_attempts.into_values() {
        let sums = by_edge.entry(edge).or_default();
        *sums = (sums.0 + 1, sums.1 + u32::from(served));
    }
    let fractions = by_edge.values().filter(|(calls, _)| *calls >= MIN_CALLS);
    let fractions = fractions.map(|(calls, served)| f64::from(*served) / f64::from(*calls));
    (
        fractions.clone().fold(1.0, f64::min),
        fractions.fold(0.0, f64::max),
    )
}

/// The whole fleet summary as JSON, as part of the summary of a run.
pub fn of(log: &Log, scenario: &Scenario) -> Value {
    let round = |part: f64| (part * 1e4).round() / 1e4;
    let (worst, best) = edge_service_range(log, scenario);
    let cold: Vec<f64> = cold::windows(log, scenario)
        .iter()
        .map(|window| round(window.ratio()))
        .collect();
    json!({
        "cold": cold,
        "for_each_finished": amplification(log),
        "inversions": round(inversions(log, scenario)),
        "edges": { "worst": round(worst), "best": round(best) },
    })
}
