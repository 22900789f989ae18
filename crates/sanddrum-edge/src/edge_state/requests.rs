//! The lifecycle of a request: it is accepted, then closed by exactly one final response or cancelled by its client.

use super::EdgeState;
use crate::event_counts::CountedEvent;
use crate::message::{AttemptId, MessageKey};
use crate::requests::{FinishedAnswer, PendingRequest, RequestSpec};
use crate::responses::{ErrorKind, ErrorResponse, FinalResponse};
use sanddrum::{AnswerReason, Micros, Outcome, RequestId, Warmth};
use sanddrum_net::ConnectionId;

impl EdgeState {
    /// Accepts a validated request. During a shutdown its deadline is at most that of the shutdown.
    pub(super) fn accept_request(
        &mut self,
        now: Micros,
        client: ConnectionId,
        slot: u64,
        spec: RequestSpec,
    ) -> RequestId {
        let shutdown_deadline = self.shutdown.deadline().unwrap_or(Micros::MAX);
        let deadline = (now + spec.time_limit.max(0)).min(shutdown_deadline);
        let id = self.requests.allocate_id();
        let submitted = sanddrum::Request {
            id,
            function: spec.function,
            workload: spec.workload,
            customer: spec.customer_id,
            deadline,
            memory_mb: spec.memory_mb,
            concurrency: spec.concurrency,
            load_time: spec.load_time,
            expected_work: spec.expected_work,
            is_retry: spec.is_retry,
        };
        self.context.metrics.requests_accepted.increment(1);
        tracing::debug!(
            request = id.0,
            call = %format_args!("{:016x}", spec.call_id),
            workload = spec.workload.0,
            limit_us = spec.time_limit,
            "request accepted"
        );
        let request = PendingRequest::new(client, slot, deadline, spec);
        self.requests.insert(id, request);
        self.admission.submit(submitted);
        id
    }

    /// Closes a request with the result of an attempt.
    pub(super) fn complete_request(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: AttemptId,
        body: &[u8],
        warmth: Warmth,
    ) {
        let worker = self.requests.attempt(attempt).map(|attempt| attempt.worker);
        let worker_name = worker
            .and_then(|worker| self.worker_connections.worker_name(worker))
            .unwrap_or_default()
            .to_string();
        let result = FinishedAnswer {
            worker: worker_name,
            instance: instance_label(warmth),
            body: body.to_vec(),
        };
        if self.requests.is_deferred(id) {
            return self.requests.replace_deferred_error(id, result);
        }
        if let Err(result) = self.defer_result(now, id, result) {
            self.close_with_result(now, id, &result);
        }
    }

    /// Closes a request with its result now.
    pub(super) fn close_with_result(
        &mut self,
        now: Micros,
        id: RequestId,
        result: &FinishedAnswer,
    ) {
        self.log_late_answer(now, id, 200, "finished");
        let Some(request) = self.requests.close(id) else {
            return;
        };
        self.admission.request_closed(request);
        let (client, slot) = (request.client, request.slot);
        let time_left = request.deadline - now;
        tracing::debug!(
            request = id.0,
            worker = result.worker,
            left_us = time_left,
            "request finished"
        );
        self.context.metrics.requests_finished.increment(1);
        let response = FinalResponse::Finished {
            request: id,
            worker: &result.worker,
            instance: result.instance,
            body: &result.body,
        };
        self.respond(client, slot, &response);
        self.retract_attempts(now, id);
    }

    /// Closes a request with an error response, at once or as soon as no worker may read an attempt of it any more.
    pub(super) fn respond_with_error(
        &mut self,
        now: Micros,
        id: RequestId,
        response: &ErrorResponse<'_>,
    ) {
        if !self.defer_error(now, id, response) {
            self.close_with_error(now, id, response);
        }
    }

    /// Closes a request with an error response now.
    pub(super) fn close_with_error(
        &mut self,
        now: Micros,
        id: RequestId,
        response: &ErrorResponse<'_>,
    ) {
        self.log_final_answer(now, id, response.status, response.reason);
        self.log_late_answer(now, id, response.status, response.reason);
        let Some(request) = self.requests.close(id) else {
            return;
        };
        self.admission.request_closed(request);
        let (client, slot) = (request.client, request.slot);
        let (status, reason) = (response.status, response.reason);
        let end = response.kind.name();
        tracing::debug!(
            request = id.0,
            call = %format_args!("{:016x}", request.spec.call_id),
            status,
            reason,
            end,
            "request not finished"
        );
        self.context
            .metrics
            .record_error_response(response.kind, reason);
        self.respond(client, slot, &FinalResponse::Error(response));
        self.retract_attempts(now, id);
        self.requests.remove_if_done(now, id);
    }

