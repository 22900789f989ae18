//! Records the outcomes of load commands and queries, and learns how long loads take.

use super::constants::{
    EWMA_WEIGHT, INITIAL_WORK_FRACTION, MAX_SPEED_FACTOR, QUERIED_INSTANCE_KEEP_ALIVE_DIVISOR,
    QUERY_CREDIT,
};
use super::Router;
use crate::state::InstanceCommand;
use crate::statistics::unit_interval;
use crate::{FunctionId, LoadResult, Micros, Outcome};

impl Router {
    /// Records the outcome of a load command or query, which also states the number of loaded instances.
    pub(super) fn record_load_result(&mut self, result: &LoadResult) {
        let now = self.now;
        let has_answered = !matches!(
            result.outcome,
            Outcome::TimedOut
                | Outcome::NoConnection
                | Outcome::Reset
                | Outcome::CancelledBeforeStart
        );
        if has_answered {
            if let Some(worker) = self.workers.get_mut(&result.worker) {
                worker.record_response(now);
                if result.outcome == Outcome::Rejected {
                    worker.rejected_at = worker.rejected_at.max(now - result.latency);
                }
                self.presume_restart(result.worker);
            }
        }
        let Some(function) = self.functions.get_mut(result.function) else {
            return;
        };
        let mut instance = function.instance(result.worker);
        let command = instance.command.take().unwrap_or(InstanceCommand::Query);
        let is_load = command == InstanceCommand::Load;
        let is_loaded = result.instances > 0;
        instance.instances = result.instances;
        if is_loaded {
            let trusted_for = if is_load {
                self.config.keep_alive
            } else {
                self.config.keep_alive / QUERIED_INSTANCE_KEEP_ALIVE_DIVISOR
            };
            instance.expires_at = instance.expires_at.max(now + trusted_for);
        }
        self.unplaced.extend(&function.waiting);
        if is_load && result.outcome == Outcome::Finished {
            function.last_warm_worker = Some(result.worker);
            if result.latency as f64 > function.load_us * INITIAL_WORK_FRACTION {
                self.learn_load(result.function, result.latency as f64);
            }
        } else if is_load {
            instance.backoff_until = now + function.work_us as Micros;
            let load_us = function.load_us;
            self.record_failed_load(result.function, load_us);
        }
        self.functions
            .set_instance(result.function, result.worker, instance);
        let found_instance = !is_load && is_loaded;
        self.credit_query_budget(if found_instance { QUERY_CREDIT } else { 0.0 });
    }

    /// Records a failed load. Once loads of different functions fail, the function store may be rejecting them, and
    /// load commands back off, with jitter so that routers do not resume together. A single function that fails may
    /// itself be at fault.
    fn record_failed_load(&mut self, id: FunctionId, load_us: f64) {
        let last_failed = self.load_times.last_failed.replace(id);
        if last_failed.is_some_and(|other| other != id) {
            let jitter = 0.5 + unit_interval(self.next_random());
            self.load_times.backoff_until = self.now + (load_us * jitter) as Micros;
        }
    }

    /// Updates the load time estimates from one load.
    pub(super) fn learn_load(&mut self, id: FunctionId, observed_us: f64) {
        let speed_factor = self.load_speed_factor_now();
        let Some(function) = self.functions.get_mut(id) else {
            return;
        };
        let observed = (observed_us / function.load_us.max(1.0)).min(MAX_SPEED_FACTOR);
        self.load_times.speed_factor = speed_factor + EWMA_WEIGHT * (observed - speed_factor);
        self.load_times.speed_factor_at = self.now;
        let usual_us = observed_us / self.load_times.speed_factor;
        function.load_us += EWMA_WEIGHT / 4.0 * (usual_us - function.load_us);
        self.load_times.usual_us += if self.load_times.usual_us > 0.0 {
            EWMA_WEIGHT / 4.0 * (usual_us - self.load_times.usual_us)
        } else {
            usual_us
        };
    }
}
