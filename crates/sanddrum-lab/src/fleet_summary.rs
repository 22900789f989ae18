//! How the edges behaved as one: what reached workers for each finished job, whether dear work was turned away while
//! less dear work was served, and how far edges served apart. Read from the traffic, as the verdict is.

use crate::cold;
use crate::recorder::{ClientAttempt, Load, Log};
use crate::scenario::Scenario;
use sanddrum_net::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Edges with fewer calls than this tell little of how well they serve.
const FEW_CALLS: u32 = 50;

/// What reached workers from all edges, for each job that they finished.
pub fn amplification(log: &Log) -> Value {
    let finished = log
        .client_attempts
        .iter()
        .filter(|t| status(t) == Some(200))
        .count()
        .max(1) as f64;
    let each = |sum: u64| (sum as f64 / finished * 1e3).round() / 1e3;
    let of = |figure: fn(&Load) -> u64| each(log.sum(false, figure));
    json!({
        "executions": each(log.executions.len() as u64),
        "misses": of(|l| l.misses),
        "probes": of(|l| l.probes),
        "asks": of(|l| l.load_queries),
        "orders": of(|l| l.load_commands),
        "handshakes": of(|l| l.handshakes),
    })
}

fn status(t: &ClientAttempt) -> Option<u16> {
    t.answers.first().map(|(_, status)| *status)
}

/// A workload's work in one second: how much was turned away and how much was served, in microseconds.
#[derive(Clone, Copy, Default)]
struct Second {
    turned_away: f64,
    served: f64,
}

/// The importance that was turned away while less dear work was served in the same second, anywhere, over all that was
/// turned away: as much as would have fitted in its place.
pub fn inversions(log: &Log, scenario: &Scenario) -> f64 {
    let mut seconds: BTreeMap<Micros, Vec<Second>> = BTreeMap::new();
    for t in &log.client_attempts {
        let Some((at, status)) = t.answers.first() else {
            continue;
        };
        let Some(n) = scenario.calls.iter().position(|c| c.workload == t.workload) else {
            continue;
        };
        let second = seconds.entry(at / 1_000_000).or_default();
        second.resize(scenario.calls.len(), Second::default());
        let work = scenario.calls[n].mean_work as f64;
        match status {
            200 => second[n].served += work,
            503 => second[n].turned_away += work,
            _ => {}
        }
    }
    // What a microsecond of a workload's work earns.
    let earns =
        |n: &usize| scenario.calls[*n].importance / scenario.calls[*n].mean_work.max(1) as f64;
    let mut dearest: Vec<usize> = (0..scenario.calls.len()).collect();
    dearest.sort_by(|a, b| earns(b).total_cmp(&earns(a)));
    let (mut inverted, mut all) = (0.0, 0.0);
    for second in seconds.values() {
        let mut left: Vec<f64> = second.iter().map(|s| s.served).collect();
        for n in &dearest {
            let mut work = second[*n].turned_away;
            all += work * earns(n);
            for cheaper in dearest.iter().rev().filter(|other| earns(other) < earns(n)) {
                let fits = work.min(left[*cheaper]);
                left[*cheaper] -= fits;
                work -= fits;
                inverted += fits * earns(n);
            }
        }
    }
    inverted / f64::max(all, f64::MIN_POSITIVE)
}

/// The part of its calls, by their first try, that the worst and the best edge answered in time.
pub fn edge_service_range(log: &Log, scenario: &Scenario) -> (f64, f64) {
    let mut firsts: BTreeMap<u64, (&str, bool)> = BTreeMap::new();
    for t in &log.client_attempts {
        let target = scenario
            .calls
            .iter()
            .find(|c| c.workload == t.workload)
            .map_or(0, |c| c.start_target);
        let served = t
            .answers
            .first()
            .is_some_and(|(at, s)| *s == 200 && at - t.call_started_at <= target);
        firsts.entry(t.call).or_insert((&t.edge, false)).1 |= served;
    }
    let mut of: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for (edge, served) in firsts.into_values() {
        let sums = of.entry(edge).or_default();
        *sums = (sums.0 + 1, sums.1 + u32::from(served));
    }
    let parts = of.values().filter(|(calls, _)| *calls >= FEW_CALLS);
    let parts = parts.map(|(calls, served)| f64::from(*served) / f64::from(*calls));
    (parts.clone().fold(1.0, f64::min), parts.fold(0.0, f64::max))
}

/// All of it, as the summary's last line has it.
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
