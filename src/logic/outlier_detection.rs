//! Workers that take work and answer nothing: checks, suspicion, and moving jobs away.

use super::constants::*;
use super::Router;
use crate::state::*;
use crate::*;
use std::collections::BTreeSet;

impl Router {
    /// Guards against workers that take work and answer nothing: hung, cut off, dead. One that owes for long
    /// is checked; one that leaves that unanswered gets nothing new and is checked on, ever less often.
    pub(super) fn look_into_silence(&mut self, id: WorkerId, out: &mut impl Decisions) {
        let (now, wait) = (self.now, self.terms.tightest / ASKS_A_TARGET);
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let owes = worker
            .out
            .first()
            .is_some_and(|(sent, ..)| worker.heard <= *sent);
        let unanswered = worker.checked.map(|at| at + wait);
        if worker.row.state != WorkerState::Ready
            || !(owes || worker.suspect)
            || unanswered > Some(now)
        {
            return;
        }
        // Where nothing may be asked silence proves nothing, and who failed is tried again by the next job.
        if unanswered.is_some() && !self.terms.probes && !self.terms.orders {
            (worker.suspect, worker.checked) = (false, None);
            return;
        }
        worker.suspect |= unanswered.is_some();
        if worker.suspect {
            self.suspects.insert(id);
        }
        (worker.checked, worker.checks) = (Some(now), worker.checks + 1);
        self.due.insert((
            now + wait * Micros::from(worker.checks.min(10)),
            Due::Silence(id),
        ));
        let stuck = if worker.suspect {
            worker.out.clone()
        } else {
            BTreeSet::new()
        };
        if self.terms.probes {
            out.check_health(id);
        } else if self.terms.orders {
            let places = self
                .functions
                .at(id)
                .map(|f| (f, self.functions.place(f, id)));
            let unasked = places.into_iter().find(|(_, place)| place.order.is_none());
            if let Some((f, place)) = unasked {
                self.functions.put(
                    f,
                    id,
                    Place {
                        order: Some((now, 0)),
                        ..place
                    },
                );
                out.load(id, f, 0);
            }
        }
        stuck
            .iter()
            .for_each(|(.., job, n)| self.move_away(*job, *n, out));
    }

    /// A further execution for a job that is stuck at a silent worker, if the rules allow one and the time
    /// left exceeds what it is expected to take: beside the first where allowed, else in its place.
    pub(super) fn move_away(&mut self, id: RequestId, number: usize, out: &mut impl Decisions) {
        let Some(held) = self.jobs.get(&id) else {
            return;
        };
        let job = held.job;
        let in_time = job.deadline - self.now > self.work_of(&job) as Micros;
        let elsewhere = self.workers.values().any(|w| self.may_go(held, w));
        let doubles =
            self.terms.second_copies && self.workload(job.workload).effect == Effect::Restartable;
        let Some(held) = self.jobs.get_mut(&id) else {
            return;
        };
        let pending = held.executions.iter().filter(|e| e.out).count();
        let Some(execution) = held
            .executions
            .get_mut(number)
            .filter(|e| e.out && !e.cancelled)
        else {
            return;
        };
        if pending > 1 || !in_time || !elsewhere {
            return;
        }
        if doubles {
            self.todo.insert(id);
        } else if self.terms.cancels {
            execution.cancelled = true;
            out.cancel(id, number);
        }
    }
}
