//! Connections to workers: opened on demand, bounded in number and closed when idle. Messages in flight on a lost
//! connection are returned to the caller with their outcomes.

mod closing;
mod confirmation;
mod connection;
mod endpoints;
mod liveness;
mod receiving;
mod sending;

pub(crate) use confirmation::ConfirmationMethod;

use crate::attempt_end::Proof;
use crate::context::EdgeContext;
use crate::message::{AttemptId, MessageKey};
use crate::timers::Timer;
use crate::worker_protocol::WorkerProtocol;
use connection::{Transport, WorkerConnection};
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

/// How long an attempt whose request is closed may stay partially written. The requirement is that such an attempt is
/// read at most 50 ms after the request was closed; 20 ms of that are left for the network.
const PARTIAL_WRITE_TIMEOUT: Micros = 30_000;

/// The outcome of a message whose connection was lost or that was not sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageOutcome {
    /// The message.
    pub key: MessageKey,
    /// How it ended.
    pub outcome: Outcome,
    /// What its end proves about the worker.
    pub proof: Proof,
    /// Whether the worker is known to have read it.
    pub is_known_read: bool,
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
    /// Connections to be given up before the next write.
    abandoned: BTreeSet<WorkerConnectionId>,
    /// Connections on which proof is to be asked for before the next write.
    unconfirmed: BTreeSet<WorkerConnectionId>,
    idle_timeout: IdleTimeoutEstimate,
    /// How workers are asked for proof of what they have read.
    confirmation_method: ConfirmationMethod,
    /// The function that queries name: the one that was requested last.
    query_function: Option<String>,
    /// The number of messages that have asked for proof.
    confirmation_count: u64,
}

impl WorkerConnections {
    /// Creates an empty set of connections. The greeting to workers states the edge's name and incarnation.
    pub fn new(
        protocol: WorkerProtocol,
        edge_name: &str,
        edge_incarnation: u64,
        connect_timeout: Micros,
        confirmation_method: ConfirmationMethod,
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
            abandoned: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            idle_timeout: IdleTimeoutEstimate::new(connect_timeout),
            confirmation_method,
            query_function: None,
            confirmation_count: 0,
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

    /// How long a connection has been open.
    pub fn age(&self, now: Micros, id: WorkerConnectionId) -> Option<Micros> {
        Some(now - self.connections.get(&id)?.opened_at)
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
        connection.opened_at = now;
        context
            .connection_owners
            .insert(conn, crate::context::ConnectionOwner::Worker(id));
        let timeout_at = now + context.limits.connect_timeout;
        connection.step_deadline = timeout_at;
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
        self.dirty.insert(id);
        if !connection.confirmations.is_empty() {
            // Measured from now: the process may have been held up while the connection was opened.
            connection.transport = Transport::Verifying(conn);
            connection.step_deadline = now + context.limits.connect_timeout;
            let timer = Timer::WorkerConnection(id);
            context.timers.schedule(connection.step_deadline, timer);
            return;
        }
        connection.transport = Transport::Connected(conn);
        connection.idle_since = now;
        let resumed = io.peer(conn).is_some_and(|peer| peer.resumed);
        let established = EstablishedConnection {
            connection: id,
            resumed,
        };
        context.connection_events.established.push(established);
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

    /// Messages queued on an open connection of which no byte has been written.
    pub fn unwritten_messages(&self, id: WorkerConnectionId) -> Vec<MessageKey> {
        self.open_outbox(id)
            .map_or_else(Vec::new, |outbox| outbox.unwritten().copied().collect())
    }

    /// Messages queued on an open connection that are not written completely.
    pub fn pending_messages(&self, id: WorkerConnectionId) -> Vec<MessageKey> {
        self.open_outbox(id)
            .map_or_else(Vec::new, |outbox| outbox.pending().copied().collect())
    }

    fn open_outbox(&self, id: WorkerConnectionId) -> Option<&Outbox<MessageKey>> {
        let connection = self.connections.get(&id)?;
        let is_open = connection.transport.is_connected();
        is_open.then_some(&connection.outbox)
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
