//! The jobs that this edge holds, their executions, and which final answer each got. One answer, exactly.

use crate::worker_connections::MessageKey;
use crate::{EdgeState, Timer};
use sanddrum::{
    AttemptResult, CustomerId, FunctionId, LoadReport, Outcome, RequestId, Warmth, WorkerId,
    WorkloadId,
};
use sanddrum_limits::ReportedRates;
use sanddrum_net::{ConnectionId, Micros};
use sanddrum_upstream::WorkerConnectionId;
use sanddrum_wire::{self as wire, http, Done, ExecutionStatus, InstanceState};
use serde_json::json;
use std::collections::BTreeMap;

pub(crate) struct PendingRequest {
    pub client: ConnectionId,
    /// Its slot among the client's requests.
    pub slot: u64,
    pub workload: WorkloadId,
    pub function: FunctionId,
    pub due: Micros,
    pub body: Vec<u8>,
    /// The caller's own number for it, where it is seen on the wire.
    pub number: u64,
    pub idempotency_key: Option<String>,
    pub trace: Option<String>,
    pub customer: Option<String>,
    pub customer_id: CustomerId,
    /// It was let through by the limits, and counts among them until it ends.
    pub is_admitted: bool,
    /// Executions by number; those that are out still have their entry.
    pub attempts: Vec<u64>,
    pub in_flight: usize,
    /// An execution that has ended has run, or may have.
    pub may_have_run: bool,
    /// It has its final answer, or its client has left.
    pub is_closed: bool,
}

/// What a call asks for, whatever door it came by.
#[derive(Default)]
pub(crate) struct Call {
    pub number: u64,
    pub workload: WorkloadId,
    pub function: FunctionId,
    pub memory_mb: f64,
    pub concurrency: f64,
    pub load: Option<Micros>,
    /// The time that is left for its answer.
    pub limit: Micros,
    pub expected_work: Option<Micros>,
    pub is_retry: bool,
    pub idempotency_key: Option<String>,
    pub trace: Option<String>,
    pub customer: Option<String>,
    pub customer_id: CustomerId,
    pub body: Vec<u8>,
}

/// The final answer to a job, as any door words it.
pub(crate) enum FinalResponse<'a> {
    Finished {
        request: RequestId,
        worker: &'a str,
        instance: &'a str,
        body: &'a [u8],
    },
    Error(&'a ErrorResponse<'a>),
}

impl FinalResponse<'_> {
    pub fn http(&self, keep_alive: bool) -> Vec<u8> {
        match self {
            FinalResponse::Finished {
                request,
                worker,
                instance,
                body,
            } => {
                let number = request.0.to_string();
                let fields = [
                    ("content-type", "application/octet-stream"),
                    ("sanddrum-end", "finished"),
                    ("sanddrum-job", number.as_str()),
                    ("sanddrum-worker", worker),
                    ("sanddrum-copy", instance),
                ];
                http::encode_response(200, &fields, body, keep_alive)
            }
            FinalResponse::Error(refusal) => refusal.response(keep_alive),
        }
    }
}

pub(crate) struct Attempt {
    pub request: RequestId,
    pub number: usize,
    pub worker: WorkerId,
    pub connection: WorkerConnectionId,
    pub sent: Micros,
    /// When the deadline was worked out that its frame passes on.
    pub deadline_encoded_at: Micros,
    pub due: Micros,
}

#[derive(Default)]
pub(crate) struct Requests {
    pub requests: BTreeMap<RequestId, PendingRequest>,
    pub attempts: BTreeMap<u64, Attempt>,
    next_request: u64,
    next_attempt_id: u64,
    open: usize,
    /// Open jobs by their callers' numbers, and the bytes of their bodies.
    by_call_id: BTreeMap<u64, RequestId>,
    body_bytes: usize,
}

