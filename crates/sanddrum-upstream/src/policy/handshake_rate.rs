//! The rate of handshakes to workers that are warming up or at which handshakes queue.
//!
//! The edges do not communicate. Each one keeps an interval between its own handshakes to such a worker, long enough
//! that those of all edges together take at most the configured fraction of the worker's capacity.

use super::ConnectionPolicy;
use crate::worker::Worker;
use sanddrum::{Micros, WorkerId};

/// Handshakes to a worker at which they queue are throttled for this many intervals.
const THROTTLED_INTERVALS: Micros = 2;

impl ConnectionPolicy {
    /// Throttles handshakes to a worker where one has queued or timed out: all edges together start too many there.
    ///
    /// Otherwise the queue could become so long that every handshake in it times out, and the worker's work on them is
    /// wasted.
    pub(super) fn throttle_handshakes(&mut self, now: Micros, id: WorkerId) {
        let random = self.random();
        let Some(interval) = self.interval_to(now, id) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&id) {
            // The interval is unbounded where the configured fraction is zero, hence the saturating arithmetic.
            let duration = interval.max(self.config.connect_timeout);
            worker.throttled_until =
                now.saturating_add(THROTTLED_INTERVALS.saturating_mul(duration));
            worker.next_handshake_at =
                Some(now.saturating_add((random * interval as f64) as Micros));
        }
    }
    /// When this edge may start its next handshake to a throttled worker; none where the worker is not throttled.
    pub(super) fn next_handshake_at(&mut self, now: Micros, id: WorkerId) -> Option<Micros> {
        let random = self.random();
        let interval = self.interval_to(now, id)?;
        let config = &self.config;
        let worker = self.workers.get_mut(&id)?;
        let is_warming_up = worker.started_at > 0 && now < worker.started_at + config.slow_start;
        let is_throttled = is_warming_up || now < worker.throttled_until;
        if config.handshake_fraction <= 0.0 || !is_throttled {
            worker.next_handshake_at = None;
            return None;
        }
        // A single edge starts at once: there are no other edges to spread its first handshake against.
        let other_edges = 1.0 - 1.0 / config.router_count;
        let first = now.saturating_add((random * other_edges * interval as f64) as Micros);
        Some(*worker.next_handshake_at.get_or_insert(first))
    }
    /// How many handshakes to a worker may be in flight at a time: one if it is overloaded, throttled or was
    /// unreachable.
    pub(super) fn handshake_limit(&self, worker: &Worker) -> usize {
        let is_restricted = worker.is_overloaded()
            || worker.backoff.has_failed()
            || worker.next_handshake_at.is_some();
        if is_restricted {
            1
        } else {
            self.config.max_handshakes_per_worker
        }
    }
    /// The interval between two handshakes from this edge to a throttled worker; none if the worker is unknown.
    pub(super) fn interval_to(&self, now: Micros, id: WorkerId) -> Option<Micros> {
        self.workers
            .get(&id)
            .map(|worker| self.handshake_interval(now, worker))
    }
    fn handshake_interval(&self, now: Micros, worker: &Worker) -> Micros {
        let config = &self.config;
        let age = (now - worker.started_at).max(0) as f64 / config.slow_start.max(1) as f64;
        let capacity_fraction = if worker.started_at <= 0 {
            1.0
        } else {
            config.initial_capacity + (1.0 - config.initial_capacity) * age.min(1.0)
        };
        let capacity =
            worker.size * capacity_fraction * config.handshake_fraction.max(f64::MIN_POSITIVE);
        (self.handshake_costs.full() as f64 * config.router_count / capacity) as Micros
    }
}
