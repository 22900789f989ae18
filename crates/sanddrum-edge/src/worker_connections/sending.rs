//! Selects or creates the connection for a message, and writes queued messages.

use super::{SendError, Transport, WorkerConnection, WorkerConnections};
use crate::context::EdgeContext;
use crate::message::{AttemptId, MessageKey, OutboundMessage};
use crate::timers::Timer;
use sanddrum::{Micros, WorkerId};
use sanddrum_net::{Io, Outbox};
use sanddrum_upstream::{ConnectionRequest, ConnectionUtilization, Purpose, WorkerConnectionId};
use std::cmp::Reverse;
use std::collections::BTreeSet;

impl WorkerConnections {
    /// Queues a message for a worker. Its answer is awaited until `deadline`.
    ///
    /// # Errors
    /// No connection accepts the message; no part of it is written.
    pub fn send(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        worker: WorkerId,
        message: &OutboundMessage,
        deadline: Micros,
    ) -> Result<WorkerConnectionId, SendError> {
        let id = self.connection_for(context, now, worker, message)?;
        let connection = self
            .connections
            .get_mut(&id)
            .ok_or(SendError::NoConnection)?;
        if connection.outbox.push(message.key, &message.bytes).is_err() {
            context.metrics.record_limit_hit("waiting-per-worker");
            tracing::warn!(
                worker = self.worker_name(worker),
                reason = "waiting-per-worker",
                "worker reads too slowly"
            );
            return Err(SendError::OutboxFull);
        }
        if message.key != MessageKey::Untracked {
            connection.track(now, message, self.protocol.uses_call_ids());
        }
        if connection.transport == Transport::Pending {
            context.connection_events.requested.push(ConnectionRequest {
                connection: id,
                worker,
                purpose: purpose_of(message.key),
                deadline,
            });
        }
        let utilization = connection.in_flight.len() as f64
            / context.limits.wanted_in_flight_per_connection as f64;
        context
            .connection_events
            .utilization
            .push(ConnectionUtilization {
                worker,
                utilization,
            });
        self.dirty.insert(id);
        Ok(id)
    }

    /// Queues the cancellation of an attempt on its connection, after all earlier messages. Does nothing if the
    /// connection is closed or its outbox is full.
    pub fn send_cancel(&mut self, id: WorkerConnectionId, attempt: AttemptId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.transport.is_closing() {
            return;
        }
        if connection
            .outbox
            .push(MessageKey::Cancel(attempt), bytes)
            .is_ok()
        {
            let position = connection.next_position();
            connection.cancellations.insert(attempt, position);
            self.dirty.insert(id);
            self.with_queued_cancels.insert(id);
        }
    }

    /// Returns a connection to a worker with capacity for a message, or creates one if all are full.
    fn connection_for(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        worker: WorkerId,
        message: &OutboundMessage,
    ) -> Result<WorkerConnectionId, SendError> {
        self.retire_unresponsive(context, now, worker);
        if let Some(id) = self.least_loaded(
            now,
            worker,
            context.limits.max_in_flight_per_connection,
            message,
        ) {
            return Ok(id);
        }
        for id in self.idle_too_long(now, worker) {
            self.retire(context, now, id);
        }
        self.create(context, now, worker)
    }

    /// Returns the connection to a worker with the fewest messages in flight among those with capacity.
    fn least_loaded(
        &self,
        now: Micros,
        worker: WorkerId,
        max_in_flight: usize,
        message: &OutboundMessage,
    ) -> Option<WorkerConnectionId> {
        let endpoint = self.endpoints.get(&worker)?;
        let connections = endpoint
            .connections
            .iter()
            .filter_map(|id| Some((id, self.connections.get(id)?)));
        // An id identifies at most one message in flight on a connection.
        let is_free = |connection: &WorkerConnection| {
            message.key == MessageKey::Untracked || !connection.uses_wire_id(message.wire_id)
        };
        let usable = connections.filter(|(_, connection)| {
            is_free(connection) && !self.is_idle_too_long(now, connection)
        });
        // Connections that the worker is known to read come first: on others messages wait and may fail. Among equals, the
        // most recently used idle connection: the longest idle one may have died unnoticed.
        let load = usable.map(|(id, connection)| {
            let in_flight = connection.in_flight.len();
            let is_opening = !connection.transport.is_connected();
            (is_opening, in_flight, Reverse(connection.idle_since), *id)
        });
        let with_capacity = load.filter(|(_, in_flight, ..)| *in_flight < max_in_flight);
        with_capacity.min().map(|(.., id)| id)
    }

    /// Whether an open connection has been idle so long that it may be dead.
    fn is_idle_too_long(&self, now: Micros, connection: &WorkerConnection) -> bool {
        connection.is_idle()
            && connection.transport.is_connected()
            && !self
                .idle_timeout
                .is_trusted(now, now - connection.idle_since)
    }

    fn idle_too_long(&self, now: Micros, worker: WorkerId) -> Vec<WorkerConnectionId> {
        let is_idle_too_long = |id: &WorkerConnectionId| {
            self.connections
                .get(id)
                .is_some_and(|connection| self.is_idle_too_long(now, connection))
        };
        let mut connections = self.connections_of(worker);
        connections.retain(is_idle_too_long);
        connections
    }

