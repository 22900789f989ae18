//! Retirement of outdated connections.

use super::prewarming::MIN_RECENT_USES;
use super::ConnectionPolicy;
use crate::{Decisions, OutdatedConnection};
use sanddrum::{Micros, WorkerId};

impl ConnectionPolicy {
    /// Retires connections that were revoked or are due for rotation. A connection due for rotation that is in use is
    /// retired once its successor is established or the wait for it has timed out.
    pub(super) fn retire_outdated(&mut self, now: Micros, decisions: &mut impl Decisions) {
        for connection in self.rotation.take_revoked() {
            decisions.retire(connection);
        }
        for connection in self.rotation.take_due(now) {
            match self.worker_in_use(now, connection) {
                Some(worker) => {
                    self.rotation.await_successor(connection, worker, now);
                    decisions.prewarm(worker);
                }
                None => decisions.retire(connection),
            }
        }
        for connection in self.rotation.take_succeeded(now) {
            decisions.retire(connection);
        }
        if let Some(at) = self.rotation.next_deadline() {
            decisions.wake_at(at);
        }
    }

    /// The worker at the other end of an established connection, if it is ready and was used recently.
    fn worker_in_use(&self, now: Micros, connection: OutdatedConnection) -> Option<WorkerId> {
        let OutdatedConnection::Worker(connection) = connection else {
            return None;
        };
        let id = self.established.get(&connection).copied()?;
        let worker = self.workers.get(&id)?;
        let uses = worker.recent_uses(now, self.config.idle_timeout);
        (worker.is_ready && uses >= MIN_RECENT_USES).then_some(id)
    }
}
