//! Messages between an edge and a worker.

use super::Hello;
use minicbor::{Decode, Encode};

/// From an edge to a worker.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum ToWorker {
    /// The first message of the edge.
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// Executes a request; answered by a [`Done`].
    #[n(1)]
    Execute(#[n(0)] Execute),
    /// Cancels an execution; not answered.
    #[n(2)]
    Cancel(#[n(0)] Cancel),
    /// Loads instances of a function; answered by a [`LoadDone`].
    #[n(3)]
    Load(#[n(0)] Load),
    /// Unloads idle instances of a function; not answered.
    #[n(4)]
    Unload(#[n(0)] Unload),
    /// Checks the worker's health; answered immediately by a [`HealthStatus`], without queueing.
    #[n(5)]
    HealthCheck(#[n(0)] HealthCheck),
}

/// From a worker to an edge.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum FromWorker {
    /// The first message of the worker.
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// Answers an [`Execute`], exactly once.
    #[n(1)]
    Done(#[n(0)] Done),
    /// Answers a [`Load`], exactly once.
    #[n(2)]
    LoadDone(#[n(0)] LoadDone),
    /// Answers a [`HealthCheck`].
    #[n(3)]
    HealthStatus(#[n(0)] HealthStatus),
}

/// One attempt to execute a request.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Execute {
    /// Identifies this execution on its connection and is never reused there.
    #[n(0)]
    pub id: u64,
    /// The name of the request's workload.
    #[n(1)]
    pub workload: String,
    /// The name of the function to execute.
    #[n(2)]
    pub function: String,
    /// How long after the execution's arrival an answer is useful, in microseconds. The worker drops an execution that
    /// has not begun by then.
    #[n(3)]
    pub time_limit_us: i64,
    /// Memory of one instance in MB (2^20 bytes).
    #[n(4)]
    pub memory_mb: f64,
    /// Maximum number of requests that one instance executes at a time.
    #[n(5)]
    pub concurrency: u32,
    /// The idempotency key. A worker that knows of a finished execution with this key answers
    /// [`ExecutionStatus::Finished`] and executes nothing.
    #[n(6)]
    pub idempotency_key: Option<String>,
    /// The client's trace id, passed through unchanged.
    #[n(7)]
    pub trace: Option<String>,
    /// The request's body.
    #[n(8)]
    #[cbor(with = "minicbor::bytes", default)]
    pub body: Vec<u8>,
    /// The customer to which the request is attributed.
    #[n(9)]
    pub customer: Option<String>,
}

/// Cancels an execution that the edge no longer waits for. The worker drops it if it has not begun.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Cancel {
    /// The execution's id.
    #[n(0)]
    pub id: u64,
}

/// A load command, which requests that at least this many instances of a function are loaded. Instances that are
/// already loaded or loading count, and the idle time of idle ones is reset.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Load {
    /// Identifies this load command on its connection.
    #[n(0)]
    pub id: u64,
    /// The name of the function.
    #[n(1)]
    pub function: String,
    /// The number of instances; zero only queries how many there are.
    #[n(2)]
    pub instances: u32,
    /// Memory of one instance in MB (2^20 bytes).
    #[n(3)]
    pub memory_mb: f64,
    /// Maximum number of requests that one instance executes at a time.
    #[n(4)]
    pub concurrency: u32,
}

/// Unloads all idle instances of a function.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Unload {
    /// The name of the function.
    #[n(0)]
    pub function: String,
}

/// A health check.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct HealthCheck {
    /// Identifies this health check on its connection.
    #[n(0)]
    pub id: u64,
}

/// How an execution or a load command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ExecutionStatus {
    /// The execution or load succeeded.
    #[n(0)]
    Finished,
    /// The execution or load failed, and it ran or may have run.
    #[n(1)]
    Error,
    /// The worker rejected it: no capacity, or draining. It has not run.
    #[n(2)]
    Rejected,
    /// The function is not loaded on this worker, or its load failed. It has not run.
    #[n(3)]
    ColdMiss,
    /// Its deadline was exceeded, or it was cancelled, before it began. It has not run.
    #[n(4)]
    Dropped,
}

/// The state of the function's instance when an execution arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum InstanceState {
    /// An instance was loaded.
    #[n(1)]
    Warm,
    /// This execution started a load.
    #[n(2)]
    StartedLoad,
    /// This execution waited for a load that was already in progress.
    #[n(3)]
    WaitedForLoad,
    /// The load failed.
    #[n(4)]
    LoadFailed,
}

/// The end of an execution. An edge ignores a second one for the same id.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Done {
    /// The execution's id.
    #[n(0)]
    pub id: u64,
    /// How it ended.
    #[n(1)]
    pub status: ExecutionStatus,
    /// The instance's state when it arrived.
    #[n(2)]
    pub instance: Option<InstanceState>,
    /// Requests for the same function that the worker had in flight when it arrived.
    #[n(3)]
    pub function_in_flight: Option<u32>,
    /// The worker's load report.
    #[n(4)]
    pub report: Option<LoadReport>,
    /// The response's body.
    #[n(5)]
    #[cbor(with = "minicbor::bytes", default)]
    pub body: Vec<u8>,
    /// Requests per second of this request's customer on this worker, from all edges and including this request. Each
    /// request counts as one on arrival and decays exponentially with a time constant of one second.
    #[n(6)]
    pub customer_rate: Option<f64>,
    /// Requests per second of all customers on this worker, computed like `customer_rate`.
    #[n(7)]
    pub total_rate: Option<f64>,
}

/// The end of a load command.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct LoadDone {
    /// The load command's id.
    #[n(0)]
    pub id: u64,
    /// How it ended.
    #[n(1)]
    pub status: ExecutionStatus,
    /// Instances of the function that are loaded now.
    #[n(2)]
    pub instances: u32,
}

/// The answer to a health check.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct HealthStatus {
    /// The health check's id.
    #[n(0)]
    pub id: u64,
    /// The worker's load report.
    #[n(1)]
    pub report: Option<LoadReport>,
}

/// A worker's load, counting the requests of all edges.
#[derive(Clone, Copy, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct LoadReport {
    /// Requests that it has accepted and not answered.
    #[n(0)]
    pub in_flight: Option<f64>,
    /// Requests in flight that wait for a core or an instance.
    #[n(1)]
    pub queued: Option<f64>,
    /// Fraction of its cores that is busy, 0 to 1.
    #[n(2)]
    pub busy: Option<f64>,
    /// Fraction of its memory that can't be freed, 0 to 1.
    #[n(3)]
    pub memory_pinned: Option<f64>,
    /// Loads that are in progress or waiting.
    #[n(4)]
    pub loads_in_progress: Option<f64>,
}
