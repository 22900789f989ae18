//! What a host reports to the decision module: requests, endpoint lists and the outcomes of what it carried out.

use crate::{
    CellId, CustomerId, FunctionId, KindId, Micros, PeerId, RequestId, WorkerId, WorkloadId, ZoneId,
};

/// A client's request as it is admitted by the host.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Unique within the router.
    pub id: RequestId,
    /// The function that it calls.
    pub function: FunctionId,
    /// Its class.
    pub workload: WorkloadId,
    /// On whose behalf it is made.
    pub customer: CustomerId,
    /// The instant at which the client gives this attempt up.
    pub deadline: Micros,
    /// Memory of one loaded instance of the function, in megabytes.
    pub memory_mb: f64,
    /// Requests that one loaded instance runs at a time.
    pub concurrency: f64,
    /// The usual time of a load, where it is known.
    pub load_time: Option<Micros>,
    /// The expected work, where the client gives a hint.
    pub expected_work: Option<Micros>,
    /// Whether the client marked it as a retry of its own.
    pub is_retry: bool,
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is not there any more.
    #[default]
    Gone,
}

/// One worker as the endpoint list describes it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Which worker this is.
    pub worker: WorkerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its capacity relative to other workers.
    pub size: f64,
    /// Whether it takes new work.
    pub state: WorkerState,
    /// When it last started; zero or less means long ago.
    pub started_at: Micros,
}

/// How an endpoint list relates to the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// A full snapshot.
    Full,
    /// A full snapshot that this router had cached, perhaps stale.
    Cached,
    /// Only the endpoints that changed.
    Delta,
    /// A poll failed or the watch broke; the list before holds, and there are no endpoints.
    Failed,
}

/// An endpoint list as it was received.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Whether it is a snapshot, a change or a failure.
    pub kind: EndpointListKind,
    /// The endpoints that it names.
    pub endpoints: Vec<Endpoint>,
}

/// Until when an endpoint list is confirmed, and from when on later changes count as told to this router though it has not
/// received them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointConfirmation {
    /// All changes before this instant are known.
    pub confirmed_at: Micros,
    /// So long after that later changes may count as told.
    pub notified_after: Micros,
    /// So long after that they count as told at the latest.
    pub notified_within: Micros,
}

/// How an attempt, a load command or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Finished,
    /// The worker answered with an error.
    Error,
    /// The worker rejected it without looking at it: no capacity, or it is draining.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// No connection could be had, so that nothing was sent.
    NoConnection,
    /// The connection broke; the request may have run.
    Reset,
    /// It was cancelled by this router after it had been sent.
    Cancelled,
    /// It was cancelled before it was sent or begun, so that it has not run.
    CancelledBeforeStart,
    /// The function is not loaded at that worker.
    ColdMiss,
}

/// Why a request is rejected or fails without another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerReason {
    /// Requests are shed, as the fleet is overloaded.
    Overloaded,
    /// No worker may get another attempt of it.
    NoWorker,
    /// The endpoint list is stale, and no worker has accepted anything lately.
    EndpointsStale,
    /// The wait for an instance or for capacity would be too long.
    WaitTooLong,
    /// A load would take too long.
    LoadTooLong,
    /// Its deadline has come.
    DeadlinePassed,
    /// The host shuts down.
    ShuttingDown,
}

impl AnswerReason {
    /// The name in logs and metrics.
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

/// What an attempt's answer reveals of the instance that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// The worker does not report it.
    Unknown,
    /// A loaded instance was there.
    Warm,
    /// This attempt started a load.
    StartedLoad,
    /// It waited for a load that was under way.
    WaitedForLoad,
    /// The load that it waited for failed.
    LoadFailed,
}

/// A worker's load report; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests that it has accepted and not answered, of all routers.
    pub in_flight: Option<f64>,
    /// Of these, requests that wait.
    pub queued: Option<f64>,
    /// Share of its cores that is busy, 0 to 1.
    pub busy: Option<f64>,
    /// Mean latency of late, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests finished a second.
    pub finished_per_s: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
    /// Share of its memory that can't be freed, 0 to 1.
    pub memory_pinned: Option<f64>,
    /// Loads under way or waiting.
    pub loads_in_progress: Option<f64>,
}

/// The outcome of one attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Which attempt: counted from zero for each request, in the order in which they were dispatched.
    pub attempt: usize,
    /// The worker that it was dispatched to.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: Outcome,
    /// From dispatch to outcome.
    pub latency: Micros,
    /// The request has its final answer.
    pub is_final: bool,
    /// What it reveals of the instance.
    pub warmth: Warmth,
    /// Requests for the same function in flight at the worker as this one arrived, where it is reported.
    pub function_in_flight: Option<u32>,
    /// The load report that came with the answer.
    pub report: Option<LoadReport>,
}

/// The outcome of a load command.
#[derive(Clone, Copy, Debug)]
pub struct LoadResult {
    /// The worker that got the command.
    pub worker: WorkerId,
    /// The function.
    pub function: FunctionId,
    /// How it ended.
    pub outcome: Outcome,
    /// From command to outcome.
    pub latency: Micros,
    /// Instances that are loaded there now.
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
    /// The load report that came with it.
    pub report: Option<LoadReport>,
}

/// A message of another router.
#[derive(Clone, Debug)]
pub struct GossipMessage {
    /// Its sender.
    pub from: PeerId,
    /// Its content, which the host does not interpret.
    pub payload: Vec<u8>,
}

/// Everything that came in since the last batch, one list for each kind of event.
#[derive(Clone, Debug, Default)]
pub struct EventBatch {
    /// Endpoint lists, oldest first.
    pub endpoint_lists: Vec<EndpointList>,
    /// Until when the endpoint list, with the lists of this batch, is confirmed. Absent where there is nothing new to state,
    /// and always where lists come by themselves and their age is not known.
    pub endpoint_confirmation: Option<EndpointConfirmation>,
    /// New requests.
    pub requests: Vec<Request>,
    /// Attempts that ended.
    pub attempt_results: Vec<AttemptResult>,
    /// Load commands that ended.
    pub load_results: Vec<LoadResult>,
    /// Health checks that ended.
    pub health_check_results: Vec<HealthCheckResult>,
    /// Messages of other routers.
    pub gossip: Vec<GossipMessage>,
    /// Requests whose client cancelled them or closed its connection.
    pub cancelled: Vec<RequestId>,
    /// The instant requested by [`Decisions::wake_at`](crate::Decisions::wake_at) has come.
    pub timer: bool,
    /// The host shuts down: every request in flight gets its final answer in this batch.
    pub shutting_down: bool,
}
