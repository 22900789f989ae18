//! Carries out what the module decides, as it decides it.

use crate::functions::Functions;
use crate::requests::{Execution, Job, Refusal};
use crate::worker_connections::{Mark, Piece};
use crate::{Due, Inner};
use sanddrum::{Decisions, FunctionId, Micros, Outcome, PeerId, RequestId, Warmth, WorkerId};
use sanddrum_limits::Dispatch;
use sanddrum_upstream::WorkerConnectionId;
use sanddrum_wire as wire;

pub(crate) struct Carry<'a> {
    pub inner: &'a mut Inner,
    pub now: Micros,
}

/// What a worker is told of an execution that has so long.
pub(crate) fn execute_message(
    functions: &Functions,
    job: &Job,
    execution: u64,
    limit: Micros,
) -> wire::Execute {
    let function = functions.get(job.function);
    wire::Execute {
        id: execution,
        workload: functions
            .workloads
            .get(job.workload.0)
            .cloned()
            .unwrap_or_default(),
        function: function.map(|f| f.name.clone()).unwrap_or_default(),
        time_limit_us: limit,
        memory_mb: function.map_or(0.0, |f| f.memory_mb),
        concurrency: function.map_or(1, |f| f.lanes),
        idempotency_key: job.mark.clone(),
        trace: job.trace.clone(),
        body: job.body.clone(),
        customer: job.customer.clone(),
    }
}

impl Decisions for Carry<'_> {
    fn dispatch(&mut self, id: RequestId, worker: WorkerId, limit: Micros) {
        let (inner, now) = (&mut *self.inner, self.now);
        let execution = inner.jobs.next_execution();
        let Some(job) = inner.jobs.jobs.get_mut(&id) else {
            return;
        };
        let number = job.executions.len();
        job.executions.push(execution);
        job.out += 1;
        let limit = limit.min(job.due - now).max(0);
        let message = execute_message(&inner.functions, job, execution, limit);
        let call = job.number;
        let wire_id = if inner.speech.carries_call_ids() {
            call
        } else {
            execution
        };
        let closed = job.closed;
        let customer = job.customer_id;
        let due = now + limit;
        let sent = if closed {
            Err(Outcome::CancelledBeforeStart)
        } else {
            let bytes = inner.speech.execute(message, call);
            let piece = Piece {
                mark: Mark::Execution(execution),
                id: wire_id,
                bytes: &bytes,
            };
            inner.send(now, worker, piece, due)
        };
        let link = sent.unwrap_or(WorkerConnectionId(u64::MAX));
        let record = Execution {
            job: id,
            number,
            worker,
            link,
            sent: now,
            stated: now,
            due,
        };
        inner.jobs.executions.insert(execution, record);
        tracing::debug!(
            job = id.0,
            execution = number,
            worker = inner.links.name(worker),
            limit,
            "executed"
        );
        match sent {
            Ok(_) => {
                inner
                    .admission
                    .news
                    .dispatched
                    .push(Dispatch { customer, worker });
                inner.due.insert((due, Due::Execution(execution)));
            }
            Err(end) => inner.execution_ended(now, execution, end, Warmth::Unknown, None, None),
        }
    }

    fn cancel(&mut self, id: RequestId, number: usize) {
        let inner = &mut *self.inner;
        let Some(job) = inner.jobs.jobs.get(&id) else {
            return;
        };
        let Some(execution) = job.executions.get(number).copied() else {
            return;
        };
        let Some(link) = inner.jobs.executions.get(&execution).map(|e| e.link) else {
            return;
        };
        if inner.links.take_back(link, execution) {
            return inner.execution_ended(
                self.now,
                execution,
                Outcome::CancelledBeforeStart,
                Warmth::Unknown,
                None,
                None,
            );
        }
        inner.give_up_execution(link, execution);
        inner.execution_ended(
            self.now,
            execution,
            Outcome::Cancelled,
            Warmth::Unknown,
            None,
            None,
        );
    }

    fn reject(&mut self, id: RequestId, wait: Micros) {
        let detail =
            "the job has not run, or running it again is harmless; come back after the stated time";
        let refusal = Refusal {
            status: 503,
            end: "pushed-back",
            reason: "not-in-time",
            detail,
            retry_after: Some(wait.max(0)),
            job: Some(id),
        };
        self.inner.admission.news.rejected += 1;
        self.inner.refuse(self.now, id, &refusal);
    }

    fn fail(&mut self, id: RequestId) {
        let late = self
            .inner
            .jobs
            .jobs
            .get(&id)
            .is_some_and(|job| job.due <= self.now);
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
        let refusal = Refusal {
            status,
            end: "killed",
            reason,
            detail,
            retry_after: None,
            job: Some(id),
        };
        self.inner.refuse(self.now, id, &refusal);
    }

    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u32) {
        self.inner.order(self.now, worker, function, copies);
    }

    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        let Some(name) = self.inner.functions.get(function).map(|f| f.name.clone()) else {
            return;
        };
        let bytes = self.inner.speech.unload(name);
        // Nothing is owed for it: where it can't be sent the copies lapse by themselves.
        let due = self.now + self.inner.limits.order_time_out;
        let _ = self.inner.send(
            self.now,
            worker,
            Piece {
                mark: Mark::Other,
                id: 0,
                bytes: &bytes,
            },
            due,
        );
    }

    fn check_health(&mut self, worker: WorkerId) {
        self.inner.probe(self.now, worker);
    }

    fn gossip(&mut self, _: Option<PeerId>, _: &[u8]) {
        // Edges have no way to each other; the settings never allow it.
    }

    fn wake_at(&mut self, at: Micros) {
        self.inner.module_wake = Some(self.inner.module_wake.map_or(at, |set| set.min(at)));
    }

    fn log(&mut self, text: &str) {
        tracing::info!(note = text, "the module notes");
    }
}
