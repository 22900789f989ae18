//! What is not to be sent any more: to workers that drain, are gone or are called elsewhere, and for nobody.

use super::{Mark, WRITTEN_SOON};
use crate::{Due, Inner};
use sanddrum::{Micros, Outcome, Warmth, WorkerId};
use sanddrum_net::{CloseCause, Io};
use sanddrum_upstream::WorkerConnectionId;
use std::collections::BTreeSet;

impl Inner {
    /// A worker that drains, is gone or is called elsewhere from now on gets nothing that was not begun to be written
    /// before.
    pub(crate) fn recall_from(&mut self, now: Micros, worker: WorkerId) {
        let Some(target) = self.links.targets.get(&worker) else {
            return;
        };
        for id in target.links.clone() {
            let Some(link) = self.links.links.get_mut(&id) else {
                continue;
            };
            let back: Vec<Mark> = link
                .carries
                .iter()
                .filter(|mark| link.out.is_pending(mark))
                .copied()
                .collect();
            for mark in back {
                if !self.links.take_back_mark(id, &mark) {
                    continue;
                }
                match mark {
                    Mark::Execution(n) => self.execution_ended(
                        now,
                        n,
                        Outcome::CancelledBeforeStart,
                        Warmth::Unknown,
                        None,
                        None,
                    ),
                    Mark::Order(n) => self.order_ended(now, n, Outcome::Rejected, 0),
                    Mark::Probe(n) => self.probe_failed(now, n, Outcome::CancelledBeforeStart),
                    Mark::GiveUp | Mark::Other => {}
                }
            }
        }
    }
    /// The connections to a worker are of no further use: what it still answers there is heard, and then they end.
    pub(crate) fn leave_worker(&mut self, now: Micros, worker: WorkerId) {
        self.recall_from(now, worker);
        let links = self
            .links
            .targets
            .get(&worker)
            .map(|target| target.links.clone())
            .unwrap_or_default();
        links.into_iter().for_each(|id| self.retire_link(now, id));
    }
    /// One that is gone is called no more.
    pub(crate) fn worker_gone(&mut self, now: Micros, worker: WorkerId) {
        self.leave_worker(now, worker);
        self.links.targets.remove(&worker);
    }
    /// Workers that a whole list does not name are gone.
    pub(crate) fn only_these_stand(&mut self, now: Micros, listed: &BTreeSet<WorkerId>) {
        let gone: Vec<WorkerId> = self
            .links
            .targets
            .keys()
            .filter(|worker| !listed.contains(worker))
            .copied()
            .collect();
        for worker in gone {
            self.links.news.removed_workers.push(worker);
            self.worker_gone(now, worker);
        }
    }

    /// Nobody waits any more for an execution of which a part is written: it is out soon, or its connection goes.
    /// Guards against one that begins long after its client has left, behind a worker that reads nothing.
    pub(crate) fn finish_writing_soon(
        &mut self,
        now: Micros,
        link: WorkerConnectionId,
        execution: u64,
    ) {
        if self.links.holds(link, execution) {
            self.due
                .insert((now + WRITTEN_SOON, Due::Unwritten(link, execution)));
        }
    }
    pub(crate) fn still_unwritten(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        execution: u64,
        io: &mut dyn Io,
    ) {
        if self.links.holds(id, execution) {
            self.reset_link(id, io);
            self.link_ended(now, id, CloseCause::Reset, false);
        }
    }
}
