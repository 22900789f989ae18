//! Events that the host reports to the decision module: requests, endpoint lists and the outcomes of attempts, load
//! commands and health checks.

use std::collections::BTreeSet;

use crate::{
    CellId, CustomerId, FunctionId, KindId, Micros, PeerId, RequestId, WorkerId, WorkloadId, ZoneId,
};

/// A client's request that the host has admitted.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Unique within the router.
    pub id: RequestId,
    /// The function that it calls.
    pub function: FunctionId,
    /// The workload that it belongs to.
    pub workload: WorkloadId,
    /// The customer that it is made for.
    pub customer: CustomerId,
    /// The instant at which the client gives up waiting for the answer.
    pub deadline: Micros,
    /// Memory that one instance of the function occupies, in megabytes.
    pub memory_mb: f64,
    /// The number of requests that one instance runs concurrently.
    pub concurrency: f64,
    /// The usual time to load the function, if known.
    pub load_time: Option<Micros>,
    /// The client's hint of the expected work, if it sent one.
    pub expected_work: Option<Micros>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
}

/// Whether a worker accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// The worker accepts new work.
    Ready,
    /// The worker finishes its requests and accepts no new ones.
    Draining,
    /// The worker is no longer in the fleet.
    #[default]
    Gone,
}

/// One worker as the endpoint list describes it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The worker's identifier.
    pub worker: WorkerId,
    /// The worker's availability zone.
    pub zone: ZoneId,
    /// The worker's cell.
    pub cell: CellId,
    /// The worker's kind of machine.
    pub kind: KindId,
    /// The worker's capacity relative to that of other workers.
    pub size: f64,
    /// Whether it accepts new work.
    pub state: WorkerState,
    /// When it last started; zero or less if that was long ago.
    pub started_at: Micros,
}

/// How an endpoint list relates to the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// A full snapshot.
    Full,
    /// A full snapshot from this router's cache, possibly stale.
    Cached,
    /// Only the endpoints that changed.
    Delta,
    /// A poll failed or the watch was interrupted. The previous list stays in use; this one has no endpoints.
    Failed,
}

/// An endpoint list received from the discovery service or from the cache.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Whether it is a snapshot, a delta or a failure.
    pub kind: EndpointListKind,
    /// The endpoints that it contains.
    pub endpoints: Vec<Endpoint>,
}

/// How current an endpoint list is known to be, and how long after a later change this router is considered notified of
/// that change, whether or not it has received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointConfirmation {
    /// The list includes all changes before this instant.
    pub confirmed_at: Micros,
    /// From this long after a change, this router may be considered notified of it.
    pub min_notification_delay: Micros,
    /// From this long after a change, this router is always considered notified of it.
    pub max_notification_delay: Micros,
}

/// How an attempt, a load command or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Finished,
    /// The worker responded with an error.
    Error,
    /// The worker rejected it without processing: it has no capacity, or it is draining.
    Rejected,
    /// No answer arrived within the time limit.
    TimedOut,
    /// No connection could be established, so nothing was sent.
    NoConnection,
    /// The connection was reset; the request may have been executed.
    Reset,
    /// This router cancelled it after it had been sent.
    Cancelled,
    /// It was cancelled before it was sent or its execution began, so it has not been executed.
    CancelledBeforeStart,
    /// The function is not loaded at the worker.
    ColdMiss,
}

/// Why a request is rejected or fails without another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerReason {
    /// The request is not placed: it is shed because the fleet is overloaded, or it has too little time, attempts or
    /// retry budget left.
    Overloaded,
    /// The retry policy allows no worker for another attempt.
    NoWorker,
    /// The endpoint list is stale and no worker has accepted an attempt recently.
    EndpointsStale,
    /// Waiting for an instance or for capacity would take too long.
    WaitTooLong,
    /// Loading the function would take too long.
    LoadTooLong,
    /// The deadline has passed.
    DeadlinePassed,
    /// The host is shutting down.
    ShuttingDown,
}

