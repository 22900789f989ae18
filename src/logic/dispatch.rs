//! Dispatches an attempt, or makes a request wait.

use super::constants::{IN_TIME_MARGIN, OVERDUE_FACTOR};
use super::Router;
use crate::state::{Attempt, AttemptStatus, InFlightAttempt, Timer};
use crate::{AnswerReason, AttemptLimits, Decisions, Micros, RequestId, WorkerId};

impl Router {
    /// Dispatches an attempt that is expected to take `expected_us` microseconds without congestion.
    pub(super) fn dispatch(
        &mut self,
        id: RequestId,
        worker_id: WorkerId,
        expected_us: f64,
        out: &mut impl Decisions,
    ) {
        let now = self.now;
        let worker = self.workers.get(&worker_id);
        let budget_us = worker.and_then(|worker| self.slow_start_budget(worker));
        let Some(send_deadline) = self.send_deadline_at(id, worker_id) else {
            return;
        };
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let request = pending.request;
        let Some(function) = self.functions.get_mut(request.function) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&worker_id) else {
            return;
        };
        function.waiting.remove(&id);
        self.waiting.remove(&id);
        let mut instance = function.instance(worker_id);
        instance.in_flight += 1;
        let slots = function.concurrency * instance.instances.max(1);
        self.functions
            .set_instance(request.function, worker_id, instance);
        worker.in_flight += 1;
        worker.slow_start_budget_us = budget_us.unwrap_or(0.0) - expected_us;
        worker.slow_start_budget_at = now;
        let overdue_after = OVERDUE_FACTOR * expected_us * worker.speed_factor_now(now);
        let overdue_at = now + overdue_after as Micros;
        worker.attempts.insert(InFlightAttempt {
            dispatched_at: now,
            overdue_at,
            request: id,
            attempt: pending.attempts.len(),
        });
        self.timers
            .insert((overdue_at, Timer::WorkerOverdue(worker_id)));
        let uses_retry_budget = pending.was_last_rejected();
        pending.attempts.push(Attempt {
            worker: worker_id,
            dispatched_at: now,
            status: AttemptStatus::InFlight,
            was_queued: instance.in_flight > slots,
        });
        let limits = AttemptLimits {
            time_limit: request.deadline - now,
            send_deadline,
        };
        out.dispatch(id, worker_id, limits);
        self.schedule_retry_preparation(id);
        if uses_retry_budget {
            self.retry_budget = (self.retry_budget - 1.0).max(0.0);
        }
    }

    /// Before when an attempt of a request must have been sent to a worker; `None` if the retry policy allows none.
    fn send_deadline_at(&self, id: RequestId, worker: WorkerId) -> Option<Micros> {
        let pending = self.requests.get(&id)?;
        let worker = self.workers.get(&worker)?;
        self.send_deadline(pending, worker)
    }

    /// Makes a request wait for an instance or for capacity.
    pub(super) fn wait(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if let Some(function) = self.functions.get_mut(pending.request.function) {
            function.waiting.insert(id);
            self.waiting.insert(id);
        }
    }

    /// Makes a request wait if it can still be in time; otherwise gives its final answer immediately.
    pub(super) fn wait_or_answer(&mut self, id: RequestId, out: &mut impl Decisions) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let request = &pending.request;
        let median_work_us = self.expected_work(request) * self.fleet.medians.speed_factor;
        let expected = (median_work_us * IN_TIME_MARGIN) as Micros;
        let objective_at = pending.arrived_at + self.latency_objective(request.workload);
        if self.now + expected < objective_at {
            return self.wait(id);
        }
        self.answer_unless_in_flight(id, AnswerReason::WaitTooLong, out);
    }
}
