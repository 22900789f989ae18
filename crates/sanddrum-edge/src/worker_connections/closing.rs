//! Closing of worker connections, and the outcomes of messages in flight on them.

use super::{ConnectionLoss, MessageOutcome, Transport, WorkerConnection, WorkerConnections};
use crate::attempt_end::{proof_of_loss, Proof, CLOSE_TIMEOUT};
use crate::context::EdgeContext;
use crate::event_counts::CountedEvent;
use crate::message::{AttemptId, MessageKey};
use crate::timers::Timer;
use crate::worker_protocol::WorkerProtocol;
use sanddrum::{Micros, Outcome};
use sanddrum_net::{CloseCause, Io};
use sanddrum_upstream::{RejectReason, WorkerConnectionId};
use std::collections::BTreeSet;

impl WorkerConnections {
    /// Removes a lost connection. Messages that were not written completely have not run; the others may have.
    pub fn lost(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
        loss: ConnectionLoss,
    ) -> Vec<MessageOutcome> {
        let Some(connection) = self.connections.get(&id) else {
            return Vec::new();
        };
        let cause = loss.cause();
        if !connection.is_idle() {
            self.log_loss(now, connection, cause);
            context
                .counts
                .record(CountedEvent::WorkerLost, loss_label(cause));
            let was_open = connection.transport.is_connected() && cause != CloseCause::Refused;
            if was_open && loss != ConnectionLoss::ProtocolError {
                let busy_for = now - connection.busy_since;
                self.idle_timeout
                    .record_reset(now, connection.idle_before, busy_for);
            }
        }
        let outcomes = connection
            .in_flight
            .keys()
            .map(|key| self.outcome_after_loss(connection, *key, cause))
            .collect();
        self.remove(context, id, loss);
        outcomes
    }

    fn log_loss(&self, now: Micros, connection: &WorkerConnection, cause: CloseCause) {
        tracing::info!(
            worker = self.worker_name(connection.worker),
            ?cause,
            connected = connection.transport.is_connected(),
            open_for_us = now - connection.opened_at,
            in_flight = connection.in_flight.len(),
            idle_before_us = connection.idle_before,
            "worker connection lost"
        );
    }

    /// Removes a connection that the connection policy does not allow to be opened.
    pub fn reject(
        &mut self,
        context: &mut EdgeContext,
        id: WorkerConnectionId,
        reason: RejectReason,
    ) -> Vec<MessageOutcome> {
        context.metrics.record_limit_hit(reason.reason());
        let outcome = match reason {
            RejectReason::HandshakeBudget => Outcome::Rejected,
            _ => Outcome::NoConnection,
        };
        let Some(connection) = self.connections.get(&id) else {
            return Vec::new();
        };
        let in_flight = connection.in_flight.keys();
        let outcomes = in_flight
            .map(|key| MessageOutcome::of_unread(*key, outcome))
            .collect();
        self.remove(context, id, ConnectionLoss::Closed(CloseCause::Refused));
        outcomes
    }

    /// The outcome of a message that was in flight when its connection was lost.
    fn outcome_after_loss(
        &self,
        connection: &WorkerConnection,
        key: MessageKey,
        cause: CloseCause,
    ) -> MessageOutcome {
        let is_open = connection.transport.is_connected() || connection.transport.is_closing();
        let is_written = is_open && !connection.outbox.is_pending(&key);
        let proof = match proof_of_loss(is_written, cause) {
            Proof::Unknown if !self.needs_proof() => Proof::Ended,
            proof => proof,
        };
        let outcome = match proof {
            Proof::NeverRead => Outcome::NoConnection,
            Proof::Ended | Proof::Unknown => Outcome::Reset,
        };
        MessageOutcome {
            key,
            outcome,
            proof,
            is_known_read: connection.is_known_read(key),
        }
    }

