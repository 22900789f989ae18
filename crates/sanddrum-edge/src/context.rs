//! State that all parts of the edge share.

use crate::attempt_log::LogBudget;
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
    /// A client.
    Client,
    /// A worker.
    Worker(WorkerConnectionId),
    /// The discovery service or the platform's control feed.
    Discovery,
}

/// Passed to each part of the edge that schedules timers, opens connections or updates counters.
pub(crate) struct EdgeContext {
    /// The configured limits.
    pub limits: Limits,
    /// Counters and gauges.
    pub metrics: EdgeMetrics,
    /// Events counted by kind and reason, for the status line.
    pub counts: EventCounts,
    /// Bounds the log lines on single requests at the default level.
    pub log_budget: LogBudget,
    /// The timers of all parts.
    pub timers: Timers,
    /// Violations of invariants.
    pub violations: Violations,
    /// The owner of each open transport connection.
    pub connection_owners: BTreeMap<ConnectionId, ConnectionOwner>,
    /// Events for the next run of the connection policy.
    pub connection_events: ConnectionEvents,
}
