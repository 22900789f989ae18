//! Records requests and the outcomes of attempts and health checks, and adjusts admission and budgets accordingly.

use super::constants::{
    EWMA_WEIGHT, IDLE_INCREASE, INITIAL_WORK_FRACTION, IN_TIME_INCREASE, LATE_DECREASE,
    MIN_ADMITTED_FRACTION, MIN_PREFERRED, QUERY_CREDIT, REJECTION_DECREASE, REPORT_DECAY_US,
    RETRY_CREDIT,
};
use super::Router;
use crate::state::{AttemptStatus, Function, PendingRequest, Timer};
use crate::statistics::decayed;
use crate::{
    AttemptResult, HealthCheckResult, Micros, Outcome, Request, RequestId, Warmth, WorkerId,
};

/// The result of an attempt as far as it matters for admission.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Timeliness {
    /// The attempt succeeded within the latency objective.
    InTime,
    /// The attempt ended after the latency objective.
    Late,
    /// The attempt failed within the latency objective.
    Failed,
}

impl Router {
    /// Records a new request and schedules its placement.
    pub(super) fn record_request(&mut self, request: &Request) {
        self.record_function_request(request);
        let pending = PendingRequest {
            request: *request,
            arrived_at: self.now,
            attempts: Vec::new(),
            retry_preparation_at: None,
        };
        self.requests.insert(request.id, pending);
        self.timers
            .insert((request.deadline, Timer::Deadline(request.id)));
        self.unplaced.insert(request.id);
        self.count_request_for_load_budget();
        let added_rate = self.expected_work(request) / self.config.collapse_window_us;
        self.work_rate = self.work_rate_now() + added_rate;
        self.work_rate_at = self.now;
        let value = self.value_per_work(request);
        self.mean_value += EWMA_WEIGHT / 10.0 * (value - self.mean_value);
    }

    /// Updates the function, and the request rates, for a new request.
    fn record_function_request(&mut self, request: &Request) {
        let now = self.now;
        let keep_alive_us = self.config.keep_alive as f64;
        let objective_us = self.latency_objective(request.workload) as f64;
        let usual_load_us = if self.load_times.usual_us > 0.0 {
            self.load_times.usual_us
        } else {
            objective_us
        };
        let function = self.functions.record_request(request.function, now, || {
            self.timers
                .insert((now, Timer::KeepAlive(request.function)));
            Function::new(objective_us * INITIAL_WORK_FRACTION, usual_load_us)
        });
        function.concurrency = (request.concurrency as u32).max(1);
        if let Some(announced) = request.load_time {
            function.load_us = announced as f64;
        }
        let elapsed = now - function.last_request_at;
        function.recent_requests =
            1.0 + decayed(function.recent_requests, 0.0, elapsed, keep_alive_us);
        function.last_request_at = now;
        let elapsed = now - self.recent_requests_at;
        self.recent_requests = 1.0 + decayed(self.recent_requests, 0.0, elapsed, keep_alive_us);
        self.recent_requests_at = now;
    }

    /// Records the outcome of an attempt. Its request, unless it has its final answer, and those waiting for the
    /// function are then placed again.
    pub(super) fn record_attempt_result(&mut self, result: &AttemptResult) {
        self.record_result_at_worker(result);
        let Some(pending) = self.requests.get_mut(&result.request) else {
            return;
        };
        let request = pending.request;
        let arrived_at = pending.arrived_at;
        let attempt = pending.attempts.get_mut(result.attempt);
        let Some(attempt) = attempt.filter(|a| a.is_in_flight()) else {
            return;
        };
        attempt.status = AttemptStatus::Ended(result.outcome);
        let attempt = *attempt;
        self.learn_from_result(&request, result, &attempt);
        let timeliness = if self.now > arrived_at + self.latency_objective(request.workload) {
            Timeliness::Late
        } else if result.outcome == Outcome::Finished {
            Timeliness::InTime
        } else {
            Timeliness::Failed
        };
        self.adjust_admission(result, timeliness);
        self.credit_budgets(timeliness);
        if result.is_final {
            self.forget_request(result.request);
        } else {
            self.unplaced.insert(result.request);
        }
        if let Some(function) = self.functions.get(request.function) {
            self.unplaced.extend(&function.waiting);
        }
    }

