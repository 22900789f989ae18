//! Send deadlines. The conditions under which the decision module has chosen a worker hold for a limited time only, but a
//! message may wait until its connection is open or takes more bytes, or while the process is stopped. A message whose
//! last byte is not written before its send deadline never reaches its worker whole.

use super::EdgeState;
use crate::event_counts::CountedEvent;
use crate::message::MessageKey;
use crate::timers::Timer;
use sanddrum::Micros;
use sanddrum_net::Io;
use sanddrum_upstream::WorkerConnectionId;

impl EdgeState {
    /// Schedules the withdrawal of a message, unless it ends before its send deadline in any case.
    pub(super) fn schedule_send_deadline(
        &mut self,
        key: MessageKey,
        send_deadline: Micros,
        ends_at: Micros,
    ) {
        if send_deadline < ends_at {
            let timer = Timer::SendDeadline(key);
            self.context.timers.schedule(send_deadline, timer);
        }
    }

    /// Withdraws a message that is not sent completely at its send deadline. If a part of it was written, its connection is
    /// given up, so that the worker never reads it whole.
    pub(super) fn send_deadline_passed(&mut self, now: Micros, key: MessageKey) {
        let Some((connection, _)) = self.send_condition(key) else {
            return;
        };
        if self.worker_connections.retract(connection, key) {
            self.context
                .counts
                .record(CountedEvent::SendWithdrawn, "unwritten");
            return self.finish_unsent(now, key);
        }
        if self.worker_connections.is_partly_written(connection, key) {
            self.context
                .counts
                .record(CountedEvent::SendWithdrawn, "partly-written");
            self.worker_connections.abandon_later(connection);
        }
    }

    /// Withdraws the messages on a connection whose send deadline has passed since this turn began: the turn may have taken
    /// long, or the process may have been stopped. Returns whether the connection may be written.
    pub(super) fn withdraw_expired(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        io: &mut dyn Io,
    ) -> bool {
        let clock = io.clock(now);
        let pending = self.worker_connections.pending_messages(id);
        let is_expired = |key: &MessageKey| {
            self.send_condition(*key)
                .is_some_and(|(_, send_deadline)| send_deadline <= clock)
        };
        let expired: Vec<MessageKey> = pending.into_iter().filter(is_expired).collect();
        for key in expired {
            self.send_deadline_passed(clock, key);
        }
        !self.worker_connections.is_abandoned(id)
    }

    /// The connection of a message and its send deadline.
    fn send_condition(&self, key: MessageKey) -> Option<(WorkerConnectionId, Micros)> {
        match key {
            MessageKey::Attempt(id) => {
                let attempt = self.requests.attempt(id)?;
                Some((attempt.connection?, attempt.send_deadline))
            }
            MessageKey::Load(id) => {
                let load = self.control_commands.load(id)?;
                Some((load.command.connection, load.send_deadline))
            }
            _ => None,
        }
    }
}
