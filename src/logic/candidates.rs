//! The bounded set of workers that a request is placed among: those with an instance, and the function's preferred
//! endpoints, which all routers rank alike.

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

/// A worker and what is known, or presumed, of the function there.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// The function there.
    pub instance: InstanceState,
}

/// How many endpoints are inspected for a function.
#[derive(Clone, Copy)]
pub(super) struct FanOut {
    /// Parts that the function's requests are split into, each with preferred endpoints of its own.
    pub partitions: usize,
    /// Preferred endpoints of one part.
    pub preferred: usize,
    /// Endpoints inspected for an instance, fallbacks included.
    pub inspected: usize,
}

/// Endpoints that may get the request, by rank.
type PreferredEndpoints<'a> = LazyList<Box<dyn Iterator<Item = &'a Worker> + 'a>>;

/// The workers that one request is placed among.
pub(super) struct Candidates<'a> {
    /// The router that decides.
    pub router: &'a Router,
    /// The request to be placed.
    pub placement: &'a PlacementRequest,
    /// The function that it calls.
    pub function: &'a Function,
    /// The random draw of this placement.
    pub draw: u64,
    /// The expected time of a load, in microseconds.
    pub load_us: f64,
    /// How many endpoints are inspected.
    pub fan_out: FanOut,
    /// Workers that are believed to have an instance.
    pub warm: Vec<Candidate<'a>>,
    /// The function's preferred endpoints and then its fallbacks. Guards against a pass over a large fleet for each
    /// request: the next one is found when it is needed.
    pub preferred: PreferredEndpoints<'a>,
}

impl<'a> Candidates<'a> {
    /// Collects the workers that are believed to have an instance; the preferred endpoints are ranked when needed.
    pub(super) fn new(
        router: &'a Router,
        placement: &'a PlacementRequest,
        pending: &'a PendingRequest,
        function: &'a Function,
        draw: u64,
    ) -> Self {
        let work_us = placement.work_us;
        // Of the many instances of a hot function, some idle ones drawn and those with the fewest requests in flight.
        let warm = function.warm_workers(draw, MAX_WARM_CANDIDATES);
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
        let partition = draw % fan_out.partitions as u64;
        let seed = hash_of((placement.request.function, partition));
        let preferred = router.preferred_endpoints(pending, seed, work_us);
        Candidates {
            router,
            placement,
            function,
            draw,
            load_us: function.load_us * router.load_speed_factor_now(),
            fan_out,
            warm,
            preferred: LazyList::new(Box::new(preferred)),
        }
    }

    /// What is known of the function at a worker.
    pub(super) fn instance_at(&self, worker: &Worker) -> InstanceState {
        self.function.instance(worker.endpoint.worker)
    }

    /// The expected time of the request at a worker, in microseconds.
    pub(super) fn work_at(&self, worker: &Worker) -> f64 {
        self.placement.work_us * worker.speed_factor_now(self.router.now)
    }

    /// Whether the worker's concurrency limit leaves room for the request. Under overload, requests of less value for
    /// their work may not fill its last places.
    pub(super) fn has_capacity(&self, worker: &Worker) -> bool {
        let limit_fraction = if self.placement.is_valuable {
            1.0
        } else {
            LOW_VALUE_LIMIT_FRACTION
        };
        self.router.has_capacity(worker, limit_fraction)
    }

    /// Whether the request may run on an instance now or after others, within its time budget.
    pub(super) fn is_open(&self, candidate: &Candidate) -> bool {
        candidate.instance.backoff_until <= self.router.now
            && self.has_capacity(candidate.worker)
            && self.work_at(candidate.worker) as Micros <= self.placement.time_budget
    }

    /// Whether an instance runs fewer requests of this router than it can at a time.
    pub(super) fn is_free(&self, candidate: &Candidate) -> bool {
        let instance = &candidate.instance;
        instance.in_flight < self.function.concurrency * instance.instances
    }

    /// Whether a worker is in another zone than this router.
    pub(super) fn is_remote(&self, worker: &Worker) -> bool {
        worker.endpoint.zone != self.router.config.local_zone
    }
}

impl Router {
    /// An instance is believed to be loaded while requests run on it and, after the last, for the keep-alive.
    pub(super) fn is_warm(&self, instance: &InstanceState) -> bool {
        instance.instances > 0 && (instance.in_flight > 0 || self.now < instance.expires_at)
    }

    /// Whether retry policy and slow start allow an attempt at a worker.
    fn may_dispatch(&self, pending: &PendingRequest, to: &Worker, work_us: f64) -> bool {
        self.allows_attempt(pending, to) && self.slow_start_admits(to, pending.request.id, work_us)
    }

    /// How many preferred endpoints a function needs by its share of this router's requests; a single call needs no
    /// more than the least number. A function with many is split into parts.
    fn fan_out(&self, function: &Function) -> FanOut {
        let fleet = self.ready_workers.len();
        let repeated_calls = (function.recent_requests - 1.0).max(0.0);
        let fraction_each = if self.config.workers_answer_misses {
            PREFERRED_LOAD_FRACTION / 2.0
        } else {
            PREFERRED_LOAD_FRACTION
        };
        let wanted = repeated_calls / self.recent_requests.max(1.0) * fleet as f64 / fraction_each;
        let preferred = (wanted.ceil() as usize).max(MIN_PREFERRED).min(fleet);
        let partitions = if preferred > 2 * PREFERRED_ENDPOINTS {
            preferred.div_ceil(PREFERRED_ENDPOINTS)
        } else {
            1
        };
        let preferred = preferred.div_ceil(partitions);
        // In a small fleet, fewer: to inspect most of it for an instance costs more than it finds.
        let fleet_root = (fleet as f64).sqrt().ceil() as usize;
        FanOut {
            partitions,
            preferred,
            inspected: preferred.max(fleet_root).min(2 * PREFERRED_ENDPOINTS),
        }
    }

    /// The endpoints that may get a request, in an order that favours large workers and that all routers agree on, so
    /// that they share instances. Only if hardly any of the first ones may be called (in the scope of an idempotency
    /// key, or as few workers hold a readiness lease), the whole fleet is inspected.
    fn preferred_endpoints<'a>(
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

    /// A random draw by which the least of several workers is each with a probability in proportion to its size over
    /// its requests in flight.
    pub(super) fn weighted_random(&self, draw: u64, worker: &Worker) -> f64 {
        let in_flight = 1.0 + worker.in_flight_per_size(self.now, self.fleet.medians.in_flight);
        let uniform = unit_interval(tie_break(FunctionId(draw), worker.endpoint.worker));
        -uniform.ln() / worker.positive_size() * in_flight
    }
}
