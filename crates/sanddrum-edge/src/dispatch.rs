//! Carries out what the module decides, as it decides it.

use crate::functions::Functions;
use crate::requests::{Attempt, ErrorResponse, PendingRequest};
use crate::worker_connections::{MessageKey, OutboundMessage};
use crate::{EdgeState, Timer};
use sanddrum::{Decisions, FunctionId, Micros, Outcome, PeerId, RequestId, Warmth, WorkerId};
use sanddrum_limits::Dispatch;
use sanddrum_upstream::WorkerConnectionId;
use sanddrum_wire as wire;

pub(crate) struct Dispatcher<'a> {
    pub inner: &'a mut EdgeState,
    pub now: Micros,
}

/// What a worker is told of an execution that has so long.
pub(crate) fn execute_message(
    functions: &Functions,
    request: &PendingRequest,
    attempt: u64,
    limit: Micros,
) -> wire::Execute {
    let function = functions.get(request.function);
    wire::Execute {
        id: attempt,
        workload: functions
            .workloads
            .get(request.workload.0)
            .cloned()
            .unwrap_or_default(),
        function: function.map(|f| f.name.clone()).unwrap_or_default(),
        time_limit_us: limit,
        memory_mb: function.map_or(0.0, |f| f.memory_mb),
        concurrency: function.map_or(1, |f| f.concurrency),
        idempotency_key: request.idempotency_key.clone(),
        trace: request.trace.clone(),
        body: request.body.clone(),
        customer: request.customer.clone(),
    }
}

impl Decisions for Dispatcher<'_> {
    fn dispatch(&mut self, id: RequestId, worker: WorkerId, limit: Micros) {
        let (inner, now) = (&mut *self.inner, self.now);
        let attempt = inner.requests.next_attempt_id();
        let Some(request) = inner.requests.requests.get_mut(&id) else {
            return;
        };
        let number = request.attempts.len();
        request.attempts.push(attempt);
        request.in_flight += 1;
        let limit = limit.min(request.due - now).max(0);
        let message = execute_message(&inner.functions, request, attempt, limit);
        let call = request.number;
        let wire_id = if inner.protocol.uses_call_ids() {
            call
        } else {
            attempt
        };
        let closed = request.is_closed;
        let customer = request.customer_id;
        let due = now + limit;
        let sent = if closed {
            Err(Outcome::CancelledBeforeStart)
        } else {
            let bytes = inner.protocol.execute(message, call);
            let piece = OutboundMessage {
                mark: MessageKey::Attempt(attempt),
                id: wire_id,
                bytes: &bytes,
            };
            inner.send(now, worker, piece, due)
        };
        let connection = sent.unwrap_or(WorkerConnectionId(u64::MAX));
        let record = Attempt {
            request: id,
            number,
            worker,
            connection,
            sent: now,
            deadline_encoded_at: now,
            due,
        };
        inner.requests.attempts.insert(attempt, record);
        tracing::debug!(
            request = id.0,
            attempt = number,
            worker = inner.worker_connections.name(worker),
            limit,
            "executed"
        );
        match sent {
            Ok(_) => {
                inner
                    .admission
                    .events
                    .dispatched
                    .push(Dispatch { customer, worker });
                inner.timers.insert((due, Timer::AttemptTimeout(attempt)));
            }
            Err(end) => inner.attempt_ended(now, attempt, end, Warmth::Unknown, None, None),
        }
    }

    fn cancel(&mut self, id: RequestId, number: usize) {
        let inner = &mut *self.inner;
        let Some(request) = inner.requests.requests.get(&id) else {
            return;
        };
        let Some(attempt) = request.attempts.get(number).copied() else {
            return;
        };
        let Some(connection) = inner.requests.attempts.get(&attempt).map(|e| e.connection) else {
            return;
        };
        if inner
            .worker_connections
            .retract_attempt(connection, attempt)
        {
            return inner.attempt_ended(
                self.now,
                attempt,
                Outcome::CancelledBeforeStart,
                Warmth::Unknown,
                None,
                None,
            );
        }
        inner.cancel_attempt(connection, attempt);
        inner.attempt_ended(
            self.now,
            attempt,
            Outcome::Cancelled,
            Warmth::Unknown,
            None,
            None,
        );
    }

    fn reject(&mut self, id: RequestId, wait: Micros) {
        let detail =
            "the job has not run, or running it again is harmless; come back after the stated time";
        let refusal = ErrorResponse {
            status: 503,
            end: "pushed-back",
            reason: "not-in-time",
            detail,
            retry_after: Some(wait.max(0)),
            request: Some(id),
        };
        self.inner.admission.events.rejected += 1;
        self.inner.reject_request(self.now, id, &refusal);
    }

    fn fail(&mut self, id: RequestId) {
        let late = self
            .inner
            .requests
            .requests
            .get(&id)
            .is_some_and(|request| request.due <= self.now);
        let (status, reason, detail) = if late {
            (
                504,
                "time-limit",
                "no answer came within the time limit; the job may have run",
            )
        } else {
            (
                502,
                "failed",
                "the job failed and may have run; nothing is promised",
            )
        };
        let refusal = ErrorResponse {
            status,
            end: "killed",
            reason,
            detail,
            retry_after: None,
            request: Some(id),
        };
        self.inner.reject_request(self.now, id, &refusal);
    }

    fn load(&mut self, worker: WorkerId, function: FunctionId, instances: u32) {
        self.inner.send_load(self.now, worker, function, instances);
    }

    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        let Some(name) = self.inner.functions.get(function).map(|f| f.name.clone()) else {
            return;
        };
        let bytes = self.inner.protocol.unload(name);
        // Nothing is owed for it: where it can't be sent the copies lapse by themselves.
        let due = self.now + self.inner.limits.order_time_out;
        let _ = self.inner.send(
            self.now,
            worker,
            OutboundMessage {
                mark: MessageKey::Untracked,
                id: 0,
                bytes: &bytes,
            },
            due,
        );
    }

    fn check_health(&mut self, worker: WorkerId) {
        self.inner.send_health_check(self.now, worker);
    }

    fn gossip(&mut self, _: Option<PeerId>, _: &[u8]) {
        // Edges have no way to each other; the settings never allow it.
    }

    fn wake_at(&mut self, at: Micros) {
        self.inner.module_wakeup = Some(self.inner.module_wakeup.map_or(at, |set| set.min(at)));
    }

    fn log(&mut self, text: &str) {
        tracing::info!(note = text, "the module notes");
    }
}
