//! Cold start: no instance has capacity, so the request waits for one, or the function is loaded.

use super::candidates::Candidates;
use super::constants::{POLLS_PER_OBJECTIVE, PREFERRED_ENDPOINTS, QUERIES_PER_KEEP_ALIVE};
use super::placement::PlacementRequest;
use super::Router;
use crate::state::{InstanceCommand, InstanceState, Worker};
use crate::{AnswerReason, Decisions, FunctionId, Micros, WorkerId};

/// Where the function would be loaded.
#[derive(Clone, Copy)]
struct LoadTarget {
    worker: WorkerId,
    /// Whether the request would still end within its time budget.
    is_in_time: bool,
}

/// What can be done for a request without a free instance.
pub(super) struct ColdStart {
    /// A worker with an instance whose queue is short enough to be better than a load.
    short_queue: Option<WorkerId>,
    load_target: Option<LoadTarget>,
    /// Endpoints to be queried for an instance.
    unknown: Vec<WorkerId>,
    /// Whether the loads under way will serve this request, too.
    is_load_underway: bool,
    /// Whether the function is to be loaded for the requests that follow.
    loads_for_followers: bool,
    /// The expected time of a load, in microseconds.
    load_us: f64,
}

impl Candidates<'_> {
    /// Lists what can be done for the request, before anything is changed.
    pub(super) fn plan_cold_start(&self) -> ColdStart {
        let load_target = self.load_target();
        let load_target_in_time = load_target.filter(|t| t.is_in_time).map(|t| t.worker);
        let underway = self.load_capacity_underway();
        let ahead = self.function.waiting.range(..self.placement.request.id);
        ColdStart {
            short_queue: self.short_queue(),
            load_target,
            unknown: self.unknown_endpoints(load_target_in_time),
            is_load_underway: ahead.count() < underway,
            loads_for_followers: self.function.recent_requests > 1.0
                && underway == 0
                && !self.router.are_loads_congested(),
            load_us: self.load_us,
        }
    }

    /// Exception: where all instances are in use, a short wait at a warm worker that is in time beats a load.
    fn short_queue(&self) -> Option<WorkerId> {
        let open = self.warm.iter().filter(|c| self.is_open(c));
        let waits = open.map(|c| {
            let parallel = self.function.concurrency * c.instance.instances;
            let rounds = f64::from(c.instance.in_flight + 1) / f64::from(parallel);
            let wait = (self.work_at(c.worker) * rounds) as Micros;
            (wait, c.worker.endpoint.worker)
        });
        let (wait, worker) = waits.min()?;
        let is_in_time = wait < self.placement.objective_left;
        let beats_load = (wait as f64) < self.load_us + self.placement.work_us;
        (is_in_time && beats_load).then_some(worker)
    }

    /// The emptiest ready worker, uncongested, preferred and local ones first; ties by rank.
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

    /// The inspected endpoints without a believed instance, except one: the load target's own answer will show it.
    fn unknown_endpoints(&self, except: Option<WorkerId>) -> Vec<WorkerId> {
        let endpoints = self.preferred.first(self.fan_out.inspected);
        let unknown = endpoints.filter(|worker| !self.router.is_warm(&self.instance_at(worker)));
        unknown
            .map(|worker| worker.endpoint.worker)
            .filter(|worker| Some(*worker) != except)
            .collect()
    }
}

impl Router {
    /// Does the first that is possible of: query, short queue, wait for a load under way, load, give up.
    pub(super) fn start_cold(
        &mut self,
        placement: &PlacementRequest,
        plan: &ColdStart,
        out: &mut impl Decisions,
    ) {
        let id = placement.request.id;
        let function = placement.request.function;
        // Exception: before a load, the other endpoints are queried, as other routers' loads are not announced.
        if self.config.may_command_loads && self.query_instances(function, &plan.unknown, out) {
            return self.wait(id);
        }
        if let Some(worker) = plan.short_queue {
            return self.dispatch(id, worker, placement.work_us, out);
        }
        // Exception: a load under way is waited for, one request for each it can serve, before another is begun.
        if plan.is_load_underway {
            let is_late = placement.time_budget < placement.median_work_us as Micros;
            if !placement.is_hedge && is_late {
                return self.give_up(id, AnswerReason::WaitTooLong, out);
            }
            return self.wait(id);
        }
        match plan.load_target {
            None => self.wait_or_give_up(id, out),
            Some(target) if target.is_in_time => {
                self.load_for(placement, target.worker, plan.load_us, out);
            }
            Some(target) => {
                // Exception: what is called again is loaded, or loads longer than requests wait would never end.
                if plan.loads_for_followers {
                    self.command_load(target.worker, function, 1, out);
                }
                self.give_up(id, AnswerReason::LoadTooLong, out);
            }
        }
    }

    /// Loads the function for a request. Where a miss is answered and nothing may be commanded, other routers load: an
    /// instance may be there, and the worker is tried.
    fn load_for(
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
            return self.wait_or_give_up(id, out);
        }
        if !self.config.workers_answer_misses {
            self.functions
                .update_instance(function, worker, |instance| instance.is_loading = true);
        }
        self.dispatch(id, worker, placement.work_us + load_us, out);
    }

    /// Queries workers for instances of a function, if that is due; true while answers are outstanding.
    fn query_instances(
        &mut self,
        id: FunctionId,
        workers: &[WorkerId],
        out: &mut impl Decisions,
    ) -> bool {
        let now = self.now;
        let timeout = self.config.tightest_objective / POLLS_PER_OBJECTIVE;
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

    /// Queries one worker, if the query budget allows it and nothing is under way there.
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
        out.load(worker, id, 0);
    }
}
