//! Enforces customers' quotas before a request reaches the decision module.
//!
//! The host creates one [`QuotaPolicy`] per edge and calls [`QuotaPolicy::handle`] with the events since the last call
//! ([`AdmissionEvents`]) and a receiver for the decisions ([`Admission`]). All events are recorded before anything is
//! decided.
//!
//! A customer has up to three quotas, each over all edges together: a rate, a number of requests in flight, and, while
//! the fleet is overloaded, a share of its capacity. The edges do not communicate. With their answers workers report
//! the rates at which this customer's requests, and all requests, reach them from all edges. From these each edge
//! estimates the customer's rate over the whole fleet, and adjusts the rate that it admits itself: a little down while
//! the customer is over its quota, a little up while it is under it. All edges estimate the same rate, so that the sum
//! stays near the quota whichever edges the customer uses, and no edge has to know how many those are.
//!
//! Overload is not detected here: it is where the decision module rejects requests. A customer over its share is then
//! admitted at a falling rate until nothing more is rejected; a customer within its share is not limited. Without
//! overload there are no shares: unused capacity is lent to whoever asks for it.
//!
//! [`RetryBudget`] limits clients' retries under overload.

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
