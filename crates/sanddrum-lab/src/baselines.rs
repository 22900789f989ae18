//! Baselines to compare the decision module with, through the same interface: common load-balancing policies, which use
//! less information, and an oracle, which sees the true state of the workers. Each accepts every request, loads missing
//! functions, and retries a request where that is safe, up to the limit of executions and the deadline; they differ
//! only in how they choose a worker.

use sanddrum::{
    AttemptLimits, Decisions, EventBatch, FunctionId, Micros, Outcome, Request, RequestId,
    Settings, WorkerId, WorkerState, WorkloadId, NO_SEND_DEADLINE,
};
use sanddrum_edge::DecisionModule;
use sanddrum_emulator::{GroundTruth, Shared};
use sanddrum_net::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// How a baseline chooses a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    Random,
    RoundRobin,
    /// The worker with the fewest of this router's requests in flight, relative to its size.
    Least,
    /// The less loaded of two random workers.
    TwoChoices,
    /// Consistent hashing with bounded loads: the next worker on the function's ring that is below its bound.
    BoundedHash,
    /// The worker that would finish first, by the true state of all workers.
    Oracle,
}

impl BaselineKind {
    pub fn of(name: &str) -> Option<BaselineKind> {
        Some(match name {
            "random" => BaselineKind::Random,
            "round-robin" => BaselineKind::RoundRobin,
            "least" => BaselineKind::Least,
            "two-choices" => BaselineKind::TwoChoices,
            "bounded-hash" => BaselineKind::BoundedHash,
            "oracle" => BaselineKind::Oracle,
            _ => return None,
        })
    }
}

/// The oracle uses only this fraction of the start target, since answers take time to arrive.
const TARGET_FRACTION: f64 = 0.95;
/// The bound of a worker's load, as a multiple of its fair share.
const LOAD_BOUND: f64 = 1.25;

struct PendingRequest {
    request: Request,
    executions: u32,
    may_have_run: bool,
}

/// A decision module with one of the simple policies.
pub struct Baseline {
    kind: BaselineKind,
    rng: Rng,
    truth: Shared<GroundTruth>,
    settings: Settings,
    sizes: BTreeMap<WorkerId, f64>,
    in_flight: BTreeMap<WorkerId, u32>,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait for a load, by worker and function.
    loading: BTreeMap<(WorkerId, FunctionId), Vec<RequestId>>,
    next_worker: usize,
}

