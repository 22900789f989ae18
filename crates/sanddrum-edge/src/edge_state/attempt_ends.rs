//! Attempts that the edge has given up, or whose connection was lost, until their end at the worker is proved, and final
//! answers that wait for that. On the platform's protocol only: [`crate::attempt_end`] has the rules.

use super::EdgeState;
use crate::attempt_end::{latest_answer_at, latest_result_at, RESET_SETTLE_TIME};
use crate::event_counts::CountedEvent;
use crate::message::{AttemptId, MessageKey};
use crate::requests::{
    AttemptLoss, DeferredAnswer, ErrorAnswer, FinalAnswer, FinishedAnswer, GiveUp,
};
use crate::responses::ErrorResponse;
use crate::timers::Timer;
use sanddrum::{Micros, Outcome, RequestId};
use sanddrum_upstream::WorkerConnectionId;

impl EdgeState {
    /// Stops waiting for the answer to a written attempt: cancels it at the worker, and reports the outcome once the
    /// worker is known to have ended it. Until then the attempt counts as running.
    pub(super) fn give_up_attempt(&mut self, now: Micros, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.requests.attempt_mut(id) else {
            return;
        };
        if attempt.give_up.is_some() {
            return;
        }
        attempt.give_up = Some(GiveUp {
            outcome,
            at: now,
            cancel_written_at: None,
        });
        let (request, connection) = (attempt.request, attempt.connection);
        self.requests.set_unusual(request);
        let Some(connection) = connection else {
            return;
        };
        let key = MessageKey::Attempt(id);
        if self.worker_connections.is_partly_written(connection, key) {
            return self.worker_connections.abandon_later(connection);
        }
        self.send_cancel(connection, id);
        self.worker_connections.confirm_later(connection);
    }

    /// Handles that a worker has answered a message, which proves that it has read all earlier ones on the connection.
    pub(super) fn worker_answered(
        &mut self,
        now: Micros,
        connection: WorkerConnectionId,
        key: MessageKey,
    ) {
        let cancelled = self.worker_connections.record_answer(connection, key);
        self.finish_cancelled(now, &cancelled);
    }

    /// Ends attempts whose workers are known to have read their cancellations, and gives final answers that waited for
    /// them.
    pub(super) fn finish_cancelled(&mut self, now: Micros, cancelled: &[AttemptId]) {
        for id in cancelled {
            let attempt = self.requests.attempt(*id);
            if let Some(give_up) = attempt.and_then(|attempt| attempt.give_up) {
                self.finish_attempt(now, *id, give_up.outcome.into());
            }
        }
        self.release_answers(now);
    }

    /// Keeps an attempt whose connection was reset as running for as long as its worker may not have learned of it.
    pub(super) fn attempt_lost(&mut self, now: Micros, id: AttemptId, is_known_read: bool) {
        let Some(attempt) = self.requests.attempt_mut(id) else {
            return;
        };
        attempt.connection = None;
        attempt.loss = Some(AttemptLoss {
            at: now,
            is_known_read,
        });
        let (request, worker) = (attempt.request, attempt.worker);
        if self.requests.get_open(request).is_none() {
            return self.finish_attempt(now, id, Outcome::Reset.into());
        }
        self.requests.set_unusual(request);
        self.batch.lost_workers.insert(worker);
        let timer = Timer::LostAttempt(id);
        self.context.timers.schedule(now + RESET_SETTLE_TIME, timer);
    }

    /// Ends an attempt whose worker has learned by now that their connection was reset.
    pub(super) fn lost_attempt_settled(&mut self, now: Micros, id: AttemptId) {
        // The worker's loss was reported at once; this outcome tells nothing more about the worker.
        self.finish_attempt(now, id, Outcome::Cancelled.into());
    }

    /// Whether the worker may still have to read an attempt.
    fn may_be_unread(&self, id: AttemptId) -> bool {
        let Some(attempt) = self.requests.attempt(id) else {
            return false;
        };
        match (attempt.loss, attempt.connection) {
            (Some(loss), _) => !loss.is_known_read,
            (None, Some(connection)) => self.worker_connections.may_be_unread(connection, id),
            (None, None) => false,
        }
    }

