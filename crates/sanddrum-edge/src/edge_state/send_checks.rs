//! Final checks of attempts and load commands before their first byte is written. What may no longer be sent is retracted
//! and reported as an invariant violation, as it should have been retracted earlier. The other attempts get their remaining
//! time limit: a frame holds the time limit at its encoding and may have waited until its connection opened or took bytes.

use super::EdgeState;
use crate::invariants::{may_send_attempt, may_send_load, AttemptFacts, Invariant, LoadFacts};
use crate::message::{AttemptId, CommandId, MessageKey};
use sanddrum::{Micros, Outcome};
use sanddrum_upstream::WorkerConnectionId;

/// Frames that have waited for longer than this are re-encoded.
const MAX_TIME_LIMIT_AGE: Micros = 10_000;

impl EdgeState {
    /// Checks all attempts and load commands queued on an open connection of which no byte has been written.
    pub(super) fn check_unwritten_messages(&mut self, now: Micros, id: WorkerConnectionId) {
        self.retract_disallowed(now, id);
        self.refresh_time_limits(now, id);
    }

    fn retract_disallowed(&mut self, now: Micros, id: WorkerConnectionId) {
        let messages = self.worker_connections.unwritten_messages(id);
        let disallowed: Vec<_> = messages
            .into_iter()
            .filter_map(|key| Some((key, self.may_send(now, key).err()?)))
            .collect();
        for (key, invariant) in disallowed {
            let violations = &mut self.context.violations;
            violations.report(invariant, "a queued message may not be sent");
            if violations.are_allowed() {
                continue;
            }
            if self.worker_connections.retract(id, key) {
                self.finish_unsent(now, key);
            }
        }
    }

    fn may_send(&self, now: Micros, key: MessageKey) -> Result<(), Invariant> {
        match key {
            MessageKey::Attempt(id) => may_send_attempt(&self.attempt_facts(now, id)),
            MessageKey::Load(id) => may_send_load(&self.load_facts(now, id)),
            _ => Ok(()),
        }
    }

    /// Ends an attempt or a load command that was taken back before a byte of it was written.
    pub(super) fn finish_unsent(&mut self, now: Micros, key: MessageKey) {
        let outcome = Outcome::CancelledBeforeStart;
        match key {
            MessageKey::Attempt(id) => self.finish_attempt(now, id, outcome.into()),
            MessageKey::Load(id) => self.finish_load(now, id, outcome, 0),
            _ => {}
        }
    }

    fn load_facts(&self, now: Micros, id: CommandId) -> LoadFacts {
        let load = self.control_commands.load(id);
        LoadFacts {
            is_query: load.is_some_and(|load| load.is_query),
            send_time_left: load.map_or(0, |load| load.send_deadline - now),
            endpoint: load.and_then(|load| self.endpoints.phase(load.command.worker)),
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
                .is_some_and(|request| request.first_run.is_some() || request.in_flight > 1),
            is_key_recognized: self.is_key_recognized(now, id),
            another_in_flight: request.is_some_and(|request| request.in_flight > 1),
            allows_hedging: self.context.limits.allows_hedging,
            is_past_shutdown: self.shutdown.is_past_deadline(),
        }
    }

    /// Whether the worker of an attempt recognizes the idempotency key of its request, if the request may have run before
    /// and has one.
    fn is_key_recognized(&self, now: Micros, id: AttemptId) -> bool {
        let Some(attempt) = self.requests.attempt(id) else {
            return true;
        };
        let request = self.requests.get(attempt.request);
        let policy = request.and_then(|request| self.functions.key_policy(request.spec.workload));
        let first_run = self.requests.first_run_before(id);
        let location = self.endpoints.location(attempt.worker);
        policy
            .zip(first_run)
            .is_none_or(|(policy, first_run)| policy.is_recognized(now, &first_run, location))
    }

    fn refresh_time_limits(&mut self, now: Micros, id: WorkerConnectionId) {
        let messages = self.worker_connections.unwritten_messages(id);
        let attempts = messages.into_iter().filter_map(|key| match key {
            MessageKey::Attempt(attempt) => Some(attempt),
            _ => None,
        });
        let is_outdated = |attempt: &AttemptId| {
            self.requests
                .attempt(*attempt)
                .is_some_and(|attempt| now - attempt.deadline_encoded_at > MAX_TIME_LIMIT_AGE)
        };
        let outdated: Vec<AttemptId> = attempts.filter(is_outdated).collect();
        for attempt in outdated {
            self.refresh_time_limit(now, id, attempt);
        }
    }
}
