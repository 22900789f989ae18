//! Enforces customer quotas and the retry budget before requests reach the decision module.
//!
//! The host creates one [`QuotaPolicy`] per edge and calls [`QuotaPolicy::handle`] with the events since the last call
//! ([`AdmissionEvents`]) and a receiver for the decisions ([`Admission`]). All events are recorded before anything is
//! decided.
//!
//! A customer has up to three quotas, each over all edges together: a rate, a number of requests in flight, and, while
//! the fleet is overloaded, a share of its capacity. The edges do not communicate. Workers report with each answer the
//! rates at which this customer's requests, and all requests, reach them from all edges. From these reports each edge
//! estimates the customer's rate over the whole fleet and adjusts its own admitted rate: slightly down while the
//! customer is over its quota, slightly up while it is under it. All edges estimate the same rate, so the sum of their
//! admitted rates stays near the quota whichever edges the customer uses, and no edge has to know how many those are.
//!
//! Overload is not detected here but inferred from the requests that the decision module rejects. A customer over its
//! share is then admitted at a falling rate until nothing more is rejected, while a customer within its share is not
//! limited. Without overload shares do not apply: unused capacity is available to any customer.
//!
//! [`RetryBudget`] limits client retries under overload.

mod customer;
mod events;
mod fleet_rate_estimate;
mod quota_policy;
mod rate;
mod retry_budget;

pub use events::{
    Admission, AdmissionEvents, AdmissionRequest, Dispatch, RejectReason, Rejection, ReportedRates,
};
pub use fleet_rate_estimate::FleetRateEstimate;
pub use quota_policy::QuotaPolicy;
pub use rate::{NoToken, RateMeter, TokenBucket};
pub use retry_budget::{ClientRequest, RetryBudget, RetryEvents};
