//! Final checks of attempts before their first byte is written. An attempt that may no longer be sent is retracted and
//! reported as an invariant violation, as it should have been retracted earlier. The others get their remaining time
//! limit: a frame holds the time limit at its encoding and may have waited until its connection opened or took bytes.

use super::EdgeState;
use crate::invariants::{may_send, AttemptFacts};
use crate::message::{AttemptId, MessageKey};
use sanddrum::{Micros, Outcome};
use sanddrum_upstream::WorkerConnectionId;

/// Frames that have waited for longer than this are re-encoded.
const MAX_TIME_LIMIT_AGE: Micros = 10_000;

impl EdgeState {
    /// Checks all attempts queued on an open connection of which no byte has been written.
    pub(super) fn check_unwritten_attempts(&mut self, now: Micros, id: WorkerConnectionId) {
        self.retract_disallowed(now, id);
        self.refresh_time_limits(now, id);
    }

    fn retract_disallowed(&mut self, now: Micros, id: WorkerConnectionId) {
        let attempts = self.worker_connections.unwritten_attempts(id);
        let disallowed: Vec<_> = attempts
            .into_iter()
            .filter_map(|attempt| {
                let facts = self.attempt_facts(now, attempt);
                Some((attempt, may_send(&facts).err()?))
            })
            .collect();
        for (attempt, invariant) in disallowed {
            let violations = &mut self.context.violations;
            violations.report(invariant, "a queued attempt may not be sent");
            if violations.are_allowed() {
                continue;
            }
            let key = MessageKey::Attempt(attempt);
            if self.worker_connections.retract(id, key) {
                self.finish_attempt(now, attempt, Outcome::CancelledBeforeStart.into());
            }
        }
    }

    fn attempt_facts(&self, now: Micros, id: AttemptId) -> AttemptFacts {
        let attempt = self.requests.attempt(id);
        let request = attempt.and_then(|attempt| self.requests.get(attempt.request));
        AttemptFacts {
            client_waits: request.is_some_and(|request| !request.is_closed),
            time_left: attempt.map_or(0, |attempt| attempt.deadline - now),
            send_time_left: attempt.map_or(0, |attempt| attempt.send_deadline - now),
            endpoint: attempt.and_then(|attempt| self.endpoints.phase(attempt.worker)),
            runs_once: request
                .is_some_and(|request| self.functions.runs_once(request.spec.workload)),
            another_may_run: request
                .is_some_and(|request| request.may_have_run || request.in_flight > 1),
            another_in_flight: request.is_some_and(|request| request.in_flight > 1),
            allows_hedging: self.context.limits.allows_hedging,
            is_past_shutdown: self.shutdown.is_past_deadline(),
        }
    }

    fn refresh_time_limits(&mut self, now: Micros, id: WorkerConnectionId) {
        let attempts = self.worker_connections.unwritten_attempts(id);
        let is_outdated = |attempt: &AttemptId| {
            self.requests
                .attempt(*attempt)
                .is_some_and(|attempt| now - attempt.deadline_encoded_at > MAX_TIME_LIMIT_AGE)
        };
        let outdated: Vec<AttemptId> = attempts.into_iter().filter(is_outdated).collect();
        for attempt in outdated {
            self.refresh_time_limit(now, id, attempt);
        }
    }
}
