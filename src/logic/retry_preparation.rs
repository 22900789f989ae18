//! Preparation of retries by idempotency key. Such a retry must be sent before the key window closes, which fails if a
//! connection has to be opened first and the rest of the window is too short for that. While an attempt is unanswered at
//! the last moment at which a connection would surely open in time, the worker of a possible retry is checked, unless it
//! has answered recently: the check opens a connection to it.

use super::constants::{CONNECT_STEPS, KEY_WINDOW_PREPARATION_DIVISOR, MAX_WARM_CANDIDATES};
use super::Router;
use crate::config::{Idempotency, KeyScope};
use crate::state::{PendingRequest, Timer, Worker};
use crate::statistics::hash_of;
use crate::{Decisions, Micros, Request, RequestId};

impl Router {
    /// Schedules the preparation of a request's retry, if its first attempt is dispatched now.
    pub(super) fn schedule_retry_preparation(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let prepare_at = self.now + self.retry_preparation_delay(&pending.request);
        let workload = self.workload(pending.request.workload);
        let may_be_retried =
            workload.idempotency == Idempotency::ByKey && workload.key_scope != KeyScope::NoWorker;
        let is_prepared = pending.retry_preparation_at.is_some();
        if !may_be_retried || is_prepared || prepare_at >= pending.request.deadline {
            return;
        }
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.retry_preparation_at = Some(prepare_at);
        }
        self.timers
            .insert((prepare_at, Timer::RetryPreparation(id)));
    }

    /// Cancels the preparation of a request's retry.
    pub(super) fn cancel_retry_preparation(&mut self, pending: &PendingRequest) {
        if let Some(at) = pending.retry_preparation_at {
            let timer = Timer::RetryPreparation(pending.request.id);
            self.timers.remove(&(at, timer));
        }
    }

    /// From the dispatch of the first attempt until the rest of the key window only just suffices to open a connection.
    fn retry_preparation_delay(&self, request: &Request) -> Micros {
        let key_window = self.workload(request.workload).key_window;
        let connect_time = CONNECT_STEPS * self.config.connect_timeout;
        (key_window - connect_time).max(key_window / KEY_WINDOW_PREPARATION_DIVISOR)
    }

    /// Checks the worker that would get the retry of a request whose attempt is still unanswered.
    pub(super) fn prepare_retry(&mut self, id: RequestId, out: &mut impl Decisions) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if !pending.is_in_flight() {
            return;
        }
        let key_window = self.workload(pending.request.workload).key_window;
        let target = self.retry_target(pending);
        let silent = target.filter(|worker| worker.last_response_at + key_window <= self.now);
        if let Some(worker) = silent.map(|worker| worker.endpoint.worker) {
            self.check_worker(worker, out);
        }
    }

    /// The worker that a retry of a request in flight is likely to go to: one believed to have an instance, or else a
    /// preferred endpoint.
    fn retry_target<'a>(&'a self, pending: &'a PendingRequest) -> Option<&'a Worker> {
        let request = &pending.request;
        let function = self.functions.get(request.function)?;
        let work_us = self.expected_work(request);
        let warm = function.warm_workers(0, MAX_WARM_CANDIDATES);
        let mut warm = warm.filter_map(|id| self.workers.get(&id));
        let is_allowed = |worker: &&Worker| self.allows_attempt(pending, worker);
        let first_partition = 0_u64;
        let seed = hash_of((request.function, first_partition));
        warm.find(is_allowed)
            .or_else(|| self.preferred_endpoints(pending, seed, work_us).next())
    }
}
