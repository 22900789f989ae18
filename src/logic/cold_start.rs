//! Cold start: no instance has free capacity, so the request waits for one, or the function is loaded.

use super::candidates::Candidates;
use super::constants::{CHECK_TIMEOUT_DIVISOR, PREFERRED_ENDPOINTS, QUERIES_PER_KEEP_ALIVE};
use super::placement::PlacementRequest;
use super::Router;
use crate::state::{InstanceCommand, InstanceState, Worker};
use crate::{AnswerReason, Decisions, FunctionId, Micros, WorkerId, NO_SEND_DEADLINE};

/// The worker on which the function would be loaded.
#[derive(Clone, Copy)]
struct LoadTarget {
    worker: WorkerId,
    /// Whether the request would still finish within its time budget.
    is_in_time: bool,
}

/// The options for a request when no instance has a free slot.
pub(super) struct ColdStart {
    /// A worker with an instance at which waiting is predicted to be faster than a load.
    short_queue: Option<WorkerId>,
    load_target: Option<LoadTarget>,
    /// Endpoints to query for a loaded instance.
    endpoints_to_query: Vec<WorkerId>,
    /// Whether the loads in progress will serve this request, too.
    is_covered_by_pending_loads: bool,
    /// Whether the function is loaded for later requests if this one cannot wait for the load.
    loads_for_later_requests: bool,
    /// The expected load time, in microseconds.
    load_us: f64,
}

impl ColdStart {
    /// Whether there is a worker at which the request could wait or be loaded.
    pub(super) fn has_worker(&self) -> bool {
        self.short_queue.is_some() || self.load_target.is_some()
    }
}

impl Candidates<'_> {
    /// Determines the options for the request without changing any state.
    pub(super) fn plan_cold_start(&self) -> ColdStart {
        let load_target = self.load_target();
        let load_target_in_time = load_target.filter(|t| t.is_in_time).map(|t| t.worker);
        let pending_capacity = self.pending_load_capacity();
        let earlier = self.function.waiting.range(..self.placement.request.id);
        ColdStart {
            short_queue: self.short_queue(),
            load_target,
            endpoints_to_query: self.endpoints_to_query(load_target_in_time),
            is_covered_by_pending_loads: earlier.count() < pending_capacity,
            loads_for_later_requests: self.function.recent_requests > 1.0
                && pending_capacity == 0
                && !self.router.are_loads_congested(),
            load_us: self.load_us,
        }
    }

    /// Exception: if all instances are in use, a wait at a warm worker is preferred to a load, provided that it is
    /// shorter and within the latency objective.
    fn short_queue(&self) -> Option<WorkerId> {
        let eligible = self.warm.iter().filter(|c| self.is_eligible(c));
        let waits = eligible.map(|c| {
            let slots = self.function.concurrency * c.instance.instances;
            let rounds = f64::from(c.instance.in_flight + 1) / f64::from(slots);
            let wait = (self.work_at(c.worker) * rounds) as Micros;
            (wait, c.worker.endpoint.worker)
        });
        let (wait, worker) = waits.min()?;
        let is_in_time = wait < self.placement.objective_left;
        let beats_load = (wait as f64) < self.load_us + self.placement.work_us;
        (is_in_time && beats_load).then_some(worker)
    }

    /// The worker on which to load the function. Uncongested workers are chosen first, and preferred endpoints before
    /// fallbacks. Among preferred endpoints, local ones come first, then those with the fewest requests in flight;
    /// ties are broken by rank. Fallbacks are chosen by rank alone.
    fn load_target(&self) -> Option<LoadTarget> {
        let endpoints = self.preferred.first(2 * PREFERRED_ENDPOINTS).enumerate();
        let loadable = endpoints.filter(|(_, worker)| self.can_load(worker));
        let (_, worker) = loadable.min_by_key(|(rank, worker)| {
            let is_preferred = *rank < self.fan_out.preferred;
            (
                self.router.is_congested(worker),
                if is_preferred { 0 } else { *rank },
                self.is_remote(worker),
                worker.in_flight,
                *rank,
            )
        })?;
        let expected = (self.load_us + self.work_at(worker)) as Micros;
        Some(LoadTarget {
            worker: worker.endpoint.worker,
            is_in_time: self.placement.time_budget >= expected,
        })
    }

    fn can_load(&self, worker: &Worker) -> bool {
        let instance = self.instance_at(worker);
        let now = self.router.now;
        let may_load = self.router.config.may_command_loads || instance.missing_until <= now;
        may_load
            && instance.backoff_until <= now
            && instance.command.is_none()
            && self.has_capacity(worker)
    }

    /// The inspected endpoints that are not believed to have an instance. The load target is excluded, since its
    /// answer to the load shows whether it has one.
    fn endpoints_to_query(&self, excluded: Option<WorkerId>) -> Vec<WorkerId> {
        let endpoints = self.preferred.first(self.fan_out.inspected);
        let not_warm = endpoints.filter(|worker| !self.router.is_warm(&self.instance_at(worker)));
        not_warm
            .map(|worker| worker.endpoint.worker)
            .filter(|worker| Some(*worker) != excluded)
            .collect()
    }
}

