//! The bounded set of workers considered for a request: those believed to have an instance, and the function's
//! preferred endpoints, which all routers rank alike.

use super::constants::{
    INSPECTED_ENDPOINTS, LOW_VALUE_LIMIT_FRACTION, MAX_WARM_CANDIDATES, MIN_PREFERRED,
    PREFERRED_ENDPOINTS, PREFERRED_LOAD_FRACTION,
};
use super::placement::PlacementRequest;
use super::Router;
use crate::lazy::LazyList;
use crate::state::{Function, InstanceState, PendingRequest, Worker};
use crate::statistics::{hash_of, tie_break, unit_interval};
use crate::{FunctionId, Micros, WorkerId};

/// A worker with the known or presumed state of the function there.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// The state of the function at the worker.
    pub instance: InstanceState,
}

/// How many endpoints are inspected for a function.
#[derive(Clone, Copy)]
pub(super) struct FanOut {
    /// Partitions of the function's requests, each with its own preferred endpoints.
    pub partitions: usize,
    /// Preferred endpoints of one partition.
    pub preferred: usize,
    /// Endpoints inspected for an instance, including fallbacks.
    pub inspected: usize,
}

/// Endpoints that may receive the request, in rank order.
type PreferredEndpoints<'a> = LazyList<Box<dyn Iterator<Item = &'a Worker> + 'a>>;

/// The workers considered for one request.
pub(super) struct Candidates<'a> {
    /// The router that places the request.
    pub router: &'a Router,
    /// The request to be placed.
    pub placement: &'a PlacementRequest,
    /// The requested function.
    pub function: &'a Function,
    /// The random number of this placement.
    pub random: u64,
    /// The expected load time, in microseconds.
    pub load_us: f64,
    /// How many endpoints are inspected.
    pub fan_out: FanOut,
    /// Workers believed to have an instance.
    pub warm: Vec<Candidate<'a>>,
    /// The function's preferred endpoints followed by its fallbacks, each found on demand: a pass over a large fleet
    /// for each request would be too expensive.
    pub preferred: PreferredEndpoints<'a>,
}

impl<'a> Candidates<'a> {
    /// Collects the workers believed to have an instance; preferred endpoints are ranked on demand.
    pub(super) fn new(
        router: &'a Router,
        placement: &'a PlacementRequest,
        pending: &'a PendingRequest,
        function: &'a Function,
        random: u64,
    ) -> Self {
        let work_us = placement.work_us;
        // Bounded for hot functions: some random idle instances, then those with the fewest requests in flight.
        let warm = function.warm_workers(random, MAX_WARM_CANDIDATES);
        let warm = warm.filter_map(|id| {
            Some(Candidate {
                worker: router.workers.get(&id)?,
                instance: function.instance(id),
            })
        });
        let warm = warm.filter(|candidate| {
            router.is_warm(&candidate.instance)
                && router.may_dispatch(pending, candidate.worker, work_us)
        });
        let warm = warm.collect();
        let fan_out = router.fan_out(function);
        let partition = random % fan_out.partitions as u64;
        let seed = hash_of((placement.request.function, partition));
        let preferred = router.preferred_endpoints(pending, seed, work_us);
        Candidates {
            router,
            placement,
            function,
            random,
            load_us: function.load_us * router.load_speed_factor_now(),
            fan_out,
            warm,
            preferred: LazyList::new(Box::new(preferred)),
        }
    }

    /// The state of the function at a worker.
    pub(super) fn instance_at(&self, worker: &Worker) -> InstanceState {
        self.function.instance(worker.endpoint.worker)
    }

    /// The expected time of the request at a worker, in microseconds.
    pub(super) fn work_at(&self, worker: &Worker) -> f64 {
        self.placement.work_us * worker.speed_factor_now(self.router.now)
    }

    /// Whether the worker's concurrency limit has capacity for the request. Under overload, requests of low value per
    /// unit of work do not get its last slots.
    pub(super) fn has_capacity(&self, worker: &Worker) -> bool {
        let limit_fraction = if self.placement.is_valuable {
            1.0
        } else {
            LOW_VALUE_LIMIT_FRACTION
        };
        self.router.has_capacity(worker, limit_fraction)
    }

