//! Every decision is in this module and those below it. The host creates one [`Router`] for an instance and calls
//! [`Router::handle`] with each batch of events and a writer for the decisions; `state` has what is remembered.
//! All events of a batch are recorded first, endpoint lists before the rest; only then are requests placed.
//!
//! The ordinary path is warm-first: a request goes to the worker that is believed to have an instance with capacity and
//! has the fewest requests of this router in flight, local zone first; failing that, the function is loaded on the ready
//! worker with the fewest. Each departure is marked "Exception" below; docs/design.md states when it acts.

mod admission;
mod attempt_outcomes;
mod candidates;
mod cold_start;
pub(crate) mod constants;
mod dispatch;
mod endpoint_list;
mod estimates;
mod keep_alive;
mod load_budget;
mod load_results;
mod observations;
mod outlier_detection;
mod overload;
mod placement;
mod readiness_lease;
mod rejection;
mod retry_policy;
mod slow_start;
mod warm_first;
mod worker_view;

use crate::config::{Config, WorkloadConfig};
use crate::rendezvous::RendezvousTree;
use crate::state::{
    FleetMedians, FleetView, Functions, HintCalibration, LoadBudget, LoadTimes, PendingRequest,
    RunningMean, Timer, Worker,
};
use crate::statistics::hash_of;
use crate::{
    AnswerReason, Decisions, EndpointConfirmation, EventBatch, Micros, RequestId, Settings,
    WorkerId, WorkloadId,
};
use constants::{EVICTION_KEEP_ALIVES, MIN_PREFERRED, SWEEPS_PER_OBJECTIVE};
use std::collections::{BTreeMap, BTreeSet};

/// One router of the fleet: records events and decides where requests go.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    config: Config,
    seed: u64,
    /// Random draws made so far.
    random_draw_count: u64,
    /// The instant of the batch that is being handled.
    now: Micros,

    workers: BTreeMap<WorkerId, Worker>,
    /// Workers listed as ready, from which preferred endpoints are ranked.
    ready_workers: RendezvousTree,
    /// Listed workers, by when they reported.
    by_report_time: BTreeSet<(Micros, WorkerId)>,
    ejected_workers: BTreeSet<WorkerId>,
    /// As of the last sweep: for each request it would cost too much.
    fleet: FleetView,

    /// How recent the endpoint list is; none where the host does not state it.
    endpoint_confirmation: Option<EndpointConfirmation>,
    /// The dispatch of the newest attempt that any worker accepted.
    last_accepted_at: Micros,
    /// Workers' readiness leases that have ended are extended until then.
    leases_extended_until: Micros,

    functions: Functions,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests to be placed in this batch.
    unplaced: BTreeSet<RequestId>,
    /// Requests that wait for an instance or for capacity.
    waiting: BTreeSet<RequestId>,

    /// All timers but the sweep's.
    timers: BTreeSet<(Micros, Timer)>,
    next_sweep_at: Micros,
    /// The instant at which the host was last asked to call again.
    wake_at: Micros,

    /// The share of new requests that is admitted under overload.
    admitted_fraction: f64,

    /// Retries that rejected requests may still have under overload.
    retry_budget: f64,
    /// Queries for instances that may still be made.
    query_budget: f64,
    load_budget: LoadBudget,

    /// Work that arrives, in microseconds a microsecond, and when that was last updated.
    work_rate: f64,
    work_rate_at: Micros,
    /// Requests of late, decayed over a keep-alive, and when that was last updated.
    recent_requests: f64,
    recent_requests_at: Micros,
    /// The mean of requests' value for their work.
    mean_value: f64,
    /// The work of each workload's requests without congestion, in microseconds.
    workload_work: BTreeMap<WorkloadId, RunningMean>,
    hint_calibration: HintCalibration,

    load_times: LoadTimes,
}