    /// Closes a request whose client has disconnected or cancelled it. No response is sent.
    pub(super) fn cancel_request(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.close(id) else {
            return;
        };
        self.admission.request_closed(request);
        tracing::debug!(
            request = id.0,
            reason = "client-left",
            "request cancelled by its client"
        );
        self.context.metrics.requests_cancelled.increment(1);
        self.batch.cancelled.push(id);
        self.retract_attempts(now, id);
        self.requests.remove_if_done(now, id);
    }

    /// Retracts the unwritten attempts of a closed request, which would otherwise be sent when their connection opens.
    fn retract_attempts(&mut self, now: Micros, id: RequestId) {
        for attempt in self.requests.attempts_of(id) {
            let Some(connection) = self.requests.connection_of(attempt) else {
                continue;
            };
            let key = MessageKey::Attempt(attempt);
            if self.worker_connections.retract(connection, key) {
                self.finish_attempt(now, attempt, Outcome::CancelledBeforeStart.into());
            } else {
                self.worker_connections.schedule_partial_write_timeout(
                    &mut self.context,
                    now,
                    connection,
                    attempt,
                );
            }
        }
    }

    /// Fails the requests that the decision module has left open when the shutdown's deadline passes.
    pub(super) fn fail_open_requests(&mut self, now: Micros) {
        for id in self.requests.deferred_ids() {
            self.give_deferred_answer(now, id);
        }
        for id in self.requests.open_ids() {
            let response = ErrorResponse {
                status: 502,
                kind: ErrorKind::Failed,
                reason: "stopping",
                detail: "the edge ends and could not wait for the answer; the job may have run",
                retry_after: None,
                request: Some(id),
            };
            self.respond_with_error(now, id, &response);
            self.batch.cancelled.push(id);
        }
    }

    /// Logs and counts why the decision module makes no further attempt of a request.
    pub(super) fn explain_answer(&mut self, id: RequestId, reason: AnswerReason) {
        let cause = reason.name();
        self.context.counts.record(CountedEvent::NotFinished, cause);
        let request = self.requests.get(id);
        tracing::debug!(
            request = id.0,
            call = %format_args!("{:016x}", request.map_or(0, |request| request.spec.call_id)),
            attempts = request.map_or(0, |request| request.attempts.len()),
            cause,
            "request is not attempted any more"
        );
    }

    /// Rejects a request that the decision module does not expect to finish in time.
    pub(super) fn reject_request(&mut self, now: Micros, id: RequestId, retry_after: Micros) {
        let response = ErrorResponse {
            status: 503,
            kind: ErrorKind::Rejected,
            reason: "not-in-time",
            detail: "the job has not run, or running it again is harmless; come back after the stated time",
            retry_after: Some(retry_after.max(0)),
            request: Some(id),
        };
        self.admission.request_rejected();
        self.respond_with_error(now, id, &response);
    }

    /// Fails a request on behalf of the decision module.
    pub(super) fn fail_request(&mut self, now: Micros, id: RequestId) {
        let request = self.requests.get(id);
        let is_late = request.is_some_and(|request| request.deadline <= now);
        let (status, reason, detail) = if is_late {
            let detail = "no answer came within the time limit; the job may have run";
            (504, "time-limit", detail)
        } else {
            let detail = "the job failed and may have run; nothing is promised";
            (502, "failed", detail)
        };
        let response = ErrorResponse {
            status,
            kind: ErrorKind::Failed,
            reason,
            detail,
            retry_after: None,
            request: Some(id),
        };
        self.respond_with_error(now, id, &response);
    }
}

/// The name on the wire of the instance state that a worker reported.
fn instance_label(warmth: Warmth) -> &'static str {
    match warmth {
        Warmth::StartedLoad => "loaded",
        Warmth::WaitedForLoad => "waited",
        Warmth::Unknown | Warmth::Warm | Warmth::LoadFailed => "stood",
    }
}
