//! The schedule by which outdated connections are replaced.

use crate::{OutdatedConnection, RotationRequest, WorkerConnectionId};
use sanddrum::{Micros, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// A connection waits for its successor for at most the rotation period divided by this.
const SUCCESSOR_DIVISOR: Micros = 10;

/// A connection that is retired once a new one to the same worker is established.
struct AwaitedSuccessor {
    worker: WorkerId,
    /// The instant at which it is retired without a successor.
    deadline: Micros,
}

/// The outdated connections that are still to be retired.
pub(crate) struct Rotation {
    period: Micros,
    batch: usize,
    scheduled: BTreeSet<(Micros, OutdatedConnection)>,
    awaiting_successor: BTreeMap<OutdatedConnection, AwaitedSuccessor>,
    /// Workers with a connection established since successors were last matched.
    newly_established: BTreeSet<WorkerId>,
    revoked: Vec<OutdatedConnection>,
}

impl Rotation {
    /// Connections are replaced within `period`, `batch` at a time (at least one).
    pub fn new(period: Micros, batch: f64) -> Self {
        Rotation {
            period,
            batch: (batch as usize).max(1),
            scheduled: BTreeSet::new(),
            awaiting_successor: BTreeMap::new(),
            newly_established: BTreeSet::new(),
            revoked: Vec::new(),
        }
    }
    /// Spreads these over the period, a batch at a time: idle connections first, then those with the fewest requests in
    /// flight. The end of the period is left for awaiting successors.
    pub fn schedule(&mut self, now: Micros, requests: &[RotationRequest]) {
        if requests.is_empty() {
            return;
        }
        let mut added: Vec<(usize, OutdatedConnection)> = requests
            .iter()
            .map(|request| (request.in_flight, request.connection))
            .collect();
        added.sort_unstable();
        // Connections that are scheduled already stay ahead of the new ones, in the same order.
        let before = std::mem::take(&mut self.scheduled);
        let connections: Vec<OutdatedConnection> = before
            .into_iter()
            .map(|(_, connection)| connection)
            .chain(added.into_iter().map(|(_, connection)| connection))
            .collect();
        let batches = connections.len().div_ceil(self.batch) as Micros;
        let period = self.period - self.period / SUCCESSOR_DIVISOR;
        for (index, connection) in connections.into_iter().enumerate() {
            let batch = (index / self.batch) as Micros;
            let at = now + period * batch / batches.max(1);
            self.scheduled.insert((at, connection));
        }
    }
    /// Has these connections retired at once and without a successor.
    pub fn revoke(&mut self, connections: &[OutdatedConnection]) {
        for connection in connections {
            self.remove(*connection);
        }
        self.revoked.extend(connections);
    }
    /// Takes the connections that were revoked.
    pub fn take_revoked(&mut self) -> Vec<OutdatedConnection> {
        std::mem::take(&mut self.revoked)
    }
    /// Forgets a connection that has ended.
    pub fn remove(&mut self, connection: OutdatedConnection) {
        self.scheduled.retain(|(_, other)| *other != connection);
        self.awaiting_successor.remove(&connection);
    }
    /// Takes the connections that are due.
    pub fn take_due(&mut self, now: Micros) -> Vec<OutdatedConnection> {
        let first_later = (now + 1, OutdatedConnection::Worker(WorkerConnectionId(0)));
        let later = self.scheduled.split_off(&first_later);
        std::mem::replace(&mut self.scheduled, later)
            .into_iter()
            .map(|(_, connection)| connection)
            .collect()
    }
    /// Schedules this connection to be retired once its successor, which is to be opened now, is established.
    pub fn await_successor(
        &mut self,
        connection: OutdatedConnection,
        worker: WorkerId,
        now: Micros,
    ) {
        self.newly_established.remove(&worker);
        let deadline = now + self.period / SUCCESSOR_DIVISOR;
        self.awaiting_successor
            .insert(connection, AwaitedSuccessor { worker, deadline });
    }
    /// Records that a connection to this worker was established.
    pub fn record_established(&mut self, worker: WorkerId) {
        self.newly_established.insert(worker);
    }
    /// Takes the connections whose successor is established or whose deadline for one has passed.
    pub fn take_succeeded(&mut self, now: Micros) -> Vec<OutdatedConnection> {
        let established = std::mem::take(&mut self.newly_established);
        let is_done = |awaited: &AwaitedSuccessor| {
            established.contains(&awaited.worker) || awaited.deadline <= now
        };
        let succeeded: Vec<OutdatedConnection> = self
            .awaiting_successor
            .iter()
            .filter(|(_, awaited)| is_done(awaited))
            .map(|(connection, _)| *connection)
            .collect();
        self.awaiting_successor
            .retain(|connection, _| !succeeded.contains(connection));
        succeeded
    }
    /// When a connection is next due to be retired or replaced.
    pub fn next_deadline(&self) -> Option<Micros> {
        let successor = self
            .awaiting_successor
            .values()
            .map(|awaited| awaited.deadline)
            .min();
        let scheduled = self.scheduled.first().map(|(at, _)| *at);
        scheduled.into_iter().chain(successor).min()
    }
}