    fn remove(&mut self, context: &mut EdgeContext, id: WorkerConnectionId, loss: ConnectionLoss) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        context.metrics.worker_connections_open.decrement(1.0);
        self.dirty.remove(&id);
        if let Some(endpoint) = self.endpoints.get_mut(&connection.worker) {
            endpoint.connections.remove(&id);
        }
        let events = &mut context.connection_events;
        if self.counts_as_failed(&connection, loss) {
            events.failed.push(id);
        } else {
            events.closed.push(id);
        }
    }

    /// Whether the loss of a connection predicts that the next one fails as well. A failed connect does, unless the
    /// connection was retired, for example because its worker has moved. A protocol error counts on the native
    /// protocol only, where the greeting may show another worker's name; on the platform's protocol it is just a
    /// malformed answer.
    fn counts_as_failed(&self, connection: &WorkerConnection, loss: ConnectionLoss) -> bool {
        let is_native = self.protocol == WorkerProtocol::Native;
        let may_be_wrong_worker = loss == ConnectionLoss::ProtocolError && is_native;
        let is_failed_connect = connection.transport.is_opening() && !connection.is_retired;
        may_be_wrong_worker || is_failed_connect
    }

    /// Resets the transport of a connection.
    pub fn reset(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
        loss: ConnectionLoss,
        io: &mut dyn Io,
    ) -> Vec<MessageOutcome> {
        let connection = self.connections.get(&id);
        if let Some(conn) = connection.and_then(|connection| connection.transport.conn()) {
            context.connection_owners.remove(&conn);
            io.reset(conn);
        }
        self.lost(context, now, id, loss)
    }

    /// Resets a connection if the attempt, whose request is closed, is still only partially written.
    pub fn reset_partial_write(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
        attempt: AttemptId,
        io: &mut dyn Io,
    ) -> Vec<MessageOutcome> {
        if !self.is_pending(id, MessageKey::Attempt(attempt)) {
            return Vec::new();
        }
        self.abandon(
            context,
            now,
            id,
            ConnectionLoss::Closed(CloseCause::Reset),
            io,
        )
    }

    /// Gives a connection up before the next write.
    pub fn abandon_later(&mut self, id: WorkerConnectionId) {
        self.abandoned.insert(id);
    }

    /// Whether a connection is to be given up before the next write.
    pub fn is_abandoned(&self, id: WorkerConnectionId) -> bool {
        self.abandoned.contains(&id)
    }

    /// Takes the connections that are to be given up.
    pub fn take_abandoned(&mut self) -> BTreeSet<WorkerConnectionId> {
        std::mem::take(&mut self.abandoned)
    }

    /// Gives a connection up with all that is in flight on it. On the platform's protocol the edge ends its output and
    /// waits for the worker to end the connection, which proves that it has ended what was in flight; what was not written
    /// whole is never read and ends at once. Otherwise the connection is reset.
    pub fn abandon(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
        loss: ConnectionLoss,
        io: &mut dyn Io,
    ) -> Vec<MessageOutcome> {
        let needs_proof = self.needs_proof();
        let Some(connection) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        let Transport::Connected(conn) = connection.transport else {
            return self.reset(context, now, id, loss, io);
        };
        let is_unwritten = |key: &MessageKey| connection.outbox.is_pending(key);
        let unwritten: Vec<MessageKey> = connection
            .in_flight
            .keys()
            .filter(|key| is_unwritten(key))
            .copied()
            .collect();
        if !needs_proof || unwritten.len() == connection.in_flight.len() {
            return self.reset(context, now, id, loss, io);
        }
        io.finish_writing(conn);
        connection.transport = Transport::Closing(conn);
        connection.step_deadline = now + CLOSE_TIMEOUT;
        connection.is_retired = true;
        let worker = connection.worker;
        let timer = Timer::WorkerConnection(id);
        context.timers.schedule(connection.step_deadline, timer);
        if let Some(endpoint) = self.endpoints.get_mut(&worker) {
            endpoint.connections.remove(&id);
        }
        self.dirty.remove(&id);
        let outcomes = unwritten.into_iter();
        outcomes
            .map(|key| MessageOutcome::of_unread(key, Outcome::NoConnection))
            .collect()
    }

    /// Closes a connection that was not opened in time, has been idle for too long, or is retired and idle. Otherwise
    /// schedules the next check.
    pub fn check(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
        io: &mut dyn Io,
    ) -> Vec<MessageOutcome> {
        let Some(connection) = self.connections.get(&id) else {
            return Vec::new();
        };
        let is_step_overdue = connection.step_deadline <= now;
        if connection.transport.is_opening() && !connection.is_retired && is_step_overdue {
            let loss = ConnectionLoss::Closed(CloseCause::Refused);
            return self.reset(context, now, id, loss, io);
        }
        if connection.transport.is_closing() && !connection.is_idle() && is_step_overdue {
            let loss = ConnectionLoss::Closed(CloseCause::Reset);
            return self.reset(context, now, id, loss, io);
        }
        let idle_timeout = context.limits.worker_idle_timeout;
        let idle_until = connection.idle_since + idle_timeout;
        let is_idle = connection.is_idle();
        let is_expired = idle_until <= now && connection.outbox.pending_bytes() == 0;
        if is_idle && (connection.is_retired || is_expired) {
            if let Some(conn) = connection.transport.conn() {
                context.connection_owners.remove(&conn);
                io.close(conn);
            }
            let loss = ConnectionLoss::Closed(CloseCause::Orderly);
            return self.lost(context, now, id, loss);
        }
        if !connection.is_retired {
            let next_check = if is_idle {
                idle_until
            } else {
                now + idle_timeout
            };
            let timer = Timer::WorkerConnection(id);
            context.timers.schedule(next_check.max(now + 1), timer);
        }
        Vec::new()
    }
}

/// The name of a cause of loss in the status line.
fn loss_label(cause: CloseCause) -> &'static str {
    match cause {
        CloseCause::Orderly => "closed",
        CloseCause::Reset => "reset",
        CloseCause::Refused => "refused",
    }
}

impl MessageOutcome {
    /// The outcome of a message that the worker never reads whole.
    pub fn of_unread(key: MessageKey, outcome: Outcome) -> Self {
        MessageOutcome {
            key,
            outcome,
            proof: Proof::NeverRead,
            is_known_read: false,
        }
    }
}
