use crate::backoff::Backoff;
use sanddrum::Micros;

/// What is known of a worker's connections.
pub(crate) struct Worker {
    pub size: f64,
    pub started: Micros,
    pub ready: bool,
    pub under_way: usize,
    pub open: usize,
    pub load: f64,
    pub backoff: Backoff,
    /// While it is spared: when it may have its next handshake from here.
    pub next: Option<Micros>,
    pub spared_until: Micros,
    uses: f64,
    used_at: Micros,
}

impl Worker {
    pub fn new((least, most): (Micros, Micros)) -> Self {
        Worker {
            size: 1.0,
            started: 0,
            ready: true,
            under_way: 0,
            open: 0,
            load: 0.0,
            backoff: Backoff::new(least, most),
            next: None,
            spared_until: Micros::MIN,
            uses: 0.0,
            used_at: 0,
        }
    }
    /// Uses of late: each counts less as time passes, and next to nothing after the span.
    pub fn use_now(&self, now: Micros, span: Micros) -> f64 {
        self.uses * (1.0 - (now - self.used_at).max(0) as f64 / span.max(1) as f64).max(0.0)
    }
    pub fn used(&mut self, now: Micros, span: Micros) {
        self.uses = self.use_now(now, span) + 1.0;
        self.used_at = now;
    }
}
