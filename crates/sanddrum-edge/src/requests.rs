//! Pending requests and their attempts. Each request gets exactly one final response unless its client disconnects or
//! cancels it.

use crate::idempotency_key::WorkerLocation;
use crate::message::AttemptId;
use crate::recent_calls::{EarlierCall, RecentCalls};
use crate::responses::ErrorKind;
use sanddrum::{CustomerId, FunctionId, Outcome, RequestId, WorkerId, WorkloadId};
use sanddrum_net::{ConnectionId, Micros};
use sanddrum_upstream::WorkerConnectionId;
use std::collections::BTreeMap;

/// A validated request, independent of the protocol it was received over.
#[derive(Default)]
pub(crate) struct RequestSpec {
    /// The id that the client assigned; zero over HTTP, which has none.
    pub call_id: u64,
    /// The workload that the function belongs to.
    pub workload: WorkloadId,
    /// The function to run.
    pub function: FunctionId,
    /// Memory of one instance of the function, in megabytes.
    pub memory_mb: f64,
    /// Requests that one instance serves concurrently.
    pub concurrency: f64,
    /// How long the function takes to load, if known.
    pub load_time: Option<Micros>,
    /// The time left until the response is due.
    pub time_limit: Micros,
    /// How long it may have waited unread; zero if that was short.
    pub unread_for: Micros,
    /// The expected processor time, if the client states it.
    pub expected_work: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Requests with the same key take effect once.
    pub idempotency_key: Option<String>,
    /// The trace id, if the client sent one.
    pub trace: Option<String>,
    /// The customer's name, if known.
    pub customer: Option<String>,
    /// The customer's index in the settings.
    pub customer_id: CustomerId,
    /// The payload.
    pub body: Vec<u8>,
}

/// A request that has no final response yet, or that still has attempts in flight.
pub(crate) struct PendingRequest {
    /// The connection of the client.
    pub client: ConnectionId,
    /// Identifies the request on its connection: its sequence number over HTTP, its request id over FastCGI.
    pub slot: u64,
    /// When the final response is due: shortly before the client stops waiting, or when the deadline of a shutdown is
    /// reached, if that is earlier.
    pub deadline: Micros,
    /// The validated request. Its body is dropped when the request is closed.
    pub spec: RequestSpec,
    /// Whether it counts against the customer limits until it is closed.
    pub is_admitted: bool,
    /// All attempts, in dispatch order.
    pub attempts: Vec<AttemptId>,
    /// The number of attempts in flight.
    pub in_flight: usize,
    /// The first attempt that has ended and may have run.
    pub first_run: Option<PossibleRun>,
    /// The outcome of the attempt that ended last; logged as the reason for a retry.
    pub last_outcome: Option<Outcome>,
    /// Whether the end of an attempt had to be proved; logged at the default level.
    pub is_unusual: bool,
    /// Whether it has its final response or its client has disconnected or cancelled it.
    pub is_closed: bool,
}

impl PendingRequest {
    /// Creates an open request without attempts.
    pub fn new(client: ConnectionId, slot: u64, deadline: Micros, spec: RequestSpec) -> Self {
        PendingRequest {
            client,
            slot,
            deadline,
            spec,
            is_admitted: false,
            attempts: Vec::new(),
            in_flight: 0,
            first_run: None,
            last_outcome: None,
            is_unusual: false,
            is_closed: false,
        }
    }
}

/// An attempt in flight.
pub(crate) struct Attempt {
    /// The request that it belongs to.
    pub request: RequestId,
    /// Its index among the attempts of the request.
    pub index: usize,
    /// The worker that it was dispatched to.
    pub worker: WorkerId,
    /// Where the worker was then, if it was listed.
    pub location: Option<WorkerLocation>,
    /// The connection that it was queued on; `None` if it could not be sent.
    pub connection: Option<WorkerConnectionId>,
    /// When it was dispatched.
    pub sent_at: Micros,
    /// When the time limit in its encoded frame was computed.
    pub deadline_encoded_at: Micros,
    /// When it times out.
    pub deadline: Micros,
    /// Before when its last byte must be written.
    pub send_deadline: Micros,
    /// When its last byte was written, and how long its connection had been open then.
    pub written: Option<WrittenAttempt>,
    /// Set once the edge no longer waits for its answer, while its end at the worker is not proved.
    pub give_up: Option<GiveUp>,
    /// Set once its connection was lost, while its end at the worker is not proved.
    pub loss: Option<AttemptLoss>,
}

impl Attempt {
    /// The attempt as one that may have run.
    fn possible_run(&self) -> PossibleRun {
        PossibleRun {
            sent_at: self.sent_at,
            location: self.location,
        }
    }
}

/// An attempt that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    /// When it was dispatched.
    pub sent_at: Micros,
    /// Where its worker was then, if it was listed.
    pub location: Option<WorkerLocation>,
}

/// When the last byte of an attempt was written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WrittenAttempt {
    /// When it was written.
    pub at: Micros,
    /// The connection.
    pub connection: WorkerConnectionId,
    /// How long the connection had been open.
    pub connection_age: Micros,
}

