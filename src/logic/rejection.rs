//! Final answers of requests that did not finish: rejected with a Retry-After, or failed.

use super::Router;
use crate::statistics::unit_interval;
use crate::{AnswerReason, Decisions, Micros, Request, RequestId};

impl Router {
    /// The final answer of a request that is not going to be in time, at once, unless an attempt is in flight.
    pub(super) fn give_up(
        &mut self,
        id: RequestId,
        reason: AnswerReason,
        out: &mut impl Decisions,
    ) {
        let pending = self.requests.get(&id);
        if !pending.is_some_and(|pending| pending.is_in_flight()) {
            self.answer_now(id, reason, out);
        }
    }

    /// The final answer of a request that has not finished: rejected if the client may safely repeat it, else failed.
    pub(super) fn answer_now(
        &mut self,
        id: RequestId,
        reason: AnswerReason,
        out: &mut impl Decisions,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let request = pending.request;
        out.explain(id, reason);
        if self.is_repeatable_by_client(pending) {
            let retry_after = self.retry_after(&request);
            out.reject(id, retry_after);
        } else {
            out.fail(id);
        }
        self.forget_request(id);
    }

    /// The Retry-After of a rejected request: under overload the longer the less is admitted, else the time of a load.
    /// It has random jitter, so that rejected requests do not come back together.
    fn retry_after(&mut self, request: &Request) -> Micros {
        let function = self.functions.get(request.function);
        let base_us = if self.is_overloaded() {
            let objective_us = self.latency_objective(request.workload) as f64;
            objective_us * (1.0 - self.admitted_fraction) / 2.0
        } else {
            function.map_or(0.0, |f| f.load_us * self.load_speed_factor_now())
        };
        let base_us = base_us.max(self.expected_work(request));
        let jitter = 0.5 + unit_interval(self.random_draw());
        let retry_after = (base_us * jitter) as Micros;
        retry_after.min(self.config.max_retry_after)
    }
}