    fn unread_attempts(&self, request: RequestId) -> Vec<AttemptId> {
        let mut attempts = self.requests.attempts_of(request);
        attempts.retain(|attempt| self.may_be_unread(*attempt));
        attempts
    }

    /// Makes a final error response wait while a worker may still have to read an attempt of the request, as nothing may
    /// be read after the response. Returns whether it waits.
    pub(super) fn defer_error(
        &mut self,
        now: Micros,
        id: RequestId,
        response: &ErrorResponse<'_>,
    ) -> bool {
        let Some(request) = self.requests.get_open(id) else {
            return false;
        };
        let latest = latest_answer_at(request.deadline, self.shutdown.deadline());
        let answer = FinalAnswer::Error(ErrorAnswer {
            status: response.status,
            kind: response.kind,
            reason: response.reason,
            detail: response.detail.to_string(),
            retry_after: response.retry_after,
        });
        self.defer_answer(now, id, answer, latest, Outcome::TimedOut)
    }

    /// Makes a result wait while the worker of another attempt may still have to read it.
    ///
    /// # Errors
    /// It need not wait; the result is returned.
    pub(super) fn defer_result(
        &mut self,
        now: Micros,
        id: RequestId,
        result: FinishedAnswer,
    ) -> Result<(), FinishedAnswer> {
        let Some(request) = self.requests.get_open(id) else {
            return Err(result);
        };
        let deadline = request.deadline;
        if !self.worker_connections.needs_proof() {
            return Err(result);
        }
        let unread = self.unread_attempts(id);
        let written_at = unread.iter().filter_map(|attempt| {
            let written = self.requests.attempt(*attempt)?.written?;
            Some(written.at)
        });
        let Some(last_written_at) = written_at.max() else {
            return Err(result);
        };
        let latest = latest_result_at(deadline, self.shutdown.deadline(), last_written_at);
        if latest <= now {
            return Err(result);
        }
        let answer = FinalAnswer::Finished(result);
        self.defer_answer(now, id, answer, latest, Outcome::Cancelled);
        Ok(())
    }

    /// Makes a final answer wait until `latest`, and gives the unread attempts up with this outcome. Returns false if
    /// there are none.
    fn defer_answer(
        &mut self,
        now: Micros,
        id: RequestId,
        answer: FinalAnswer,
        latest: Micros,
        outcome: Outcome,
    ) -> bool {
        let unread = self.unread_attempts(id);
        if !self.worker_connections.needs_proof() || latest <= now || unread.is_empty() {
            return false;
        }
        let (_, reason) = answer.status_and_reason();
        self.context
            .counts
            .record(CountedEvent::AnswerDeferred, reason);
        let decided_at = now;
        self.requests
            .defer_answer(id, DeferredAnswer { answer, decided_at });
        let timer = Timer::DeferredAnswer(id);
        self.context.timers.schedule(latest, timer);
        for attempt in unread {
            self.give_up_attempt(now, attempt, outcome);
        }
        true
    }

    /// Gives the final answers that need not wait any more.
    pub(super) fn release_answers(&mut self, now: Micros) {
        for id in self.requests.deferred_ids() {
            if self.unread_attempts(id).is_empty() {
                self.give_deferred_answer(now, id);
            }
        }
    }

    /// Gives a final answer that has waited, and stops waiting for the request's attempts.
    pub(super) fn give_deferred_answer(&mut self, now: Micros, id: RequestId) {
        let Some(deferred) = self.requests.take_deferred(id) else {
            return;
        };
        let attempts = self.requests.attempts_of(id);
        self.log_deferred(now, id, &deferred);
        match &deferred.answer {
            FinalAnswer::Finished(result) => self.close_with_result(now, id, result),
            FinalAnswer::Error(error) => {
                let response = ErrorResponse {
                    status: error.status,
                    kind: error.kind,
                    reason: error.reason,
                    detail: &error.detail,
                    retry_after: error.retry_after,
                    request: Some(id),
                };
                self.close_with_error(now, id, &response);
            }
        }
        for attempt in attempts {
            let give_up = self.requests.attempt(attempt).and_then(|a| a.give_up);
            let outcome = give_up.map_or(Outcome::TimedOut, |give_up| give_up.outcome);
            self.finish_attempt(now, attempt, outcome.into());
        }
    }
}
