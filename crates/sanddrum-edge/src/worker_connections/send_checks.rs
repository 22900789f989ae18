//! The last look at attempts before their first byte is written: what may not be sent any more is taken back, and told as a
//! violation, as every path should have taken it back before.

use super::MessageKey;
use crate::invariants::{may_send, AttemptFacts, Invariant};
use crate::EdgeState;
use sanddrum::{Micros, Outcome, Warmth};
use sanddrum_upstream::WorkerConnectionId;

impl EdgeState {
    /// Takes back what waits on this link and may not be sent.
    pub(super) fn retract_disallowed(&mut self, now: Micros, id: WorkerConnectionId) {
        let Some(connection) = self
            .worker_connections
            .connections
            .get(&id)
            .filter(|connection| connection.is_connected)
        else {
            return;
        };
        let attempts = connection.out.unwritten().filter_map(|mark| match mark {
            MessageKey::Attempt(attempt) => Some(*attempt),
            _ => None,
        });
        let judged = attempts.map(|attempt| (attempt, may_send(&self.attempt_facts(now, attempt))));
        let denied = judged.filter_map(|(attempt, judged)| Some((attempt, judged.err()?)));
        let denied: Vec<(u64, Invariant)> = denied.collect();
        for (attempt, rule) in denied {
            self.report_violation(rule, "an attempt that may not be sent is taken back");
            if self.allow_violations {
                continue;
            }
            if self.worker_connections.retract_attempt(id, attempt) {
                self.attempt_ended(
                    now,
                    attempt,
                    Outcome::CancelledBeforeStart,
                    Warmth::Unknown,
                    None,
                    None,
                );
            }
        }
    }
    fn attempt_facts(&self, now: Micros, attempt: u64) -> AttemptFacts {
        let attempt = self.requests.attempts.get(&attempt);
        let request = attempt.and_then(|attempt| self.requests.requests.get(&attempt.request));
        AttemptFacts {
            client_waits: request.is_some_and(|request| !request.is_closed),
            time_left: attempt.map_or(0, |attempt| attempt.due - now),
            endpoint: attempt.and_then(|attempt| self.discovery.phase(attempt.worker)),
            runs_once_only: request
                .is_some_and(|request| self.functions.runs_once_only(request.workload)),
            other_may_run: request
                .is_some_and(|request| request.may_have_run || request.in_flight > 1),
            ended: self.shutdown_complete,
        }
    }
    /// Counts a violation and tells it. In tests it fails.
    pub(crate) fn report_violation(&mut self, rule: Invariant, what: &str) {
        self.violations.count(rule);
        tracing::error!(
            reason = "violation",
            rule = rule.name(),
            what,
            "a rule was about to be broken"
        );
        debug_assert!(
            self.allow_violations,
            "violation of {}: {what}",
            rule.name()
        );
    }
}
