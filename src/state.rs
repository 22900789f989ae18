//! The state of the decision module, as plain data. Decisions and constants are in `logic`.

mod function;
mod request;
mod worker;

pub(crate) use function::{Function, Functions, InstanceCommand, InstanceState};
pub(crate) use request::{Attempt, AttemptStatus, PendingRequest};
pub(crate) use worker::{InFlightAttempt, Worker};

use crate::{FunctionId, Micros, RequestId, WorkerId};
use std::collections::VecDeque;

/// What to do at a scheduled instant. Timers of the same instant fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of the request passes.
    Deadline(RequestId),
    /// An attempt or a health check at the worker becomes overdue.
    WorkerOverdue(WorkerId),
    /// A connection for the retry of a request may have to be opened.
    RetryPreparation(RequestId),
    /// Instances of the function are renewed, pre-warmed or unloaded.
    KeepAlive(FunctionId),
    /// The router subscribes to the endpoint list.
    Subscribe,
}

/// Medians over the workers with the most recent load reports.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetMedians {
    /// Latency divided by expected latency.
    pub speed_factor: f64,
    /// Speed factor divided by the worker's own baseline.
    pub congestion: f64,
    /// Loads in progress or queued at a worker.
    pub loads_in_progress: f64,
    /// Requests from all routers in flight at a worker, divided by its size.
    pub in_flight: f64,
}

/// What this router knows about the fleet as a whole.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetView {
    /// Medians over the workers.
    pub medians: FleetMedians,
    /// The fraction of requests at the median worker that wait for a core.
    pub queued_fraction: f64,
    /// Whether any load report is recent enough to detect overload.
    pub has_recent_report: bool,
    /// Most workers are ejected, which more likely shows a fault on this router's side; ejections are then ignored.
    pub is_in_panic_mode: bool,
}

/// The requests and load commands that count towards the load budget: their instants within its window.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadBudget {
    /// New requests.
    pub requests: VecDeque<Micros>,
    /// Load commands.
    pub commands: VecDeque<Micros>,
}

/// Observations of loads, over all functions and workers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadTimes {
    /// The usual time of a load, in microseconds; zero if no load has been observed.
    pub usual_us: f64,
    /// The time of recent loads as a multiple of the usual time.
    pub speed_factor: f64,
    /// When a load was last observed.
    pub speed_factor_at: Micros,
    /// The function whose load failed last.
    pub last_failed: Option<FunctionId>,
    /// No load of a function without an instance is commanded before this instant.
    pub backoff_until: Micros,
}

/// A mean that is updated incrementally: arithmetic at first, exponentially weighted later.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    /// The current mean.
    pub mean: f64,
    /// The number of values recorded.
    pub count: f64,
}

/// Decayed sums of the actual and the expected work of requests with a hint. Their ratio corrects later estimates.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HintCalibration {
    /// The work that the requests took, in microseconds.
    pub actual_us: f64,
    /// The work that was expected, in microseconds.
    pub expected_us: f64,
}
