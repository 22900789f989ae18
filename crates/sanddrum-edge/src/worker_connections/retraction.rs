//! What is not to be sent any more: to workers that drain, are gone or are called elsewhere, and for nobody.

use super::{MessageKey, WRITTEN_SOON};
use crate::{EdgeState, Timer};
use sanddrum::{Micros, Outcome, Warmth, WorkerId};
use sanddrum_net::{CloseCause, Io};
use sanddrum_upstream::WorkerConnectionId;
use std::collections::BTreeSet;

impl EdgeState {
    /// A worker that drains, is gone or is called elsewhere from now on gets nothing that was not begun to be written
    /// before.
    pub(crate) fn retract_unsent(&mut self, now: Micros, worker: WorkerId) {
        let Some(endpoint) = self.worker_connections.endpoints.get(&worker) else {
            return;
        };
        for id in endpoint.connections.clone() {
            let Some(connection) = self.worker_connections.connections.get_mut(&id) else {
                continue;
            };
            let back: Vec<MessageKey> = connection
                .in_flight
                .iter()
                .filter(|mark| connection.out.is_pending(mark))
                .copied()
                .collect();
            for mark in back {
                if !self.worker_connections.retract_message(id, &mark) {
                    continue;
                }
                match mark {
                    MessageKey::Attempt(n) => self.attempt_ended(
                        now,
                        n,
                        Outcome::CancelledBeforeStart,
                        Warmth::Unknown,
                        None,
                        None,
                    ),
                    MessageKey::Load(n) => self.load_ended(now, n, Outcome::Rejected, 0),
                    MessageKey::HealthCheck(n) => {
                        self.health_check_failed(now, n, Outcome::CancelledBeforeStart)
                    }
                    MessageKey::Cancel | MessageKey::Untracked => {}
                }
            }
        }
    }
    /// The connections to a worker are of no further use: what it still answers there is heard, and then they end.
    pub(crate) fn retire_worker(&mut self, now: Micros, worker: WorkerId) {
        self.retract_unsent(now, worker);
        let connections = self
            .worker_connections
            .endpoints
            .get(&worker)
            .map(|endpoint| endpoint.connections.clone())
            .unwrap_or_default();
        connections
            .into_iter()
            .for_each(|id| self.retire_connection(now, id));
    }
    /// One that is gone is called no more.
    pub(crate) fn remove_worker(&mut self, now: Micros, worker: WorkerId) {
        self.retire_worker(now, worker);
        self.worker_connections.endpoints.remove(&worker);
    }
    /// Workers that a whole list does not name are gone.
    pub(crate) fn remove_unlisted_workers(&mut self, now: Micros, listed: &BTreeSet<WorkerId>) {
        let gone: Vec<WorkerId> = self
            .worker_connections
            .endpoints
            .keys()
            .filter(|worker| !listed.contains(worker))
            .copied()
            .collect();
        for worker in gone {
            self.worker_connections.events.removed_workers.push(worker);
            self.remove_worker(now, worker);
        }
    }

    /// Nobody waits any more for an execution of which a part is written: it is out soon, or its connection goes.
    /// Guards against one that begins long after its client has left, behind a worker that reads nothing.
    pub(crate) fn bound_partial_write(
        &mut self,
        now: Micros,
        connection: WorkerConnectionId,
        attempt: u64,
    ) {
        if self.worker_connections.has_unwritten(connection, attempt) {
            self.timers.insert((
                now + WRITTEN_SOON,
                Timer::UnwrittenAttempt(connection, attempt),
            ));
        }
    }
    pub(crate) fn partial_write_timed_out(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        attempt: u64,
        io: &mut dyn Io,
    ) {
        if self.worker_connections.has_unwritten(id, attempt) {
            self.reset_connection(id, io);
            self.connection_lost(now, id, CloseCause::Reset, false);
        }
    }
}
