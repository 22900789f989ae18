//! The events that the policies are given, and the decisions that they return.

use sanddrum::{CustomerId, Micros, RequestId, WorkerId};

/// A request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Which request this is.
    pub request: RequestId,
    /// The customer that it counts for.
    pub customer: CustomerId,
}

/// An attempt that was dispatched.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    /// The customer whose request it is an attempt of.
    pub customer: CustomerId,
    /// The worker that it was sent to.
    pub worker: WorkerId,
}

/// Rates that a worker reported, in requests a second from all edges.
#[derive(Clone, Copy, Debug)]
pub struct ReportedRates {
    /// The customer whose request the report came with.
    pub customer: CustomerId,
    /// Requests a second of this customer.
    pub of_customer: f64,
    /// Requests a second of all customers.
    pub of_all: f64,
}

/// The events since the last call of [`QuotaPolicy::handle`](crate::QuotaPolicy::handle).
#[derive(Clone, Debug, Default)]
pub struct AdmissionEvents {
    /// Requests that ask to be admitted.
    pub requests: Vec<AdmissionRequest>,
    /// The customers of admitted requests that have their final answer, or whose client disconnected.
    pub finished: Vec<CustomerId>,
    /// Requests that the decision module rejected.
    pub rejected: u32,
    /// Attempts that were dispatched.
    pub dispatched: Vec<Dispatch>,
    /// Rates that workers reported.
    pub reported_rates: Vec<ReportedRates>,
}

/// Why a request is rejected here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The customer is over its rate.
    Rate,
    /// The customer has too many requests in flight.
    InFlight,
    /// The fleet is overloaded and the customer over its share.
    Quota,
    /// A client's retry, while the fleet is overloaded and the retry budget exhausted.
    RetryBudget,
}

impl RejectReason {
    /// The value of the metrics label and of the reason on the wire.
    pub fn reason(self) -> &'static str {
        match self {
            RejectReason::Rate => "over-rate",
            RejectReason::InFlight => "over-in-flight",
            RejectReason::Quota => "over-share",
            RejectReason::RetryBudget => "over-repeats",
        }
    }
}

/// Why a request is rejected, and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// How long the client had better wait before it retries.
    pub retry_after: Micros,
}

/// Receives the decisions.
pub trait Admission {
    /// The request goes on to the decision module.
    fn admit(&mut self, request: RequestId);
    /// The request has its final answer.
    fn reject(&mut self, request: RequestId, rejection: Rejection);
}