impl Baseline {
    pub fn new(
        kind: BaselineKind,
        seed: u64,
        settings: Settings,
        truth: Shared<GroundTruth>,
    ) -> Self {
        Baseline {
            kind,
            rng: Rng::new(seed),
            truth,
            settings,
            sizes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            requests: BTreeMap::new(),
            loading: BTreeMap::new(),
            next_worker: 0,
        }
    }
    fn load(&self, worker: &WorkerId) -> f64 {
        let own = f64::from(self.in_flight.get(worker).copied().unwrap_or(0));
        own / self
            .sizes
            .get(worker)
            .copied()
            .unwrap_or(1.0)
            .max(f64::MIN_POSITIVE)
    }
    fn least_loaded(&self, among: impl Iterator<Item = WorkerId>) -> Option<WorkerId> {
        among.min_by(|a, b| self.load(a).total_cmp(&self.load(b)).then(a.cmp(b)))
    }
    fn choose(&mut self, now: Micros, request: &Request) -> Option<WorkerId> {
        let all: Vec<WorkerId> = self.sizes.keys().copied().collect();
        if all.is_empty() {
            return None;
        }
        match self.kind {
            BaselineKind::Random => all.get(self.rng.index(all.len())).copied(),
            BaselineKind::RoundRobin => {
                self.next_worker += 1;
                all.get(self.next_worker % all.len()).copied()
            }
            BaselineKind::Least => {
                // Break ties at random; otherwise all routers would choose the first worker.
                let from = self.rng.index(all.len());
                let rotated = all[from..].iter().chain(&all[..from]).copied();
                rotated.min_by(|a, b| self.load(a).total_cmp(&self.load(b)))
            }
            BaselineKind::TwoChoices => {
                let candidates = [self.rng.index(all.len()), self.rng.index(all.len())];
                self.least_loaded(candidates.into_iter().map(|n| all[n]))
            }
            BaselineKind::BoundedHash => {
                let ring = |worker: &WorkerId| sanddrum_wire::stable_id(&format!("{}", worker.0));
                let at = sanddrum_wire::stable_id(&format!("f{}", request.function.0));
                let mut ring_order: Vec<WorkerId> = all.clone();
                ring_order.sort_by_key(|worker| ring(worker).wrapping_sub(at));
                let sum: u32 = self.in_flight.values().sum();
                let bound = |w: &WorkerId| {
                    let fair_share = self.sizes[w] / self.sizes.values().sum::<f64>();
                    (f64::from(sum + 1) * fair_share * LOAD_BOUND)
                        .ceil()
                        .max(1.0)
                };
                let is_below_bound = |w: &&WorkerId| {
                    f64::from(self.in_flight.get(w).copied().unwrap_or(0)) < bound(w)
                };
                ring_order
                    .iter()
                    .find(is_below_bound)
                    .copied()
                    .or(ring_order.first().copied())
            }
            BaselineKind::Oracle => self.earliest_finish(now, request, &all),
        }
    }
    /// The worker that would finish first, by the true state of all workers, which includes the load of other routers.
    fn earliest_finish(
        &self,
        now: Micros,
        request: &Request,
        all: &[WorkerId],
    ) -> Option<WorkerId> {
        let truth = self.truth.borrow();
        let work = request.expected_work.unwrap_or(50_000) as f64;
        let load = request.load_time.unwrap_or(400_000) as f64;
        let finish_time = |worker: &WorkerId| -> Option<f64> {
            let w = truth
                .0
                .get(&worker.0)
                .filter(|w| w.is_serving && w.free_capacity > 0)?;
            let speed = w.core_speed.max(0.01);
            let queue = (w.backlog - work * (w.cores.max(1) - 1) as f64).max(0.0)
                / w.cores.max(1) as f64
                / speed;
            let f = w
                .functions
                .get(&request.function.0)
                .copied()
                .unwrap_or_default();
            let function_wait = match (f.concurrency, f.is_loading) {
                (0, true) => load * 0.6 + f64::from(f.in_flight) * work / speed,
                (0, false) => load,
                (concurrency, _) => f64::from(f.in_flight / concurrency) * work / speed,
            };
            Some(queue.max(function_wait) + work / speed)
        };
        let finish_times = all.iter().filter_map(|w| finish_time(w).map(|at| (at, *w)));
        // A request that would miss its start target has no value, and would only delay other requests.
        let target = self
            .settings
            .number(&format!("workloads.{}.start-target-us", request.workload.0));
        // A retry has already used part of the target: subtract the time that its client has waited.
        let time_limit = self
            .settings
            .number(&format!("workloads.{}.time-limit-us", request.workload.0));
        let elapsed = time_limit.map_or(0.0, |time_limit| {
            time_limit - (request.deadline - now) as f64
        });
        let target = target.unwrap_or(1e6) * TARGET_FRACTION - elapsed.max(0.0);
        finish_times
            .filter(|(at, _)| *at < target)
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, w)| w)
    }

    fn is_restartable(&self, workload: WorkloadId) -> bool {
        self.settings
            .text(&format!("workloads.{}.effect", workload.0))
            == Some("restartable")
    }
    fn dispatch_or_reject(&mut self, now: Micros, id: RequestId, out: &mut impl Decisions) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let (request, executions) = (pending.request, pending.executions);
        let max_executions = self.settings.number("limits.max-executions").unwrap_or(3.0) as u32;
        let chosen = if executions < max_executions && now < request.deadline {
            self.choose(now, &request)
        } else {
            None
        };
        match chosen {
            Some(worker) => self.dispatch(now, id, worker, out),
            None => self.reject_or_fail(id, out),
        }
    }
    fn dispatch(&mut self, now: Micros, id: RequestId, worker: WorkerId, out: &mut impl Decisions) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.executions += 1;
        *self.in_flight.entry(worker).or_default() += 1;
        if let Some(w) = self.truth.borrow_mut().0.get_mut(&worker.0) {
            w.in_flight += 1;
            w.free_capacity = w.free_capacity.saturating_sub(1);
            w.backlog += pending.request.expected_work.unwrap_or(0) as f64;
            w.functions
                .entry(pending.request.function.0)
                .or_default()
                .in_flight += 1;
        }
        let time_limit = pending.request.deadline - now;
        let limits = AttemptLimits::without_send_deadline(time_limit);
        out.dispatch(id, worker, limits);
    }
    fn reject_or_fail(&mut self, id: RequestId, out: &mut impl Decisions) {
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        if pending.may_have_run && !self.is_restartable(pending.request.workload) {
            out.fail(id);
        } else {
            out.reject(id, 200_000);
        }
    }
}

