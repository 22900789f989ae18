//! Load budget: how many load commands may be sent in a window. A router must not send more than a fixed number plus a
//! fraction of the requests admitted in the same window (rule 5).

use super::Router;
use crate::state::InstanceCommand;
use crate::statistics::remove_until;
use crate::{Decisions, FunctionId, WorkerId};

impl Router {
    /// Sends a load command if the worker holds a readiness lease, the load budget allows it, no command for the
    /// function is in flight there, and no backoff after failed loads applies. Returns whether it was sent.
    pub(super) fn command_load(
        &mut self,
        worker: WorkerId,
        id: FunctionId,
        instances: u32,
        out: &mut impl Decisions,
    ) -> bool {
        let recipient = self.workers.get(&worker);
        let holds_lease = recipient.is_some_and(|w| self.holds_readiness_lease(w));
        let send_deadline = recipient.map_or(0, |w| self.readiness_send_deadline(w));
        if !self.config.may_command_loads || !holds_lease || !self.has_load_budget() {
            return false;
        }
        let mut instance = self.functions.instance(id, worker);
        let is_cold = instance.instances == 0;
        if instance.command.is_some() || (is_cold && self.now < self.load_times.backoff_until) {
            return false;
        }
        instance.command = Some(InstanceCommand::Load);
        self.functions.set_instance(id, worker, instance);
        self.load_budget.commands.push_back(self.now);
        out.load(worker, id, instances, send_deadline);
        true
    }

    fn has_load_budget(&mut self) -> bool {
        let window = self.config.load_budget_window;
        remove_until(&mut self.load_budget.requests, self.now - window);
        remove_until(&mut self.load_budget.commands, self.now - window);
        let requests = self.load_budget.requests.len() as f64;
        let budget = self.config.load_budget_base + self.config.load_budget_per_request * requests;
        window <= 0 || (self.load_budget.commands.len() + 1) as f64 <= budget
    }

    /// Counts a new request, which raises the load budget.
    pub(super) fn count_request_for_load_budget(&mut self) {
        let window = self.config.load_budget_window;
        if self.config.may_command_loads && window > 0 {
            remove_until(&mut self.load_budget.requests, self.now - window);
            self.load_budget.requests.push_back(self.now);
        }
    }
}
