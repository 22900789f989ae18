//! The interface through which the decision module returns its decisions to the host.

use crate::{AnswerReason, FunctionId, Micros, PeerId, RequestId, WorkerId};

/// The send deadline of a message that may be sent at any time.
pub const NO_SEND_DEADLINE: Micros = Micros::MAX;

/// The limits in time of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// The host ends the attempt with [`TimedOut`](crate::Outcome::TimedOut) after this time.
    pub time_limit: Micros,
    /// The last byte of the attempt must be sent before this instant. Otherwise the worker must not receive it: the host
    /// withdraws it and reports [`CancelledBeforeStart`](crate::Outcome::CancelledBeforeStart), or
    /// [`NoConnection`](crate::Outcome::NoConnection) if a part of it had been sent.
    pub send_deadline: Micros,
}

impl AttemptLimits {
    /// The limits of an attempt that may be sent at any time.
    pub fn without_send_deadline(time_limit: Micros) -> Self {
        AttemptLimits {
            time_limit,
            send_deadline: NO_SEND_DEADLINE,
        }
    }
}

/// Receives the module's decisions. The host applies them in the order of the calls.
pub trait Decisions {
    /// Starts an attempt of a request at a worker, within limits that the host enforces.
    fn dispatch(&mut self, request: RequestId, worker: WorkerId, limits: AttemptLimits);
    /// Cancels an attempt in flight. Its outcome is still reported.
    fn cancel(&mut self, request: RequestId, attempt: usize);
    /// Final answer: rejected. The client may safely retry, preferably after `retry_after`.
    fn reject(&mut self, request: RequestId, retry_after: Micros);
    /// Final answer: failed. The request may have been executed.
    fn fail(&mut self, request: RequestId);
    /// The reason for the final answer that follows; for logs and metrics only.
    fn explain(&mut self, _request: RequestId, _reason: AnswerReason) {}
    /// Load command: the worker loads the function until it has at least `instances`. Zero only queries the number of
    /// loaded instances. The host withdraws it, as [`AttemptLimits::send_deadline`] describes, if its last byte is not sent
    /// before `send_deadline`.
    fn load(
        &mut self,
        worker: WorkerId,
        function: FunctionId,
        instances: u32,
        send_deadline: Micros,
    );
    /// Unloads the idle instances of a function at a worker.
    fn unload(&mut self, worker: WorkerId, function: FunctionId);
    /// Starts a health check.
    fn check_health(&mut self, worker: WorkerId);
    /// Subscribes to changes of the endpoint list. The host responds with a list, or with one of kind
    /// [`Failed`](crate::EndpointListKind::Failed). Hosts that receive all changes without a subscription ignore this.
    fn subscribe(&mut self) {}
    /// Sends a message to one other router, or to all if `peer` is `None`.
    fn gossip(&mut self, peer: Option<PeerId>, payload: &[u8]);
    /// Requests a call of [`Router::handle`](crate::Router::handle) at this instant, in addition to those for events.
    fn wake_at(&mut self, at: Micros);
    /// Writes a line to the host's log.
    fn log(&mut self, text: &str);
}
