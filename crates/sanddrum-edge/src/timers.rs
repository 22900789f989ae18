//! The edge's timers, without the wake-ups of the decision module and the connection policy, which
//! [`EdgeState`](crate::edge_state::EdgeState) stores separately.

use crate::message::{AttemptId, CommandId, MessageKey};
use sanddrum::RequestId;
use sanddrum_net::{ConnectionId, Micros};
use sanddrum_upstream::WorkerConnectionId;
use std::collections::BTreeSet;

/// The purpose of a timer. Timers of the same instant fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// An attempt has reached its deadline.
    AttemptTimeout(AttemptId),
    /// A message that is not sent completely must not be sent any more.
    SendDeadline(MessageKey),
    /// An attempt whose connection was reset no longer runs.
    LostAttempt(AttemptId),
    /// A final answer waits no longer.
    DeferredAnswer(RequestId),
    /// A load command was not answered in time.
    LoadTimeout(CommandId),
    /// A health check was not answered in time.
    HealthCheckTimeout(CommandId),
    /// Checks whether a worker connection was not established in time, has been idle for too long, or is retired and
    /// has nothing in flight.
    WorkerConnection(WorkerConnectionId),
    /// Checks whether a frame received from a worker is still incomplete.
    IncompleteFrame(WorkerConnectionId),
    /// An attempt whose client no longer waits is still only partly written.
    PartialWrite(WorkerConnectionId, AttemptId),
    /// Checks whether a client connection is idle or slow.
    ClientConnection(ConnectionId),
    /// Checks the connection to the discovery service or the control feed.
    Discovery,
    /// Saves the endpoint cache.
    SaveState,
    /// Requests that were in transit when the shutdown began can no longer arrive.
    LateArrivals,
    /// The graceful shutdown has reached its deadline.
    ShutdownDeadline,
}

/// Scheduled timers, earliest first.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(Micros, Timer)>);

impl Timers {
    /// Schedules a timer. A timer that is scheduled twice for the same instant fires once.
    pub fn schedule(&mut self, at: Micros, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Cancels a timer that was scheduled for `at`.
    pub fn cancel(&mut self, at: Micros, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// Removes and returns the earliest timer if it is due.
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

    /// Whether `timer` is scheduled for any instant.
    pub fn is_scheduled(&self, timer: Timer) -> bool {
        self.0.iter().any(|(_, scheduled)| *scheduled == timer)
    }

    /// The number of scheduled timers.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