    /// Creates a connection; the connection policy decides when its transport is opened.
    fn create(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        worker: WorkerId,
    ) -> Result<WorkerConnectionId, SendError> {
        let endpoint = self.endpoints.get(&worker).ok_or(SendError::NoConnection)?;
        if endpoint.connections.len() >= context.limits.max_connections_per_worker {
            context.metrics.record_limit_hit("connections");
            tracing::warn!(
                worker = endpoint.name,
                reason = "connections",
                "all connections to a worker are full"
            );
            return Err(SendError::ConnectionsFull);
        }
        self.retire_idle_at_limit(context, now)?;
        self.last_connection += 1;
        let id = WorkerConnectionId(self.last_connection);
        if let Some(endpoint) = self.endpoints.get_mut(&worker) {
            endpoint.connections.insert(id);
        }
        let connection = self.new_connection(context, now, worker);
        self.connections.insert(id, connection);
        context.metrics.worker_connections_open.increment(1.0);
        Ok(id)
    }

    /// Retires the longest idle connection if the limit of worker connections is reached. The limit keeps file
    /// descriptors for client connections, whose requests would otherwise time out without being accepted.
    fn retire_idle_at_limit(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
    ) -> Result<(), SendError> {
        if self.len() < context.limits.max_worker_connections {
            return Ok(());
        }
        context.metrics.record_limit_hit("all-connections");
        let idle = self.longest_idle().ok_or(SendError::NoConnection)?;
        self.retire(context, now, idle);
        Ok(())
    }

    fn longest_idle(&self) -> Option<WorkerConnectionId> {
        let idle = self.connections.iter().filter(|(_, connection)| {
            connection.transport.is_connected() && !connection.is_retired && connection.is_idle()
        });
        idle.min_by_key(|(id, connection)| (connection.idle_since, **id))
            .map(|(id, _)| *id)
    }

    fn new_connection(
        &mut self,
        context: &EdgeContext,
        now: Micros,
        worker: WorkerId,
    ) -> WorkerConnection {
        let mut outbox = Outbox::new(context.limits.max_outbox_bytes_per_worker);
        if let Some(hello) = self.protocol.hello(self.hello()) {
            // An empty outbox accepts a message of any size.
            let _ = outbox.push(MessageKey::Untracked, &hello);
        }
        let decoder = self.protocol.decoder(context.limits.max_frame_bytes);
        let mut connection = WorkerConnection::new(worker, now, outbox, decoder);
        if self.needs_proof() {
            self.queue_confirmation(now, &mut connection);
        }
        connection
    }

    /// Creates a connection ahead of demand, unless a limit is reached or one is being opened already.
    pub fn prewarm(&mut self, context: &mut EdgeContext, now: Micros, worker: WorkerId) {
        let connections = self.connections_of(worker);
        let is_full = self.len() >= context.limits.max_worker_connections
            || connections.len() >= context.limits.max_connections_per_worker;
        let is_connecting = |id: &WorkerConnectionId| {
            self.connections
                .get(id)
                .is_some_and(|connection| !connection.transport.is_connected())
        };
        if is_full || connections.iter().any(is_connecting) {
            return;
        }
        if let Ok(id) = self.create(context, now, worker) {
            context.connection_events.requested.push(ConnectionRequest {
                connection: id,
                worker,
                purpose: Purpose::Prewarm,
                deadline: now + context.limits.connect_timeout,
            });
        }
    }

    /// Takes the connections with queued cancellations. They must be written first, with
    /// [`flush_cancels`](Self::flush_cancels), so that no further attempt of a request is sent on one connection
    /// before the first is cancelled on another.
    pub fn take_with_queued_cancels(&mut self) -> BTreeSet<WorkerConnectionId> {
        std::mem::take(&mut self.with_queued_cancels)
    }

    /// Takes the connections with something to write.
    pub fn take_dirty(&mut self) -> BTreeSet<WorkerConnectionId> {
        std::mem::take(&mut self.dirty)
    }

    /// Writes a connection up to its last cancellation. Returns the messages whose last byte was written.
    pub fn flush_cancels(&mut self, id: WorkerConnectionId, io: &mut dyn Io) -> Vec<MessageKey> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        let Transport::Connected(conn) = connection.transport else {
            return Vec::new();
        };
        let is_cancellation = |key: &MessageKey| matches!(key, MessageKey::Cancel(_));
        connection.outbox.flush_through(is_cancellation, conn, io)
    }

    /// Writes as much as an open connection takes; on one that is not verified yet, only the message that verifies it.
    /// Returns the messages whose last byte was written.
    pub fn flush(&mut self, id: WorkerConnectionId, io: &mut dyn Io) -> Vec<MessageKey> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        match connection.transport {
            Transport::Connected(conn) => connection.outbox.flush(conn, io),
            Transport::Verifying(conn) => connection.flush_verification(conn, io),
            Transport::Pending | Transport::Connecting(_) | Transport::Closing(_) => Vec::new(),
        }
    }

    /// Retires a connection: it takes no new messages, and is closed once nothing is in flight.
    pub fn retire(&mut self, context: &mut EdgeContext, now: Micros, id: WorkerConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_retired = true;
        let worker = connection.worker;
        if let Some(endpoint) = self.endpoints.get_mut(&worker) {
            endpoint.connections.remove(&id);
        }
        context.timers.schedule(now, Timer::WorkerConnection(id));
    }
}

fn purpose_of(key: MessageKey) -> Purpose {
    match key {
        MessageKey::Attempt(_) => Purpose::Request,
        _ => Purpose::Control,
    }
}
