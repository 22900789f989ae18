//! Between the door and the decision module: customers' limits. What they are is decided in `sanddrum-limits`.

use crate::requests::{ErrorResponse, PendingRequest};
use crate::EdgeState;
use sanddrum::{Micros, RequestId};
use sanddrum_limits::{
    Admission as Decisions, AdmissionEvents, AdmissionRequest, ClientRequest, QuotaPolicy,
    RejectReason, Rejection, RetryBudget, RetryEvents,
};
use sanddrum_settings::LoadedSettings;
use std::collections::BTreeMap;

pub(crate) struct Admission {
    quotas: QuotaPolicy,
    retry_budget: RetryBudget,
    pub events: AdmissionEvents,
    /// Jobs that ask to be taken, as the decision module will have them.
    pending: BTreeMap<RequestId, sanddrum::Request>,
}

/// What was decided for each, in order.
#[derive(Default)]
struct AdmissionDecisions(Vec<(RequestId, Option<Rejection>)>);

impl Decisions for AdmissionDecisions {
    fn admit(&mut self, request: RequestId) {
        self.0.push((request, None));
    }
    fn reject(&mut self, request: RequestId, rejection: Rejection) {
        self.0.push((request, Some(rejection)));
    }
}

impl Admission {
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let settings = settings.values_for_module();
        let (quotas, retry_budget) = (QuotaPolicy::new(&settings), RetryBudget::new(&settings));
        let events = AdmissionEvents::default();
        Admission {
            quotas,
            retry_budget,
            events,
            pending: BTreeMap::new(),
        }
    }
    pub fn is_waiting(&self) -> bool {
        !self.pending.is_empty()
    }
    /// A job has its final answer, or its client left.
    pub fn ended(&mut self, request: &PendingRequest) {
        if request.is_admitted {
            self.events.finished.push(request.customer_id);
        }
    }
}

impl EdgeState {
    /// A job at the door.
    pub(crate) fn submit(&mut self, request: sanddrum::Request) {
        self.admission.pending.insert(request.id, request);
    }

    /// Lets through what the limits allow, and pushes the rest back with an honest time to return: repeats first, as
    /// what is refused there must not count for its customer.
    pub(crate) fn run_admission(&mut self, now: Micros) {
        // Who has left meanwhile asks for nothing.
        let requests = &self.requests.requests;
        let stays = |request: &&sanddrum::Request| {
            requests
                .get(&request.id)
                .is_some_and(|request| !request.is_closed)
        };
        let pending = self
            .admission
            .pending
            .values()
            .filter(stays)
            .map(|request| ClientRequest {
                request: request.id,
                is_retry: request.is_retry,
            });
        let asked = RetryEvents {
            requests: pending.collect(),
            rejected: self.admission.events.rejected,
        };
        let mut ruled = AdmissionDecisions::default();
        self.admission.retry_budget.handle(now, &asked, &mut ruled);
        let limits = self.admission.quotas.is_active();
        let mut events = std::mem::take(&mut self.admission.events);
        for (id, over) in std::mem::take(&mut ruled.0) {
            let Some(request) = self.admission.pending.get(&id) else {
                continue;
            };
            match over {
                None if limits => events.requests.push(AdmissionRequest {
                    request: id,
                    customer: request.customer,
                }),
                over => ruled.0.push((id, over)),
            }
        }
        if limits {
            self.admission.quotas.handle(now, &events, &mut ruled);
        }
        for (id, over) in ruled.0 {
            let Some(request) = self.admission.pending.remove(&id) else {
                continue;
            };
            let Some(Rejection {
                reason,
                retry_after,
            }) = over
            else {
                self.requests
                    .requests
                    .entry(id)
                    .and_modify(|request| request.is_admitted = limits);
                self.batch.requests.push(request);
                continue;
            };
            let detail = match reason {
                RejectReason::RetryBudget => "the fleet is pressed and repeats wait; the job has not run, come back after the stated time",
                _ => "this customer has what it may have for now; the job has not run, come back after the stated time",
            };
            let refusal = ErrorResponse {
                status: 503,
                end: "pushed-back",
                reason: reason.reason(),
                detail,
                retry_after: Some(retry_after),
                request: Some(id),
            };
            self.reject_request(now, id, &refusal);
        }
        self.admission.pending.clear();
    }
}
