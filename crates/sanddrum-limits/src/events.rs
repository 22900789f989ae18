//! The events passed to the policies and the decisions that they return.

use sanddrum::{CustomerId, Micros, RequestId, WorkerId};

/// A request to be admitted or rejected.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The request's identifier.
    pub request: RequestId,
    /// The customer whose quotas it counts towards.
    pub customer: CustomerId,
}

/// An attempt that was dispatched.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    /// The customer of the request.
    pub customer: CustomerId,
    /// The worker that the attempt was sent to.
    pub worker: WorkerId,
}

/// Rates that a worker reported: the requests per second that it receives from all edges.
#[derive(Clone, Copy, Debug)]
pub struct ReportedRates {
    /// The customer of the request that was answered with the report.
    pub customer: CustomerId,
    /// The rate of this customer's requests.
    pub customer_rate: f64,
    /// The rate of all customers' requests.
    pub total_rate: f64,
}

/// The events since the last call of [`QuotaPolicy::handle`](crate::QuotaPolicy::handle).
#[derive(Clone, Debug, Default)]
pub struct AdmissionEvents {
    /// Requests to be admitted or rejected.
    pub requests: Vec<AdmissionRequest>,
    /// The customer of each admitted request that got its final answer or whose client disconnected.
    pub finished: Vec<CustomerId>,
    /// The number of requests that the decision module rejected.
    pub rejected: u32,
    /// Attempts that were dispatched.
    pub dispatched: Vec<Dispatch>,
    /// Rates reported by workers.
    pub reported_rates: Vec<ReportedRates>,
}

/// Why a request is rejected before it reaches the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The customer is over its rate quota.
    Rate,
    /// The customer has too many requests in flight.
    InFlight,
    /// The fleet is overloaded and the customer uses more than its share of the capacity.
    CapacityShare,
    /// The request is a retry, the fleet is overloaded and the retry budget is exhausted.
    RetryBudget,
}

impl RejectReason {
    /// The value of the metrics label and of the reason in responses.
    pub fn reason(self) -> &'static str {
        match self {
            RejectReason::Rate => "over-rate",
            RejectReason::InFlight => "over-in-flight",
            RejectReason::CapacityShare => "over-share",
            RejectReason::RetryBudget => "over-repeats",
        }
    }
}

/// Why a request is rejected, and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub reason: RejectReason,
    /// How long the client should wait before it retries.
    pub retry_after: Micros,
}

/// Receives the decisions.
pub trait Admission {
    /// The request is passed to the decision module.
    fn admit(&mut self, request: RequestId);
    /// The request is answered with a rejection.
    fn reject(&mut self, request: RequestId, rejection: Rejection);
}