impl AnswerReason {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AnswerReason::Overloaded => "overloaded",
            AnswerReason::NoWorker => "no-worker",
            AnswerReason::EndpointsStale => "endpoints-stale",
            AnswerReason::WaitTooLong => "wait-too-long",
            AnswerReason::LoadTooLong => "load-too-long",
            AnswerReason::DeadlinePassed => "deadline-passed",
            AnswerReason::ShuttingDown => "shutting-down",
        }
    }
}

/// What an attempt's answer shows about the instance that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// The worker does not report it.
    Unknown,
    /// An instance was already loaded.
    Warm,
    /// The attempt started a load.
    StartedLoad,
    /// The attempt waited for a load that was already in progress.
    WaitedForLoad,
    /// The load that the attempt waited for failed.
    LoadFailed,
}

/// A worker's load report. Values that the worker does not report are absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests from all routers that the worker has accepted and not yet answered.
    pub in_flight: Option<f64>,
    /// Requests from all routers that are queued at the worker; `in_flight` includes them.
    pub queued: Option<f64>,
    /// Fraction of the worker's cores that is busy, 0 to 1.
    pub busy: Option<f64>,
    /// Mean latency of recent requests, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests finished per second.
    pub finished_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
    /// Fraction of its memory that cannot be freed, 0 to 1.
    pub memory_pinned: Option<f64>,
    /// Loads that are in progress or queued.
    pub loads_in_progress: Option<f64>,
}

/// The outcome of one attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt within the request: from zero, in the order of dispatch.
    pub attempt: usize,
    /// The worker that it was dispatched to.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: Outcome,
    /// From dispatch to outcome.
    pub latency: Micros,
    /// Whether the request has its final answer.
    pub is_final: bool,
    /// What the answer shows about the instance.
    pub warmth: Warmth,
    /// Requests for the same function in flight at the worker when this one arrived, if reported.
    pub function_in_flight: Option<u32>,
    /// The load report that came with the answer.
    pub report: Option<LoadReport>,
}

/// The outcome of a load command.
#[derive(Clone, Copy, Debug)]
pub struct LoadResult {
    /// The worker that received the command.
    pub worker: WorkerId,
    /// The function.
    pub function: FunctionId,
    /// How it ended.
    pub outcome: Outcome,
    /// From command to outcome.
    pub latency: Micros,
    /// Instances now loaded at the worker.
    pub instances: u32,
}

/// The outcome of a health check.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    /// The worker that was checked.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: Outcome,
    /// From check to outcome.
    pub latency: Micros,
    /// The load report that came with the answer.
    pub report: Option<LoadReport>,
}

/// A message from another router.
#[derive(Clone, Debug)]
pub struct GossipMessage {
    /// The sender.
    pub from: PeerId,
    /// The content, which the host does not interpret.
    pub payload: Vec<u8>,
}

/// All events since the last batch, one list per kind of event.
#[derive(Clone, Debug, Default)]
pub struct EventBatch {
    /// Endpoint lists, oldest first.
    pub endpoint_lists: Vec<EndpointList>,
    /// How current the endpoint list is, including the lists of this batch. Absent if nothing has changed, and always
    /// if the host does not know the age of its lists.
    pub endpoint_confirmation: Option<EndpointConfirmation>,
    /// New requests.
    pub requests: Vec<Request>,
    /// Outcomes of attempts.
    pub attempt_results: Vec<AttemptResult>,
    /// Outcomes of load commands.
    pub load_results: Vec<LoadResult>,
    /// Outcomes of health checks.
    pub health_check_results: Vec<HealthCheckResult>,
    /// Messages from other routers.
    pub gossip: Vec<GossipMessage>,
    /// Requests whose client cancelled them or disconnected.
    pub cancelled: Vec<RequestId>,
    /// Workers to which a connection was lost while attempts on it may still run. The results of these attempts follow.
    pub lost_workers: BTreeSet<WorkerId>,
    /// The instant requested through [`Decisions::wake_at`](crate::Decisions::wake_at) has been reached.
    pub timer: bool,
    /// The host is shutting down: every request in flight gets its final answer in this batch.
    pub shutting_down: bool,
}
