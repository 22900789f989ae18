//! The writer through which the decision module notifies its host of decisions.

use crate::{AnswerReason, FunctionId, Micros, PeerId, RequestId, WorkerId};

/// Receives the module's decisions; they take effect in the order in which they are written.
pub trait Decisions {
    /// Starts an attempt of a request at a worker; it is cut off after `time_limit`.
    fn dispatch(&mut self, request: RequestId, worker: WorkerId, time_limit: Micros);
    /// Stops waiting for an attempt; its outcome is still reported.
    fn cancel(&mut self, request: RequestId, attempt: usize);
    /// Final answer: rejected. A retry is harmless, best after `retry_after`.
    fn reject(&mut self, request: RequestId, retry_after: Micros);
    /// Final answer: failed. The request may have run.
    fn fail(&mut self, request: RequestId);
    /// Why the final answer that follows is given; for logs and metrics only.
    fn explain(&mut self, _request: RequestId, _reason: AnswerReason) {}
    /// Load command: at least so many instances are to be loaded at the worker; zero only queries how many are.
    fn load(&mut self, worker: WorkerId, function: FunctionId, instances: u32);
    /// Has the idle instances of a function unloaded.
    fn unload(&mut self, worker: WorkerId, function: FunctionId);
    /// Starts a health check.
    fn check_health(&mut self, worker: WorkerId);
    /// Subscribes to changes of the endpoint list; a list answers, or a failed one. Hosts that are always notified
    /// need not do anything.
    fn subscribe(&mut self) {}
    /// Sends a message to one other router, or to all.
    fn gossip(&mut self, peer: Option<PeerId>, payload: &[u8]);
    /// Requests to be called again at this instant.
    fn wake_at(&mut self, at: Micros);
    /// A line for the host's log.
    fn log(&mut self, text: &str);
}
