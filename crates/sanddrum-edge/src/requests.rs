//! The requests that this edge holds and their attempts. Each request gets exactly one final response.

use crate::message::AttemptId;
use sanddrum::{CustomerId, FunctionId, Outcome, RequestId, WorkerId, WorkloadId};
use sanddrum_net::{ConnectionId, Micros};
use sanddrum_upstream::WorkerConnectionId;
use std::collections::BTreeMap;

/// A call as a client made it, whatever protocol it came by.
#[derive(Default)]
pub(crate) struct Call {
    /// The caller's own id of the call; zero where the protocol has none.
    pub call_id: u64,
    /// The workload that the function belongs to.
    pub workload: WorkloadId,
    /// The function that is called.
    pub function: FunctionId,
    /// Memory of one instance, in megabytes.
    pub memory_mb: f64,
    /// Requests that one instance serves at a time.
    pub concurrency: f64,
    /// How long a load of the function takes, where that is known.
    pub load_time: Option<Micros>,
    /// The time that is left for the answer.
    pub time_limit: Micros,
    /// The processor time that the call is expected to take, where that is known.
    pub expected_work: Option<Micros>,
    /// The client has made this call before.
    pub is_retry: bool,
    /// Calls with the same key have the effect of one.
    pub idempotency_key: Option<String>,
    /// The client's trace id.
    pub trace: Option<String>,
    /// The customer's name, where it is known.
    pub customer: Option<String>,
    /// The customer by its place in the settings.
    pub customer_id: CustomerId,
    /// The payload.
    pub body: Vec<u8>,
}

/// A request that has no final response yet, or that still has attempts in flight.
pub(crate) struct PendingRequest {
    /// The client's connection.
    pub client: ConnectionId,
    /// The request's place among those of its connection.
    pub slot: u64,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// The call. Its body is dropped with the final response.
    pub call: Call,
    /// It was admitted by the customer limits and counts among them until it is closed.
    pub is_admitted: bool,
    /// All attempts, in the order in which they were dispatched.
    pub attempts: Vec<AttemptId>,
    /// The number of attempts that have not ended.
    pub in_flight: usize,
    /// An attempt that has ended has run, or may have.
    pub may_have_run: bool,
    /// How the last attempt that has ended did so; the reason of a retry.
    pub last_outcome: Option<Outcome>,
    /// It has its final response, or its client has disconnected.
    pub is_closed: bool,
}

impl PendingRequest {
    /// A request without attempts.
    pub fn new(client: ConnectionId, slot: u64, deadline: Micros, call: Call) -> Self {
        PendingRequest {
            client,
            slot,
            deadline,
            call,
            is_admitted: false,
            attempts: Vec::new(),
            in_flight: 0,
            may_have_run: false,
            last_outcome: None,
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
    /// The connection that it was dispatched on; none where it could not be dispatched.
    pub connection: Option<WorkerConnectionId>,
    /// When it was dispatched.
    pub sent_at: Micros,
    /// When the time limit in its frame was computed.
    pub deadline_encoded_at: Micros,
    /// When it times out.
    pub deadline: Micros,
}

/// All pending requests and attempts.
#[derive(Default)]
pub(crate) struct Requests {
    requests: BTreeMap<RequestId, PendingRequest>,
    attempts: BTreeMap<AttemptId, Attempt>,
    next_request: u64,
    last_attempt: u64,
    open_count: usize,
    /// Open requests by their callers' ids.
    by_call_id: BTreeMap<u64, RequestId>,
    /// Bytes of the bodies of all open requests.
    body_bytes: usize,
}

impl Requests {
    /// The number of requests that are remembered, open or not.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// The number of requests without a final response.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// The ids of all requests without a final response.
    pub fn open_ids(&self) -> Vec<RequestId> {
        let open = self
            .requests
            .iter()
            .filter(|(_, request)| !request.is_closed);
        open.map(|(id, _)| *id).collect()
    }

    /// Whether a call with this id of the caller's is open.
    pub fn is_call_open(&self, call_id: u64) -> bool {
        self.by_call_id.contains_key(&call_id)
    }

    /// Bytes of the bodies of all open requests.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// A request that is remembered, open or not.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// A request without a final response.
    pub fn get_open(&self, id: RequestId) -> Option<&PendingRequest> {
        self.get(id).filter(|request| !request.is_closed)
    }

    /// Reserves the id of a further request.
    pub fn reserve_id(&mut self) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        id
    }

    /// Adds a request under an id that was reserved for it.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.open_count += 1;
        self.body_bytes += request.call.body.len();
        self.by_call_id.insert(request.call.call_id, id);
        self.requests.insert(id, request);
    }

