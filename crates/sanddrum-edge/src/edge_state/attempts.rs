//! The lifecycle of an attempt: it is dispatched to a worker and ends with exactly one outcome.

use super::EdgeState;
use crate::event_counts::CountedEvent;
use crate::functions::Functions;
use crate::message::{AttemptId, MessageKey, OutboundMessage};
use crate::metrics::outcome_label;
use crate::requests::{Attempt, PendingRequest};
use crate::timers::Timer;
use crate::worker_connections::WorkerConnections;
use sanddrum::{
    AttemptLimits, AttemptResult, LoadReport, Micros, Outcome, RequestId, Warmth, WorkerId,
};
use sanddrum_upstream::WorkerConnectionId;
use sanddrum_wire::{self as wire, Done, ExecutionStatus, InstanceState};

/// The result of an attempt, as reported to the decision module.
pub(super) struct AttemptOutcome {
    outcome: Outcome,
    warmth: Warmth,
    /// Requests of the same function in flight at the worker, if it reports them.
    function_in_flight: Option<u32>,
    report: Option<LoadReport>,
}

impl From<Outcome> for AttemptOutcome {
    /// Creates the result of an attempt without an answer.
    fn from(outcome: Outcome) -> Self {
        AttemptOutcome {
            outcome,
            warmth: Warmth::Unknown,
            function_in_flight: None,
            report: None,
        }
    }
}

impl From<&Done> for AttemptOutcome {
    fn from(done: &Done) -> Self {
        AttemptOutcome {
            outcome: outcome_of(done.status),
            warmth: done.instance.map_or(Warmth::Unknown, warmth_of),
            function_in_flight: done.function_in_flight,
            report: done.report.as_ref().map(load_report),
        }
    }
}

fn outcome_of(status: ExecutionStatus) -> Outcome {
    match status {
        ExecutionStatus::Finished => Outcome::Finished,
        ExecutionStatus::Error => Outcome::Error,
        ExecutionStatus::Rejected => Outcome::Rejected,
        ExecutionStatus::ColdMiss => Outcome::ColdMiss,
        // The worker dropped it before execution began.
        ExecutionStatus::Dropped => Outcome::CancelledBeforeStart,
    }
}

fn warmth_of(instance: InstanceState) -> Warmth {
    match instance {
        InstanceState::Warm => Warmth::Warm,
        InstanceState::StartedLoad => Warmth::StartedLoad,
        InstanceState::WaitedForLoad => Warmth::WaitedForLoad,
        InstanceState::LoadFailed => Warmth::LoadFailed,
    }
}

/// Converts a worker's load report for the decision module.
pub(super) fn load_report(report: &wire::LoadReport) -> LoadReport {
    LoadReport {
        in_flight: report.in_flight,
        queued: report.queued,
        busy: report.busy,
        memory_pinned: report.memory_pinned,
        loads_in_progress: report.loads_in_progress,
        ..LoadReport::default()
    }
}

/// Builds the message that makes a worker execute an attempt within a time limit.
fn execute_message(
    functions: &Functions,
    request: &PendingRequest,
    attempt: AttemptId,
    time_limit: Micros,
) -> wire::Execute {
    let spec = &request.spec;
    let function = functions.get(spec.function);
    wire::Execute {
        id: attempt.0,
        workload: functions.workload_name(spec.workload).to_string(),
        function: function.map_or_else(String::new, |function| function.name.clone()),
        time_limit_us: time_limit,
        memory_mb: function.map_or(0.0, |function| function.spec.memory_mb),
        concurrency: function.map_or(1, |function| function.spec.concurrency),
        idempotency_key: spec.idempotency_key.clone(),
        trace: spec.trace.clone(),
        body: spec.body.clone(),
        customer: spec.customer.clone(),
    }
}

