//! The warm-first choice: an instance with capacity, believed or presumed to be loaded.

use super::candidates::{Candidate, Candidates};
use super::constants::{MIN_PREFERRED, PREFERRED_ENDPOINTS};
use super::placement::PlacementRequest;
use super::Router;
use crate::state::{InstanceCommand, InstanceState, Worker};
use crate::{Decisions, Micros, WorkerId};

/// The worker that gets a request.
pub(super) struct WarmChoice {
    worker: WorkerId,
    /// Another worker that is to load the function for the requests that follow.
    load_ahead_at: Option<WorkerId>,
}

impl Router {
    /// Dispatches a request to the chosen instance, after the load command for later requests.
    pub(super) fn dispatch_warm(
        &mut self,
        placement: &PlacementRequest,
        choice: &WarmChoice,
        out: &mut impl Decisions,
    ) {
        if let Some(worker) = choice.load_ahead_at {
            self.command_load(worker, placement.request.function, 1, out);
        }
        self.dispatch(placement.request.id, choice.worker, placement.work_us, out);
    }
}

impl<'a> Candidates<'a> {
    /// The instance with capacity at an uncongested worker, in the local zone, with the fewest requests of this router in
    /// flight, in this order. Ties are random in proportion to a worker's size and to how little it reports to have in
    /// flight: with hundreds of routers most are ties.
    pub(super) fn choose_warm(&self) -> Option<WarmChoice> {
        let is_frequent = self.has_frequent_calls_elsewhere();
        let presumed = self.presumed_instances(is_frequent);
        let free = self.warm.iter().chain(&presumed);
        let free = free.filter(|c| self.is_open(c) && self.is_free(c));
        let best = free.map(|c| c.worker).min_by_key(|worker| {
            let tie_break = self.router.weighted_random(self.draw, worker).to_bits();
            (
                self.router.is_congested(worker),
                self.is_remote(worker),
                worker.in_flight,
                self.lease_rank(worker),
                tie_break,
            )
        })?;
        Some(WarmChoice {
            worker: best.endpoint.worker,
            load_ahead_at: self.load_ahead_target(best, is_frequent),
        })
    }

    /// Exception: where readiness leases will be needed, ties go to the worker whose readiness lease ends first, so that use
    /// renews as many leases as it can.
    fn lease_rank(&self, worker: &Worker) -> Micros {
        if self.router.will_need_leases() {
            worker.accepted_at
        } else {
            0
        }
    }

    /// Whether the other routers, if they dispatch as this one does, call each preferred endpoint many times in a
    /// keep-alive.
    fn has_frequent_calls_elsewhere(&self) -> bool {
        let other_routers = f64::from(self.router.config.router_count) - 1.0;
        let partitions = self.fan_out.partitions as f64;
        let calls = other_routers * self.function.recent_requests / partitions;
        calls >= (self.fan_out.preferred * self.fan_out.preferred) as f64
    }

    /// Exception: preferred endpoints that are presumed to have an instance. Guards against each router's knowing little
    /// where there are many. Preferred endpoints of a function that is called often here are queried instead.
    fn presumed_instances(&self, is_frequent: bool) -> Vec<Candidate<'a>> {
        let router = self.router;
        let width = self.fan_out.preferred;
        let is_spread =
            width > MIN_PREFERRED || self.warm.iter().all(|c| router.is_congested(c.worker));
        // Under overload, a wrong presumption costs more than the congestion of a believed instance.
        let has_believed = self.warm.iter().any(|c| self.is_open(c) && self.is_free(c));
        let presumes = is_frequent && is_spread && !(has_believed && router.is_overloaded());
        // A wrong presumption costs a miss, or else a load, which must end in time as well.
        let with_load = (self.load_us + self.placement.work_us) as Micros;
        let has_time = router.config.workers_answer_misses || with_load <= self.placement.time_left;
        if !presumes || !has_time {
            return Vec::new();
        }
        // A congested endpoint with a queue does not count: the next one stands in. Guards against all routers filling a
        // hot function's first two endpoints.
        let mut uncongested = 0;
        let endpoints = self.preferred.first(self.presumption_limit());
        let endpoints = endpoints.take_while(|worker| {
            let is_full = router.is_congested(worker) && router.may_have_queue(worker);
            uncongested += usize::from(!is_full);
            uncongested <= width
        });
        endpoints.filter_map(|w| self.presume_instance(w)).collect()
    }

    /// Endpoints inspected for presumed instances: at most one fallback for each where a wrong presumption costs a load.
    fn presumption_limit(&self) -> usize {
        if self.router.config.workers_answer_misses {
            self.fan_out.inspected
        } else {
            self.fan_out.inspected.min(2 * self.fan_out.preferred)
        }
    }

    /// A warm worker of which nothing to the contrary is known is presumed to have one instance.
    fn presume_instance(&self, worker: &'a Worker) -> Option<Candidate<'a>> {
        let instance = self.instance_at(worker);
        let may_be_loaded = instance.missing_until <= self.router.now
            && !instance.is_loading
            && !self.router.is_warm(&instance);
        let is_warmed_up = || self.router.slow_start_budget(worker).is_none();
        (may_be_loaded && is_warmed_up()).then_some(Candidate {
            worker,
            instance: InstanceState {
                instances: 1,
                ..instance
            },
        })
    }

    /// Exception: a preferred endpoint that was found without an instance is to load one for the requests that follow; so
    /// is the next uncongested one if the best worker is congested.
    fn load_ahead_target(&self, best: &Worker, is_frequent: bool) -> Option<WorkerId> {
        let router = self.router;
        if !is_frequent || router.are_loads_congested() {
            return None;
        }
        let width = self.fan_out.preferred;
        let spreads = router.is_congested(best)
            && self.function.recent_requests > 2.0
            && self.load_capacity_underway() == 0;
        let limit = if spreads {
            2 * PREFERRED_ENDPOINTS
        } else {
            width
        };
        let mut endpoints = self.preferred.first(limit).enumerate();
        let target = endpoints.find(|(rank, worker)| {
            let instance = self.instance_at(worker);
            let was_missing = instance.missing_until > router.now;
            let is_needed = *rank < width && width > MIN_PREFERRED && was_missing;
            let can_load = instance.command.is_none()
                && instance.backoff_until <= router.now
                && !router.is_warm(&instance);
            (is_needed || spreads) && can_load && !router.is_congested(worker)
        });
        target.map(|(_, worker)| worker.endpoint.worker)
    }

    /// Requests that the loads under way will serve at a time, counting one instance a load.
    pub(super) fn load_capacity_underway(&self) -> usize {
        let pending = self.function.pending_workers.iter();
        let loads = pending.filter(|id| {
            let instance = self.function.instance(**id);
            let worker = self.router.workers.get(id);
            let is_loading = instance.is_loading && worker.is_some_and(|w| !w.is_ejected);
            is_loading || instance.command == Some(InstanceCommand::Load)
        });
        loads.count() * self.function.concurrency as usize
    }
}
