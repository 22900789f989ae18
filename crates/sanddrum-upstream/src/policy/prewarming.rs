//! Connections opened in advance.

use super::ConnectionPolicy;
use crate::Decisions;
use sanddrum::{Micros, WorkerId};
use std::collections::BTreeSet;

/// Connections are prewarmed only while handshakes in flight and queued requests are fewer than this fraction of the
/// limit on handshakes. The rest is left to connections that requests wait for.
const MAX_PREWARM_FRACTION: f64 = 0.5;
/// A worker with fewer recent uses is neither prewarmed nor given a successor for an outdated connection.
pub(super) const MIN_RECENT_USES: f64 = 1.0;

impl ConnectionPolicy {
    /// Keeps a connection open to each of the most used workers, and opens another one to workers whose connections
    /// are nearly full. The host requests them as it does any other connection.
    pub(super) fn prewarm(&mut self, now: Micros, decisions: &mut impl Decisions) {
        if !self.prewarm_is_due && self.nearly_full.is_empty() {
            return;
        }
        let requested = self.requested_workers();
        let mut candidates = self.take_nearly_full(&requested);
        if self.config.prewarmed_workers > 0 && self.prewarm_is_due {
            self.prewarm_is_due = false;
            candidates.extend(self.used_but_unconnected(now, &requested));
        }
        let limit = (self.config.max_handshakes as f64 * MAX_PREWARM_FRACTION) as usize;
        let free = limit.saturating_sub(self.handshakes.len() + self.requested.len());
        for worker in candidates.into_iter().take(free) {
            decisions.prewarm(worker);
        }
    }

    fn take_nearly_full(&mut self, requested: &BTreeSet<WorkerId>) -> Vec<WorkerId> {
        let nearly_full = std::mem::take(&mut self.nearly_full);
        nearly_full
            .into_iter()
            .filter(|id| {
                let worker = self.workers.get(id);
                worker.is_some_and(|worker| worker.accepts_prewarm())
            })
            .filter(|id| !requested.contains(id))
            .collect()
    }

    /// The most used workers, without those to which a connection is established or requested.
    fn used_but_unconnected(&self, now: Micros, requested: &BTreeSet<WorkerId>) -> Vec<WorkerId> {
        let window = self.config.idle_timeout;
        let mut by_use: Vec<(f64, WorkerId)> = self
            .workers
            .iter()
            .map(|(id, worker)| (worker.recent_uses(now, window), *id))
            .filter(|(uses, _)| *uses >= MIN_RECENT_USES)
            .collect();
        by_use.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        by_use
            .into_iter()
            .take(self.config.prewarmed_workers)
            .map(|(_, id)| id)
            .filter(|id| {
                let worker = self.workers.get(id);
                !requested.contains(id)
                    && worker
                        .is_some_and(|worker| worker.established == 0 && worker.accepts_prewarm())
            })
            .collect()
    }
}
