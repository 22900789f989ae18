//! What is remembered of one worker.

use crate::{Endpoint, FunctionId, LoadReport, Micros, RequestId};
use std::collections::BTreeSet;

/// An attempt of this router in flight at a worker; the oldest sorts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InFlightAttempt {
    /// When it was dispatched.
    pub dispatched_at: Micros,
    /// From when on its answer is late.
    pub overdue_at: Micros,
    /// The request.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub attempt: usize,
}

/// A worker as this router knows it.
#[derive(Default)]
pub(crate) struct Worker {
    /// Its row of the endpoint list.
    pub endpoint: Endpoint,
    /// Requests of this router in flight.
    pub in_flight: u32,
    /// Attempts of this router in flight, oldest first.
    pub attempts: BTreeSet<InFlightAttempt>,
    /// Latency over expected latency of late; above one is slower.
    pub speed_factor: f64,
    /// When a latency was last observed.
    pub speed_factor_at: Micros,
    /// The speed factor in the long run.
    pub long_run_speed_factor: f64,
    /// The speed factor without congestion.
    pub baseline_speed_factor: f64,
    /// Latencies observed since it started.
    pub observation_count: f64,
    /// Requests of this router that it may have in flight.
    pub concurrency_limit: f64,
    /// When the concurrency limit was last cut.
    pub limit_cut_at: Micros,
    /// Nothing is dispatched to it before this instant.
    pub backoff_until: Micros,
    /// Its last load report.
    pub report: LoadReport,
    /// When that came; zero if there is none.
    pub reported_at: Micros,
    /// The dispatch of the newest attempt that it accepted.
    pub accepted_at: Micros,
    /// The dispatch of the newest attempt or load command that it rejected.
    pub rejected_at: Micros,
    /// When it last could not be reached or its connection broke.
    pub lost_at: Micros,
    /// When it was back after that, while the endpoint list was stale and could not tell of a restart.
    pub presumed_restart_at: Micros,
    /// When it last answered anything.
    pub last_response_at: Micros,
    /// When the health check was sent that it has not answered.
    pub unanswered_check_at: Option<Micros>,
    /// Health checks in a row that it has not answered.
    pub unanswered_checks: u32,
    /// It did not answer, or could not be reached, and gets nothing new until it answers.
    pub is_ejected: bool,
    /// Counts errors, halved by each success.
    pub failure_score: u32,
    /// The function of the last error.
    pub last_failed_function: FunctionId,
    /// It counts as congested until then.
    pub congested_until: Micros,
    /// Work, in microseconds, that may be dispatched while it warms up; negative if that was overdrawn.
    pub slow_start_budget_us: f64,
    /// When that budget was last brought up to date.
    pub slow_start_budget_at: Micros,
}
