//! Events of worker connections, and writing of queued messages.

use super::attempts::load_report;
use super::EdgeState;
use crate::attempt_end::Proof;
use crate::message::{AttemptId, CommandId, MessageKey};
use crate::requests::WrittenAttempt;
use crate::worker_connections::{ConnectionLoss, MessageOutcome};
use crate::worker_protocol::{WorkerMessage, WorkerProtocolError};
use sanddrum::{Micros, Outcome, WorkerId};
use sanddrum_net::{CloseCause, Event, Io};
use sanddrum_upstream::{RejectReason, WorkerConnectionId};
use sanddrum_wire::{ExecutionStatus, FromWorker, Hello, LoadDone};

impl EdgeState {
    /// Handles an event of a worker connection.
    pub(super) fn on_worker_event(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        match event {
            Event::Connected { conn } => {
                self.worker_connections
                    .connected(&mut self.context, now, id, conn, io);
            }
            Event::Writable { .. } => self.worker_connections.writable(id),
            Event::Bytes { bytes, .. } => {
                self.worker_connections.push_bytes(id, bytes);
                self.read_worker_messages(now, id, io);
                self.worker_connections
                    .record_incomplete_frame(&mut self.context, now, id);
                self.limit_incomplete_frames(now, id, io);
            }
            Event::Closed { cause, .. } => {
                let loss = ConnectionLoss::Closed(cause);
                let outcomes = self
                    .worker_connections
                    .lost(&mut self.context, now, id, loss);
                self.finish_messages(now, outcomes);
            }
            Event::Accepted { .. } => {}
        }
    }

    fn read_worker_messages(&mut self, now: Micros, id: WorkerConnectionId, io: &mut dyn Io) {
        let Some(worker) = self.worker_connections.worker_of(id) else {
            return;
        };
        loop {
            let result = match self.worker_connections.next_message(id) {
                Ok(Some(WorkerMessage::Message(message))) => {
                    self.on_worker_message(now, id, worker, message)
                }
                Ok(Some(WorkerMessage::Confirmation(command))) => {
                    self.on_confirmation(now, id, command);
                    Ok(())
                }
                Ok(None) => return,
                Err(error) => Err(error),
            };
            if let Err(error) = result {
                return self.reset_after_violation(now, id, worker, &error, io);
            }
            self.worker_connections.record_message(now, id);
        }
    }

    /// Resets connections while incomplete frames of all workers exceed their limit.
    fn limit_incomplete_frames(
        &mut self,
        now: Micros,
        received_on: WorkerConnectionId,
        io: &mut dyn Io,
    ) {
        let max_bytes = self.context.limits.max_incomplete_frame_bytes;
        while let Some(largest) = self
            .worker_connections
            .largest_incomplete_frame(received_on, max_bytes)
        {
            let Some(worker) = self.worker_connections.worker_of(largest) else {
                return;
            };
            self.context.metrics.record_limit_hit("worker-frames");
            let error = WorkerProtocolError::TooManyBytes(max_bytes);
            self.reset_after_violation(now, largest, worker, &error, io);
        }
    }

    fn reset_after_violation(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        worker: WorkerId,
        error: &WorkerProtocolError,
        io: &mut dyn Io,
    ) {
        self.context.metrics.malformed_worker_streams.increment(1);
        tracing::warn!(
            worker = self
                .worker_connections
                .worker_name(worker)
                .unwrap_or_default(),
            reason = "garbled-worker",
            problem = %error,
            "worker violated the protocol; connection ended"
        );
        let loss = ConnectionLoss::ProtocolError;
        let outcomes = self
            .worker_connections
            .abandon(&mut self.context, now, id, loss, io);
        self.finish_messages(now, outcomes);
    }

    /// Handles the answer to a message that asked for proof of what the worker has read.
    fn on_confirmation(&mut self, now: Micros, id: WorkerConnectionId, command: CommandId) {
        self.worker_answered(now, id, MessageKey::Confirmation(command));
        self.worker_connections
            .confirmed(&mut self.context, now, id, command);
    }

    fn on_worker_message(
        &mut self,
        now: Micros,
        connection: WorkerConnectionId,
        worker: WorkerId,
        message: FromWorker,
    ) -> Result<(), WorkerProtocolError> {
        match message {
            FromWorker::Hello(hello) => return self.on_hello(now, worker, hello),
            FromWorker::Done(done) => {
                self.attempt_answered(now, connection, &done);
            }
            FromWorker::LoadDone(LoadDone {
                id,
                status,
                instances,
            }) => {
                let outcome = load_outcome(status);
                self.worker_answered(now, connection, MessageKey::Load(CommandId(id)));
                self.finish_load(now, CommandId(id), outcome, instances);
            }
            FromWorker::HealthStatus(status) => {
                let report = status.report.as_ref().map(load_report);
                let key = MessageKey::HealthCheck(CommandId(status.id));
                self.worker_answered(now, connection, key);
                self.finish_health_check(now, CommandId(status.id), Outcome::Finished, report);
            }
        }
        Ok(())
    }

    /// Verifies a worker's greeting. It is ignored if the worker was removed meanwhile, as no name is listed for it.
    fn on_hello(
        &mut self,
        now: Micros,
        worker: WorkerId,
        hello: Hello,
    ) -> Result<(), WorkerProtocolError> {
        let Some(listed) = self.worker_connections.worker_name(worker) else {
            return Ok(());
        };
        if hello.name != listed {
            return Err(WorkerProtocolError::WrongWorker {
                answering: hello.name,
                listed: listed.to_string(),
            });
        }
        if hello.version == 0 {
            return Err(WorkerProtocolError::UnsupportedVersion);
        }
        self.on_worker_restart(now, worker, hello.incarnation, hello.age_us);
        Ok(())
    }

