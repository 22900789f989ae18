//! What is asked of workers beside jobs: orders to load, and probes.

use super::{ControlCommand, MessageKey, OutboundMessage};
use crate::{EdgeState, Timer};
use sanddrum::{FunctionId, HealthCheckResult, LoadResult, Micros, Outcome, WorkerId};
use sanddrum_wire as wire;

impl EdgeState {
    pub(crate) fn send_load(
        &mut self,
        now: Micros,
        worker: WorkerId,
        function: FunctionId,
        instances: u32,
    ) {
        self.worker_connections.next_command += 1;
        let id = self.worker_connections.next_command;
        let Some(known) = self.functions.get(function) else {
            let end = Outcome::Error;
            return self.batch.load_results.push(LoadResult {
                worker,
                function,
                outcome: end,
                latency: 0,
                instances: 0,
            });
        };
        let mark = MessageKey::Load(id);
        let hold = wire::Load {
            id,
            function: known.name.clone(),
            instances,
            memory_mb: known.memory_mb,
            concurrency: known.concurrency,
        };
        if instances > 0 {
            self.metrics.loads.increment(1);
        }
        let due = now + self.limits.order_time_out;
        let sent = self.send(
            now,
            worker,
            OutboundMessage {
                mark,
                id,
                bytes: &self.protocol.load(hold),
            },
            due,
        );
        match sent {
            Ok(connection) => {
                self.worker_connections.loads.insert(
                    id,
                    ControlCommand {
                        worker,
                        function,
                        connection,
                        sent: now,
                        due,
                    },
                );
                self.timers.insert((due, Timer::LoadTimeout(id)));
            }
            Err(end) => self.batch.load_results.push(LoadResult {
                worker,
                function,
                outcome: end,
                latency: 0,
                instances: 0,
            }),
        }
    }
    pub(super) fn load_ended(&mut self, now: Micros, id: u64, end: Outcome, instances: u32) {
        let Some(asked) = self.worker_connections.loads.remove(&id) else {
            return;
        };
        self.timers.remove(&(asked.due, Timer::LoadTimeout(id)));
        self.release_message(asked.connection, MessageKey::Load(id), now);
        let (worker, function, latency) = (asked.worker, asked.function, now - asked.sent);
        self.batch.load_results.push(LoadResult {
            worker,
            function,
            outcome: end,
            latency,
            instances,
        });
    }
    pub(crate) fn load_timed_out(&mut self, now: Micros, id: u64) {
        self.load_ended(now, id, Outcome::TimedOut, 0);
    }

    pub(crate) fn send_health_check(&mut self, now: Micros, worker: WorkerId) {
        self.worker_connections.next_command += 1;
        let id = self.worker_connections.next_command;
        self.metrics.health_checks.increment(1);
        let bytes = self.protocol.health_check(id);
        let due = now + self.limits.probe_time_out;
        match self.send(
            now,
            worker,
            OutboundMessage {
                mark: MessageKey::HealthCheck(id),
                id,
                bytes: &bytes,
            },
            due,
        ) {
            Ok(connection) => {
                let function = FunctionId::default();
                self.worker_connections.health_checks.insert(
                    id,
                    ControlCommand {
                        worker,
                        function,
                        connection,
                        sent: now,
                        due,
                    },
                );
                self.timers.insert((due, Timer::HealthCheckTimeout(id)));
            }
            Err(end) => self.batch.health_check_results.push(HealthCheckResult {
                worker,
                outcome: end,
                latency: 0,
                report: None,
            }),
        }
    }
    pub(super) fn take_health_check(&mut self, now: Micros, id: u64) -> Option<ControlCommand> {
        let asked = self.worker_connections.health_checks.remove(&id)?;
        self.timers
            .remove(&(asked.due, Timer::HealthCheckTimeout(id)));
        self.release_message(asked.connection, MessageKey::HealthCheck(id), now);
        Some(asked)
    }
    pub(super) fn health_check_failed(&mut self, now: Micros, id: u64, end: Outcome) {
        if let Some(asked) = self.take_health_check(now, id) {
            let (worker, latency) = (asked.worker, now - asked.sent);
            self.batch.health_check_results.push(HealthCheckResult {
                worker,
                outcome: end,
                latency,
                report: None,
            });
        }
    }
    pub(crate) fn health_check_timed_out(&mut self, now: Micros, id: u64) {
        self.health_check_failed(now, id, Outcome::TimedOut);
    }
}
