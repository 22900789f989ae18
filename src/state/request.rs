//! What is remembered of a request until its final answer.

use crate::{Micros, Outcome, Request, WorkerId};

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptStatus {
    /// It has been dispatched.
    InFlight,
    /// It has been cancelled; its outcome is still to come.
    Cancelling,
    /// It has ended.
    Ended(Outcome),
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The worker that it was dispatched to.
    pub worker: WorkerId,
    /// When it was dispatched.
    pub dispatched_at: Micros,
    /// How far it has come.
    pub status: AttemptStatus,
    /// It was dispatched to wait for other requests, so its latency shows nothing of the worker.
    pub was_queued: bool,
}

impl Attempt {
    /// Whether its outcome is still to come.
    pub fn is_in_flight(&self) -> bool {
        !matches!(self.status, AttemptStatus::Ended(_))
    }

    /// Whether the request may have run, at least in part.
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

    /// Whether the worker rejected it without looking at it.
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
    /// Its attempts, in the order in which they were dispatched.
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    /// The number of attempts whose outcome is still to come.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_in_flight()).count()
    }

    /// Whether an attempt's outcome is still to come.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether the worker of the last attempt rejected it.
    pub fn was_last_rejected(&self) -> bool {
        self.attempts.last().is_some_and(Attempt::was_rejected)
    }
}