impl EdgeState {
    /// Dispatches the next attempt of a request.
    pub(super) fn dispatch_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        worker: WorkerId,
        limits: AttemptLimits,
    ) {
        let Some((attempt, index)) = self.requests.begin_attempt(id) else {
            return;
        };
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let customer = request.spec.customer_id;
        let call_id = request.spec.call_id;
        let previous_outcome = request.last_outcome.map(outcome_label);
        let is_unusual = request.is_unusual;
        if let Some(reason) = previous_outcome {
            self.context.counts.record(CountedEvent::Retried, reason);
        }
        let time_limit = limits.time_limit.min(request.deadline - now).max(0);
        let deadline = now + time_limit;
        let sent = self.send_attempt(now, id, attempt, worker, time_limit);
        let record = Attempt {
            request: id,
            index,
            worker,
            location: self.endpoints.location(worker),
            connection: sent.ok(),
            sent_at: now,
            deadline_encoded_at: now,
            deadline,
            send_deadline: limits.send_deadline,
            written: None,
            give_up: None,
            loss: None,
        };
        self.requests.insert_attempt(attempt, record);
        tracing::debug!(
            request = id.0,
            call = %format_args!("{call_id:016x}"),
            attempt = index,
            retry_after = previous_outcome,
            worker = self.worker_connections.worker_name(worker),
            limit_us = time_limit,
            "attempt dispatched"
        );
        if is_unusual {
            self.log_retry(now, call_id, index, previous_outcome);
        }
        match sent {
            Ok(_) => {
                self.admission.attempt_dispatched(customer, worker);
                let timer = Timer::AttemptTimeout(attempt);
                self.context.timers.schedule(deadline, timer);
                let key = MessageKey::Attempt(attempt);
                self.schedule_send_deadline(key, limits.send_deadline, deadline);
            }
            Err(outcome) => self.finish_attempt(now, attempt, outcome.into()),
        }
    }

    /// Queues an attempt for a worker. The error is the outcome of an attempt that was not queued.
    fn send_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: AttemptId,
        worker: WorkerId,
        time_limit: Micros,
    ) -> Result<WorkerConnectionId, Outcome> {
        let request = self
            .requests
            .get_open(id)
            .ok_or(Outcome::CancelledBeforeStart)?;
        let protocol = self.worker_connections.protocol();
        let call_id = request.spec.call_id;
        if let Some(function) = self.functions.get(request.spec.function) {
            self.worker_connections.set_query_function(&function.name);
        }
        let execute = execute_message(&self.functions, request, attempt, time_limit);
        let message = OutboundMessage {
            key: MessageKey::Attempt(attempt),
            wire_id: if protocol.uses_call_ids() {
                call_id
            } else {
                attempt.0
            },
            bytes: protocol.execute(execute, call_id),
        };
        let deadline = now + time_limit;
        self.worker_connections
            .send(&mut self.context, now, worker, &message, deadline)
            .map_err(|error| error.outcome())
    }

    /// Re-encodes an attempt that is not written yet with its remaining time limit.
    pub(super) fn refresh_time_limit(
        &mut self,
        now: Micros,
        connection: WorkerConnectionId,
        id: AttemptId,
    ) {
        let Some(attempt) = self.requests.attempt(id) else {
            return;
        };
        let Some(request) = self.requests.get_open(attempt.request) else {
            return;
        };
        let time_left = (attempt.deadline - now).max(0);
        let message = execute_message(&self.functions, request, id, time_left);
        let protocol = self.worker_connections.protocol();
        let bytes = protocol.execute(message, request.spec.call_id);
        self.requests.set_deadline_encoded_at(id, now);
        let key = MessageKey::Attempt(id);
        self.worker_connections
            .replace_unwritten(connection, key, &bytes);
    }

    /// Handles a worker's answer to an attempt.
    pub(super) fn attempt_answered(
        &mut self,
        now: Micros,
        connection: WorkerConnectionId,
        done: &Done,
    ) {
        let id = AttemptId(done.id);
        let attempt = self
            .requests
            .attempt(id)
            .filter(|attempt| attempt.connection == Some(connection));
        let Some(attempt) = attempt else {
            // A duplicate answer, one that came after a timeout or a cancellation, or one to an attempt that was never
            // sent on this connection.
            self.context.metrics.unmatched_answers.increment(1);
            tracing::debug!(
                attempt = done.id,
                reason = "stray-answer",
                "unmatched answer ignored"
            );
            return;
        };
        let request = attempt.request;
        let key = MessageKey::Attempt(id);
        let cancelled = self.worker_connections.record_answer(connection, key);
        if let (Some(customer_rate), Some(total_rate)) = (done.customer_rate, done.total_rate) {
            if let Some(pending) = self.requests.get(request) {
                let customer = pending.spec.customer_id;
                self.admission
                    .rates_reported(customer, customer_rate, total_rate);
            }
        }
        let result = AttemptOutcome::from(done);
        if result.outcome == Outcome::Finished {
            if let Some(pending) = self.requests.get(request) {
                self.functions.mark_served(pending.spec.function);
            }
            self.complete_request(now, request, id, &done.body, result.warmth);
        }
        self.finish_attempt(now, id, result);
        self.finish_cancelled(now, &cancelled);
    }

    /// Ends an attempt and reports its result to the decision module, once.
    pub(super) fn finish_attempt(&mut self, now: Micros, id: AttemptId, result: AttemptOutcome) {
        let Some(attempt) = self.requests.remove_attempt(id) else {
            return;
        };
        let timer = Timer::AttemptTimeout(id);
        self.context.timers.cancel(attempt.deadline, timer);
        let timer = Timer::SendDeadline(MessageKey::Attempt(id));
        self.context.timers.cancel(attempt.send_deadline, timer);
        if let Some(connection) = attempt.connection {
            let key = MessageKey::Attempt(id);
            self.worker_connections
                .release(&mut self.context, now, connection, key);
        }
        if let Some(report) = &result.report {
            WorkerConnections::record_load_report(&mut self.context, attempt.worker, report);
        }
        self.context.metrics.record_outcome(result.outcome);
        let request = self.requests.get(attempt.request);
        let call_id = request.map_or(0, |request| request.spec.call_id);
        let is_final = self.requests.record_outcome(now, &attempt, result.outcome)
            || self.requests.is_deferred(attempt.request);
        let latency = now - attempt.sent_at;
        tracing::debug!(
            request = attempt.request.0,
            attempt = attempt.index,
            worker = self.worker_connections.worker_name(attempt.worker),
            outcome = ?result.outcome,
            warmth = ?result.warmth,
            latency_us = latency,
            worker_in_flight = result.report.and_then(|report| report.in_flight),
            worker_queued = result.report.and_then(|report| report.queued),
            "attempt ended"
        );
        self.log_history(now, call_id, &attempt, result.outcome);
        self.batch.attempt_results.push(AttemptResult {
            request: attempt.request,
            attempt: attempt.index,
            worker: attempt.worker,
            outcome: result.outcome,
            latency,
            is_final,
            warmth: result.warmth,
            function_in_flight: result.function_in_flight,
            report: result.report,
        });
    }

    /// Ends an attempt that was not answered within its time limit. An unwritten attempt is retracted and has not run.
    /// A written one is cancelled on the platform's protocol; native workers enforce the time limit themselves.
    pub(super) fn attempt_timed_out(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.requests.attempt(id) else {
            return;
        };
        let Some(connection) = attempt.connection else {
            return;
        };
        let request = self.requests.get_open(attempt.request);
        let is_past_deadline = request.is_none_or(|request| request.deadline <= now);
        let key = MessageKey::Attempt(id);
        if self.worker_connections.retract(connection, key) {
            return self.finish_attempt(now, id, Outcome::NoConnection.into());
        }
        if !self.worker_connections.needs_proof() {
            return self.finish_attempt(now, id, Outcome::TimedOut.into());
        }
        // Nothing follows an attempt past the deadline but the final answer, which waits until the attempt is read.
        let may_be_unread = self.worker_connections.may_be_unread(connection, id);
        if !is_past_deadline || (may_be_unread && request.is_some()) {
            return self.give_up_attempt(now, id, Outcome::TimedOut);
        }
        self.send_cancel(connection, id);
        self.finish_attempt(now, id, Outcome::TimedOut.into());
    }

    /// Cancels an attempt on behalf of the decision module.
    pub(super) fn cancel_attempt(&mut self, now: Micros, request: RequestId, index: usize) {
        let Some(id) = self.requests.attempt_at(request, index) else {
            return;
        };
        let Some(connection) = self.requests.connection_of(id) else {
            return;
        };
        let key = MessageKey::Attempt(id);
        if self.worker_connections.retract(connection, key) {
            return self.finish_attempt(now, id, Outcome::CancelledBeforeStart.into());
        }
        if self.worker_connections.needs_proof() {
            return self.give_up_attempt(now, id, Outcome::Cancelled);
        }
        self.send_cancel(connection, id);
        self.finish_attempt(now, id, Outcome::Cancelled.into());
    }

    /// Queues a cancellation of an attempt to its worker, after all earlier messages.
    pub(super) fn send_cancel(&mut self, connection: WorkerConnectionId, id: AttemptId) {
        if !self.context.limits.allows_cancels {
            return;
        }
        let Some(attempt) = self.requests.attempt(id) else {
            return;
        };
        let Some(request) = self.requests.get(attempt.request) else {
            return;
        };
        let protocol = self.worker_connections.protocol();
        let bytes = protocol.cancel(id, request.spec.call_id);
        self.worker_connections.send_cancel(connection, id, &bytes);
    }
}
