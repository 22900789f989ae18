//! What the decision module remembers, as plain data. The decisions, and every constant, are in `logic`.

mod function;
mod request;
mod worker;

pub(crate) use function::{Function, Functions, InstanceCommand, InstanceState};
pub(crate) use request::{Attempt, AttemptStatus, PendingRequest};
pub(crate) use worker::{InFlightAttempt, Worker};

use crate::{FunctionId, Micros, RequestId, WorkerId};
use std::collections::VecDeque;

/// What is to be done at an instant. Timers of one instant fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A request's deadline.
    Deadline(RequestId),
    /// An attempt at the worker is overdue, or a health check of it is.
    WorkerOverdue(WorkerId),
    /// Instances of the function are to be renewed or unloaded.
    KeepAlive(FunctionId),
    /// The endpoint list is to be subscribed to.
    Subscribe,
}

/// Medians over the workers that reported last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetMedians {
    /// Latency over expected latency.
    pub speed_factor: f64,
    /// Latency over the worker's own baseline.
    pub congestion: f64,
    /// Loads under way or waiting at a worker.
    pub loads_in_progress: f64,
    /// Requests of all routers in flight at a worker of size one.
    pub in_flight: f64,
}

/// What is known of the fleet as a whole.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetView {
    /// Medians of the workers.
    pub medians: FleetMedians,
    /// The fraction of requests that waits for a core at the median worker.
    pub queued_fraction: f64,
    /// Whether any load report is recent enough to judge overload by.
    pub has_recent_report: bool,
    /// Most workers are ejected, which is then taken for a fault of this router's own view.
    pub is_in_panic_mode: bool,
}

/// What counts towards the load budget: the instants within its window.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadBudget {
    /// New requests.
    pub requests: VecDeque<Micros>,
    /// Load commands.
    pub commands: VecDeque<Micros>,
}

/// What is known of loads of any function at any worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadTimes {
    /// The usual time of a load, in microseconds; zero if none was observed.
    pub usual_us: f64,
    /// The time of loads of late as a multiple of the usual.
    pub speed_factor: f64,
    /// When a load was last observed.
    pub speed_factor_at: Micros,
    /// The function whose load failed last.
    pub last_failed: Option<FunctionId>,
    /// No load is commanded before this instant.
    pub backoff_until: Micros,
}

/// An arithmetic mean that can be continued as an exponentially weighted one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    /// The mean so far.
    pub mean: f64,
    /// How many values it is of.
    pub count: f64,
}

/// Decayed sums of the work of requests with a hint and of their hints; their ratio corrects later hints.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HintCalibration {
    /// Work that the requests took, in microseconds.
    pub actual_us: f64,
    /// Work that was expected of them, in microseconds.
    pub expected_us: f64,
}