    /// Records whether a request counts among those that the customer limits admitted.
    pub fn set_admitted(&mut self, id: RequestId, is_admitted: bool) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_admitted = is_admitted;
        }
    }

    /// Closes an open request and drops its body; none where it is closed already.
    pub fn close(&mut self, id: RequestId) -> Option<&PendingRequest> {
        let request = self.requests.get_mut(&id)?;
        if request.is_closed {
            return None;
        }
        request.is_closed = true;
        self.open_count -= 1;
        self.body_bytes -= std::mem::take(&mut request.call.body).len();
        let call_id = request.call.call_id;
        if self.by_call_id.get(&call_id) == Some(&id) {
            self.by_call_id.remove(&call_id);
        }
        Some(request)
    }

    /// Removes a request that is closed and has no attempt in flight.
    pub fn remove_if_done(&mut self, id: RequestId) {
        let is_done = |request: &PendingRequest| request.is_closed && request.in_flight == 0;
        if self.requests.get(&id).is_some_and(is_done) {
            self.requests.remove(&id);
        }
    }

    /// Reserves the id of a further attempt and returns it with its index; none where the request is unknown.
    pub fn begin_attempt(&mut self, id: RequestId) -> Option<(AttemptId, usize)> {
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let request = self.requests.get_mut(&id)?;
        let index = request.attempts.len();
        request.attempts.push(attempt);
        request.in_flight += 1;
        Some((attempt, index))
    }

    /// Adds an attempt under an id that was reserved for it.
    pub fn insert_attempt(&mut self, id: AttemptId, attempt: Attempt) {
        self.attempts.insert(id, attempt);
    }

    /// An attempt in flight.
    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id)
    }

    /// The connection of an attempt in flight.
    pub fn connection_of(&self, id: AttemptId) -> Option<WorkerConnectionId> {
        self.attempt(id)?.connection
    }

    /// The id of the attempt at this index of a request.
    pub fn attempt_at(&self, id: RequestId, index: usize) -> Option<AttemptId> {
        self.get(id)?.attempts.get(index).copied()
    }

    /// The ids of all attempts of a request, in flight or not.
    pub fn attempts_of(&self, id: RequestId) -> Vec<AttemptId> {
        self.get(id)
            .map(|request| request.attempts.clone())
            .unwrap_or_default()
    }

    /// Records that the frame of an attempt was encoded again.
    pub fn set_deadline_encoded_at(&mut self, id: AttemptId, now: Micros) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.deadline_encoded_at = now;
        }
    }

    /// Removes an attempt that has ended.
    pub fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        self.attempts.remove(&id)
    }

    /// Records in the request how one of its attempts ended. Returns whether the request is closed.
    pub fn record_outcome(&mut self, id: RequestId, outcome: Outcome) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return true;
        };
        request.in_flight = request.in_flight.saturating_sub(1);
        request.may_have_run |= may_have_run(outcome);
        request.last_outcome = Some(outcome);
        let is_closed = request.is_closed;
        self.remove_if_done(id);
        is_closed
    }
}

/// Whether an attempt with this outcome has run, or may have.
fn may_have_run(outcome: Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::Rejected
            | Outcome::NoConnection
            | Outcome::CancelledBeforeStart
            | Outcome::ColdMiss
    )
}
