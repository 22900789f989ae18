//! Passes accepted requests through admission to the decision module.

use super::EdgeState;
use crate::admission::AdmissionDecision;
use crate::responses::{ErrorKind, ErrorResponse};
use sanddrum::{Micros, RequestId};
use sanddrum_limits::{RejectReason, Rejection};

impl EdgeState {
    /// Decides on all requests accepted since the last run. Admitted ones join the decision module's next batch.
    pub fn run_admission(&mut self, now: Micros) {
        let is_limited = self.admission.is_limited();
        let requests = &self.requests;
        let is_open = |id| requests.get_open(id).is_some();
        for decision in self.admission.decide(now, is_open) {
            let AdmissionDecision { request, result } = decision;
            match result {
                Ok(()) => {
                    self.requests.set_admitted(request.id, is_limited);
                    self.batch.requests.push(request);
                }
                Err(rejection) => self.reject_over_limit(now, request.id, rejection),
            }
        }
    }

    fn reject_over_limit(&mut self, now: Micros, id: RequestId, rejection: Rejection) {
        let detail = match rejection.reason {
            RejectReason::RetryBudget => {
                "the fleet is pressed and repeats wait; the job has not run, come back after the stated time"
            }
            _ => {
                "this customer has what it may have for now; the job has not run, come back after the stated time"
            }
        };
        let response = ErrorResponse {
            status: 503,
            kind: ErrorKind::Rejected,
            reason: rejection.reason.reason(),
            detail,
            retry_after: Some(rejection.retry_after),
            request: Some(id),
        };
        self.respond_with_error(now, id, &response);
    }
}
