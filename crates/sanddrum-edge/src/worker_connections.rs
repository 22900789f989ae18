//! Connections to workers: opened on demand, bounded in number and closed when idle. Messages in flight on a lost
//! connection are returned to the caller with their outcomes.

mod closing;
mod endpoints;
mod receiving;
mod sending;

use crate::context::EdgeContext;
use crate::message::{AttemptId, MessageKey, OutboundMessage};
use crate::timers::Timer;
use crate::worker_protocol::{MessageDecoder, WorkerProtocol};
use endpoints::WorkerEndpoint;
use sanddrum::{LoadReport, Micros, Outcome, WorkerId};
use sanddrum_net::{CloseCause, ConnectionId, Io, Outbox};
use sanddrum_upstream::{
    EstablishedConnection, IdleTimeoutEstimate, OutdatedConnection, RotationRequest,
    WorkerConnectionId, WorkerLoad,
};
use sanddrum_wire::{Hello, VERSION};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// How long an attempt whose request is closed may stay partially written. The requirement is that such an attempt
/// begins at most 100 ms after the request was closed; 20 ms of that are left for the network.
const PARTIAL_WRITE_TIMEOUT: Micros = 80_000;

/// The state of the transport connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Transport {
    /// The connection policy has not opened it yet.
    Pending,
    /// The connection is being opened.
    Connecting(ConnectionId),
    /// The connection is open and its handshake is complete.
    Connected(ConnectionId),
}

impl Transport {
    fn conn(self) -> Option<ConnectionId> {
        match self {
            Transport::Pending => None,
            Transport::Connecting(conn) | Transport::Connected(conn) => Some(conn),
        }
    }

    fn is_connected(self) -> bool {
        matches!(self, Transport::Connected(_))
    }
}

struct WorkerConnection {
    worker: WorkerId,
    transport: Transport,
    outbox: Outbox<MessageKey>,
    decoder: MessageDecoder,
    /// Messages that await their answers.
    in_flight: BTreeSet<MessageKey>,
    /// The messages in `in_flight` by the ids that answers carry, on the platform's protocol only.
    keys_by_wire_id: BTreeMap<u64, MessageKey>,
    /// Ids of messages that have ended, with the time until which a late answer may arrive. Until then an id is not
    /// reused: a duplicate answer to the earlier attempt would be taken for the answer to the later one, which would
    /// then count as not run although it runs.
    retired_wire_ids: BTreeMap<u64, Micros>,
    /// Whether it takes no new messages and is closed once nothing is in flight.
    is_retired: bool,
    /// When it last became idle.
    idle_since: Micros,
    /// How long it was idle before it last became busy.
    idle_before: Micros,
    /// When it last became busy.
    busy_since: Micros,
}

impl WorkerConnection {
    fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether this id is in flight, or retired and not reusable yet.
    fn uses_wire_id(&self, wire_id: u64) -> bool {
        self.keys_by_wire_id.contains_key(&wire_id) || self.retired_wire_ids.contains_key(&wire_id)
    }

    /// Records that a message is in flight.
    fn track(&mut self, now: Micros, message: &OutboundMessage, uses_call_ids: bool) {
        if self.is_idle() {
            self.idle_before = now - self.idle_since;
            self.busy_since = now;
        }
        self.in_flight.insert(message.key);
        if uses_call_ids {
            self.keys_by_wire_id.insert(message.wire_id, message.key);
        }
    }

    /// Records that a message has ended. Its id is not reused on this connection before `reusable_at`.
    fn untrack(&mut self, now: Micros, key: MessageKey, reusable_at: Micros) {
        self.in_flight.remove(&key);
        self.retired_wire_ids.retain(|_, until| *until > now);
        let retired = self
            .keys_by_wire_id
            .iter()
            .find(|(_, tracked)| **tracked == key)
            .map(|(wire_id, _)| *wire_id);
        if let Some(wire_id) = retired {
            self.keys_by_wire_id.remove(&wire_id);
            self.retired_wire_ids.insert(wire_id, reusable_at);
        }
        self.idle_since = now;
        self.idle_before = 0;
    }
}

