//! Proof of what workers have read. A new connection is verified before it carries anything else: its first message asks
//! the worker for an answer. After a cancellation a further such message is written; its answer shows that the worker has
//! read the cancellation.

use super::connection::{Transport, WorkerConnection};
use super::WorkerConnections;
use crate::context::EdgeContext;
use crate::message::{AttemptId, CommandId, MessageKey};
use crate::worker_protocol::WorkerProtocol;
use sanddrum::Micros;
use sanddrum_upstream::{EstablishedConnection, WorkerConnectionId};
use sanddrum_wire::Load;
use std::collections::BTreeSet;

/// How many messages that only ask for proof may be unanswered on a connection. More of them would prove nothing earlier.
const MAX_UNANSWERED_CONFIRMATIONS: usize = 4;

/// The messages that may ask a worker for an immediate answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfirmationMethod {
    /// A health check.
    HealthCheck,
    /// A query for the loaded instances of a function, where health checks are not allowed.
    Query,
    /// Neither is allowed, or the protocol does not need them.
    None,
}

impl WorkerConnections {
    /// Sets the function that queries name; workers expect one that a client has named.
    pub fn set_query_function(&mut self, function: &str) {
        if self.query_function.as_deref() != Some(function) {
            self.query_function = Some(function.to_string());
        }
    }

    /// Encodes a message that the worker answers at once; `None` if none may be sent.
    fn confirmation_bytes(&self, id: CommandId) -> Option<Vec<u8>> {
        match self.confirmation_method {
            ConfirmationMethod::HealthCheck => Some(self.protocol.health_check(id)),
            ConfirmationMethod::Query => Some(self.protocol.load(Load {
                id: id.0,
                function: self.query_function.clone()?,
                instances: 0,
                memory_mb: 0.0,
                concurrency: 1,
            })),
            ConfirmationMethod::None => None,
        }
    }

    /// Queues a message on a connection whose answer proves that the worker has read all earlier ones. Does nothing if none
    /// may be sent or the outbox is full.
    pub(super) fn queue_confirmation(&mut self, now: Micros, connection: &mut WorkerConnection) {
        // Ids of load commands and health checks count up from one.
        let id = CommandId(u64::MAX - self.confirmation_count);
        let Some(bytes) = self.confirmation_bytes(id) else {
            return;
        };
        let key = MessageKey::Confirmation(id);
        if connection.outbox.push(key, &bytes).is_err() {
            return;
        }
        self.confirmation_count += 1;
        let position = connection.next_position();
        connection.confirmations.insert(id, position);
        if connection.transport.is_connected() {
            connection.check_unanswered_since.get_or_insert(now);
        }
        connection.keys_by_wire_id.insert(id.0, key);
    }

    /// Asks for proof on a connection before the next write, so that one message serves all cancellations of a turn.
    pub fn confirm_later(&mut self, id: WorkerConnectionId) {
        self.unconfirmed.insert(id);
    }

    /// Takes the connections on which proof is to be asked for.
    pub fn take_unconfirmed(&mut self) -> BTreeSet<WorkerConnectionId> {
        std::mem::take(&mut self.unconfirmed)
    }

    /// Asks on a connection for proof of all that has been queued, unless that has been asked for already. While too many
    /// such messages are unanswered, the next answer to one asks for it.
    pub fn request_confirmation(&mut self, now: Micros, id: WorkerConnectionId) {
        let Some(mut connection) = self.connections.remove(&id) else {
            return;
        };
        let is_needed =
            !connection.has_pending_confirmation() && !connection.transport.is_closing();
        let is_full = connection.confirmations.len() >= MAX_UNANSWERED_CONFIRMATIONS;
        connection.owes_confirmation |= is_needed && is_full;
        if is_needed && !is_full {
            self.queue_confirmation(now, &mut connection);
            self.dirty.insert(id);
        }
        self.connections.insert(id, connection);
    }

    /// Records that the worker has answered a message on this connection. Returns the attempts that are thereby known to
    /// have been cancelled.
    pub fn record_answer(&mut self, id: WorkerConnectionId, key: MessageKey) -> Vec<AttemptId> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        connection.record_answer(key);
        connection.confirmed_cancellations()
    }

    /// Handles the answer to a message that asked for proof.
    pub fn confirmed(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
        command: CommandId,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.confirmations.remove(&command);
        connection.keys_by_wire_id.remove(&command.0);
        if std::mem::take(&mut connection.owes_confirmation) {
            self.unconfirmed.insert(id);
        }
        if let Transport::Verifying(conn) = connection.transport {
            connection.transport = Transport::Connected(conn);
            connection.idle_since = now;
            context
                .connection_events
                .established
                .push(EstablishedConnection {
                    connection: id,
                    resumed: false,
                });
            self.dirty.insert(id);
        }
    }

    /// Whether the worker may still read an attempt that was written, as far as is known.
    pub fn may_be_unread(&self, id: WorkerConnectionId, attempt: AttemptId) -> bool {
        let key = MessageKey::Attempt(attempt);
        self.connections.get(&id).is_some_and(|connection| {
            !connection.outbox.is_pending(&key) && !connection.is_known_read(key)
        })
    }

    /// Whether a message is written in part.
    pub fn is_partly_written(&self, id: WorkerConnectionId, key: MessageKey) -> bool {
        self.connections.get(&id).is_some_and(|connection| {
            connection.outbox.is_pending(&key)
                && !connection
                    .outbox
                    .unwritten()
                    .any(|unwritten| *unwritten == key)
        })
    }

    /// Whether answers are waited for at all: other protocols than the platform's have no such rule.
    pub fn needs_proof(&self) -> bool {
        self.protocol == WorkerProtocol::Platform
    }
}