impl Requests {
    pub fn open(&self) -> usize {
        self.open
    }
    /// Whether a job of this caller's number is open.
    pub fn is_open(&self, number: u64) -> bool {
        self.by_call_id.contains_key(&number)
    }
    /// Bytes of the bodies of all open jobs.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }
    pub fn take(&mut self, request: PendingRequest) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.open += 1;
        self.body_bytes += request.body.len();
        self.by_call_id.insert(request.number, id);
        self.requests.insert(id, request);
        id
    }
    pub fn next_attempt_id(&mut self) -> u64 {
        self.next_attempt_id += 1;
        self.next_attempt_id
    }
    /// Closes a job; none is closed twice.
    pub fn close(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        let request = self
            .requests
            .get_mut(&id)
            .filter(|request| !request.is_closed)?;
        request.is_closed = true;
        self.open -= 1;
        // Nothing is sent for it any more.
        self.body_bytes -= std::mem::take(&mut request.body).len();
        if self.by_call_id.get(&request.number) == Some(&id) {
            self.by_call_id.remove(&request.number);
        }
        Some(request)
    }
    pub fn remove_if_done(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.is_closed && request.in_flight == 0)
        {
            self.requests.remove(&id);
        }
    }
}

/// A final answer that is not *finished*, as the client sees it.
pub(crate) struct ErrorResponse<'a> {
    pub status: u16,
    pub end: &'static str,
    pub reason: &'a str,
    pub detail: &'a str,
    pub retry_after: Option<Micros>,
    pub request: Option<RequestId>,
}

impl ErrorResponse<'_> {
    /// Problem details (RFC 9457) with the time to come back (RFC 9110, section 10.2.3), in whole seconds for
    /// clients that know only these and in milliseconds for those that read ours.
    pub fn response(&self, keep_alive: bool) -> Vec<u8> {
        let mut body = json!({
            "type": format!("urn:sanddrum:{}", self.reason),
            "title": self.end,
            "status": self.status,
            "detail": self.detail,
        });
        let mut fields = vec![
            ("content-type", "application/problem+json"),
            ("sanddrum-end", self.end),
        ];
        let (seconds, ms);
        if let Some(wait) = self.retry_after {
            body["retry_after_ms"] = json!(wait / 1000);
            seconds = ((wait + 999_999) / 1_000_000).max(1).to_string();
            ms = (wait / 1000).to_string();
            fields.extend([
                ("retry-after", seconds.as_str()),
                ("sanddrum-retry-after-ms", ms.as_str()),
            ]);
        }
        if self.status == 401 {
            // RFC 6750, section 3.
            fields.push(("www-authenticate", "Bearer error=\"invalid_token\""));
        }
        if let Some(request) = self.request {
            body["job"] = json!(request.0);
        }
        http::encode_response(
            self.status,
            &fields,
            body.to_string().as_bytes(),
            keep_alive,
        )
    }
}

pub(crate) fn report_of(report: &wire::LoadReport) -> LoadReport {
    LoadReport {
        in_flight: report.in_flight,
        queued: report.queued,
        busy: report.busy,
        memory_pinned: report.memory_pinned,
        loads_in_progress: report.loads_in_progress,
        ..LoadReport::default()
    }
}

impl EdgeState {
    /// A worker's answer to an execution.
    pub(crate) fn attempt_answered(
        &mut self,
        now: Micros,
        connection: WorkerConnectionId,
        done: Done,
    ) {
        let ours = self
            .requests
            .attempts
            .get(&done.id)
            .is_some_and(|e| e.connection == connection);
        if !ours {
            // Answered after a time-out or a cancel, twice, or never asked for: it changes nothing any more.
            self.metrics.unmatched_responses.increment(1);
            tracing::debug!(
                attempt = done.id,
                reason = "stray-answer",
                "an answer that nothing waits for"
            );
            return;
        }
        let end = match done.status {
            ExecutionStatus::Finished => Outcome::Finished,
            ExecutionStatus::Error => Outcome::Error,
            ExecutionStatus::Rejected => Outcome::Rejected,
            ExecutionStatus::ColdMiss => Outcome::ColdMiss,
            // It was dropped before it began.
            ExecutionStatus::Dropped => Outcome::CancelledBeforeStart,
        };
        let warmth = match done.instance {
            Some(InstanceState::Warm) => Warmth::Warm,
            Some(InstanceState::StartedLoad) => Warmth::StartedLoad,
            Some(InstanceState::WaitedForLoad) => Warmth::WaitedForLoad,
            Some(InstanceState::LoadFailed) => Warmth::LoadFailed,
            None => Warmth::Unknown,
        };
        let report = done.report.as_ref().map(report_of);
        if let (Some(e), Some(of), Some(all)) = (
            self.requests.attempts.get(&done.id),
            done.customer_rate,
            done.total_rate,
        ) {
            if let Some(request) = self.requests.requests.get(&e.request) {
                self.admission.events.reported_rates.push(ReportedRates {
                    customer: request.customer_id,
                    of_customer: of,
                    of_all: all,
                });
            }
        }
        if end == Outcome::Finished {
            if let Some(request) = self.requests.attempts.get(&done.id).map(|e| e.request) {
                self.complete_request(now, request, done.id, &done.body, warmth);
            }
        }
        self.attempt_ended(now, done.id, end, warmth, done.function_in_flight, report);
    }

