//! The events that the policy is given, and the decisions that it returns.

use sanddrum::{Micros, WorkerId};

/// A connection to a worker, established or requested; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerConnectionId(pub u64);

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientConnectionId(pub u64);

/// What a connection is needed for, in order of priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// A client's request.
    Request,
    /// A load command or a health check.
    Control,
    /// Nothing yet: it is opened in advance.
    Prewarm,
}

/// A worker as the endpoint list describes it.
#[derive(Clone, Copy, Debug)]
pub struct ListedWorker {
    /// Which worker this is.
    pub worker: WorkerId,
    /// Its capacity, in processors.
    pub size: f64,
    /// When its process started; zero means long ago.
    pub started_at: Micros,
}

/// A request for a connection that is not established.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionRequest {
    /// The connection to open; a repeated request for it updates the one before.
    pub connection: WorkerConnectionId,
    /// The worker to connect to.
    pub worker: WorkerId,
    /// What it is needed for.
    pub purpose: Purpose,
    /// The instant after which the connection is of no use.
    pub deadline: Micros,
}

/// A connection whose handshake has completed.
#[derive(Clone, Copy, Debug)]
pub struct EstablishedConnection {
    /// Which connection this is.
    pub connection: WorkerConnectionId,
    /// Whether the handshake resumed an earlier TLS session.
    pub resumed: bool,
}

/// The utilization of a connection after something was sent on it.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionUtilization {
    /// The worker at its other end.
    pub worker: WorkerId,
    /// Requests in flight on it as a fraction of its concurrency limit.
    pub utilization: f64,
}

/// What a worker reported about its load.
#[derive(Clone, Copy, Debug)]
pub struct WorkerLoad {
    /// Which worker this is.
    pub worker: WorkerId,
    /// Requests that it executes or has queued.
    pub requests: f64,
}

/// A connection made with credentials or settings that are no longer current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutdatedConnection {
    /// To a worker.
    Worker(WorkerConnectionId),
    /// From a client.
    Client(ClientConnectionId),
}

/// An outdated connection to replace within the rotation period.
#[derive(Clone, Copy, Debug)]
pub struct RotationRequest {
    /// The connection to replace.
    pub connection: OutdatedConnection,
    /// Requests in flight on it; idle connections are replaced first.
    pub in_flight: usize,
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub enum EndpointChange {
    /// A worker was listed, or its entry changed.
    Listed(ListedWorker),
    /// A worker left the list.
    Removed(WorkerId),
}

/// The events since the last call of [`ConnectionPolicy::handle`](crate::ConnectionPolicy::handle).
#[derive(Clone, Debug, Default)]
pub struct ConnectionEvents {
    /// Changes of the endpoint list, in their order: a worker may leave it and be listed again.
    pub endpoint_changes: Vec<EndpointChange>,
    /// Connections that are needed.
    pub requested: Vec<ConnectionRequest>,
    /// Connections whose handshake completed.
    pub established: Vec<EstablishedConnection>,
    /// Connections that could not be established, or whose peer was not the listed worker.
    pub failed: Vec<WorkerConnectionId>,
    /// Connections that ended after they were established, or that are no longer needed.
    pub closed: Vec<WorkerConnectionId>,
    /// Utilization of connections on which something was sent.
    pub utilization: Vec<ConnectionUtilization>,
    /// What workers reported about their load.
    pub load_reports: Vec<WorkerLoad>,
    /// Connections to replace within the rotation period.
    pub outdated: Vec<RotationRequest>,
    /// Connections to retire at once because the peer's credentials were revoked.
    pub revoked: Vec<OutdatedConnection>,
}

impl ConnectionEvents {
    /// Whether there is no event.
    pub fn is_empty(&self) -> bool {
        self.endpoint_changes.is_empty()
            && self.requested.is_empty()
            && self.established.is_empty()
            && self.failed.is_empty()
            && self.closed.is_empty()
            && self.outdated.is_empty()
            && self.revoked.is_empty()
            && self.utilization.is_empty()
            && self.load_reports.is_empty()
    }
}

/// Why a requested connection is not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The worker is not listed, or was unreachable and its backoff has not elapsed.
    BackingOff,
    /// The worker was unreachable, and the budget for retries is exhausted.
    RetryBudget,
    /// Handshakes to the worker are throttled, as it is warming up or they queue there, and this edge's next one would
    /// be too late.
    HandshakeBudget,
}

impl RejectReason {
    /// The value of the metrics label.
    pub fn reason(self) -> &'static str {
        match self {
            RejectReason::BackingOff => "left-alone",
            RejectReason::RetryBudget => "connect-again",
            RejectReason::HandshakeBudget => "spared-handshakes",
        }
    }
}

/// Receives the decisions.
pub trait Decisions {
    /// Open this requested connection now.
    fn open(&mut self, connection: WorkerConnectionId);
    /// Request a connection to this worker in advance.
    fn prewarm(&mut self, worker: WorkerId);
    /// Fail everything that waits for this requested connection.
    fn reject(&mut self, connection: WorkerConnectionId, reason: RejectReason);
    /// Send nothing new on this connection and close it once nothing is in flight.
    fn retire(&mut self, connection: OutdatedConnection);
    /// Call `handle` again at this instant, if not before.
    fn wake_at(&mut self, at: Micros);
}