impl Router {
    /// Takes the first option that applies: query, wait in a short queue, wait for a load in progress, load, or answer.
    pub(super) fn handle_cold_start(
        &mut self,
        placement: &PlacementRequest,
        plan: &ColdStart,
        out: &mut impl Decisions,
    ) {
        let id = placement.request.id;
        let function = placement.request.function;
        // Exception: the other endpoints are queried before a load, since other routers' loads are not announced.
        if self.config.may_command_loads
            && self.query_instances(function, &plan.endpoints_to_query, out)
        {
            return self.wait(id);
        }
        if let Some(worker) = plan.short_queue {
            return self.dispatch(id, worker, placement.work_us, out);
        }
        // Exception: a request waits for a load in progress that can serve it, instead of starting another one.
        if plan.is_covered_by_pending_loads {
            let is_late = placement.time_budget < placement.median_work_us as Micros;
            if !placement.is_hedge && is_late {
                return self.answer_unless_in_flight(id, AnswerReason::WaitTooLong, out);
            }
            return self.wait(id);
        }
        match plan.load_target {
            None => self.wait_or_answer(id, out),
            Some(target) if target.is_in_time => {
                self.load_for_request(placement, target.worker, plan.load_us, out);
            }
            Some(target) => {
                // Exception: a function that is requested repeatedly is loaded anyway. Otherwise a function whose
                // loads take longer than its requests can wait would never be loaded.
                if plan.loads_for_later_requests {
                    self.command_load(target.worker, function, 1, out);
                }
                self.answer_unless_in_flight(id, AnswerReason::LoadTooLong, out);
            }
        }
    }

    /// Loads the function for a request. If workers answer cold misses and load commands are not allowed, the request
    /// is dispatched all the same: other routers may have had an instance loaded there.
    fn load_for_request(
        &mut self,
        placement: &PlacementRequest,
        worker: WorkerId,
        load_us: f64,
        out: &mut impl Decisions,
    ) {
        let id = placement.request.id;
        let function = placement.request.function;
        if self.config.workers_answer_misses && self.config.may_command_loads {
            if self.command_load(worker, function, 1, out) {
                return self.wait(id);
            }
            return self.wait_or_answer(id, out);
        }
        if !self.config.workers_answer_misses {
            self.functions
                .update_instance(function, worker, |instance| instance.is_loading = true);
        }
        self.dispatch(id, worker, placement.work_us + load_us, out);
    }

    /// Queries workers for instances of a function, if a query is due; returns whether answers are outstanding.
    fn query_instances(
        &mut self,
        id: FunctionId,
        workers: &[WorkerId],
        out: &mut impl Decisions,
    ) -> bool {
        let now = self.now;
        let timeout = self.config.tightest_objective / CHECK_TIMEOUT_DIVISOR;
        let interval = (self.config.keep_alive / QUERIES_PER_KEEP_ALIVE).max(timeout);
        let Some(function) = self.functions.get_mut(id) else {
            return false;
        };
        if function.queried_at.is_none_or(|at| now >= at + interval) {
            function.queried_at = Some(now);
            function.query_deadline = now + timeout;
            for worker in workers {
                self.query_instance(id, *worker, out);
            }
        }
        let Some(function) = self.functions.get(id) else {
            return false;
        };
        let is_queried =
            |id: &WorkerId| function.instance(*id).command == Some(InstanceCommand::Query);
        now < function.query_deadline && function.pending_workers.iter().any(is_queried)
    }

    /// Queries one worker, if the query budget allows it and no command or load is in progress there.
    fn query_instance(&mut self, id: FunctionId, worker: WorkerId, out: &mut impl Decisions) {
        let instance = self.functions.instance(id, worker);
        if instance.command.is_some() || instance.is_loading || self.query_budget < 1.0 {
            return;
        }
        self.query_budget -= 1.0;
        let queried = InstanceState {
            command: Some(InstanceCommand::Query),
            ..instance
        };
        self.functions.set_instance(id, worker, queried);
        out.load(worker, id, 0, NO_SEND_DEADLINE);
    }
}
