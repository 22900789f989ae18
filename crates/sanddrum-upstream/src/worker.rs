//! What the policy knows about one worker.

use crate::backoff::Backoff;
use sanddrum::Micros;

/// What is known about a worker and the connections to it.
pub(crate) struct Worker {
    pub size: f64,
    pub started_at: Micros,
    pub is_ready: bool,
    /// Handshakes in flight.
    pub handshakes: usize,
    /// Established connections.
    pub established: usize,
    /// Requests that it executes or has queued, by its last report.
    pub load: f64,
    pub backoff: Backoff,
    /// While handshakes are throttled: the earliest instant of the next one from this edge.
    pub next_handshake_at: Option<Micros>,
    /// Handshakes are throttled until this instant, because they queued at the worker.
    pub throttled_until: Micros,
    /// Uses at `last_used_at`, each weighted by its age.
    uses: f64,
    last_used_at: Micros,
}

impl Worker {
    pub fn new(backoff: Backoff) -> Self {
        Worker {
            size: 1.0,
            started_at: 0,
            is_ready: true,
            handshakes: 0,
            established: 0,
            load: 0.0,
            backoff,
            next_handshake_at: None,
            throttled_until: Micros::MIN,
            uses: 0.0,
            last_used_at: 0,
        }
    }
    /// Clears the state left by earlier failures, which says nothing about the restarted process.
    pub fn reset(&mut self) {
        self.backoff.reset();
        self.next_handshake_at = None;
        self.throttled_until = Micros::MIN;
    }
    /// Recent uses: the weight of each falls linearly to zero over `window`.
    pub fn recent_uses(&self, now: Micros, window: Micros) -> f64 {
        let idle = (now - self.last_used_at).max(0) as f64;
        self.uses * (1.0 - idle / window.max(1) as f64).max(0.0)
    }
    /// Records that something was sent to the worker.
    pub fn record_use(&mut self, now: Micros, window: Micros) {
        self.uses = self.recent_uses(now, window) + 1.0;
        self.last_used_at = now;
    }
    /// Whether its load is at its capacity.
    pub fn is_overloaded(&self) -> bool {
        self.load >= self.size
    }
    /// Whether a connection may be opened in advance.
    pub fn accepts_prewarm(&self) -> bool {
        self.is_ready && !self.backoff.has_failed() && self.load < self.size && self.handshakes == 0
    }
}