/// The outcome of a message whose connection was lost or that was not sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageOutcome {
    /// The message.
    pub key: MessageKey,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionLoss {
    /// The connection was closed by either side or could not be opened.
    Closed(CloseCause),
    /// The edge reset the connection after a protocol violation by the worker.
    ProtocolError,
}

impl ConnectionLoss {
    fn cause(self) -> CloseCause {
        match self {
            ConnectionLoss::Closed(cause) => cause,
            ConnectionLoss::ProtocolError => CloseCause::Reset,
        }
    }
}

/// Why a message was not queued. No part of it was written.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The worker is not listed, or no connection to it may be opened.
    #[error("no connection to the worker can be opened")]
    NoConnection,
    /// All connections to the worker are full, and no further one is allowed.
    #[error("all connections to the worker are full")]
    ConnectionsFull,
    /// The worker does not read earlier messages.
    #[error("the worker reads too slowly")]
    OutboxFull,
}

impl SendError {
    /// The outcome to report for the message.
    pub fn outcome(self) -> Outcome {
        match self {
            SendError::ConnectionsFull => Outcome::Rejected,
            // A worker that does not read counts as unreachable.
            SendError::NoConnection | SendError::OutboxFull => Outcome::NoConnection,
        }
    }
}

/// All connections to workers, and the workers of the endpoint list.
pub(crate) struct WorkerConnections {
    protocol: WorkerProtocol,
    edge_name: String,
    edge_incarnation: u64,
    connections: BTreeMap<WorkerConnectionId, WorkerConnection>,
    endpoints: BTreeMap<WorkerId, WorkerEndpoint>,
    last_connection: u64,
    /// Memory of incomplete frames in bytes, by connection.
    incomplete_frames: BTreeMap<WorkerConnectionId, usize>,
    /// Connections with something to write.
    dirty: BTreeSet<WorkerConnectionId>,
    /// Connections with a queued cancellation; they are written first.
    with_queued_cancels: BTreeSet<WorkerConnectionId>,
    idle_timeout: IdleTimeoutEstimate,
}

impl WorkerConnections {
    /// Creates an empty set of connections. The greeting to workers states the edge's name and incarnation.
    pub fn new(
        protocol: WorkerProtocol,
        edge_name: &str,
        edge_incarnation: u64,
        connect_timeout: Micros,
    ) -> Self {
        WorkerConnections {
            protocol,
            edge_name: edge_name.to_string(),
            edge_incarnation,
            connections: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            last_connection: 0,
            incomplete_frames: BTreeMap::new(),
            dirty: BTreeSet::new(),
            with_queued_cancels: BTreeSet::new(),
            idle_timeout: IdleTimeoutEstimate::new(connect_timeout),
        }
    }

    /// The protocol spoken with workers.
    pub fn protocol(&self) -> WorkerProtocol {
        self.protocol
    }

    /// The number of connections in any state.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// The worker that a connection leads to.
    pub fn worker_of(&self, id: WorkerConnectionId) -> Option<WorkerId> {
        Some(self.connections.get(&id)?.worker)
    }

    /// The greeting sent first on each connection.
    fn hello(&self) -> Hello {
        Hello {
            version: VERSION,
            name: self.edge_name.clone(),
            incarnation: self.edge_incarnation,
            age_us: None,
        }
    }

    /// Opens the transport of a pending connection, as the connection policy has decided.
    pub fn open(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
        io: &mut dyn Io,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.transport != Transport::Pending {
            return;
        }
        let Some(endpoint) = self.endpoints.get(&connection.worker) else {
            return;
        };
        let conn = io.connect_named(&endpoint.address, &endpoint.name);
        connection.transport = Transport::Connecting(conn);
        context
            .connection_owners
            .insert(conn, crate::context::ConnectionOwner::Worker(id));
        let timeout_at = now + context.limits.connect_timeout;
        context
            .timers
            .schedule(timeout_at, Timer::WorkerConnection(id));
    }

