//! Counts of what an edge did and why, for its status line. They are kept where no metrics are exported, too, so that a router
//! that logs warnings only can still say what it rejected, retried and closed.

use std::collections::BTreeMap;
use std::fmt;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CountedEvent {
    /// A request was rejected or failed.
    NotFinished,
    /// A request got a further attempt.
    Retried,
    /// A client's connection was closed by the edge.
    ClientClosed,
    /// A worker's connection was lost.
    WorkerLost,
    /// A load command ended without success.
    LoadNotDone,
}

impl CountedEvent {
    /// The name in logs.
    fn name(self) -> &'static str {
        match self {
            CountedEvent::NotFinished => "not-finished",
            CountedEvent::Retried => "retried",
            CountedEvent::ClientClosed => "client-closed",
            CountedEvent::WorkerLost => "worker-lost",
            CountedEvent::LoadNotDone => "load-not-done",
        }
    }
}

/// Events by kind and reason. Reasons are names in the program, so that their number is bounded.
#[derive(Debug, Default)]
pub(crate) struct EventCounts(BTreeMap<(CountedEvent, &'static str), u64>);

impl EventCounts {
    /// Counts an event.
    pub fn record(&mut self, event: CountedEvent, reason: &'static str) {
        *self.0.entry((event, reason)).or_default() += 1;
    }
}

impl fmt::Display for EventCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("none");
        }
        for (index, ((event, reason), count)) in self.0.iter().enumerate() {
            let separator = if index > 0 { ", " } else { "" };
            write!(f, "{separator}{}:{reason} {count}", event.name())?;
        }
        Ok(())
    }
}