impl Router {
    /// A router whose random draws follow from the seed.
    pub fn new(seed: u64, settings: &Settings) -> Self {
        let config = Config::read(settings);
        let mut router = Router {
            settings: settings.clone(),
            seed,
            fleet: FleetView {
                medians: FleetMedians {
                    speed_factor: 1.0,
                    congestion: 1.0,
                    ..FleetMedians::default()
                },
                ..FleetView::default()
            },
            load_times: LoadTimes {
                speed_factor: 1.0,
                ..LoadTimes::default()
            },
            admitted_fraction: 1.0,
            query_budget: MIN_PREFERRED as f64,
            config,
            ..Router::default()
        };
        // Where nothing comes by itself, a drain would never be heard of.
        if router.config.subscribes_to_endpoints {
            router.timers.insert((0, Timer::Subscribe));
        }
        router
    }

    /// Records a batch of events and writes the decisions that follow from it. `now` must not decrease.
    pub fn handle(&mut self, now: Micros, batch: &EventBatch, out: &mut impl Decisions) {
        self.now = now;
        self.record_events(batch);
        self.extend_leases();
        self.fire_timers(out);
        if now >= self.next_sweep_at {
            self.sweep();
        }
        while let Some(request) = self.unplaced.pop_first() {
            self.place_request(request, out);
        }
        if batch.shutting_down {
            let pending: Vec<_> = self.requests.keys().copied().collect();
            for id in pending {
                self.answer_now(id, AnswerReason::ShuttingDown, out);
            }
        }
        self.schedule_wake(out);
    }

    fn record_events(&mut self, batch: &EventBatch) {
        for list in &batch.endpoint_lists {
            self.record_endpoint_list(list);
        }
        if let Some(confirmation) = batch.endpoint_confirmation {
            self.record_confirmation(confirmation);
        }
        for request in &batch.requests {
            self.record_request(request);
        }
        for result in &batch.attempt_results {
            self.record_attempt_result(result);
        }
        for result in &batch.load_results {
            self.record_load_result(result);
        }
        for result in &batch.health_check_results {
            self.record_health_check_result(result);
        }
        for request in &batch.cancelled {
            self.forget_request(*request);
        }
    }

    fn fire_timers(&mut self, out: &mut impl Decisions) {
        while self.timers.first().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, timer)) = self.timers.pop_first() else {
                return;
            };
            match timer {
                Timer::Deadline(id) if self.requests.contains_key(&id) => {
                    out.explain(id, AnswerReason::DeadlinePassed);
                    out.fail(id);
                    self.forget_request(id);
                }
                Timer::Deadline(_) => {}
                Timer::WorkerOverdue(id) => self.check_overdue_worker(id, out),
                Timer::KeepAlive(id) => self.maintain_instances(id, out),
                Timer::Subscribe => out.subscribe(),
            }
        }
    }

    /// Updates what is too costly to compute for each request, and reconsiders the requests that wait.
    fn sweep(&mut self) {
        self.next_sweep_at = self.now + self.config.tightest_objective / SWEEPS_PER_OBJECTIVE;
        let idle_since = self.now - EVICTION_KEEP_ALIVES * self.config.keep_alive;
        self.functions.evict_idle(idle_since);
        self.unplaced.extend(&self.waiting);
        self.refresh_fleet_view();
    }

    fn schedule_wake(&mut self, out: &mut impl Decisions) {
        let sweep = (!self.waiting.is_empty()).then_some(self.next_sweep_at);
        let timer = self.timers.first().map(|(at, _)| *at);
        let Some(next) = timer.into_iter().chain(sweep).min() else {
            return;
        };
        let next = next.max(self.now + 1);
        if self.wake_at <= self.now || next < self.wake_at {
            self.wake_at = next;
            out.wake_at(next);
        }
    }

    fn workload(&self, id: WorkloadId) -> &WorkloadConfig {
        self.config.workload(id)
    }

    fn latency_objective(&self, id: WorkloadId) -> Micros {
        self.workload(id).latency_objective
    }

    /// The next random draw.
    fn random_draw(&mut self) -> u64 {
        self.random_draw_count += 1;
        hash_of((self.seed, self.random_draw_count))
    }
}
