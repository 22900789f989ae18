//! What the decision module remembers, as plain data. The decisions, and every constant, are in `logic`.

mod function;
mod request;
mod worker;

pub(crate) use function::{Function, Functions, InstanceCommand, InstanceState};
pub(crate) use request::{Attempt, AttemptStatus, PendingRequest};
pub(crate) use worker::{InFlightAttempt, Worker};

use crate::{FunctionId, RequestId, WorkerId};

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
