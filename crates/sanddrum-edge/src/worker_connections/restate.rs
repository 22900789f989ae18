//! Deadlines of requests that have waited to be written. A frame states the time that is left as it is made; until its
//! connection is up, or has room, that time passes.

use super::Mark;
use crate::dispatch::execute_message;
use crate::Inner;
use sanddrum::Micros;
use sanddrum_upstream::WorkerConnectionId;

/// A frame that has waited longer than this states its deadline anew.
const STATED_FOR: Micros = 10_000;

impl Inner {
    /// Has the frames that wait on this link, and are not begun, state what is left by now.
    pub(super) fn restate_deadlines(&mut self, now: Micros, id: WorkerConnectionId) {
        let Some(link) = self.links.links.get(&id).filter(|link| link.up) else {
            return;
        };
        let executions = link.out.unwritten().filter_map(|mark| match mark {
            Mark::Execution(execution) => Some(*execution),
            _ => None,
        });
        let stale = |execution: &u64| {
            self.jobs
                .executions
                .get(execution)
                .is_some_and(|e| now - e.stated > STATED_FOR)
        };
        let stale: Vec<u64> = executions.filter(stale).collect();
        for execution in stale {
            self.restate_deadline(now, id, execution);
        }
    }

    fn restate_deadline(&mut self, now: Micros, id: WorkerConnectionId, execution: u64) {
        let Some(e) = self.jobs.executions.get_mut(&execution) else {
            return;
        };
        let Some(job) = self.jobs.jobs.get(&e.job).filter(|job| !job.closed) else {
            return;
        };
        e.stated = now;
        let message = execute_message(&self.functions, job, execution, (e.due - now).max(0));
        let bytes = self.speech.execute(message, job.number);
        if let Some(link) = self.links.links.get_mut(&id) {
            link.out
                .replace_unwritten(&Mark::Execution(execution), &bytes);
        }
    }
}
