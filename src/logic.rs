//! All decisions are made in this module and its submodules. The host creates one [`Router`] per router of the fleet
//! and calls [`Router::handle`] with each batch of events and a writer for the decisions; `state` defines the data
//! retained between batches. All events of a batch are recorded first, endpoint lists before the rest; requests are
//! placed only afterwards.
//!
//! Placement is normally warm-first: a request goes to the worker that is believed to have an instance with free
//! capacity and has the fewest requests of this router in flight, local zone first. If there is none, the function is
//! loaded on the ready worker with the fewest requests in flight. Each deviation is marked "Exception" in the code;
//! docs/design.md states when it applies.

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
mod retry_preparation;
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
    AnswerReason, Decisions, EndpointConfirmation, EventBatch, Micros, Outcome, RequestId,
    Settings, WorkerId, WorkloadId,
};
use constants::{EVICTION_KEEP_ALIVES, MIN_PREFERRED, SWEEPS_PER_OBJECTIVE};
use std::collections::{BTreeMap, BTreeSet};

/// One router of the fleet: records events and decides where requests go.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    config: Config,
    seed: u64,
    /// Random numbers generated so far.
    random_count: u64,
    /// The time of the batch that is being handled.
    now: Micros,

    workers: BTreeMap<WorkerId, Worker>,
    /// Workers listed as ready; preferred endpoints are ranked among these.
    ready_workers: RendezvousTree,
    /// Listed workers, ordered by the time of their last load report.
    by_report_time: BTreeSet<(Micros, WorkerId)>,
    ejected_workers: BTreeSet<WorkerId>,
    /// State of the fleet as of the last sweep; recomputing it for each request would be too expensive.
    fleet: FleetView,

    /// How recent the endpoint list is; `None` if the host does not report it.
    endpoint_confirmation: Option<EndpointConfirmation>,
    /// The dispatch time of the newest attempt that any worker accepted.
    last_accepted_at: Micros,
    /// Workers' expired readiness leases are extended until this time.
    leases_extended_until: Micros,

    functions: Functions,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests to be placed in this batch.
    unplaced: BTreeSet<RequestId>,
    /// Requests that are waiting for an instance or for capacity.
    waiting: BTreeSet<RequestId>,

    /// All timers except that of the sweep.
    timers: BTreeSet<(Micros, Timer)>,
    next_sweep_at: Micros,
    /// The wake-up time last requested from the host.
    wake_at: Micros,

    /// The fraction of new requests that is admitted under overload.
    admitted_fraction: f64,

    /// Retries that are still allowed for rejected requests under overload.
    retry_budget: f64,
    /// Queries for loaded instances that are still allowed.
    query_budget: f64,
    load_budget: LoadBudget,

    /// Incoming work, in microseconds of work per microsecond, and when it was last updated.
    work_rate: f64,
    work_rate_at: Micros,
    /// The number of recent requests, decayed over one keep-alive, and when it was last updated.
    recent_requests: f64,
    recent_requests_at: Micros,
    /// The moving average of requests' value per unit of work.
    mean_value: f64,
    /// The uncongested work per request of each workload, in microseconds.
    workload_work: BTreeMap<WorkloadId, RunningMean>,
    hint_calibration: HintCalibration,

    load_times: LoadTimes,
}

impl Router {
    /// Creates a router whose random numbers are derived from the seed.
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
        // Endpoint lists are sent to subscribers only; without a subscription the router would miss every drain.
        if router.config.subscribes_to_endpoints {
            router.timers.insert((0, Timer::Subscribe));
        }
        router
    }

    /// Records a batch of events and writes the resulting decisions. `now` must not decrease.
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
                self.answer_unfinished(id, AnswerReason::ShuttingDown, out);
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
        for worker in &batch.lost_workers {
            self.record_lost_connection(*worker, Outcome::Reset);
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
                Timer::RetryPreparation(id) => self.prepare_retry(id, out),
                Timer::KeepAlive(id) => self.maintain_instances(id, out),
                Timer::Subscribe => out.subscribe(),
            }
        }
    }

    /// Updates state that is too expensive to compute for each request, and reconsiders waiting requests.
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

    /// Returns the next pseudo-random number.
    fn next_random(&mut self) -> u64 {
        self.random_count += 1;
        hash_of((self.seed, self.random_count))
    }
}
