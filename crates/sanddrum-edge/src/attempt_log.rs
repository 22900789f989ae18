//! Log lines on single requests. Unusual ones are warnings, so that the default log shows them, in a bounded number;
//! all are logged at the debug level.

use sanddrum::Micros;
use std::fmt;

/// Lines at the default level that may be logged at once.
const BURST_LINES: i64 = 50;
/// The time after which a further line may be logged: ten a second.
const LINE_INTERVAL: Micros = 100_000;

/// Bounds the number of lines at the default level.
#[derive(Debug, Default)]
pub(crate) struct LogBudget {
    /// When the lines logged so far are paid for.
    paid_until: Micros,
    /// Lines left out since the last one that was logged.
    left_out: u64,
}

impl LogBudget {
    /// Whether a line may be logged now; then the number of lines left out before it.
    pub fn take(&mut self, now: Micros) -> Option<u64> {
        let paid_until = self.paid_until.max(now) + LINE_INTERVAL;
        if paid_until > now + BURST_LINES * LINE_INTERVAL {
            self.left_out += 1;
            return None;
        }
        self.paid_until = paid_until;
        Some(std::mem::take(&mut self.left_out))
    }
}

/// The times of an attempt from its dispatch on, in microseconds, as logged when it ends.
#[derive(Debug)]
pub(crate) struct AttemptHistory<'a> {
    /// The client-assigned id of the request.
    pub call_id: u64,
    /// The index of the attempt.
    pub index: usize,
    /// The name of the worker.
    pub worker: &'a str,
    /// The number of the connection.
    pub connection: Option<u64>,
    /// How long the connection had been open when the attempt's last byte was written.
    pub connection_age: Option<Micros>,
    /// When its last byte was written.
    pub written: Option<Micros>,
    /// When the edge stopped waiting for its answer.
    pub given_up: Option<Micros>,
    /// When the last byte of its cancellation was written.
    pub cancel_written: Option<Micros>,
    /// When its connection was lost.
    pub connection_lost: Option<Micros>,
    /// When it ended.
    pub ended: Micros,
    /// Its outcome.
    pub outcome: &'static str,
}

impl fmt::Display for AttemptHistory<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call={:016x} attempt={}", self.call_id, self.index)?;
        write!(f, " worker={}", self.worker)?;
        let times = [
            ("connection", self.connection.map(|id| id as Micros)),
            ("connection_age_us", self.connection_age),
            ("written_us", self.written),
            ("given_up_us", self.given_up),
            ("cancel_written_us", self.cancel_written),
            ("connection_lost_us", self.connection_lost),
        ];
        for (name, value) in times {
            match value {
                Some(value) => write!(f, " {name}={value}")?,
                None => write!(f, " {name}=-")?,
            }
        }
        write!(f, " ended_us={} outcome={}", self.ended, self.outcome)
    }
}
