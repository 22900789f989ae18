//! Retry policy: where a request may have another attempt, whether it may be hedged, and whether its client may retry
//! it. A request must not run more often than its idempotency allows (rule 2), and a worker that is draining or gone
//! must get no new attempts (rule 3).

use super::Router;
use crate::config::{Idempotency, KeyScope};
use crate::state::{Attempt, PendingRequest, Worker};
use crate::{Endpoint, Micros, Request, WorkerState, NO_SEND_DEADLINE};

impl Router {
    /// Whether an attempt of the request may be dispatched to a worker: the worker is ready by sufficiently recent
    /// information, not ejected, and has no other attempt of the request in flight; if the request may have run
    /// before, it must be allowed to run again there.
    pub(super) fn allows_attempt(&self, pending: &PendingRequest, to: &Worker) -> bool {
        let is_healthy = !to.is_ejected || self.fleet.is_in_panic_mode;
        let is_in_flight_there = |a: &Attempt| a.is_in_flight() && a.worker == to.endpoint.worker;
        if to.endpoint.state != WorkerState::Ready
            || !is_healthy
            || !self.holds_readiness_lease(to)
            || pending.attempts.iter().any(is_in_flight_there)
        {
            return false;
        }
        self.run_deadline(pending, to)
            .is_some_and(|deadline| self.now < deadline)
    }

    /// Before when an attempt of the request that is dispatched now must have been sent to a worker; `None` if it must
    /// not be sent there at all.
    pub(super) fn send_deadline(&self, pending: &PendingRequest, to: &Worker) -> Option<Micros> {
        let run_deadline = self.run_deadline(pending, to)?;
        Some(run_deadline.min(self.readiness_send_deadline(to)))
    }

    /// Before when the request must have been sent to a worker, so that it can't run more often than allowed; `None` if
    /// it must not run there at all.
    fn run_deadline(&self, pending: &PendingRequest, to: &Worker) -> Option<Micros> {
        let first_run = pending.attempts.iter().find(|a| a.may_have_run());
        match first_run {
            None => Some(NO_SEND_DEADLINE),
            Some(first) => self.rerun_deadline(&pending.request, first, &to.endpoint),
        }
    }

    /// Before when a request that may have run in an earlier attempt must have been sent to an endpoint again; `None` if
    /// it must not run there again. An idempotency key is recognized for a time from the arrival of the first attempt,
    /// which is not before its dispatch.
    fn rerun_deadline(&self, request: &Request, first: &Attempt, to: &Endpoint) -> Option<Micros> {
        let workload = self.workload(request.workload);
        match workload.idempotency {
            Idempotency::Idempotent => Some(NO_SEND_DEADLINE),
            Idempotency::NonIdempotent => None,
            Idempotency::ByKey => self
                .is_in_key_scope(workload.key_scope, first, to)
                .then_some(first.dispatched_at + workload.key_window),
        }
    }

    fn is_in_key_scope(&self, scope: KeyScope, first: &Attempt, to: &Endpoint) -> bool {
        let first_endpoint = || {
            self.workers
                .get(&first.worker)
                .map(|worker| worker.endpoint)
        };
        match scope {
            KeyScope::Fleet => true,
            KeyScope::Zone => first_endpoint().is_some_and(|from| from.zone == to.zone),
            KeyScope::Cell => first_endpoint().is_some_and(|from| from.cell == to.cell),
            KeyScope::NoWorker => false,
        }
    }

    /// Whether any worker may receive another attempt of the request.
    pub(super) fn has_allowed_worker(&self, pending: &PendingRequest) -> bool {
        self.workers
            .values()
            .any(|worker| self.allows_attempt(pending, worker))
    }

    /// Whether a request may have two attempts in flight.
    pub(super) fn may_hedge(&self, request: &Request) -> bool {
        let idempotency = self.workload(request.workload).idempotency;
        self.config.may_hedge && idempotency == Idempotency::Idempotent
    }

    /// Whether the client may safely retry a request that this router did not finish.
    pub(super) fn is_retryable_by_client(&self, pending: &PendingRequest) -> bool {
        let workload = self.workload(pending.request.workload);
        let may_have_run = pending.attempts.iter().any(Attempt::may_have_run);
        match workload.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::ByKey => !may_have_run || workload.key_scope == KeyScope::Fleet,
            Idempotency::NonIdempotent => !may_have_run,
        }
    }
}
