//! Renewal of instances beyond the workers' keep-alive, pre-warming and early unloading: the `design.` options, which
//! are off unless they are set.

use super::constants::{INSPECTED_ENDPOINTS, MAX_PREWARMED_INSTANCES, RENEWAL_FRACTION};
use super::Router;
use crate::config::design_option;
use crate::state::{Function, Timer};
use crate::statistics::hash_of;
use crate::{Decisions, FunctionId, Micros, WorkerId};

/// The keep-alive options of one function.
struct KeepAliveOptions {
    /// How long instances are renewed after the last request.
    renew_for: Micros,
    /// This router's part of the instances to be kept pre-warmed.
    prewarmed_quota: i64,
    /// Idle instances are unloaded this long after the last request; never if zero or less.
    unload_after: Micros,
    /// Whether any option is in effect.
    is_active: bool,
}

impl Router {
    /// Renews, pre-warms and unloads instances of a function according to its options.
    pub(super) fn maintain_instances(&mut self, id: FunctionId, out: &mut impl Decisions) {
        let options = self.keep_alive_options(id);
        let Some(function) = self.functions.get(id) else {
            return;
        };
        if !self.config.may_command_loads || !options.is_active {
            return;
        }
        let keep_alive = self.config.keep_alive;
        let renews = options.renew_for > keep_alive
            && self.now < function.last_request_at + options.renew_for;
        let warm = if renews {
            self.ready_workers_with_instance(function)
        } else {
            Vec::new()
        };
        let prewarm_target = self.prewarm_target(id, function);
        let next = self.now + (keep_alive as f64 * RENEWAL_FRACTION) as Micros;
        self.timers.insert((next, Timer::KeepAlive(id)));
        if let Some(worker) = prewarm_target.filter(|_| options.prewarmed_quota > 0) {
            let instances = options.prewarmed_quota.min(MAX_PREWARMED_INSTANCES);
            self.command_load(worker, id, instances as u32, out);
        }
        for worker in warm {
            self.command_load(worker, id, 1, out);
        }
        if options.unload_after > 0 && options.prewarmed_quota == 0 {
            self.unload_idle_instances(id, options.unload_after, out);
        }
    }

    fn keep_alive_options(&self, id: FunctionId) -> KeepAliveOptions {
        let keep_alive = self.config.keep_alive;
        let option = |name| design_option(&self.settings, id, name);
        let renew_for = option("keep-alive-us").map_or(keep_alive, |us| us as Micros);
        let prewarmed = option("pre-warmed").map_or(0, |count| count as i64);
        let unload_after = option("drop-after-us").map_or(0, |us| us as Micros);
        let routers = i64::from(self.config.router_count.max(1));
        let index = i64::from(self.config.router_index);
        let remainder = i64::from(index < prewarmed % routers);
        KeepAliveOptions {
            renew_for,
            prewarmed_quota: prewarmed / routers + remainder,
            unload_after,
            is_active: renew_for > keep_alive || prewarmed > 0 || unload_after > 0,
        }
    }

    fn is_worker_ready(&self, id: WorkerId) -> bool {
        self.workers
            .get(&id)
            .is_some_and(|worker| worker.is_ready())
    }

    fn ready_workers_with_instance(&self, function: &Function) -> Vec<WorkerId> {
        let warm = function.workers.iter().filter(|(_, i)| i.instances > 0);
        warm.map(|(worker, _)| *worker)
            .filter(|worker| self.is_worker_ready(*worker))
            .collect()
    }

    /// The worker where the function was last found warm, otherwise one chosen by a hash of the function and this
    /// router's index.
    fn prewarm_target(&self, id: FunctionId, function: &Function) -> Option<WorkerId> {
        let seed = hash_of((id, i64::from(self.config.router_index)));
        let ranked = self.ready_workers.ranking(seed).map(WorkerId);
        function
            .last_warm_worker
            .into_iter()
            .chain(ranked.take(INSPECTED_ENDPOINTS))
            .find(|worker| self.is_worker_ready(*worker))
    }

    /// Unloads idle instances of a function that had no request for `unload_after`.
    fn unload_idle_instances(
        &mut self,
        id: FunctionId,
        unload_after: Micros,
        out: &mut impl Decisions,
    ) {
        let Some(function) = self.functions.get(id) else {
            return;
        };
        if self.now < function.last_request_at + unload_after {
            return;
        }
        let idle: Vec<WorkerId> = function
            .workers
            .iter()
            .filter(|(_, instance)| instance.instances > 0 && instance.in_flight == 0)
            .map(|(worker, _)| *worker)
            .collect();
        for worker in idle {
            self.functions
                .update_instance(id, worker, |instance| instance.instances = 0);
            out.unload(worker, id);
        }
    }
}
