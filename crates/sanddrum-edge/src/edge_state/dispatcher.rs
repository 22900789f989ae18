//! Executes the decisions of the decision module as it makes them.

use super::EdgeState;
use sanddrum::{
    AnswerReason, AttemptLimits, Decisions, FunctionId, Micros, PeerId, RequestId, WorkerId,
};

/// Executes the decisions of one run.
pub(crate) struct Dispatcher<'a> {
    state: &'a mut EdgeState,
    now: Micros,
}

impl<'a> Dispatcher<'a> {
    /// Creates a dispatcher for a run at `now`.
    pub fn new(state: &'a mut EdgeState, now: Micros) -> Self {
        Dispatcher { state, now }
    }
}

impl Decisions for Dispatcher<'_> {
    fn dispatch(&mut self, request: RequestId, worker: WorkerId, limits: AttemptLimits) {
        self.state
            .dispatch_attempt(self.now, request, worker, limits);
    }

    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.state.cancel_attempt(self.now, request, attempt);
    }

    fn reject(&mut self, request: RequestId, retry_after: Micros) {
        self.state.reject_request(self.now, request, retry_after);
    }

    fn fail(&mut self, request: RequestId) {
        self.state.fail_request(self.now, request);
    }

    fn explain(&mut self, request: RequestId, reason: AnswerReason) {
        self.state.explain_answer(request, reason);
    }

    fn load(
        &mut self,
        worker: WorkerId,
        function: FunctionId,
        instances: u32,
        send_deadline: Micros,
    ) {
        self.state
            .send_load(self.now, worker, function, instances, send_deadline);
    }

    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        self.state.send_unload(self.now, worker, function);
    }

    fn check_health(&mut self, worker: WorkerId) {
        self.state.send_health_check(self.now, worker);
    }

    fn gossip(&mut self, _: Option<PeerId>, _: &[u8]) {
        // Edges have no connections to each other, and their settings never enable gossip.
    }

    fn wake_at(&mut self, at: Micros) {
        let earliest = self.state.module_wakeup.map_or(at, |set| set.min(at));
        self.state.module_wakeup = Some(earliest);
    }

    fn log(&mut self, text: &str) {
        tracing::info!(note = text, "note from the decision module");
    }
}