/// Why the edge no longer waits for the answer to an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GiveUp {
    /// The outcome to report once the worker has ended the attempt.
    pub outcome: Outcome,
    /// When it was given up.
    pub at: Micros,
    /// When the last byte of its cancellation was written.
    pub cancel_written_at: Option<Micros>,
}

/// The loss of the connection of an attempt that may still run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLoss {
    /// When the connection was lost.
    pub at: Micros,
    /// Whether the worker is known to have read the attempt before.
    pub is_known_read: bool,
}

/// A final response that waits until the worker has read or ended an attempt of its request.
#[derive(Clone, Debug)]
pub(crate) struct DeferredAnswer {
    /// The response.
    pub answer: FinalAnswer,
    /// When it was decided.
    pub decided_at: Micros,
}

/// A final response before it is encoded.
#[derive(Clone, Debug)]
pub(crate) enum FinalAnswer {
    /// The request finished.
    Finished(FinishedAnswer),
    /// The request did not finish.
    Error(ErrorAnswer),
}

/// The result of a request.
#[derive(Clone, Debug)]
pub(crate) struct FinishedAnswer {
    /// The name of the worker that ran it.
    pub worker: String,
    /// The state of the instance that the worker reported, as written on the wire.
    pub instance: &'static str,
    /// The result.
    pub body: Vec<u8>,
}

/// Why a request did not finish.
#[derive(Clone, Debug)]
pub(crate) struct ErrorAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request is rejected or failed.
    pub kind: ErrorKind,
    /// The name of the reason.
    pub reason: &'static str,
    /// A human-readable explanation.
    pub detail: String,
    /// How long the client is asked to wait before it retries.
    pub retry_after: Option<Micros>,
}

impl FinalAnswer {
    /// The HTTP status and the reason, for the log.
    pub fn status_and_reason(&self) -> (u16, &'static str) {
        match self {
            FinalAnswer::Finished(_) => (200, "finished"),
            FinalAnswer::Error(error) => (error.status, error.reason),
        }
    }
}

/// All pending requests and attempts.
#[derive(Default)]
pub(crate) struct Requests {
    requests: BTreeMap<RequestId, PendingRequest>,
    attempts: BTreeMap<AttemptId, Attempt>,
    next_request: u64,
    last_attempt: u64,
    open_count: usize,
    /// Requests by client-assigned id, including closed ones with attempts in flight.
    by_call_id: BTreeMap<u64, RequestId>,
    /// Requests that have ended and may have run.
    recent_calls: RecentCalls,
    /// Bytes of the bodies of all open requests.
    body_bytes: usize,
    /// Final responses that wait, by request.
    deferred: BTreeMap<RequestId, DeferredAnswer>,
}

impl Requests {
    /// The number of requests, including closed ones with attempts in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// The number of open requests.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// The ids of all open requests.
    pub fn open_ids(&self) -> Vec<RequestId> {
        let open = self
            .requests
            .iter()
            .filter(|(_, request)| !request.is_closed);
        open.map(|(id, _)| *id).collect()
    }

