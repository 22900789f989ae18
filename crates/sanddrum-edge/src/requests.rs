//! The jobs that this edge holds, their executions, and which final answer each got. One answer, exactly.

use crate::worker_connections::Mark;
use crate::{Due, Inner};
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

pub(crate) struct Job {
    pub client: ConnectionId,
    /// Its place among the client's requests.
    pub place: u64,
    pub workload: WorkloadId,
    pub function: FunctionId,
    pub due: Micros,
    pub body: Vec<u8>,
    /// The caller's own number for it, where it is seen on the wire.
    pub number: u64,
    pub mark: Option<String>,
    pub trace: Option<String>,
    pub customer: Option<String>,
    pub customer_id: CustomerId,
    /// It was let through by the limits, and counts among them until it ends.
    pub admitted: bool,
    /// Executions by number; those that are out still have their entry.
    pub executions: Vec<u64>,
    pub out: usize,
    /// An execution that has ended has run, or may have.
    pub may_have_run: bool,
    /// It has its final answer, or its client has left.
    pub closed: bool,
}

/// What a call asks for, whatever door it came by.
#[derive(Default)]
pub(crate) struct Call {
    pub number: u64,
    pub workload: WorkloadId,
    pub function: FunctionId,
    pub memory_mb: f64,
    pub lanes: f64,
    pub load: Option<Micros>,
    /// The time that is left for its answer.
    pub limit: Micros,
    pub work: Option<Micros>,
    pub repeat: bool,
    pub mark: Option<String>,
    pub trace: Option<String>,
    pub customer: Option<String>,
    pub customer_id: CustomerId,
    pub body: Vec<u8>,
}

/// The final answer to a job, as any door words it.
pub(crate) enum Answer<'a> {
    Finished {
        job: RequestId,
        worker: &'a str,
        copy: &'a str,
        body: &'a [u8],
    },
    Refused(&'a Refusal<'a>),
}

impl Answer<'_> {
    pub fn http(&self, keep_alive: bool) -> Vec<u8> {
        match self {
            Answer::Finished {
                job,
                worker,
                copy,
                body,
            } => {
                let number = job.0.to_string();
                let fields = [
                    ("content-type", "application/octet-stream"),
                    ("sanddrum-end", "finished"),
                    ("sanddrum-job", number.as_str()),
                    ("sanddrum-worker", worker),
                    ("sanddrum-copy", copy),
                ];
                http::encode_response(200, &fields, body, keep_alive)
            }
            Answer::Refused(refusal) => refusal.response(keep_alive),
        }
    }
}

pub(crate) struct Execution {
    pub job: RequestId,
    pub number: usize,
    pub worker: WorkerId,
    pub link: WorkerConnectionId,
    pub sent: Micros,
    /// When the deadline was worked out that its frame passes on.
    pub stated: Micros,
    pub due: Micros,
}

#[derive(Default)]
pub(crate) struct Jobs {
    pub jobs: BTreeMap<RequestId, Job>,
    pub executions: BTreeMap<u64, Execution>,
    next_job: u64,
    next_execution: u64,
    open: usize,
    /// Open jobs by their callers' numbers, and the bytes of their bodies.
    numbers: BTreeMap<u64, RequestId>,
    bodies: usize,
}

impl Jobs {
    pub fn open(&self) -> usize {
        self.open
    }
    /// Whether a job of this caller's number is open.
    pub fn is_open(&self, number: u64) -> bool {
        self.numbers.contains_key(&number)
    }
    /// Bytes of the bodies of all open jobs.
    pub fn bodies(&self) -> usize {
        self.bodies
    }
    pub fn take(&mut self, job: Job) -> RequestId {
        let id = RequestId(self.next_job);
        self.next_job += 1;
        self.open += 1;
        self.bodies += job.body.len();
        self.numbers.insert(job.number, id);
        self.jobs.insert(id, job);
        id
    }
    pub fn next_execution(&mut self) -> u64 {
        self.next_execution += 1;
        self.next_execution
    }
    /// Closes a job; none is closed twice.
    pub fn close(&mut self, id: RequestId) -> Option<&mut Job> {
        let job = self.jobs.get_mut(&id).filter(|job| !job.closed)?;
        job.closed = true;
        self.open -= 1;
        // Nothing is sent for it any more.
        self.bodies -= std::mem::take(&mut job.body).len();
        if self.numbers.get(&job.number) == Some(&id) {
            self.numbers.remove(&job.number);
        }
        Some(job)
    }
    pub fn forget_if_done(&mut self, id: RequestId) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|job| job.closed && job.out == 0)
        {
            self.jobs.remove(&id);
        }
    }
}

