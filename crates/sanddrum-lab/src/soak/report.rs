//! The result of a soak run: what was violated, which faults were injected and what became of the requests.

use super::checker::{count_abandoned, Violation};
use super::environment::Environment;
use super::fault_plan::PlannedFault;
use super::observations::Observations;
use crate::faults::Word;
use sanddrum_net::Micros;
use serde_json::json;
use std::collections::BTreeMap;
use std::io;

/// The kinds of failures that the preloaded library counts, and their names in the report.
const LIBRARY_FAULTS: [(Word, &str); 8] = [
    (Word::WallReadsStepped, "wall-reads-stepped"),
    (Word::AcceptsFailed, "accepts-failed"),
    (Word::SocketsFailed, "sockets-failed"),
    (Word::ConnectsFailed, "connects-failed"),
    (Word::ReceivesFailed, "receives-failed"),
    (Word::SendsFailed, "sends-failed"),
    (Word::WaitsInterrupted, "waits-interrupted"),
    (Word::ControlsFailed, "controls-failed"),
];

/// The result of a soak run.
#[derive(Debug)]
pub struct SoakReport {
    pub seed: u64,
    pub violations: Vec<Violation>,
    /// How often each kind of planned fault occurred; `troubles` in the JSON report.
    pub fault_counts: BTreeMap<&'static str, u64>,
    /// How often the preloaded library injected each kind of fault; `faults` in the JSON report.
    pub library_fault_counts: BTreeMap<&'static str, u64>,
    /// Planned kinds of fault that never occurred.
    pub missing: Vec<&'static str>,
    pub counts: BTreeMap<&'static str, u64>,
    /// For how long the lab's own event loop was late, in total.
    pub lab_late_ms: i64,
}

impl SoakReport {
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.missing.is_empty()
    }
    /// Returns the last line of the report: the seed and the first violated rule.
    pub fn verdict(&self) -> String {
        let seed = self.seed;
        match (self.violations.first(), self.missing.first()) {
            (Some(first), _) => {
                format!(
                    "seed {seed}: {} violated, {} violations in total",
                    first.rule.name(),
                    self.violations.len()
                )
            }
            (None, Some(missing)) => {
                format!("seed {seed}: not passed, because {missing} never occurred")
            }
            (None, None) => format!("seed {seed}: every rule kept"),
        }
    }
    pub fn json(&self) -> serde_json::Value {
        let violations: Vec<String> = self.violations.iter().map(ToString::to_string).collect();
        json!({"seed": self.seed, "good": self.passed(), "breaks": violations, "troubles": self.fault_counts,
               "faults": self.library_fault_counts, "missing": self.missing, "counts": self.counts,
               "lab_late_ms": self.lab_late_ms})
    }
}

/// Builds the report of a run.
///
/// # Errors
/// A fault control block can't be read.
pub(super) fn report(
    seed: u64,
    environment: &Environment,
    planned: &[PlannedFault],
    observations: &Observations,
    violations: Vec<Violation>,
) -> io::Result<SoakReport> {
    let library_fault_counts = count_library_faults(environment)?;
    let missing = missing_faults(environment, planned, &library_fault_counts);
    let mut counts = count_observations(observations);
    counts.insert(
        "troubles-hidden-by-outages",
        environment.hidden_fault_counts.values().sum(),
    );
    Ok(SoakReport {
        seed,
        violations,
        fault_counts: environment.fault_counts.clone(),
        library_fault_counts,
        missing,
        counts,
        lab_late_ms: lab_delay(observations) / 1000,
    })
}

fn count_library_faults(environment: &Environment) -> io::Result<BTreeMap<&'static str, u64>> {
    let mut counts = BTreeMap::new();
    for (word, name) in LIBRARY_FAULTS {
        let routers = environment.routers.iter();
        let all: io::Result<Vec<u64>> = routers
            .map(|router| router.fault_control.get(word))
            .collect();
        counts.insert(name, all?.iter().sum());
    }
    Ok(counts)
}

/// Returns the planned kinds of fault that never occurred.
fn missing_faults(
    environment: &Environment,
    planned: &[PlannedFault],
    library_fault_counts: &BTreeMap<&'static str, u64>,
) -> Vec<&'static str> {
    let has_occurred = |name: &&'static str| {
        let count = environment.fault_counts.get(name).copied();
        count.unwrap_or(0) > 0 || environment.hidden_fault_counts.contains_key(name)
    };
    let names = planned.iter().map(|planned| planned.fault.name());
    let mut missing: Vec<&'static str> = names.filter(|name| !has_occurred(name)).collect();
    let is_planned = |name: &str| planned.iter().any(|planned| planned.fault.name() == name);
    let failed_calls =
        library_fault_counts["receives-failed"] + library_fault_counts["sends-failed"];
    if is_planned("failing-calls") && failed_calls == 0 {
        missing.push("failing-calls");
    }
    let steps_clocks = is_planned("step-all-clocks") || is_planned("step-some-clocks");
    if steps_clocks && library_fault_counts["wall-reads-stepped"] == 0 {
        missing.push("wall-reads-stepped");
    }
    missing
}

fn count_observations(observations: &Observations) -> BTreeMap<&'static str, u64> {
    let with_status = |predicate: fn(u16) -> bool| {
        let requests = observations.requests.values();
        let responses = requests.filter_map(|request| request.responses.first());
        responses
            .filter(|response| predicate(response.status))
            .count() as u64
    };
    let starts = observations.starts.iter();
    let server_starts = starts.filter(|start| !start.before_run).count() as u64;
    let router_starts: usize = observations.incarnations.values().map(Vec::len).sum();
    let mut counts = BTreeMap::from([
        ("requests", observations.requests.len() as u64),
        ("attempts", observations.attempts.len() as u64),
        ("served", with_status(|status| status == 200)),
        ("refused", with_status(|status| matches!(status, 429 | 503))),
        (
            "failed",
            with_status(|status| !matches!(status, 200 | 429 | 503)),
        ),
        ("client-connections", observations.connections_by_clients),
        ("server-connections", observations.connections_to_servers),
        ("probes", observations.probes),
        ("flooding-attempts", observations.flooding_attempts),
        ("median-response-us", median_response_time(observations)),
        ("bad-clients", observations.malformed_requests),
        ("server-starts", server_starts),
        ("router-starts", router_starts as u64),
    ]);
    let abandoned = count_abandoned(observations).into_iter();
    counts.extend(abandoned.map(|(kind, count)| (kind, count as u64)));
    counts
}

fn lab_delay(observations: &Observations) -> Micros {
    let delays = observations.lab_delays.iter();
    delays.map(|span| span.to - span.from).sum()
}

/// Returns the median time in microseconds from the sending of a request to its response with a result.
fn median_response_time(observations: &Observations) -> u64 {
    let requests = observations.requests.values();
    let served = requests.filter_map(|request| {
        let response = request.responses.first()?;
        (response.status == 200).then(|| (response.at - request.sent) as u64)
    });
    let mut times: Vec<u64> = served.collect();
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}
