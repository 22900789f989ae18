//! Memory and list costs of a decision module, from rounds that were played before.

use super::cpu_clock::ThreadCpuClock;
use super::decision_host::RecordedDecisions;
use super::router::{module_settings, single_router_fleet, Size};
use super::{Plan, Stop};
use sanddrum::{EndpointList, EndpointListKind, EventBatch, Micros, Router, Settings, WorkerState};
use std::time::{Duration, Instant};

/// Modules are made until the process has grown by the first, as what was freed before is taken first, and then by the
/// second; no more than so many.
const MIN_GROWTH_BYTES: f64 = (1 << 20) as f64;
const MEASURED_GROWTH_BYTES: f64 = (16 << 20) as f64;
const MAX_MODULES: usize = 2000;

/// This process's resident memory, in bytes.
fn resident_bytes() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: f64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as f64)
}

/// What a module takes after these rounds, in bytes: the same rounds are played to several, all kept, and what the
/// process grows by is shared among them. None where that takes too long to tell.
pub(crate) fn module_memory(
    settings: &Settings,
    seed: u64,
    rounds: &[(Micros, EventBatch)],
    limit: Duration,
    stop: &Stop,
) -> Option<f64> {
    let deadline = Instant::now() + limit;
    let one = || -> Option<Router> {
        let mut module = Router::new(seed, settings);
        let mut written = RecordedDecisions::default();
        for (now, round) in rounds {
            if stop.is_set() || Instant::now() >= deadline {
                return None;
            }
            module.handle(*now, round, &mut written);
            written.0.clear();
        }
        Some(module)
    };
    let (mut modules, mut grows_from) = (Vec::new(), None);
    let before = resident_bytes()?;
    while modules.len() < MAX_MODULES {
        let Some(module) = one() else { break };
        modules.push(module);
        let now = resident_bytes()?;
        if grows_from.is_none() && now - before > MIN_GROWTH_BYTES {
            grows_from = Some((modules.len(), now));
        }
        let enough = grows_from.is_some_and(|(_, from)| now - from > MEASURED_GROWTH_BYTES);
        if enough {
            break;
        }
    }
    let (made, from) = grows_from?;
    let since = modules.len() - made;
    (since > 0).then_some((resident_bytes()? - from) / since.max(1) as f64)
}

/// What lists cost a module.
pub(crate) struct ListCosts {
    pub full_list_us: f64,
    /// Of one worker.
    pub change_us: f64,
    pub change_bytes: f64,
}

/// What lists cost a module that has had its usual calls for a keep-alive; none where that takes too long to tell.
///
/// # Errors
/// A setting is refused.
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
    let (mut written, mut now) = (RecordedDecisions::default(), 0);
    for (at, round) in &rounds {
        if stop.is_set() || Instant::now() >= deadline + limit {
            return Ok(None);
        }
        module.handle(*at, round, &mut written);
        (now, written.0) = (*at, Vec::new());
    }
    let clock = ThreadCpuClock::new();
    let mut time = |lists: Vec<EndpointList>| {
        now += 1;
        let (round, mut written) = (
            EventBatch {
                endpoint_lists: lists,
                ..EventBatch::default()
            },
            RecordedDecisions::default(),
        );
        let began = ThreadCpuClock::now();
        module.handle(now, &round, &mut written);
        clock.elapsed_since(began) as f64 / 1e3
    };
    // A round's own cost isn't the list's; some of these rounds hold a sweep, which isn't either, so the middle counts.
    let mut empty_round_us: Vec<f64> = (0..changes).map(|_| time(Vec::new())).collect();
    let empty_round_us = median(&mut empty_round_us);
    const FULL_LISTS: usize = 9;
    let mut full_list_us_samples: Vec<f64> =
        (0..FULL_LISTS).map(|_| time(vec![list.clone()])).collect();
    let full_list_us_samples = median(&mut full_list_us_samples) - empty_round_us;
    let mut rows = list.endpoints.iter().cycle();
    let mut change = |state: WorkerState, row: sanddrum::Endpoint| {
        let rows = vec![sanddrum::Endpoint { state, ..row }];
        time(vec![EndpointList {
            kind: EndpointListKind::Delta,
            endpoints: rows,
        }])
    };
    // Draining, gone and back, as one that is replaced.
    let mut each: Vec<f64> = Vec::new();
    for _ in 0..changes.div_ceil(3) {
        let Some(row) = rows.next().copied() else {
            break;
        };
        for state in [WorkerState::Draining, WorkerState::Gone, WorkerState::Ready] {
            each.push(change(state, row) - empty_round_us);
        }
    }
    Ok(Some(ListCosts {
        full_list_us: full_list_us_samples.max(0.0),
        change_us: (each.iter().sum::<f64>() / each.len().max(1) as f64).max(0.0),
        change_bytes: fleet.list_bytes(1) as f64,
    }))
}

fn median(figures: &mut [f64]) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