/// A final answer that is not *finished*, as the client sees it.
pub(crate) struct Refusal<'a> {
    pub status: u16,
    pub end: &'static str,
    pub reason: &'a str,
    pub detail: &'a str,
    pub retry_after: Option<Micros>,
    pub job: Option<RequestId>,
}

impl Refusal<'_> {
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
        if let Some(job) = self.job {
            body["job"] = json!(job.0);
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

impl Inner {
    /// A worker's answer to an execution.
    pub(crate) fn execution_answered(&mut self, now: Micros, link: WorkerConnectionId, done: Done) {
        let ours = self
            .jobs
            .executions
            .get(&done.id)
            .is_some_and(|e| e.link == link);
        if !ours {
            // Answered after a time-out or a cancel, twice, or never asked for: it changes nothing any more.
            self.figures.stray_answers.increment(1);
            tracing::debug!(
                execution = done.id,
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
            self.jobs.executions.get(&done.id),
            done.customer_rate,
            done.total_rate,
        ) {
            if let Some(job) = self.jobs.jobs.get(&e.job) {
                self.admission.news.reported_rates.push(ReportedRates {
                    customer: job.customer_id,
                    of_customer: of,
                    of_all: all,
                });
            }
        }
        if end == Outcome::Finished {
            if let Some(job) = self.jobs.executions.get(&done.id).map(|e| e.job) {
                self.finish(now, job, done.id, &done.body, warmth);
            }
        }
        self.execution_ended(now, done.id, end, warmth, done.function_in_flight, report);
    }

    fn finish(&mut self, now: Micros, id: RequestId, execution: u64, body: &[u8], warmth: Warmth) {
        let worker = self.jobs.executions.get(&execution).map(|e| e.worker);
        let worker = worker
            .and_then(|w| self.links.name(w))
            .unwrap_or_default()
            .to_string();
        let Some(job) = self.jobs.close(id) else {
            return;
        };
        self.admission.ended(job);
        let (client, place, due) = (job.client, job.place, job.due);
        let copy = match warmth {
            Warmth::StartedLoad => "loaded",
            Warmth::WaitedForLoad => "waited",
            _ => "stood",
        };
        tracing::debug!(job = id.0, worker, left_us = due - now, "finished");
        self.figures.finished.increment(1);
        self.answer(
            client,
            place,
            &Answer::Finished {
                job: id,
                worker: &worker,
                copy,
                body,
            },
        );
        self.recall(now, id);
    }

    /// A job has its final answer: what still waits to be written for it is not sent any more. Guards against a link
    /// whose connection takes long, which would carry it all once it is up.
    pub(crate) fn recall(&mut self, now: Micros, id: RequestId) {
        let all = self
            .jobs
            .jobs
            .get(&id)
            .map(|job| job.executions.clone())
            .unwrap_or_default();
        for execution in all {
            let Some(link) = self.jobs.executions.get(&execution).map(|e| e.link) else {
                continue;
            };
            if self.links.take_back(link, execution) {
                self.execution_ended(
                    now,
                    execution,
                    Outcome::CancelledBeforeStart,
                    Warmth::Unknown,
                    None,
                    None,
                );
            } else {
                self.finish_writing_soon(now, link, execution);
            }
        }
    }

    /// The end of an execution, whatever it was, told to the module once.
    pub(crate) fn execution_ended(
        &mut self,
        now: Micros,
        id: u64,
        end: Outcome,
        warmth: Warmth,
        crowd: Option<u32>,
        report: Option<LoadReport>,
    ) {
        let Some(e) = self.jobs.executions.remove(&id) else {
            return;
        };
        self.due.remove(&(e.due, Due::Execution(id)));
        self.release(e.link, Mark::Execution(id), now);
        report
            .iter()
            .for_each(|report| self.links.reported(e.worker, report));
        self.figures.execution_ended(end);
        let settled = match self.jobs.jobs.get_mut(&e.job) {
            Some(job) => {
                job.out = job.out.saturating_sub(1);
                job.may_have_run |= !matches!(
                    end,
                    Outcome::Rejected
                        | Outcome::NoConnection
                        | Outcome::CancelledBeforeStart
                        | Outcome::ColdMiss
                );
                job.closed
            }
            None => true,
        };
        self.jobs.forget_if_done(e.job);
        tracing::debug!(
            job = e.job.0,
            execution = e.number,
            worker = self.links.name(e.worker),
            ?end,
            ?warmth,
            latency_us = now - e.sent,
            held = report.and_then(|r| r.in_flight),
            queued = report.and_then(|r| r.queued),
            "ended"
        );
        self.round.attempt_results.push(AttemptResult {
            request: e.job,
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
    pub(crate) fn execution_is_late(&mut self, now: Micros, id: u64) {
        let Some(link) = self.jobs.executions.get(&id).map(|e| e.link) else {
            return;
        };
        let taken_back = self.links.take_back(link, id);
        if !taken_back && self.on_platform {
            // It is out until it is given up; our own workers are told the limit with it.
            self.give_up_execution(link, id);
        }
        let end = if taken_back {
            Outcome::NoConnection
        } else {
            Outcome::TimedOut
        };
        self.execution_ended(now, id, end, Warmth::Unknown, None, None);
    }

    /// Tells a worker that an execution is not waited for any more, behind all that was told it before.
    pub(crate) fn give_up_execution(&mut self, link: WorkerConnectionId, id: u64) {
        let Some(e) = self.jobs.executions.get(&id) else {
            return;
        };
        let Some(job) = self.jobs.jobs.get(&e.job) else {
            return;
        };
        let bytes = self.speech.cancel(id, job.number);
        self.tell(link, &bytes);
    }

    /// Its client has left, or asks for it no more; nothing is answered.
    pub(crate) fn give_job_up(&mut self, now: Micros, id: RequestId) {
        let Some(closed) = self.jobs.close(id) else {
            return;
        };
        self.admission.ended(closed);
        tracing::debug!(job = id.0, reason = "client-left", "its client has left");
        self.figures.left.increment(1);
        self.round.cancelled.push(id);
        self.recall(now, id);
        self.jobs.forget_if_done(id);
    }

    /// Takes a call up as a job, whatever door it came by.
    pub(crate) fn take_job(
        &mut self,
        now: Micros,
        client: ConnectionId,
        place: u64,
        call: Call,
    ) -> RequestId {
        // One that is taken while the edge ends has no longer than that.
        let due = (now + call.limit.max(0)).min(self.stop_at.unwrap_or(Micros::MAX));
        let Call {
            workload,
            function,
            memory_mb,
            lanes,
            load,
            work,
            repeat,
            customer_id,
            ..
        } = call;
        let job = self.jobs.take(Job {
            client,
            place,
            workload,
            function,
            due,
            body: call.body,
            number: call.number,
            mark: call.mark,
            trace: call.trace,
            customer: call.customer,
            customer_id,
            admitted: false,
            executions: Vec::new(),
            out: 0,
            may_have_run: false,
            closed: false,
        });
        self.figures.taken.increment(1);
        let number = format_args!("{:016x}", call.number);
        tracing::debug!(job = job.0, call = %number, workload = workload.0, limit_us = call.limit, "taken");
        let customer = customer_id;
        let id = job;
        self.ask(sanddrum::Request {
            id,
            function,
            workload,
            customer,
            deadline: due,
            memory_mb,
            concurrency: lanes,
            load_time: load,
            expected_work: work,
            is_retry: repeat,
        });
        job
    }

    /// The final answer of a job that did not finish.
    pub(crate) fn refuse(&mut self, now: Micros, id: RequestId, refusal: &Refusal<'_>) {
        let Some(job) = self.jobs.close(id) else {
            return;
        };
        self.admission.ended(job);
        let (client, place) = (job.client, job.place);
        tracing::debug!(
            job = id.0,
            status = refusal.status,
            reason = refusal.reason,
            "{}",
            refusal.end
        );
        self.figures.refused(refusal.end, refusal.reason);
        self.answer(client, place, &Answer::Refused(refusal));
        self.recall(now, id);
        self.jobs.forget_if_done(id);
    }

    /// The bound on ending is reached, and the module has ended what it holds: nothing is left without its answer.
    pub(crate) fn end_all(&mut self, now: Micros) {
        let open: Vec<RequestId> = self
            .jobs
            .jobs
            .iter()
            .filter(|(_, j)| !j.closed)
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            let refusal = Refusal {
                status: 502,
                end: "killed",
                reason: "stopping",
                detail: "the edge ends and could not wait for the answer; the job may have run",
                retry_after: None,
                job: Some(id),
            };
            self.refuse(now, id, &refusal);
            self.round.cancelled.push(id);
        }
    }
}
