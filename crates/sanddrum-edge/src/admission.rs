//! Admission of new requests: applies the retry budget and the customer quotas of `sanddrum-limits` before a request
//! reaches the decision module.

use crate::requests::PendingRequest;
use sanddrum::{CustomerId, Micros, Request, RequestId, WorkerId};
use sanddrum_limits::{
    Admission as Decisions, AdmissionEvents, AdmissionRequest, ClientRequest, Dispatch,
    QuotaPolicy, Rejection, ReportedRates, RetryBudget, RetryEvents,
};
use sanddrum_settings::LoadedSettings;
use std::collections::BTreeMap;

/// The admission decision for a request.
pub(crate) struct AdmissionDecision {
    /// The request.
    pub request: Request,
    /// `Ok` if it is admitted.
    pub result: Result<(), Rejection>,
}

/// Collects the decisions of a policy in order.
#[derive(Default)]
struct AdmissionResults(Vec<(RequestId, Result<(), Rejection>)>);

impl Decisions for AdmissionResults {
    fn admit(&mut self, request: RequestId) {
        self.0.push((request, Ok(())));
    }

    fn reject(&mut self, request: RequestId, rejection: Rejection) {
        self.0.push((request, Err(rejection)));
    }
}

/// The admission policies and the requests that await a decision.
pub(crate) struct Admission {
    quotas: QuotaPolicy,
    retry_budget: RetryBudget,
    events: AdmissionEvents,
    pending: BTreeMap<RequestId, Request>,
}

impl Admission {
    /// Creates the policies from the settings.
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let settings = settings.decision_settings();
        Admission {
            quotas: QuotaPolicy::new(&settings),
            retry_budget: RetryBudget::new(&settings),
            events: AdmissionEvents::default(),
            pending: BTreeMap::new(),
        }
    }

    /// Whether any request awaits a decision.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The requests that await a decision.
    pub fn pending_ids(&self) -> Vec<RequestId> {
        self.pending.keys().copied().collect()
    }

    /// Whether any customer limit is set.
    pub fn is_limited(&self) -> bool {
        self.quotas.is_active()
    }

    /// Adds a request to decide on.
    pub fn submit(&mut self, request: Request) {
        self.pending.insert(request.id, request);
    }

    /// Records that a request was closed. It no longer counts against its customer's limits.
    pub fn request_closed(&mut self, request: &PendingRequest) {
        if request.is_admitted {
            self.events.finished.push(request.spec.customer_id);
        }
    }

    /// Records that an attempt of a customer's request was dispatched.
    pub fn attempt_dispatched(&mut self, customer: CustomerId, worker: WorkerId) {
        self.events.dispatched.push(Dispatch { customer, worker });
    }

    /// Records the request rates that a worker reported, of one customer and of all, in requests per second.
    pub fn rates_reported(&mut self, customer: CustomerId, customer_rate: f64, total_rate: f64) {
        self.events.reported_rates.push(ReportedRates {
            customer,
            customer_rate,
            total_rate,
        });
    }

    /// Records that the decision module rejected a request.
    pub fn request_rejected(&mut self) {
        self.events.rejected += 1;
    }

    /// Decides on all pending requests. Requests that are no longer open are dropped.
    pub fn decide(
        &mut self,
        now: Micros,
        is_open: impl Fn(RequestId) -> bool,
    ) -> Vec<AdmissionDecision> {
        let within_budget = self.apply_retry_budget(now, is_open);
        let results = self.apply_quotas(now, within_budget);
        let mut pending = std::mem::take(&mut self.pending);
        let decision = |(id, result)| {
            let request = pending.remove(&id)?;
            Some(AdmissionDecision { request, result })
        };
        results.0.into_iter().filter_map(decision).collect()
    }

    /// Applies the retry budget. This precedes the quotas, as a retry rejected here must not count against its
    /// customer's quota.
    fn apply_retry_budget(
        &mut self,
        now: Micros,
        is_open: impl Fn(RequestId) -> bool,
    ) -> AdmissionResults {
        let open = self.pending.values().filter(|request| is_open(request.id));
        let events = RetryEvents {
            requests: open.map(client_request).collect(),
            rejected: self.events.rejected,
        };
        let mut results = AdmissionResults::default();
        self.retry_budget.handle(now, &events, &mut results);
        results
    }

    fn apply_quotas(&mut self, now: Micros, within_budget: AdmissionResults) -> AdmissionResults {
        let mut events = std::mem::take(&mut self.events);
        if !self.is_limited() {
            return within_budget;
        }
        let mut results = AdmissionResults::default();
        for (id, result) in within_budget.0 {
            let Some(request) = self.pending.get(&id) else {
                continue;
            };
            match result {
                Ok(()) => events.requests.push(AdmissionRequest {
                    request: id,
                    customer: request.customer,
                }),
                Err(rejection) => results.0.push((id, Err(rejection))),
            }
        }
        self.quotas.handle(now, &events, &mut results);
        results
    }
}

fn client_request(request: &Request) -> ClientRequest {
    ClientRequest {
        request: request.id,
        is_retry: request.is_retry,
    }
}
