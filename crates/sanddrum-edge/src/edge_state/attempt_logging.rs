//! Log lines on single requests whose attempts did not end with an answer, bounded in number at the default level.

use super::EdgeState;
use crate::attempt_log::AttemptHistory;
use crate::event_counts::CountedEvent;
use crate::metrics::outcome_label;
use crate::requests::{Attempt, DeferredAnswer};
use sanddrum::{Micros, Outcome, RequestId};

impl EdgeState {
    /// Logs the times of an attempt that has ended: at the default level unless it was answered.
    pub(super) fn log_history(
        &mut self,
        now: Micros,
        call_id: u64,
        attempt: &Attempt,
        outcome: Outcome,
    ) {
        let since_dispatch = |at: Micros| at - attempt.sent_at;
        let history = AttemptHistory {
            call_id,
            index: attempt.index,
            worker: self
                .worker_connections
                .worker_name(attempt.worker)
                .unwrap_or("-"),
            connection: attempt.written.map(|written| written.connection.0),
            connection_age: attempt.written.map(|written| written.connection_age),
            written: attempt.written.map(|written| since_dispatch(written.at)),
            given_up: attempt.give_up.map(|give_up| since_dispatch(give_up.at)),
            cancel_written: attempt
                .give_up
                .and_then(|give_up| give_up.cancel_written_at)
                .map(since_dispatch),
            connection_lost: attempt.loss.map(|loss| since_dispatch(loss.at)),
            ended: since_dispatch(now),
            outcome: outcome_label(outcome),
        };
        tracing::debug!(%history, "attempt history");
        let is_unusual = attempt.give_up.is_some()
            || attempt.loss.is_some()
            || matches!(outcome, Outcome::NoConnection | Outcome::Reset);
        if !is_unusual {
            return;
        }
        if let Some(left_out) = self.context.log_budget.take(now) {
            tracing::warn!(%history, left_out, "attempt ended without an answer");
        }
    }

    /// Logs why an attempt follows one whose end had to be proved.
    pub(super) fn log_retry(
        &mut self,
        now: Micros,
        call_id: u64,
        index: usize,
        previous_outcome: Option<&str>,
    ) {
        if let Some(left_out) = self.context.log_budget.take(now) {
            tracing::warn!(
                call = %format_args!("{call_id:016x}"),
                attempt = index,
                retry_after = previous_outcome,
                left_out,
                "attempt follows one that was given up"
            );
        }
    }

    /// Logs a final answer of a request one of whose attempts had to be proved to have ended.
    pub(super) fn log_final_answer(
        &mut self,
        now: Micros,
        id: RequestId,
        status: u16,
        reason: &str,
    ) {
        let request = self.requests.get(id);
        let Some(request) = request.filter(|request| request.is_unusual) else {
            return;
        };
        let call_id = request.spec.call_id;
        let left_us = request.deadline - now;
        if let Some(left_out) = self.context.log_budget.take(now) {
            tracing::warn!(
                call = %format_args!("{call_id:016x}"),
                status,
                reason,
                left_us,
                left_out,
                "final answer after an attempt that was given up"
            );
        }
    }

    /// Counts and logs a final answer that is given after the client's time limit.
    pub(super) fn log_late_answer(
        &mut self,
        now: Micros,
        id: RequestId,
        status: u16,
        reason: &'static str,
    ) {
        let Some(request) = self.requests.get_open(id) else {
            return;
        };
        let late_us = now - request.deadline - self.context.limits.response_lead_time;
        if late_us <= 0 {
            return;
        }
        let (call_id, unread_us) = (request.spec.call_id, request.spec.unread_for);
        self.context.metrics.late_answers.increment(1);
        self.context
            .counts
            .record(CountedEvent::AnsweredLate, reason);
        if let Some(left_out) = self.context.log_budget.take(now) {
            tracing::warn!(
                call = %format_args!("{call_id:016x}"),
                status,
                reason,
                late_us,
                unread_us,
                left_out,
                "final answer after the client's time limit"
            );
        }
    }

    /// Logs how long a final answer has waited.
    pub(super) fn log_deferred(&mut self, now: Micros, id: RequestId, answer: &DeferredAnswer) {
        let request = self.requests.get(id);
        let call_id = request.map_or(0, |request| request.spec.call_id);
        let waited_us = now - answer.decided_at;
        let (status, reason) = answer.answer.status_and_reason();
        if let Some(left_out) = self.context.log_budget.take(now) {
            tracing::warn!(
                call = %format_args!("{call_id:016x}"),
                status,
                reason,
                waited_us,
                left_out,
                "final answer waited until no worker could read an attempt any more"
            );
        }
    }
}