    /// Ends messages that got no answer.
    pub(super) fn finish_messages(&mut self, now: Micros, outcomes: Vec<MessageOutcome>) {
        for MessageOutcome {
            key,
            outcome,
            proof,
            is_known_read,
        } in outcomes
        {
            match key {
                MessageKey::Attempt(id) if proof == Proof::Unknown => {
                    self.attempt_lost(now, id, is_known_read);
                }
                MessageKey::Attempt(id) => self.finish_attempt(now, id, outcome.into()),
                MessageKey::Load(id) => self.finish_load(now, id, outcome, 0),
                MessageKey::HealthCheck(id) => self.finish_health_check(now, id, outcome, None),
                MessageKey::Confirmation(_) | MessageKey::Cancel(_) | MessageKey::Untracked => {}
            }
        }
        self.release_answers(now);
    }

    /// Handles a connection that the connection policy has decided not to open.
    pub(super) fn worker_connection_rejected(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        reason: RejectReason,
    ) {
        let outcomes = self
            .worker_connections
            .reject(&mut self.context, id, reason);
        self.finish_messages(now, outcomes);
    }

    /// Retires a worker connection on behalf of the connection policy.
    pub(super) fn retire_worker_connection(&mut self, now: Micros, id: WorkerConnectionId) {
        self.worker_connections.retire(&mut self.context, now, id);
    }

    /// Runs the timeout check of a worker connection.
    pub(super) fn check_worker_connection(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        io: &mut dyn Io,
    ) {
        let outcomes = self
            .worker_connections
            .check(&mut self.context, now, id, io);
        self.finish_messages(now, outcomes);
    }

    /// Runs the check of a frame that was received in part.
    pub(super) fn check_incomplete_frame(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        io: &mut dyn Io,
    ) {
        let outcomes =
            self.worker_connections
                .check_incomplete_frame(&mut self.context, now, id, io);
        self.finish_messages(now, outcomes);
    }

    /// Resets a connection if the attempt, whose request is closed, is still only partially written.
    pub(super) fn reset_partial_write(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        attempt: AttemptId,
        io: &mut dyn Io,
    ) {
        let outcomes =
            self.worker_connections
                .reset_partial_write(&mut self.context, now, id, attempt, io);
        self.finish_messages(now, outcomes);
    }

    /// Writes queued messages to workers, cancellations first.
    pub(super) fn flush_workers(&mut self, now: Micros, io: &mut dyn Io) {
        self.end_abandoned_connections(now, io);
        for id in self.worker_connections.take_unconfirmed() {
            self.worker_connections.request_confirmation(now, id);
        }
        for id in self.worker_connections.take_with_queued_cancels() {
            self.check_unwritten_messages(now, id);
            if !self.withdraw_expired(now, id, io) {
                continue;
            }
            let written = self.worker_connections.flush_cancels(id, io);
            self.record_written(now, id, &written);
        }
        for id in self.worker_connections.take_dirty() {
            self.check_unwritten_messages(now, id);
            if !self.withdraw_expired(now, id, io) {
                continue;
            }
            let written = self.worker_connections.flush(id, io);
            self.record_written(now, id, &written);
        }
        self.end_abandoned_connections(now, io);
    }

    /// Ends the connections that are to be given up.
    fn end_abandoned_connections(&mut self, now: Micros, io: &mut dyn Io) {
        for id in self.worker_connections.take_abandoned() {
            let loss = ConnectionLoss::Closed(CloseCause::Reset);
            let outcomes = self
                .worker_connections
                .abandon(&mut self.context, now, id, loss, io);
            self.finish_messages(now, outcomes);
        }
    }

    /// Records when the last bytes of attempts and cancellations were written.
    fn record_written(&mut self, now: Micros, id: WorkerConnectionId, written: &[MessageKey]) {
        let connection_age = self.worker_connections.age(now, id).unwrap_or_default();
        for key in written {
            let (MessageKey::Attempt(attempt) | MessageKey::Cancel(attempt)) = key else {
                continue;
            };
            let Some(attempt) = self.requests.attempt_mut(*attempt) else {
                continue;
            };
            match &mut attempt.give_up {
                Some(give_up) => give_up.cancel_written_at = Some(now),
                None => {
                    attempt.written = Some(WrittenAttempt {
                        at: now,
                        connection: id,
                        connection_age,
                    });
                }
            }
        }
    }

    /// Retracts the unwritten messages to a worker that is draining, gone or has moved.
    pub(super) fn retract_from_worker(&mut self, now: Micros, worker: WorkerId) {
        let retracted = self.worker_connections.retract_all(worker);
        self.finish_messages(now, retracted);
    }

    /// Retracts the unwritten messages to a worker and retires its connections.
    pub(super) fn retire_worker(&mut self, now: Micros, worker: WorkerId) {
        self.retract_from_worker(now, worker);
        self.worker_connections
            .retire_all(&mut self.context, now, worker);
    }

    /// Removes a worker that is gone. Answers in flight on its connections are still awaited.
    pub(super) fn remove_worker(&mut self, now: Micros, worker: WorkerId) {
        self.retire_worker(now, worker);
        self.worker_connections.remove_endpoint(worker);
    }
}

fn load_outcome(status: ExecutionStatus) -> Outcome {
    match status {
        ExecutionStatus::Finished => Outcome::Finished,
        ExecutionStatus::Error | ExecutionStatus::ColdMiss => Outcome::Error,
        ExecutionStatus::Rejected | ExecutionStatus::Dropped => Outcome::Rejected,
    }
}
