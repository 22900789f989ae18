//! The state of one worker.

use crate::{Endpoint, FunctionId, LoadReport, Micros, RequestId};
use std::collections::BTreeSet;

/// An attempt by this router in flight at a worker; the oldest sorts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InFlightAttempt {
    /// When it was dispatched.
    pub dispatched_at: Micros,
    /// When it becomes overdue.
    pub overdue_at: Micros,
    /// The request.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub attempt: usize,
}

/// A worker as this router knows it.
#[derive(Default)]
pub(crate) struct Worker {
    /// Its entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Requests from this router in flight.
    pub in_flight: u32,
    /// Attempts by this router in flight, oldest first.
    pub attempts: BTreeSet<InFlightAttempt>,
    /// Recent latency divided by expected latency; above 1 is slower.
    pub speed_factor: f64,
    /// When a latency was last observed.
    pub speed_factor_at: Micros,
    /// The long-run mean of the speed factor.
    pub long_run_speed_factor: f64,
    /// The speed factor without congestion.
    pub baseline_speed_factor: f64,
    /// The number of latencies observed since it started.
    pub observation_count: f64,
    /// The number of requests from this router that it may have in flight.
    pub concurrency_limit: f64,
    /// When the concurrency limit was last reduced.
    pub limit_cut_at: Micros,
    /// No request is dispatched to the worker before this instant.
    pub backoff_until: Micros,
    /// Its last load report.
    pub report: LoadReport,
    /// When the last load report arrived; zero if there is none.
    pub reported_at: Micros,
    /// When the newest attempt that it accepted was dispatched.
    pub accepted_at: Micros,
    /// When the newest attempt or load command that it rejected was dispatched.
    pub rejected_at: Micros,
    /// When a connection to it last failed or was reset; zero once it has answered again.
    pub lost_at: Micros,
    /// When it answered again after a lost connection while the endpoint list was too old to show whether it had
    /// restarted. It is then presumed to have restarted.
    pub presumed_restart_at: Micros,
    /// When it last answered a request, a command or a health check.
    pub last_response_at: Micros,
    /// When the last unanswered health check was sent.
    pub unanswered_check_at: Option<Micros>,
    /// The number of consecutive unanswered health checks.
    pub unanswered_checks: u32,
    /// Whether the worker did not answer or could not be reached; it gets no new requests until it answers.
    pub is_ejected: bool,
    /// The number of errors, halved by each success.
    pub failure_score: u32,
    /// The function that failed last.
    pub last_failed_function: FunctionId,
    /// The worker counts as congested until this instant.
    pub congested_until: Micros,
    /// The work, in microseconds, that may be dispatched while it warms up; negative if overdrawn.
    pub slow_start_budget_us: f64,
    /// When that budget was last updated.
    pub slow_start_budget_at: Micros,
}
