//! Services that all parts of the edge share.

use crate::event_counts::EventCounts;
use crate::invariants::Violations;
use crate::limits::Limits;
use crate::metrics::EdgeMetrics;
use crate::timers::Timers;
use sanddrum_net::ConnectionId;
use sanddrum_upstream::{ConnectionEvents, WorkerConnectionId};
use std::collections::BTreeMap;

/// What a transport connection serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionOwner {
    /// A client that calls functions.
    Client,
    /// A connection to a worker.
    Worker(WorkerConnectionId),
    /// The connection to the discovery service or to the platform's control feed.
    Discovery,
}

/// Handed to each part of the edge that schedules timers, opens connections or counts.
pub(crate) struct EdgeContext {
    /// The bounds as set.
    pub limits: Limits,
    /// Counters and gauges.
    pub metrics: EdgeMetrics,
    /// What was done and why, for the status line.
    pub counts: EventCounts,
    /// Timers of all parts.
    pub timers: Timers,
    /// Violations of invariants.
    pub violations: Violations,
    /// The owner of each open transport connection.
    pub connection_owners: BTreeMap<ConnectionId, ConnectionOwner>,
    /// What the connection policy is notified of when it runs next.
    pub connection_events: ConnectionEvents,
}
