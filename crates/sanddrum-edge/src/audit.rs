//! The audit log of rejected requests, denied certificates and key set changes, with a rate limit.

use sanddrum_net::{Io, Micros};
use serde_json::{json, Value as Json};

const MICROS_PER_SECOND: f64 = 1e6;

/// Writes audit lines. Lines that exceed the rate limit are omitted and counted.
pub(crate) struct AuditLog {
    edge_name: String,
    lines_per_second: f64,
    /// A token bucket that holds at most one second's worth of lines.
    budget: f64,
    refilled_at: Micros,
    /// Lines omitted since the last written one.
    omitted: u64,
}

impl AuditLog {
    /// An audit log limited to `lines_per_second`.
    pub fn new(edge_name: &str, lines_per_second: f64) -> Self {
        AuditLog {
            edge_name: edge_name.to_string(),
            lines_per_second,
            budget: lines_per_second,
            refilled_at: 0,
            omitted: 0,
        }
    }

    /// Writes a line, to which it adds the time and the edge's name.
    pub fn write(&mut self, now: Micros, mut line: Json, io: &mut dyn Io) {
        let seconds = (now - self.refilled_at).max(0) as f64 / MICROS_PER_SECOND;
        let refilled = self.budget + seconds * self.lines_per_second;
        self.budget = refilled.min(self.lines_per_second);
        self.refilled_at = now;
        if self.budget < 1.0 {
            self.omitted += 1;
            return;
        }
        self.budget -= 1.0;
        line["at_us"] = json!(now);
        line["edge"] = json!(self.edge_name);
        let omitted = std::mem::take(&mut self.omitted);
        if omitted > 0 {
            line["omitted_before"] = json!(omitted);
        }
        io.audit(&line.to_string());
    }
}
