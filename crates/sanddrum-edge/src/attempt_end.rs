//! Decides what the end of an attempt proves about its worker, and how long an attempt whose end is not proved is
//! treated as running. docs/design/attempt-ends.md has the table of all ends.
//!
//! An accepted write proves nothing about the worker: bytes and the ends of connections may wait on the link, in the
//! worker's kernel, or in a worker that reads late. Only what the worker sends afterwards proves what it has read.

use sanddrum::Micros;
use sanddrum_net::CloseCause;

/// How much later than the edge a worker may learn that their connection was reset.
pub(crate) const RESET_SETTLE_TIME: Micros = 1_000_000;

/// How long bytes that a connection has accepted may take until the peer reads them.
pub(crate) const MAX_LINK_DELAY: Micros = 1_000_000;

/// How long the edge waits for a worker to end a connection that the edge has ended.
pub(crate) const CLOSE_TIMEOUT: Micros = 1_000_000;

/// How long after the deadline a final answer may wait for an attempt that the worker may still have to read. A client
/// counts a request as lost half a second after its deadline.
const MAX_LATE_ANSWER: Micros = 400_000;

/// What is known of an attempt that has ended for the edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Proof {
    /// The worker never reads it whole.
    NeverRead,
    /// The worker has ended it: by an answer, after reading the cancellation, or with its connection.
    Ended,
    /// The worker may have it, or still read it, for up to [`RESET_SETTLE_TIME`].
    Unknown,
}

/// What the loss of a connection proves of an attempt on it.
pub(crate) fn proof_of_loss(is_written: bool, cause: CloseCause) -> Proof {
    match cause {
        _ if !is_written => Proof::NeverRead,
        CloseCause::Refused => Proof::NeverRead,
        CloseCause::Orderly => Proof::Ended,
        CloseCause::Reset => Proof::Unknown,
    }
}

/// When a result is given even though the worker of another attempt may not have read it: it waits for no longer than
/// links take, so that a silent worker does not cost every result, nor longer than an error response.
pub(crate) fn latest_result_at(
    deadline: Micros,
    shutdown_deadline: Option<Micros>,
    last_written_at: Micros,
) -> Micros {
    let latest = latest_answer_at(deadline, shutdown_deadline);
    latest.min(last_written_at + MAX_LINK_DELAY)
}

/// When the final answer is given even though an attempt of the request may not have been read.
pub(crate) fn latest_answer_at(deadline: Micros, shutdown_deadline: Option<Micros>) -> Micros {
    let latest = deadline + MAX_LATE_ANSWER;
    latest.min(shutdown_deadline.unwrap_or(Micros::MAX))
}