impl DecisionModule for Baseline {
    fn handle(&mut self, now: Micros, events: &EventBatch, out: &mut impl Decisions) {
        for list in &events.endpoint_lists {
            if list.kind != sanddrum::EndpointListKind::Delta {
                self.sizes.clear();
            }
            for row in &list.endpoints {
                match row.state {
                    WorkerState::Ready => drop(self.sizes.insert(row.worker, row.size)),
                    _ => drop(self.sizes.remove(&row.worker)),
                }
            }
        }
        let mut to_dispatch = BTreeSet::new();
        for result in &events.attempt_results {
            self.in_flight
                .entry(result.worker)
                .and_modify(|n| *n = n.saturating_sub(1));
            if result.is_final || result.outcome == Outcome::Finished {
                self.requests.remove(&result.request);
                continue;
            }
            let Some(pending) = self.requests.get_mut(&result.request) else {
                continue;
            };
            pending.may_have_run |= !matches!(
                result.outcome,
                Outcome::Rejected
                    | Outcome::NoConnection
                    | Outcome::ColdMiss
                    | Outcome::CancelledBeforeStart
            );
            match result.outcome {
                Outcome::ColdMiss => {
                    // Load the function there, then send the request again.
                    pending.executions -= 1;
                    let (key, id) = ((result.worker, pending.request.function), result.request);
                    let waiting = self.loading.entry(key).or_default();
                    if waiting.is_empty() {
                        out.load(key.0, key.1, 1, NO_SEND_DEADLINE);
                    }
                    waiting.push(id);
                }
                _ => drop(to_dispatch.insert(result.request)),
            }
        }
        for load in &events.load_results {
            let waiting = self
                .loading
                .remove(&(load.worker, load.function))
                .unwrap_or_default();
            for id in waiting {
                match load.outcome {
                    Outcome::Finished
                        if self
                            .requests
                            .get(&id)
                            .is_some_and(|pending| now < pending.request.deadline) =>
                    {
                        self.dispatch(now, id, load.worker, out)
                    }
                    _ => drop(to_dispatch.insert(id)),
                }
            }
        }
        self.requests.retain(|id, _| !events.cancelled.contains(id));
        for request in &events.requests {
            self.requests.insert(
                request.id,
                PendingRequest {
                    request: *request,
                    executions: 0,
                    may_have_run: false,
                },
            );
            to_dispatch.insert(request.id);
        }
        for id in to_dispatch {
            let must_fail = self.requests.get(&id).is_some_and(|pending| {
                pending.may_have_run && !self.is_restartable(pending.request.workload)
            });
            if must_fail {
                self.reject_or_fail(id, out);
            } else {
                self.dispatch_or_reject(now, id, out);
            }
        }
        // Requests that still wait for a load at their deadline are rejected, or fail.
        let expired: Vec<RequestId> = self
            .loading
            .values()
            .flatten()
            .filter(|id| {
                self.requests
                    .get(id)
                    .is_some_and(|pending| pending.request.deadline <= now)
            })
            .copied()
            .collect();
        expired
            .into_iter()
            .for_each(|id| self.reject_or_fail(id, out));
        let next = self
            .loading
            .values()
            .flatten()
            .filter_map(|id| self.requests.get(id))
            .map(|pending| pending.request.deadline)
            .min();
        if let Some(at) = next {
            out.wake_at(at);
        }
    }
}
