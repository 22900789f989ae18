//! Outlier detection: workers that accept requests but do not answer are checked and ejected, and their requests are
//! retried elsewhere.

use super::constants::{CHECK_TIMEOUT_DIVISOR, MAX_CHECK_BACKOFF};
use super::Router;
use crate::state::{AttemptStatus, InFlightAttempt, InstanceCommand, Timer};
use crate::{Decisions, Micros, RequestId, WorkerId, WorkerState, NO_SEND_DEADLINE};

impl Router {
    /// Detects workers that hang, are unreachable or have crashed. One with an overdue answer is checked; if it does
    /// not answer the check, it is ejected and checked again at increasing intervals.
    pub(super) fn check_overdue_worker(&mut self, id: WorkerId, out: &mut impl Decisions) {
        let now = self.now;
        let check_interval = self.config.tightest_objective / CHECK_TIMEOUT_DIVISOR;
        let can_check = self.config.may_check_health || self.config.may_command_loads;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let oldest = worker.attempts.first();
        let is_silent = oldest.is_some_and(|a| worker.last_response_at <= a.dispatched_at);
        let check_deadline = worker.unanswered_check_at.map(|at| at + check_interval);
        let has_failed_check = check_deadline.is_some();
        if worker.endpoint.state != WorkerState::Ready
            || !(is_silent || worker.is_ejected)
            || check_deadline > Some(now)
        {
            return;
        }
        // Without any means to check a worker, silence proves nothing; later requests try the ejected worker again.
        if has_failed_check && !can_check {
            worker.is_ejected = false;
            worker.unanswered_check_at = None;
            return;
        }
        worker.is_ejected |= has_failed_check;
        worker.unanswered_check_at = Some(now);
        worker.unanswered_checks += 1;
        let backoff = Micros::from(worker.unanswered_checks.min(MAX_CHECK_BACKOFF));
        let mut stuck: Vec<InFlightAttempt> = Vec::new();
        if worker.is_ejected {
            stuck.extend(&worker.attempts);
            self.ejected_workers.insert(id);
        }
        self.timers
            .insert((now + check_interval * backoff, Timer::WorkerOverdue(id)));
        self.check_worker(id, out);
        for attempt in stuck {
            self.retry_stuck_request(attempt.request, attempt.attempt, out);
        }
    }

    /// Starts a health check or, if these are not available, a query for the instances of any function.
    pub(super) fn check_worker(&mut self, id: WorkerId, out: &mut impl Decisions) {
        if self.config.may_check_health {
            out.check_health(id);
        } else if self.config.may_command_loads {
            let idle = self
                .functions
                .at_worker(id)
                .find(|f| self.functions.instance(*f, id).command.is_none());
            if let Some(function) = idle {
                self.functions.update_instance(function, id, |instance| {
                    instance.command = Some(InstanceCommand::Query);
                });
                out.load(id, function, 0, NO_SEND_DEADLINE);
            }
        }
    }

    /// Starts another attempt for a request that is stuck at an ejected worker, if the retry policy allows one and
    /// the time left exceeds the expected work: as a hedged request where that is allowed, else after cancelling the
    /// stuck attempt.
    fn retry_stuck_request(
        &mut self,
        id: RequestId,
        attempt_index: usize,
        out: &mut impl Decisions,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let request = pending.request;
        let attempt = pending.attempts.get(attempt_index);
        let is_stuck = attempt.is_some_and(|a| a.status == AttemptStatus::InFlight);
        let has_time = request.deadline - self.now > self.expected_work(&request) as Micros;
        if !is_stuck || pending.in_flight() > 1 || !has_time || !self.has_allowed_worker(pending) {
            return;
        }
        if self.may_hedge(&request) {
            self.unplaced.insert(id);
        } else if self.config.may_cancel {
            self.mark_cancelling(id, attempt_index);
            out.cancel(id, attempt_index);
        }
    }

    fn mark_cancelling(&mut self, id: RequestId, attempt_index: usize) {
        let pending = self.requests.get_mut(&id);
        if let Some(attempt) = pending.and_then(|p| p.attempts.get_mut(attempt_index)) {
            attempt.status = AttemptStatus::Cancelling;
        }
    }
}
