//! Recording of events.

use super::{ConnectionPolicy, Handshake};
use crate::worker::Worker;
use crate::{
    ConnectionEvents, ConnectionRequest, ConnectionUtilization, EndpointChange,
    EstablishedConnection, ListedWorker, OutdatedConnection, WorkerConnectionId,
};
use sanddrum::{Micros, WorkerId};
use std::collections::BTreeSet;

/// A handshake that takes longer than this multiple of the expected time is taken to have queued at the worker.
const QUEUED_HANDSHAKE_RATIO: Micros = 4;
/// A connection with at least this utilization is nearly full: another one is prewarmed.
const NEARLY_FULL: f64 = 0.75;

impl ConnectionPolicy {
    pub(super) fn record(&mut self, now: Micros, events: &ConnectionEvents) {
        for change in &events.endpoint_changes {
            match change {
                EndpointChange::Listed(listed) => self.record_listed(listed),
                EndpointChange::Removed(worker) => self.record_removed(*worker),
            }
        }
        for request in &events.requested {
            self.record_request(request);
        }
        for established in &events.established {
            self.record_established(now, established);
        }
        for connection in &events.failed {
            self.record_failed(now, *connection);
        }
        for connection in &events.closed {
            self.record_closed(*connection);
        }
        for used in &events.utilization {
            self.record_utilization(now, used);
        }
        for report in &events.load_reports {
            self.workers
                .entry(report.worker)
                .and_modify(|worker| worker.load = report.requests);
        }
        self.rotation.schedule(now, &events.outdated);
        self.rotation.revoke(&events.revoked);
        let is_removed = |change: &EndpointChange| matches!(change, EndpointChange::Removed(_));
        self.prewarm_is_due |= !(events.endpoint_changes.is_empty()
            && events.established.is_empty()
            && events.closed.is_empty());
        if events.endpoint_changes.iter().any(is_removed) {
            self.remove_unused_workers();
        }
    }

    fn record_removed(&mut self, worker: WorkerId) {
        self.workers
            .entry(worker)
            .and_modify(|worker| worker.is_ready = false);
    }

    fn record_listed(&mut self, listed: &ListedWorker) {
        let backoff = &self.config.backoff;
        let worker = self
            .workers
            .entry(listed.worker)
            .or_insert_with(|| Worker::new(backoff.clone()));
        if worker.started_at != listed.started_at {
            worker.reset();
        }
        worker.size = listed.size.max(f64::MIN_POSITIVE);
        worker.started_at = listed.started_at;
        worker.is_ready = true;
    }

    /// Queues a request. A repeated one takes the more urgent purpose and the later deadline of the two.
    fn record_request(&mut self, request: &ConnectionRequest) {
        let connection = request.connection;
        if self.handshakes.contains_key(&connection) || self.established.contains_key(&connection) {
            return;
        }
        let queued = self.requested.entry(connection).or_insert(*request);
        queued.purpose = queued.purpose.min(request.purpose);
        queued.deadline = queued.deadline.max(request.deadline);
    }

    fn record_established(&mut self, now: Micros, established: &EstablishedConnection) {
        let Some(handshake) = self.handshakes.remove(&established.connection) else {
            return;
        };
        let elapsed = now - handshake.started_at;
        let expected = if established.resumed {
            self.handshake_costs.resumed()
        } else {
            self.handshake_costs.full()
        };
        self.handshake_costs.record(elapsed, established.resumed);
        if elapsed > QUEUED_HANDSHAKE_RATIO * expected {
            self.throttle_handshakes(now, handshake.worker);
        }
        self.established
            .insert(established.connection, handshake.worker);
        self.rotation.record_established(handshake.worker);
        if let Some(worker) = self.workers.get_mut(&handshake.worker) {
            worker.handshakes -= 1;
            worker.established += 1;
            worker.backoff.reset();
        }
    }

    fn record_failed(&mut self, now: Micros, connection: WorkerConnectionId) {
        let jitter = self.random();
        let handshake: Option<Handshake> = self.handshakes.remove(&connection);
        let established = self.established.remove(&connection);
        let worker_id = handshake
            .as_ref()
            .map(|handshake| handshake.worker)
            .or(established);
        let Some(worker) = worker_id.and_then(|id| self.workers.get_mut(&id)) else {
            return;
        };
        worker.handshakes -= usize::from(handshake.is_some());
        worker.established -= usize::from(established.is_some());
        let elapsed = handshake.map_or(0, |handshake| now - handshake.started_at);
        worker.backoff.record_failure(now, elapsed, jitter);
        self.rotation.remove(OutdatedConnection::Worker(connection));
        let timed_out = elapsed * 2 >= self.config.connect_timeout;
        if let Some(id) = worker_id.filter(|_| timed_out) {
            self.handshake_costs.record(elapsed, false);
            self.throttle_handshakes(now, id);
        }
    }

    fn record_closed(&mut self, connection: WorkerConnectionId) {
        self.requested.remove(&connection);
        self.rotation.remove(OutdatedConnection::Worker(connection));
        if let Some(handshake) = self.handshakes.remove(&connection) {
            self.workers
                .entry(handshake.worker)
                .and_modify(|worker| worker.handshakes -= 1);
        }
        if let Some(worker) = self.established.remove(&connection) {
            self.workers
                .entry(worker)
                .and_modify(|worker| worker.established -= 1);
        }
    }

    fn record_utilization(&mut self, now: Micros, used: &ConnectionUtilization) {
        if let Some(worker) = self.workers.get_mut(&used.worker) {
            worker.record_use(now, self.config.idle_timeout);
        }
        if used.utilization >= NEARLY_FULL {
            self.nearly_full.insert(used.worker);
        }
    }

    /// Forgets workers that are not ready and to which no connection is open or requested.
    fn remove_unused_workers(&mut self) {
        let requested = self.requested_workers();
        self.workers.retain(|id, worker| {
            worker.is_ready || worker.established + worker.handshakes > 0 || requested.contains(id)
        });
    }

    /// Workers to which connections are requested.
    pub(super) fn requested_workers(&self) -> BTreeSet<WorkerId> {
        self.requested
            .values()
            .map(|request| request.worker)
            .collect()
    }
}