    fn complete_request(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u64,
        body: &[u8],
        warmth: Warmth,
    ) {
        let worker = self.requests.attempts.get(&attempt).map(|e| e.worker);
        let worker = worker
            .and_then(|w| self.worker_connections.name(w))
            .unwrap_or_default()
            .to_string();
        let Some(request) = self.requests.close(id) else {
            return;
        };
        self.admission.ended(request);
        let (client, slot, due) = (request.client, request.slot, request.due);
        let instance = match warmth {
            Warmth::StartedLoad => "loaded",
            Warmth::WaitedForLoad => "waited",
            _ => "stood",
        };
        tracing::debug!(request = id.0, worker, left_us = due - now, "finished");
        self.metrics.finished.increment(1);
        self.respond(
            client,
            slot,
            &FinalResponse::Finished {
                request: id,
                worker: &worker,
                instance,
                body,
            },
        );
        self.retract_attempts(now, id);
    }

    /// A job has its final answer: what still waits to be written for it is not sent any more. Guards against a link
    /// whose connection takes long, which would carry it all once it is up.
    pub(crate) fn retract_attempts(&mut self, now: Micros, id: RequestId) {
        let all = self
            .requests
            .requests
            .get(&id)
            .map(|request| request.attempts.clone())
            .unwrap_or_default();
        for attempt in all {
            let Some(connection) = self.requests.attempts.get(&attempt).map(|e| e.connection)
            else {
                continue;
            };
            if self.worker_connections.retract_attempt(connection, attempt) {
                self.attempt_ended(
                    now,
                    attempt,
                    Outcome::CancelledBeforeStart,
                    Warmth::Unknown,
                    None,
                    None,
                );
            } else {
                self.bound_partial_write(now, connection, attempt);
            }
        }
    }

    /// The end of an execution, whatever it was, told to the module once.
    pub(crate) fn attempt_ended(
        &mut self,
        now: Micros,
        id: u64,
        end: Outcome,
        warmth: Warmth,
        crowd: Option<u32>,
        report: Option<LoadReport>,
    ) {
        let Some(e) = self.requests.attempts.remove(&id) else {
            return;
        };
        self.timers.remove(&(e.due, Timer::AttemptTimeout(id)));
        self.release_message(e.connection, MessageKey::Attempt(id), now);
        report
            .iter()
            .for_each(|report| self.worker_connections.record_load_report(e.worker, report));
        self.metrics.attempt_ended(end);
        let settled = match self.requests.requests.get_mut(&e.request) {
            Some(request) => {
                request.in_flight = request.in_flight.saturating_sub(1);
                request.may_have_run |= !matches!(
                    end,
                    Outcome::Rejected
                        | Outcome::NoConnection
                        | Outcome::CancelledBeforeStart
                        | Outcome::ColdMiss
                );
                request.is_closed
            }
            None => true,
        };
        self.requests.remove_if_done(e.request);
        tracing::debug!(
            request = e.request.0,
            attempt = e.number,
            worker = self.worker_connections.name(e.worker),
            ?end,
            ?warmth,
            latency_us = now - e.sent,
            held = report.and_then(|r| r.in_flight),
            queued = report.and_then(|r| r.queued),
            "ended"
        );
        self.batch.attempt_results.push(AttemptResult {
            request: e.request,
            attempt: e.number,
            worker: e.worker,
            outcome: end,
            latency: now - e.sent,
            is_final: settled,
            warmth,
            function_in_flight: crowd,
            report,
        });
    }

