//! Final answers of requests that did not finish: rejected with a Retry-After, or failed.

use super::Router;
use crate::statistics::unit_interval;
use crate::{AnswerReason, Decisions, Micros, Request, RequestId};

impl Router {
    /// Gives the final answer to a request that cannot be served in time, unless an attempt of it is in flight.
    pub(super) fn answer_unless_in_flight(
        &mut self,
        id: RequestId,
        reason: AnswerReason,
        out: &mut impl Decisions,
    ) {
        let pending = self.requests.get(&id);
        if !pending.is_some_and(|pending| pending.is_in_flight()) {
            self.answer_unfinished(id, reason, out);
        }
    }

    /// Gives the final answer to an unfinished request: rejected if the client may safely retry it, otherwise failed.
    pub(super) fn answer_unfinished(
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
        if self.is_retryable_by_client(pending) {
            let retry_after = self.retry_after(&request);
            out.reject(id, retry_after);
        } else {
            out.fail(id);
        }
        self.forget_request(id);
    }

    /// The Retry-After of a rejected request. Under overload it grows as the admitted fraction falls, otherwise it is
    /// the expected load time; it is based on no less than the expected work. Random jitter prevents clients from
    /// retrying together.
    fn retry_after(&mut self, request: &Request) -> Micros {
        let function = self.functions.get(request.function);
        let base_us = if self.is_overloaded() {
            let objective_us = self.latency_objective(request.workload) as f64;
            objective_us * (1.0 - self.admitted_fraction) / 2.0
        } else {
            function.map_or(0.0, |f| f.load_us * self.load_speed_factor_now())
        };
        let base_us = base_us.max(self.expected_work(request));
        let jitter = 0.5 + unit_interval(self.next_random());
        let retry_after = (base_us * jitter) as Micros;
        retry_after.min(self.config.max_retry_after)
    }
}
