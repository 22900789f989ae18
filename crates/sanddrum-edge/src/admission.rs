//! Customer limits and the clients' retry budget, between the listeners and the decision module. The policies themselves
//! are those of `sanddrum-limits`.

use crate::requests::PendingRequest;
use sanddrum::{CustomerId, Micros, Request, RequestId, WorkerId};
use sanddrum_limits::{
    Admission as Decisions, AdmissionEvents, AdmissionRequest, ClientRequest, Dispatch,
    QuotaPolicy, Rejection, ReportedRates, RetryBudget, RetryEvents,
};
use sanddrum_settings::LoadedSettings;
use std::collections::BTreeMap;

/// What was decided for a request.
pub(crate) struct AdmissionDecision {
    /// The request.
    pub request: Request,
    /// Whether it is admitted.
    pub result: Result<(), Rejection>,
}

/// Decisions in the order in which they were made.
#[derive(Default)]
struct Verdicts(Vec<(RequestId, Result<(), Rejection>)>);

impl Decisions for Verdicts {
    fn admit(&mut self, request: RequestId) {
        self.0.push((request, Ok(())));
    }

    fn reject(&mut self, request: RequestId, rejection: Rejection) {
        self.0.push((request, Err(rejection)));
    }
}

/// The policies, and the requests that wait to be admitted.
pub(crate) struct Admission {
    quotas: QuotaPolicy,
    retry_budget: RetryBudget,
    events: AdmissionEvents,
    pending: BTreeMap<RequestId, Request>,
}

impl Admission {
    /// The policies as set.
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let settings = settings.values_for_module();
        Admission {
            quotas: QuotaPolicy::new(&settings),
            retry_budget: RetryBudget::new(&settings),
            events: AdmissionEvents::default(),
            pending: BTreeMap::new(),
        }
    }

    /// Whether a request waits to be admitted.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether any customer limit is set.
    pub fn is_limited(&self) -> bool {
        self.quotas.is_active()
    }

    /// Adds a request that is to be admitted.
    pub fn submit(&mut self, request: Request) {
        self.pending.insert(request.id, request);
    }

    /// A request was closed.
    pub fn request_closed(&mut self, request: &PendingRequest) {
        if request.is_admitted {
            self.events.finished.push(request.call.customer_id);
        }
    }

    /// An attempt of a customer's request was dispatched.
    pub fn attempt_dispatched(&mut self, customer: CustomerId, worker: WorkerId) {
        self.events.dispatched.push(Dispatch { customer, worker });
    }

    /// A worker reported the rate of a customer's requests and of all, in requests per second.
    pub fn rates_reported(&mut self, customer: CustomerId, customer_rate: f64, total_rate: f64) {
        self.events.reported_rates.push(ReportedRates {
            customer,
            customer_rate,
            total_rate,
        });
    }

    /// The decision module rejected a request.
    pub fn request_rejected(&mut self) {
        self.events.rejected += 1;
    }

    /// Decides on all pending requests. Those whose client has disconnected meanwhile are dropped.
    pub fn decide(
        &mut self,
        now: Micros,
        is_open: impl Fn(RequestId) -> bool,
    ) -> Vec<AdmissionDecision> {
        let screened = self.screen_retries(now, is_open);
        let verdicts = self.apply_quotas(now, screened);
        let mut pending = std::mem::take(&mut self.pending);
        let decision = |(id, result)| {
            let request = pending.remove(&id)?;
            Some(AdmissionDecision { request, result })
        };
        verdicts.0.into_iter().filter_map(decision).collect()
    }

    /// Retries come first, as one that is rejected here must not count for its customer.
    fn screen_retries(&mut self, now: Micros, is_open: impl Fn(RequestId) -> bool) -> Verdicts {
        let open = self.pending.values().filter(|request| is_open(request.id));
        let events = RetryEvents {
            requests: open.map(client_request).collect(),
            rejected: self.events.rejected,
        };
        let mut verdicts = Verdicts::default();
        self.retry_budget.handle(now, &events, &mut verdicts);
        verdicts
    }

    fn apply_quotas(&mut self, now: Micros, screened: Verdicts) -> Verdicts {
        let mut events = std::mem::take(&mut self.events);
        if !self.is_limited() {
            return screened;
        }
        let mut verdicts = Verdicts::default();
        for (id, result) in screened.0 {
            let Some(request) = self.pending.get(&id) else {
                continue;
            };
            match result {
                Ok(()) => events.requests.push(AdmissionRequest {
                    request: id,
                    customer: request.customer,
                }),
                Err(rejection) => verdicts.0.push((id, Err(rejection))),
            }
        }
        self.quotas.handle(now, &events, &mut verdicts);
        verdicts
    }
}

fn client_request(request: &Request) -> ClientRequest {
    ClientRequest {
        request: request.id,
        is_retry: request.is_retry,
    }
}
