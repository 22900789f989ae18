//! Timers of the edge. The wake-ups of the decision module and of the connection policy are kept apart from them.

use crate::message::{AttemptId, CommandId};
use sanddrum_net::{ConnectionId, Micros};
use sanddrum_upstream::WorkerConnectionId;
use std::collections::BTreeSet;

/// What a timer is for. Timers of the same instant fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The time limit of an attempt is over.
    AttemptTimeout(AttemptId),
    /// A load command was not answered in time.
    LoadTimeout(CommandId),
    /// A health check was not answered in time.
    HealthCheckTimeout(CommandId),
    /// A connection to a worker is checked: it may not have come up, be idle or be retired.
    WorkerConnection(WorkerConnectionId),
    /// An attempt without a waiting client is still written only in part.
    PartialWrite(WorkerConnectionId, AttemptId),
    /// A client's connection is checked: it may be idle or slow.
    ClientConnection(ConnectionId),
    /// The connection to the discovery service or the control feed is checked.
    Discovery,
    /// The endpoint cache is written.
    SaveState,
    /// Requests that were under way when the shutdown began can no longer arrive.
    LateArrivals,
    /// The time limit of the graceful shutdown is over.
    ShutdownDeadline,
}

/// Scheduled timers, the earliest first.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(Micros, Timer)>);

impl Timers {
    /// Schedules a timer. One that is scheduled already for this instant fires once.
    pub fn schedule(&mut self, at: Micros, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Removes a timer that was scheduled for this instant.
    pub fn cancel(&mut self, at: Micros, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// Removes and returns the earliest timer that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        let (at, timer) = self.0.first().copied()?;
        if at > now {
            return None;
        }
        self.0.remove(&(at, timer));
        Some(timer)
    }

    /// The instant of the earliest timer.
    pub fn next_at(&self) -> Option<Micros> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Whether such a timer is scheduled for any instant.
    pub fn is_scheduled(&self, timer: Timer) -> bool {
        self.0.iter().any(|(_, scheduled)| *scheduled == timer)
    }

    /// The number of scheduled timers.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