    /// The functions of all requests.
    pub fn functions(&self) -> impl Iterator<Item = FunctionId> + '_ {
        self.requests.values().map(|request| request.spec.function)
    }

    /// What is known of an earlier request with this client-assigned id. One that has ended counts for `retention`.
    pub fn earlier_call(&mut self, now: Micros, call_id: u64, retention: Micros) -> EarlierCall {
        let earlier = self.by_call_id.get(&call_id);
        match earlier.and_then(|id| self.requests.get(id)) {
            Some(request) if request.is_closed => EarlierCall::Ending,
            Some(_) => EarlierCall::Open,
            None if self.recent_calls.contains(now, call_id, retention) => EarlierCall::MayHaveRun,
            None => EarlierCall::None,
        }
    }

    /// Bytes of the bodies of all open requests.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns a request, open or closed with attempts in flight.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Returns an open request.
    pub fn get_open(&self, id: RequestId) -> Option<&PendingRequest> {
        self.get(id).filter(|request| !request.is_closed)
    }

    /// Allocates a request id.
    pub fn allocate_id(&mut self) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        id
    }

    /// Adds a request under an id from [`allocate_id`](Self::allocate_id).
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.open_count += 1;
        self.body_bytes += request.spec.body.len();
        self.by_call_id.insert(request.spec.call_id, id);
        self.requests.insert(id, request);
    }

    /// Sets whether a request counts against the customer limits.
    pub fn set_admitted(&mut self, id: RequestId, is_admitted: bool) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_admitted = is_admitted;
        }
    }

    /// Closes an open request and drops its body. Returns `None` if it is closed already or unknown.
    pub fn close(&mut self, id: RequestId) -> Option<&PendingRequest> {
        let request = self.requests.get_mut(&id)?;
        if request.is_closed {
            return None;
        }
        request.is_closed = true;
        self.deferred.remove(&id);
        self.open_count -= 1;
        self.body_bytes -= std::mem::take(&mut request.spec.body).len();
        Some(request)
    }

    /// Removes a request if it is closed and has no attempt in flight.
    pub fn remove_if_done(&mut self, now: Micros, id: RequestId) {
        let is_done = |request: &PendingRequest| request.is_closed && request.in_flight == 0;
        if !self.requests.get(&id).is_some_and(is_done) {
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let call_id = request.spec.call_id;
        if self.by_call_id.get(&call_id) == Some(&id) {
            self.by_call_id.remove(&call_id);
        }
        if request.first_run.is_some() {
            self.recent_calls.record(now, call_id);
        }
    }

    /// Allocates the id of a request's next attempt and returns it with its index. `None` if the request is unknown.
    pub fn begin_attempt(&mut self, id: RequestId) -> Option<(AttemptId, usize)> {
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let request = self.requests.get_mut(&id)?;
        let index = request.attempts.len();
        request.attempts.push(attempt);
        request.in_flight += 1;
        Some((attempt, index))
    }

    /// Adds an attempt under an id from [`begin_attempt`](Self::begin_attempt).
    pub fn insert_attempt(&mut self, id: AttemptId, attempt: Attempt) {
        self.attempts.insert(id, attempt);
    }

    /// Returns an attempt in flight.
    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id)
    }

    /// The connection of an attempt in flight.
    pub fn connection_of(&self, id: AttemptId) -> Option<WorkerConnectionId> {
        self.attempt(id)?.connection
    }

    /// The id of a request's attempt, by its index.
    pub fn attempt_at(&self, id: RequestId, index: usize) -> Option<AttemptId> {
        self.get(id)?.attempts.get(index).copied()
    }

    /// The ids of all attempts of a request, in flight or not.
    pub fn attempts_of(&self, id: RequestId) -> Vec<AttemptId> {
        self.get(id)
            .map(|request| request.attempts.clone())
            .unwrap_or_default()
    }

    /// The first attempt of a request that may have run, in flight or ended, other than this one.
    pub fn first_run_before(&self, id: AttemptId) -> Option<PossibleRun> {
        let request = self.get(self.attempt(id)?.request)?;
        let others = request.attempts.iter().filter(|other| **other != id);
        let in_flight = others.filter_map(|other| self.attempt(*other).map(Attempt::possible_run));
        in_flight
            .chain(request.first_run)
            .min_by_key(|run| run.sent_at)
    }

    /// Returns an attempt in flight for changes.
    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.get_mut(&id)
    }

    /// Records that the end of an attempt of a request has to be proved.
    pub fn set_unusual(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_unusual = true;
        }
    }

    /// Makes the final response of an open request wait.
    pub fn defer_answer(&mut self, id: RequestId, answer: DeferredAnswer) {
        self.deferred.entry(id).or_insert(answer);
    }

    /// Replaces an error response that waits by a result. A result that waits already stays.
    pub fn replace_deferred_error(&mut self, id: RequestId, result: FinishedAnswer) {
        let deferred = self.deferred.get_mut(&id);
        let error = deferred.filter(|deferred| matches!(deferred.answer, FinalAnswer::Error(_)));
        if let Some(deferred) = error {
            deferred.answer = FinalAnswer::Finished(result);
        }
    }

    /// Whether the final response of a request waits.
    pub fn is_deferred(&self, id: RequestId) -> bool {
        self.deferred.contains_key(&id)
    }

    /// The requests whose final responses wait.
    pub fn deferred_ids(&self) -> Vec<RequestId> {
        self.deferred.keys().copied().collect()
    }

    /// Takes the final response of a request, if it waits.
    pub fn take_deferred(&mut self, id: RequestId) -> Option<DeferredAnswer> {
        self.deferred.remove(&id)
    }

    /// Records that the frame of an attempt was re-encoded with its current time limit.
    pub fn set_deadline_encoded_at(&mut self, id: AttemptId, now: Micros) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.deadline_encoded_at = now;
        }
    }

    /// Removes an attempt that has ended.
    pub fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        self.attempts.remove(&id)
    }

    /// Records the outcome of an attempt in its request, and removes the request if it is done. Returns whether the
    /// request is closed.
    pub fn record_outcome(&mut self, now: Micros, attempt: &Attempt, outcome: Outcome) -> bool {
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        request.in_flight = request.in_flight.saturating_sub(1);
        if may_have_run(outcome) {
            let earlier = request.first_run.take();
            let runs = earlier.into_iter().chain([attempt.possible_run()]);
            request.first_run = runs.min_by_key(|run| run.sent_at);
        }
        request.last_outcome = Some(outcome);
        let is_closed = request.is_closed;
        self.remove_if_done(now, id);
        is_closed
    }
}

/// Whether an attempt with this outcome may have run.
fn may_have_run(outcome: Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::Rejected
            | Outcome::NoConnection
            | Outcome::CancelledBeforeStart
            | Outcome::ColdMiss
    )
}