    /// Handles the opening of a connection's transport.
    pub fn connected(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
        conn: ConnectionId,
        io: &dyn Io,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.transport = Transport::Connected(conn);
        connection.idle_since = now;
        let resumed = io.peer(conn).is_some_and(|peer| peer.resumed);
        let established = EstablishedConnection {
            connection: id,
            resumed,
        };
        context.connection_events.established.push(established);
        self.dirty.insert(id);
    }

    /// Handles a connection whose transport has become writable.
    pub fn writable(&mut self, id: WorkerConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.outbox.unblock();
            self.dirty.insert(id);
        }
    }

    /// Handles a change of credentials since the handshake of a connection. If the worker's certificate was denied,
    /// the connection is retired at once; otherwise the connection policy rotates it.
    pub fn credentials_changed(
        &self,
        context: &mut EdgeContext,
        id: WorkerConnectionId,
        is_denied: bool,
    ) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let outdated = OutdatedConnection::Worker(id);
        let events = &mut context.connection_events;
        if is_denied {
            events.revoked.push(outdated);
        } else {
            events.outdated.push(RotationRequest {
                connection: outdated,
                in_flight: connection.in_flight.len(),
            });
        }
    }

    /// Forwards a worker's load report to the connection policy.
    pub fn record_load_report(context: &mut EdgeContext, worker: WorkerId, report: &LoadReport) {
        if let (Some(in_flight), Some(queued)) = (report.in_flight, report.queued) {
            let requests = in_flight + queued;
            let load = WorkerLoad { worker, requests };
            context.connection_events.load_reports.push(load);
        }
    }

    /// Ends the tracking of a message that was answered or is no longer waited for.
    pub fn release(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
        key: MessageKey,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.untrack(now, key, now + context.limits.late_answer_window);
        if connection.is_retired && connection.is_idle() {
            context.timers.schedule(now, Timer::WorkerConnection(id));
        }
    }

    /// Attempts queued on an open connection of which no byte has been written.
    pub fn unwritten_attempts(&self, id: WorkerConnectionId) -> Vec<AttemptId> {
        let Some(connection) = self.connections.get(&id) else {
            return Vec::new();
        };
        if !connection.transport.is_connected() {
            return Vec::new();
        }
        let attempts = connection.outbox.unwritten().filter_map(|key| match key {
            MessageKey::Attempt(attempt) => Some(*attempt),
            _ => None,
        });
        attempts.collect()
    }

    /// Replaces the bytes of a message of which no byte has been written.
    pub fn replace_unwritten(&mut self, id: WorkerConnectionId, key: MessageKey, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.outbox.replace_unwritten(&key, bytes);
        }
    }

    /// Removes a message from the outbox. Returns false if any byte of it has been written.
    pub fn retract(&mut self, id: WorkerConnectionId, key: MessageKey) -> bool {
        self.connections
            .get_mut(&id)
            .is_some_and(|connection| connection.outbox.remove_unwritten(&key))
    }

    /// Bounds how long an attempt whose request is closed may stay partially written: unless the rest is written soon,
    /// its connection is reset. Otherwise a worker that stops reading could begin it long after the client has
    /// disconnected.
    pub fn schedule_partial_write_timeout(
        &self,
        context: &mut EdgeContext,
        now: Micros,
        id: WorkerConnectionId,
        attempt: AttemptId,
    ) {
        if self.is_pending(id, MessageKey::Attempt(attempt)) {
            let timer = Timer::PartialWrite(id, attempt);
            context.timers.schedule(now + PARTIAL_WRITE_TIMEOUT, timer);
        }
    }

    /// Whether a message has not been written completely.
    fn is_pending(&self, id: WorkerConnectionId, key: MessageKey) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| connection.outbox.is_pending(&key))
    }
}