    /// Whether a candidate may receive the request, immediately or queued behind others, and the expected work fits
    /// the time budget.
    pub(super) fn is_eligible(&self, candidate: &Candidate) -> bool {
        candidate.instance.backoff_until <= self.router.now
            && self.has_capacity(candidate.worker)
            && self.work_at(candidate.worker) as Micros <= self.placement.time_budget
    }

    /// Whether a candidate's instances run fewer requests of this router than they can at a time.
    pub(super) fn has_free_slot(&self, candidate: &Candidate) -> bool {
        let instance = &candidate.instance;
        instance.in_flight < self.function.concurrency * instance.instances
    }

    /// Whether a worker is in a different zone than this router.
    pub(super) fn is_remote(&self, worker: &Worker) -> bool {
        worker.endpoint.zone != self.router.config.local_zone
    }
}

impl Router {
    /// Whether an instance is believed to be loaded: while requests run on it, and until its keep-alive expires.
    pub(super) fn is_warm(&self, instance: &InstanceState) -> bool {
        instance.instances > 0 && (instance.in_flight > 0 || self.now < instance.expires_at)
    }

    /// Whether the retry policy and slow start allow an attempt at a worker.
    fn may_dispatch(&self, pending: &PendingRequest, to: &Worker, work_us: f64) -> bool {
        self.allows_attempt(pending, to) && self.slow_start_admits(to, pending.request.id, work_us)
    }

    /// The number of preferred endpoints of a function, in proportion to its part of this router's requests; a single
    /// request needs only the minimum. A function with many preferred endpoints is partitioned.
    fn fan_out(&self, function: &Function) -> FanOut {
        let fleet_size = self.ready_workers.len();
        let repeated_requests = (function.recent_requests - 1.0).max(0.0);
        let load_fraction = if self.config.workers_answer_misses {
            PREFERRED_LOAD_FRACTION / 2.0
        } else {
            PREFERRED_LOAD_FRACTION
        };
        let wanted =
            repeated_requests / self.recent_requests.max(1.0) * fleet_size as f64 / load_fraction;
        let preferred = (wanted.ceil() as usize).max(MIN_PREFERRED).min(fleet_size);
        let partitions = if preferred > 2 * PREFERRED_ENDPOINTS {
            preferred.div_ceil(PREFERRED_ENDPOINTS)
        } else {
            1
        };
        let preferred = preferred.div_ceil(partitions);
        // Fewer are inspected in a small fleet: inspecting most of it costs more than the instances found are worth.
        let fleet_size_root = (fleet_size as f64).sqrt().ceil() as usize;
        FanOut {
            partitions,
            preferred,
            inspected: preferred.max(fleet_size_root).min(2 * PREFERRED_ENDPOINTS),
        }
    }

    /// The endpoints that may receive a request, in an order that favors large workers and is the same in all
    /// routers, so that they share instances. The whole fleet is inspected only if hardly any of the first ones are
    /// allowed (within the scope of an idempotency key, or because few workers hold a readiness lease).
    pub(super) fn preferred_endpoints<'a>(
        &'a self,
        pending: &'a PendingRequest,
        seed: u64,
        work_us: f64,
    ) -> impl Iterator<Item = &'a Worker> + 'a {
        let may_dispatch = move |worker: &&Worker| self.may_dispatch(pending, worker, work_us);
        let ranked = move || {
            self.ready_workers
                .ranking(seed)
                .take(INSPECTED_ENDPOINTS)
                .filter_map(|id| self.workers.get(&WorkerId(id)))
                .filter(may_dispatch)
        };
        let is_retry = !pending.attempts.is_empty();
        let is_restricted = is_retry || self.are_endpoints_stale();
        let inspects_all = is_restricted && ranked().nth(MIN_PREFERRED - 1).is_none();
        let all = self.workers.values();
        ranked().chain(all.filter(move |worker| inspects_all && may_dispatch(worker)))
    }

    /// A random sort key. The worker with the smallest key is chosen with a probability proportional to its size
    /// divided by one plus its requests in flight.
    pub(super) fn weighted_random(&self, random: u64, worker: &Worker) -> f64 {
        let in_flight = 1.0 + worker.in_flight_per_size(self.now, self.fleet.medians.in_flight);
        let uniform = unit_interval(tie_break(FunctionId(random), worker.endpoint.worker));
        -uniform.ln() / worker.positive_size() * in_flight
    }
}
