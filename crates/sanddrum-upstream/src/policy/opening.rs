//! Opening of requested connections.

use super::{ConnectionPolicy, Handshake};
use crate::{ConnectionRequest, Decisions, Purpose, RejectReason, WorkerConnectionId};
use sanddrum::{Micros, WorkerId};

/// A request is rejected if waiting for a throttled worker would take more than this fraction of the time to its
/// deadline.
const MAX_WAIT_FRACTION: f64 = 0.25;

/// What to do now about a requested connection.
enum Action {
    Open,
    /// The connection stays queued until another handshake completes.
    Queue,
    /// The connection stays queued until this instant.
    WaitUntil(Micros),
    Reject(RejectReason),
}

impl ConnectionPolicy {
    /// Opens requested connections as far as the limits allow, by purpose and then by deadline, and rejects those for
    /// which another worker should be used.
    pub(super) fn open_requested(&mut self, now: Micros, decisions: &mut impl Decisions) {
        let mut queue: Vec<(Purpose, Micros, WorkerConnectionId)> = self
            .requested
            .iter()
            .map(|(connection, request)| (request.purpose, request.deadline, *connection))
            .collect();
        queue.sort_unstable();
        for (_, _, connection) in queue {
            let Some(request) = self.requested.get(&connection).copied() else {
                continue;
            };
            match self.decide(now, &request) {
                Action::Open => {
                    self.requested.remove(&connection);
                    self.start_handshake(now, connection, request.worker);
                    decisions.open(connection);
                }
                Action::Queue => {}
                Action::WaitUntil(at) => decisions.wake_at(at),
                Action::Reject(reason) => {
                    self.requested.remove(&connection);
                    decisions.reject(connection, reason);
                }
            }
        }
    }

    fn decide(&mut self, now: Micros, request: &ConnectionRequest) -> Action {
        let next_handshake_at = self.next_handshake_at(now, request.worker);
        let Some(worker) = self
            .workers
            .get(&request.worker)
            .filter(|worker| !worker.backoff.is_backing_off(now))
        else {
            return Action::Reject(RejectReason::BackingOff);
        };
        if let Some(at) = next_handshake_at.filter(|at| *at > now) {
            let max_wait = MAX_WAIT_FRACTION * (request.deadline - now).max(0) as f64;
            let is_too_late = request.purpose < Purpose::Prewarm && (at - now) as f64 > max_wait;
            return if is_too_late {
                Action::Reject(RejectReason::HandshakeBudget)
            } else {
                Action::WaitUntil(at)
            };
        }
        if worker.handshakes >= self.handshake_limit(worker)
            || self.handshakes.len() >= self.config.max_handshakes
        {
            return Action::Queue;
        }
        if worker.backoff.has_failed() && !self.take_retry(now) {
            return Action::Reject(RejectReason::RetryBudget);
        }
        Action::Open
    }

    fn take_retry(&mut self, now: Micros) -> bool {
        let rate = self.config.retries_per_second;
        self.retry_budget.take(now, rate, rate).is_ok()
    }

    fn start_handshake(&mut self, now: Micros, connection: WorkerConnectionId, id: WorkerId) {
        let handshake = Handshake {
            worker: id,
            started_at: now,
        };
        self.handshakes.insert(connection, handshake);
        let interval = self.interval_to(now, id).unwrap_or(0);
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.handshakes += 1;
            worker.next_handshake_at = worker.next_handshake_at.map(|_| now + interval);
        }
    }
}