    /// Updates the worker after an attempt ended: requests in flight, readiness, load report and reachability.
    fn record_result_at_worker(&mut self, result: &AttemptResult) {
        let now = self.now;
        let id = result.worker;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let mut attempts = worker.attempts.iter();
        let entry = attempts
            .find(|a| (a.request, a.attempt) == (result.request, result.attempt))
            .copied();
        if let Some(entry) = entry {
            worker.attempts.remove(&entry);
            worker.in_flight = worker.in_flight.saturating_sub(1);
            if result.outcome == Outcome::Rejected {
                worker.congested_until = now + REPORT_DECAY_US as Micros;
            }
            self.record_readiness(id, &entry, result.outcome);
        }
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        if let Some(report) = result.report {
            if self.by_report_time.remove(&(worker.reported_at, id)) {
                self.by_report_time.insert((now, id));
            }
            worker.report = report;
            worker.reported_at = now;
        }
        match result.outcome {
            Outcome::Finished | Outcome::Error | Outcome::Rejected | Outcome::ColdMiss => {
                worker.record_response(now);
                self.presume_restart(id);
            }
            Outcome::Reset | Outcome::NoConnection => {
                self.record_lost_connection(id, result.outcome);
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::CancelledBeforeStart => {}
        }
    }

    /// Ejects a worker to which a connection was lost or could not be opened.
    pub(super) fn record_lost_connection(&mut self, id: WorkerId, outcome: Outcome) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.is_ejected = true;
        worker.lost_at = now;
        worker.unanswered_checks = worker.unanswered_checks.max(1);
        self.ejected_workers.insert(id);
        self.timers.insert((now, Timer::WorkerOverdue(id)));
        if outcome == Outcome::Reset {
            self.functions.forget_instances(id);
        }
    }

    /// Adjusts the fraction of requests admitted under overload: multiplicative decrease, additive increase.
    fn adjust_admission(&mut self, result: &AttemptResult, timeliness: Timeliness) {
        // Waiting for a load does not indicate overload; otherwise a cold fleet would later shed nearly all requests.
        let waited_for_load = matches!(
            result.warmth,
            Warmth::StartedLoad | Warmth::WaitedForLoad | Warmth::LoadFailed
        );
        let queued = result.report.and_then(|report| report.queued);
        let change = if result.outcome == Outcome::Rejected && result.attempt == 0 {
            -REJECTION_DECREASE * self.admitted_fraction
        } else if waited_for_load {
            0.0
        } else {
            match timeliness {
                Timeliness::Failed => 0.0,
                Timeliness::Late => -LATE_DECREASE * self.admitted_fraction,
                Timeliness::InTime if queued.is_some_and(|queued| queued < 1.0) => IDLE_INCREASE,
                Timeliness::InTime => IN_TIME_INCREASE,
            }
        };
        self.admitted_fraction =
            (self.admitted_fraction + change).clamp(MIN_ADMITTED_FRACTION, 1.0);
    }

    /// Credits the retry and query budgets for an answer in time.
    fn credit_budgets(&mut self, timeliness: Timeliness) {
        let is_in_time = timeliness == Timeliness::InTime;
        let credit = |credit| if is_in_time { credit } else { 0.0 };
        let max_budget = (self.recent_requests * RETRY_CREDIT).max(1.0);
        self.retry_budget = (self.retry_budget + credit(RETRY_CREDIT)).min(max_budget);
        self.credit_query_budget(credit(QUERY_CREDIT));
    }

    /// Credits the query budget. It is earned by answers, so that queries for functions without instances stay in
    /// proportion to the requests that are served.
    pub(super) fn credit_query_budget(&mut self, credit: f64) {
        let max_budget = (self.recent_requests * QUERY_CREDIT).max(MIN_PREFERRED as f64);
        self.query_budget = (self.query_budget + credit).min(max_budget);
    }

    /// Records the outcome of a health check. Only a success is used; failures are detected by the check's timer.
    pub(super) fn record_health_check_result(&mut self, result: &HealthCheckResult) {
        if result.outcome != Outcome::Finished {
            return;
        }
        if let Some(worker) = self.workers.get_mut(&result.worker) {
            worker.record_response(self.now);
            self.presume_restart(result.worker);
        }
    }

    /// Removes a request that has its final answer or was cancelled by its client.
    pub(super) fn forget_request(&mut self, id: RequestId) {
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        let request = pending.request;
        self.timers.remove(&(request.deadline, Timer::Deadline(id)));
        self.cancel_retry_preparation(&pending);
        self.unplaced.remove(&id);
        self.waiting.remove(&id);
        let Some(function) = self.functions.get_mut(request.function) else {
            return;
        };
        function.waiting.remove(&id);
        for attempt in pending.attempts.iter().filter(|a| a.is_in_flight()) {
            self.functions
                .update_instance(request.function, attempt.worker, |instance| {
                    instance.in_flight = instance.in_flight.saturating_sub(1);
                });
        }
    }
}
