//! The state of a request until its final answer.

use crate::{Micros, Outcome, Request, WorkerId};

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptStatus {
    /// The attempt has been dispatched.
    InFlight,
    /// The attempt has been cancelled; its outcome has not been reported yet.
    Cancelling,
    /// The attempt has ended.
    Ended(Outcome),
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The worker that it was dispatched to.
    pub worker: WorkerId,
    /// When it was dispatched.
    pub dispatched_at: Micros,
    /// Its current state.
    pub status: AttemptStatus,
    /// Whether the attempt was dispatched behind other requests at a busy instance, so that its latency does not
    /// measure the worker's speed.
    pub was_queued: bool,
}

impl Attempt {
    /// Whether its outcome has not been reported yet.
    pub fn is_in_flight(&self) -> bool {
        !matches!(self.status, AttemptStatus::Ended(_))
    }

    /// Whether the request may have been executed, at least in part.
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self.status,
            AttemptStatus::Ended(
                Outcome::Rejected
                    | Outcome::NoConnection
                    | Outcome::CancelledBeforeStart
                    | Outcome::ColdMiss
            )
        )
    }

    /// Whether the worker rejected it without processing.
    pub fn was_rejected(&self) -> bool {
        self.status == AttemptStatus::Ended(Outcome::Rejected)
    }
}

/// A request without a final answer.
pub(crate) struct PendingRequest {
    /// The request.
    pub request: Request,
    /// When it arrived.
    pub arrived_at: Micros,
    /// Its attempts, in the order of dispatch.
    pub attempts: Vec<Attempt>,
    /// When its retry by idempotency key is prepared, if it may have one.
    pub retry_preparation_at: Option<Micros>,
}

impl PendingRequest {
    /// The number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_in_flight()).count()
    }

    /// Whether any attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether the worker of the last attempt rejected it.
    pub fn was_last_rejected(&self) -> bool {
        self.attempts.last().is_some_and(Attempt::was_rejected)
    }
}
