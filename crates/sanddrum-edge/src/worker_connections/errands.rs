//! What is asked of workers beside jobs: orders to load, and probes.

use super::{Asked, Mark, Piece};
use crate::{Due, Inner};
use sanddrum::{FunctionId, HealthCheckResult, LoadResult, Micros, Outcome, WorkerId};
use sanddrum_wire as wire;

impl Inner {
    pub(crate) fn order(
        &mut self,
        now: Micros,
        worker: WorkerId,
        function: FunctionId,
        copies: u32,
    ) {
        self.links.asked += 1;
        let id = self.links.asked;
        let Some(known) = self.functions.get(function) else {
            let end = Outcome::Error;
            return self.round.load_results.push(LoadResult {
                worker,
                function,
                outcome: end,
                latency: 0,
                instances: 0,
            });
        };
        let (mark, bytes_of) = (Mark::Order(id), self.speech);
        let hold = wire::Load {
            id,
            function: known.name.clone(),
            instances: copies,
            memory_mb: known.memory_mb,
            concurrency: known.lanes,
        };
        if copies > 0 {
            self.figures.orders.increment(1);
        }
        let due = now + self.limits.order_time_out;
        let sent = self.send(
            now,
            worker,
            Piece {
                mark,
                id,
                bytes: &bytes_of.hold(hold),
            },
            due,
        );
        match sent {
            Ok(link) => {
                self.links.orders.insert(
                    id,
                    Asked {
                        worker,
                        function,
                        link,
                        sent: now,
                        due,
                    },
                );
                self.due.insert((due, Due::Order(id)));
            }
            Err(end) => self.round.load_results.push(LoadResult {
                worker,
                function,
                outcome: end,
                latency: 0,
                instances: 0,
            }),
        }
    }
    pub(super) fn order_ended(&mut self, now: Micros, id: u64, end: Outcome, copies: u32) {
        let Some(asked) = self.links.orders.remove(&id) else {
            return;
        };
        self.due.remove(&(asked.due, Due::Order(id)));
        self.release(asked.link, Mark::Order(id), now);
        let (worker, function, latency) = (asked.worker, asked.function, now - asked.sent);
        self.round.load_results.push(LoadResult {
            worker,
            function,
            outcome: end,
            latency,
            instances: copies,
        });
    }
    pub(crate) fn order_is_late(&mut self, now: Micros, id: u64) {
        self.order_ended(now, id, Outcome::TimedOut, 0);
    }

    pub(crate) fn probe(&mut self, now: Micros, worker: WorkerId) {
        self.links.asked += 1;
        let id = self.links.asked;
        self.figures.probes.increment(1);
        let bytes = self.speech.probe(id);
        let due = now + self.limits.probe_time_out;
        match self.send(
            now,
            worker,
            Piece {
                mark: Mark::Probe(id),
                id,
                bytes: &bytes,
            },
            due,
        ) {
            Ok(link) => {
                let function = FunctionId::default();
                self.links.probes.insert(
                    id,
                    Asked {
                        worker,
                        function,
                        link,
                        sent: now,
                        due,
                    },
                );
                self.due.insert((due, Due::Probe(id)));
            }
            Err(end) => self.round.health_check_results.push(HealthCheckResult {
                worker,
                outcome: end,
                latency: 0,
                report: None,
            }),
        }
    }
    pub(super) fn probe_over(&mut self, now: Micros, id: u64) -> Option<Asked> {
        let asked = self.links.probes.remove(&id)?;
        self.due.remove(&(asked.due, Due::Probe(id)));
        self.release(asked.link, Mark::Probe(id), now);
        Some(asked)
    }
    pub(super) fn probe_failed(&mut self, now: Micros, id: u64, end: Outcome) {
        if let Some(asked) = self.probe_over(now, id) {
            let (worker, latency) = (asked.worker, now - asked.sent);
            self.round.health_check_results.push(HealthCheckResult {
                worker,
                outcome: end,
                latency,
                report: None,
            });
        }
    }
    pub(crate) fn probe_is_late(&mut self, now: Micros, id: u64) {
        self.probe_failed(now, id, Outcome::TimedOut);
    }
}
