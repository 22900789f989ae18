//! The last look at attempts before their first byte is written: what may not be sent any more is taken back, and told as a
//! violation, as every path should have taken it back before.

use super::Mark;
use crate::invariants::{may_send, AttemptFacts, Rule};
use crate::Inner;
use sanddrum::{Micros, Outcome, Warmth};
use sanddrum_upstream::WorkerConnectionId;

impl Inner {
    /// Takes back what waits on this link and may not be sent.
    pub(super) fn guard_writes(&mut self, now: Micros, id: WorkerConnectionId) {
        let Some(link) = self.links.links.get(&id).filter(|link| link.up) else {
            return;
        };
        let executions = link.out.unwritten().filter_map(|mark| match mark {
            Mark::Execution(execution) => Some(*execution),
            _ => None,
        });
        let judged =
            executions.map(|execution| (execution, may_send(&self.attempt_facts(now, execution))));
        let denied = judged.filter_map(|(execution, judged)| Some((execution, judged.err()?)));
        let denied: Vec<(u64, Rule)> = denied.collect();
        for (execution, rule) in denied {
            self.violated(rule, "an attempt that may not be sent is taken back");
            if self.violations_pass {
                continue;
            }
            if self.links.take_back(id, execution) {
                self.execution_ended(
                    now,
                    execution,
                    Outcome::CancelledBeforeStart,
                    Warmth::Unknown,
                    None,
                    None,
                );
            }
        }
    }
    fn attempt_facts(&self, now: Micros, execution: u64) -> AttemptFacts {
        let attempt = self.jobs.executions.get(&execution);
        let job = attempt.and_then(|attempt| self.jobs.jobs.get(&attempt.job));
        AttemptFacts {
            client_waits: job.is_some_and(|job| !job.closed),
            time_left: attempt.map_or(0, |attempt| attempt.due - now),
            endpoint: attempt.and_then(|attempt| self.list.phase(attempt.worker)),
            runs_once: job.is_some_and(|job| self.functions.runs_once(job.workload)),
            other_may_run: job.is_some_and(|job| job.may_have_run || job.out > 1),
            ended: self.ended,
        }
    }
    /// Counts a violation and tells it. In tests it fails.
    pub(crate) fn violated(&mut self, rule: Rule, what: &str) {
        self.violations.count(rule);
        tracing::error!(
            reason = "violation",
            rule = rule.name(),
            what,
            "a rule was about to be broken"
        );
        debug_assert!(self.violations_pass, "violation of {}: {what}", rule.name());
    }
}
