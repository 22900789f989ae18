//! Memory of a decision module and its costs of endpoint lists, measured by replaying recorded rounds.

use super::cpu_clock::ThreadCpuClock;
use super::decision_host::RecordedDecisions;
use super::router::{module_settings, single_router_fleet, Size};
use super::{Plan, Stop};
use sanddrum::{EndpointList, EndpointListKind, EventBatch, Micros, Router, Settings, WorkerState};
use std::time::{Duration, Instant};

/// Modules are created until the process has grown by `MIN_GROWTH_BYTES`, because memory that was freed before is
/// reused first. They are counted while it grows by further `MEASURED_GROWTH_BYTES`, up to `MAX_MODULES` in total.
const MIN_GROWTH_BYTES: f64 = (1 << 20) as f64;
const MEASURED_GROWTH_BYTES: f64 = (16 << 20) as f64;
const MAX_MODULES: usize = 2000;

/// This process's resident memory, in bytes.
fn resident_bytes() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: f64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as f64)
}

/// The memory of a decision module after these rounds, in bytes. Replays the rounds to several modules, which are all
/// kept, and divides the growth of the process by their number. `None` if the growth can't be measured within the time
/// limit.
pub(crate) fn module_memory(
    settings: &Settings,
    seed: u64,
    rounds: &[(Micros, EventBatch)],
    limit: Duration,
    stop: &Stop,
) -> Option<f64> {
    let deadline = Instant::now() + limit;
    let replay = || -> Option<Router> {
        let mut module = Router::new(seed, settings);
        let mut decisions = RecordedDecisions::default();
        for (now, round) in rounds {
            if stop.is_set() || Instant::now() >= deadline {
                return None;
            }
            module.handle(*now, round, &mut decisions);
            decisions.0.clear();
        }
        Some(module)
    };
    let (mut modules, mut baseline) = (Vec::new(), None);
    let before = resident_bytes()?;
    while modules.len() < MAX_MODULES {
        let Some(module) = replay() else { break };
        modules.push(module);
        let now = resident_bytes()?;
        if baseline.is_none() && now - before > MIN_GROWTH_BYTES {
            baseline = Some((modules.len(), now));
        }
        let enough = baseline.is_some_and(|(_, from)| now - from > MEASURED_GROWTH_BYTES);
        if enough {
            break;
        }
    }
    let (count, from) = baseline?;
    let since = modules.len() - count;
    (since > 0).then_some((resident_bytes()? - from) / since.max(1) as f64)
}

/// The costs of endpoint lists for a decision module.
pub(crate) struct ListCosts {
    pub full_list_us: f64,
    /// Processor time of a change of one worker.
    pub change_us: f64,
    pub change_bytes: f64,
}

/// Measures the costs of endpoint lists for a decision module after a keep-alive period with its usual requests.
/// `None` if the time limit is reached before that.
///
/// # Errors
/// A setting is rejected.
pub(crate) fn list_costs(
    plan: &Plan,
    size: &Size,
    changes: usize,
    stop: &Stop,
) -> Result<Option<ListCosts>, String> {
    let l = &plan.settings;
    let until = super::simulated::START_TIME + l.duration_us("copies.keep-alive-us");
    let settings = module_settings(plan, 0, size.routers, true)?;
    let mut fleet = single_router_fleet(plan, size, settings.clone(), true, until);
    fleet.rounds = Some(Vec::new());
    let limit = Duration::from_micros(l.duration_us("capacity.time-a-point-us").max(0) as u64);
    let deadline = Instant::now() + limit;
    fleet.run_until(until, deadline, stop);
    let rounds = fleet.rounds.take().unwrap_or_default();
    let Some(list) = rounds
        .iter()
        .find_map(|(_, round)| round.endpoint_lists.first().cloned())
    else {
        return Ok(None);
    };
    let mut module = Router::new(1, &settings);
    let (mut decisions, mut now) = (RecordedDecisions::default(), 0);
    for (at, round) in &rounds {
        if stop.is_set() || Instant::now() >= deadline + limit {
            return Ok(None);
        }
        module.handle(*at, round, &mut decisions);
        (now, decisions.0) = (*at, Vec::new());
    }
    let clock = ThreadCpuClock::new();
    let mut time = |lists: Vec<EndpointList>| {
        now += 1;
        let (round, mut decisions) = (
            EventBatch {
                endpoint_lists: lists,
                ..EventBatch::default()
            },
            RecordedDecisions::default(),
        );
        let start = ThreadCpuClock::now();
        module.handle(now, &round, &mut decisions);
        clock.elapsed_since(start) as f64 / 1e3
    };
    // The cost of an empty round is subtracted. Some rounds contain a sweep, so the median is used.
    let mut empty_round_us: Vec<f64> = (0..changes).map(|_| time(Vec::new())).collect();
    let empty_round_us = median(&mut empty_round_us);
    const FULL_LISTS: usize = 9;
    let mut samples: Vec<f64> = (0..FULL_LISTS).map(|_| time(vec![list.clone()])).collect();
    let full_list_us = median(&mut samples) - empty_round_us;
    let mut rows = list.endpoints.iter().cycle();
    let mut change = |state: WorkerState, row: sanddrum::Endpoint| {
        let rows = vec![sanddrum::Endpoint { state, ..row }];
        time(vec![EndpointList {
            kind: EndpointListKind::Delta,
            endpoints: rows,
        }])
    };
    // Draining, gone and ready again, like a worker that is replaced.
    let mut change_costs: Vec<f64> = Vec::new();
    for _ in 0..changes.div_ceil(3) {
        let Some(row) = rows.next().copied() else {
            break;
        };
        for state in [WorkerState::Draining, WorkerState::Gone, WorkerState::Ready] {
            change_costs.push(change(state, row) - empty_round_us);
        }
    }
    Ok(Some(ListCosts {
        full_list_us: full_list_us.max(0.0),
        change_us: (change_costs.iter().sum::<f64>() / change_costs.len().max(1) as f64).max(0.0),
        change_bytes: fleet.list_bytes(1) as f64,
    }))
}

fn median(figures: &mut [f64]) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
