//! Sending load commands, unload commands and health checks, and handling their results.

use super::EdgeState;
use crate::control_commands::{PendingCommand, PendingLoad};
use crate::event_counts::CountedEvent;
use crate::functions::Function;
use crate::message::{CommandId, MessageKey, OutboundMessage};
use crate::metrics::outcome_label;
use crate::timers::Timer;
use crate::worker_connections::WorkerConnections;
use sanddrum::{FunctionId, HealthCheckResult, LoadReport, LoadResult, Micros, Outcome, WorkerId};
use sanddrum_wire as wire;

impl EdgeState {
    /// Sends a load command. With zero `instances` it only queries the number of loaded instances.
    pub(super) fn send_load(
        &mut self,
        now: Micros,
        worker: WorkerId,
        function: FunctionId,
        instances: u32,
        send_deadline: Micros,
    ) {
        let id = self.control_commands.allocate_id();
        let Some(known) = self.functions.get(function) else {
            return self.report_unsent_load(worker, function, Outcome::Error);
        };
        let load = load_message(id, known, instances);
        if instances > 0 {
            self.context.metrics.load_commands.increment(1);
        }
        tracing::debug!(
            command = id.0,
            worker = self.worker_connections.worker_name(worker),
            function = known.name,
            instances,
            "load command"
        );
        let message = OutboundMessage {
            key: MessageKey::Load(id),
            wire_id: id.0,
            bytes: self.worker_connections.protocol().load(load),
        };
        let deadline = now + self.context.limits.load_timeout;
        match self.send_command(now, worker, &message, deadline) {
            Ok(command) => {
                let load = PendingLoad {
                    function,
                    is_query: instances == 0,
                    send_deadline,
                    command,
                };
                self.control_commands.insert_load(id, load);
                let timer = Timer::LoadTimeout(id);
                self.context.timers.schedule(deadline, timer);
                self.schedule_send_deadline(message.key, send_deadline, deadline);
            }
            Err(outcome) => self.report_unsent_load(worker, function, outcome),
        }
    }

    fn send_command(
        &mut self,
        now: Micros,
        worker: WorkerId,
        message: &OutboundMessage,
        deadline: Micros,
    ) -> Result<PendingCommand, Outcome> {
        let connection = self
            .worker_connections
            .send(&mut self.context, now, worker, message, deadline)
            .map_err(|error| error.outcome())?;
        Ok(PendingCommand {
            worker,
            connection,
            sent_at: now,
            deadline,
        })
    }

    fn report_unsent_load(&mut self, worker: WorkerId, function: FunctionId, outcome: Outcome) {
        self.batch.load_results.push(LoadResult {
            worker,
            function,
            outcome,
            latency: 0,
            instances: 0,
        });
    }

    /// Handles the end of a load command. `instances` is the number of loaded instances that the worker reported.
    pub(super) fn finish_load(
        &mut self,
        now: Micros,
        id: CommandId,
        outcome: Outcome,
        instances: u32,
    ) {
        let Some(load) = self.control_commands.remove_load(id) else {
            return;
        };
        let command = load.command;
        let end = outcome_label(outcome);
        if instances > 0 {
            self.functions.mark_served(load.function);
        }
        if outcome != Outcome::Finished {
            self.context.counts.record(CountedEvent::LoadNotDone, end);
        }
        tracing::debug!(
            command = id.0,
            worker = self.worker_connections.worker_name(command.worker),
            end,
            instances,
            "load command ended"
        );
        let timer = Timer::SendDeadline(MessageKey::Load(id));
        self.context.timers.cancel(load.send_deadline, timer);
        let timer = Timer::LoadTimeout(id);
        self.release_command(now, &command, timer, MessageKey::Load(id));
        self.batch.load_results.push(LoadResult {
            worker: command.worker,
            function: load.function,
            outcome,
            latency: now - command.sent_at,
            instances,
        });
    }

    fn release_command(
        &mut self,
        now: Micros,
        command: &PendingCommand,
        timer: Timer,
        key: MessageKey,
    ) {
        self.context.timers.cancel(command.deadline, timer);
        self.worker_connections
            .release(&mut self.context, now, command.connection, key);
    }

    /// Handles the timeout of a load command.
    pub(super) fn load_timed_out(&mut self, now: Micros, id: CommandId) {
        self.finish_load(now, id, Outcome::TimedOut, 0);
    }

    /// Asks a worker to unload the idle instances of a function. If this can't be sent, the instances' keep-alive
    /// expires.
    pub(super) fn send_unload(&mut self, now: Micros, worker: WorkerId, function: FunctionId) {
        let Some(known) = self.functions.get(function) else {
            return;
        };
        let message = OutboundMessage {
            key: MessageKey::Untracked,
            wire_id: 0,
            bytes: self
                .worker_connections
                .protocol()
                .unload(known.name.clone()),
        };
        let deadline = now + self.context.limits.load_timeout;
        let _ = self
            .worker_connections
            .send(&mut self.context, now, worker, &message, deadline);
    }

    /// Sends a health check.
    pub(super) fn send_health_check(&mut self, now: Micros, worker: WorkerId) {
        let id = self.control_commands.allocate_id();
        self.context.metrics.health_checks.increment(1);
        let message = OutboundMessage {
            key: MessageKey::HealthCheck(id),
            wire_id: id.0,
            bytes: self.worker_connections.protocol().health_check(id),
        };
        let deadline = now + self.context.limits.health_check_timeout;
        match self.send_command(now, worker, &message, deadline) {
            Ok(command) => {
                self.control_commands.insert_health_check(id, command);
                let timer = Timer::HealthCheckTimeout(id);
                self.context.timers.schedule(deadline, timer);
            }
            Err(outcome) => self.batch.health_check_results.push(HealthCheckResult {
                worker,
                outcome,
                latency: 0,
                report: None,
            }),
        }
    }

    /// Handles the end of a health check; `report` is the worker's load report, if the check was answered.
    pub(super) fn finish_health_check(
        &mut self,
        now: Micros,
        id: CommandId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(command) = self.control_commands.remove_health_check(id) else {
            return;
        };
        let timer = Timer::HealthCheckTimeout(id);
        self.release_command(now, &command, timer, MessageKey::HealthCheck(id));
        if let Some(report) = &report {
            WorkerConnections::record_load_report(&mut self.context, command.worker, report);
        }
        self.batch.health_check_results.push(HealthCheckResult {
            worker: command.worker,
            outcome,
            latency: now - command.sent_at,
            report,
        });
    }

    /// Handles the timeout of a health check.
    pub(super) fn health_check_timed_out(&mut self, now: Micros, id: CommandId) {
        self.finish_health_check(now, id, Outcome::TimedOut, None);
    }
}

fn load_message(id: CommandId, function: &Function, instances: u32) -> wire::Load {
    wire::Load {
        id: id.0,
        function: function.name.clone(),
        instances,
        memory_mb: function.spec.memory_mb,
        concurrency: function.spec.concurrency,
    }
}
