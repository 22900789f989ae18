//! Counts of an edge's events by kind and reason, for its status line. They do not depend on exported metrics, so that
//! a router that only logs warnings can still report what it rejected, retried and closed.

use std::collections::BTreeMap;
use std::fmt;

/// A kind of event that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CountedEvent {
    /// A request was rejected or failed.
    NotFinished,
    /// A request was answered by the edge itself, without a decision of the module.
    Refused,
    /// A request was attempted again.
    Retried,
    /// The edge closed a client connection.
    ClientClosed,
    /// A message to a worker was withdrawn at its send deadline.
    SendWithdrawn,
    /// A worker connection was lost.
    WorkerLost,
    /// A load command failed.
    LoadNotDone,
    /// A final answer waited for the worker to read an attempt.
    AnswerDeferred,
    /// A final answer was given after the client's time limit.
    AnsweredLate,
}

impl CountedEvent {
    /// The name in logs.
    fn name(self) -> &'static str {
        match self {
            CountedEvent::NotFinished => "not-finished",
            CountedEvent::Refused => "refused",
            CountedEvent::Retried => "retried",
            CountedEvent::ClientClosed => "client-closed",
            CountedEvent::SendWithdrawn => "send-withdrawn",
            CountedEvent::WorkerLost => "worker-lost",
            CountedEvent::LoadNotDone => "load-not-done",
            CountedEvent::AnswerDeferred => "answer-deferred",
            CountedEvent::AnsweredLate => "answered-late",
        }
    }
}

/// Event counts by kind and reason. Reasons are static strings, which bounds the number of entries.
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
