//! The audit of all that was rejected or changed for reasons of identity, bounded in rate.

use sanddrum_net::{Io, Micros};
use serde_json::{json, Value as Json};

const MICROS_PER_SECOND: f64 = 1e6;

/// Writes audit lines; those beyond the rate are omitted and counted.
pub(crate) struct AuditLog {
    edge_name: String,
    lines_per_second: f64,
    /// Lines that may be written now. A second's worth may be saved up.
    budget: f64,
    budget_at: Micros,
    /// Lines omitted since the last one that was written.
    omitted: u64,
}

impl AuditLog {
    /// An audit of so many lines a second.
    pub fn new(edge_name: &str, lines_per_second: f64) -> Self {
        AuditLog {
            edge_name: edge_name.to_string(),
            lines_per_second,
            budget: lines_per_second,
            budget_at: 0,
            omitted: 0,
        }
    }

    /// Writes a line, with the time and the edge's name added to it.
    pub fn write(&mut self, now: Micros, mut line: Json, io: &mut dyn Io) {
        let seconds = (now - self.budget_at).max(0) as f64 / MICROS_PER_SECOND;
        let earned = self.budget + seconds * self.lines_per_second;
        self.budget = earned.min(self.lines_per_second);
        self.budget_at = now;
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