    /// No answer within its limit. What was never written has never run and is taken back.
    pub(crate) fn attempt_timed_out(&mut self, now: Micros, id: u64) {
        let Some(connection) = self.requests.attempts.get(&id).map(|e| e.connection) else {
            return;
        };
        let taken_back = self.worker_connections.retract_attempt(connection, id);
        if !taken_back && self.on_platform {
            // It is out until it is given up; our own workers are told the limit with it.
            self.cancel_attempt(connection, id);
        }
        let end = if taken_back {
            Outcome::NoConnection
        } else {
            Outcome::TimedOut
        };
        self.attempt_ended(now, id, end, Warmth::Unknown, None, None);
    }

    /// Tells a worker that an execution is not waited for any more, behind all that was told it before.
    pub(crate) fn cancel_attempt(&mut self, connection: WorkerConnectionId, id: u64) {
        let Some(e) = self.requests.attempts.get(&id) else {
            return;
        };
        let Some(request) = self.requests.requests.get(&e.request) else {
            return;
        };
        let bytes = self.protocol.cancel(id, request.number);
        self.send_cancel(connection, &bytes);
    }

    /// Its client has left, or asks for it no more; nothing is answered.
    pub(crate) fn abandon_request(&mut self, now: Micros, id: RequestId) {
        let Some(closed) = self.requests.close(id) else {
            return;
        };
        self.admission.ended(closed);
        tracing::debug!(
            request = id.0,
            reason = "client-left",
            "its client has left"
        );
        self.metrics.left.increment(1);
        self.batch.cancelled.push(id);
        self.retract_attempts(now, id);
        self.requests.remove_if_done(id);
    }

    /// Takes a call up as a job, whatever door it came by.
    pub(crate) fn accept_request(
        &mut self,
        now: Micros,
        client: ConnectionId,
        slot: u64,
        call: Call,
    ) -> RequestId {
        // One that is taken while the edge ends has no longer than that.
        let due = (now + call.limit.max(0)).min(self.shutdown_deadline.unwrap_or(Micros::MAX));
        let Call {
            workload,
            function,
            memory_mb,
            concurrency,
            load,
            expected_work,
            is_retry,
            customer_id,
            ..
        } = call;
        let request = self.requests.take(PendingRequest {
            client,
            slot,
            workload,
            function,
            due,
            body: call.body,
            number: call.number,
            idempotency_key: call.idempotency_key,
            trace: call.trace,
            customer: call.customer,
            customer_id,
            is_admitted: false,
            attempts: Vec::new(),
            in_flight: 0,
            may_have_run: false,
            is_closed: false,
        });
        self.metrics.taken.increment(1);
        let number = format_args!("{:016x}", call.number);
        tracing::debug!(request = request.0, call = %number, workload = workload.0, limit_us = call.limit, "taken");
        let customer = customer_id;
        let id = request;
        self.submit(sanddrum::Request {
            id,
            function,
            workload,
            customer,
            deadline: due,
            memory_mb,
            concurrency,
            load_time: load,
            expected_work,
            is_retry,
        });
        request
    }

    /// The final answer of a job that did not finish.
    pub(crate) fn reject_request(
        &mut self,
        now: Micros,
        id: RequestId,
        refusal: &ErrorResponse<'_>,
    ) {
        let Some(request) = self.requests.close(id) else {
            return;
        };
        self.admission.ended(request);
        let (client, slot) = (request.client, request.slot);
        tracing::debug!(
            request = id.0,
            status = refusal.status,
            reason = refusal.reason,
            "{}",
            refusal.end
        );
        self.metrics.refused(refusal.end, refusal.reason);
        self.respond(client, slot, &FinalResponse::Error(refusal));
        self.retract_attempts(now, id);
        self.requests.remove_if_done(id);
    }

    /// The bound on ending is reached, and the module has ended what it holds: nothing is left without its answer.
    pub(crate) fn fail_open_requests(&mut self, now: Micros) {
        let open: Vec<RequestId> = self
            .requests
            .requests
            .iter()
            .filter(|(_, j)| !j.is_closed)
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            let refusal = ErrorResponse {
                status: 502,
                end: "killed",
                reason: "stopping",
                detail: "the edge ends and could not wait for the answer; the job may have run",
                retry_after: None,
                request: Some(id),
            };
            self.reject_request(now, id, &refusal);
            self.batch.cancelled.push(id);
        }
    }
}
