//! Slow start: a restarted worker receives a growing fraction of the work while it warms up. All routers together must
//! not send it so much more work than its current capacity that it collapses (rule 4).

use super::constants::SLOW_START_HEADROOM;
use super::Router;
use crate::state::Worker;
use crate::statistics::{hash_of, unit_interval};
use crate::{Micros, RequestId, WorkerId};

impl Router {
    /// Whether a request fits the worker's slow-start budget. A budget that covers only part of its work admits it
    /// with a proportional probability; otherwise many routers would each save up for one request and dispatch it at
    /// the same time.
    pub(super) fn slow_start_admits(&self, to: &Worker, request: RequestId, work_us: f64) -> bool {
        let random = || unit_interval(hash_of((self.seed, to.endpoint.worker, request)));
        self.slow_start_budget(to)
            .is_none_or(|budget_us| budget_us > random() * work_us)
    }

    /// When a worker last started, by the endpoint list or by a presumed restart that the list does not cover yet.
    fn started_at(&self, worker: &Worker) -> Micros {
        let presumed = worker.presumed_restart_at;
        if presumed > self.endpoints_confirmed_at() {
            presumed.max(worker.endpoint.started_at)
        } else {
            worker.endpoint.started_at
        }
    }

    /// Presumes that a worker has restarted if it was lost and answers again while the endpoint list is too old to
    /// show a restart: it is then cold and has no instances. Otherwise a worker that returns while the discovery
    /// service is unavailable would be overloaded.
    pub(super) fn presume_restart(&mut self, id: WorkerId) {
        let is_overdue = self.are_endpoints_overdue();
        let confirmed_at = self.endpoints_confirmed_at();
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let lost_at = std::mem::take(&mut worker.lost_at);
        if !is_overdue || lost_at <= confirmed_at {
            return;
        }
        worker.presumed_restart_at = now;
        worker.slow_start_budget_us = 0.0;
        worker.slow_start_budget_at = now;
        self.functions.forget_instances(id);
    }

    /// Work, in microseconds, that may be dispatched to a worker now; `None` if it is warm. The budget accrues at a
    /// growing fraction of the worker's proportional share of the work that arrives at this router, and is capped at
    /// what accrues in one collapse window, so that all routers together stay near the worker's capacity.
    pub(super) fn slow_start_budget(&self, worker: &Worker) -> Option<f64> {
        let endpoint = &worker.endpoint;
        let started_at = self.started_at(worker);
        if started_at <= 0 || self.now >= self.config.warm_at(started_at) {
            return None;
        }
        let age = (self.now - started_at).max(0) as f64;
        let initial = self.config.slow_start_initial_fraction;
        let warm_fraction = initial + (1.0 - initial) * age / self.config.slow_start_window as f64;
        let fleet_fraction = endpoint.size / self.ready_workers.total_weight().max(endpoint.size);
        let rate = self.work_rate_now() * fleet_fraction * warm_fraction * SLOW_START_HEADROOM;
        let elapsed = (self.now - worker.slow_start_budget_at).max(0) as f64;
        let accrued = worker.slow_start_budget_us + rate * elapsed;
        Some(accrued.min(rate * self.config.collapse_window_us))
    }
}
