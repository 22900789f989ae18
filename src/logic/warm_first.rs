//! Warm-first choice: an instance with free capacity that is believed or presumed to be loaded.

use super::candidates::{Candidate, Candidates};
use super::constants::{MIN_PREFERRED, PREFERRED_ENDPOINTS};
use super::placement::PlacementRequest;
use super::Router;
use crate::state::{InstanceCommand, InstanceState, Worker};
use crate::{Decisions, Micros, WorkerId};

/// The worker chosen for a request.
pub(super) struct WarmChoice {
    worker: WorkerId,
    /// Another worker that is commanded to load the function for later requests.
    preload_worker: Option<WorkerId>,
}

impl Router {
    /// Dispatches a request to the chosen worker, after the load command for later requests.
    pub(super) fn dispatch_warm(
        &mut self,
        placement: &PlacementRequest,
        choice: &WarmChoice,
        out: &mut impl Decisions,
    ) {
        if let Some(worker) = choice.preload_worker {
            self.command_load(worker, placement.request.function, 1, out);
        }
        self.dispatch(placement.request.id, choice.worker, placement.work_us, out);
    }
}

impl<'a> Candidates<'a> {
    /// Chooses an instance with free capacity: one at an uncongested worker, in the local zone, and with the fewest
    /// requests of this router in flight, in this order. Ties are broken at random, in favor of large workers and of
    /// those that report few requests in flight; with hundreds of routers, most choices are ties.
    pub(super) fn choose_warm(&self) -> Option<WarmChoice> {
        let is_frequent = self.is_requested_often_elsewhere();
        let presumed = self.presumed_instances(is_frequent);
        let candidates = self.warm.iter().chain(&presumed);
        let candidates = candidates.filter(|c| self.is_eligible(c) && self.has_free_slot(c));
        let best = candidates.map(|c| c.worker).min_by_key(|worker| {
            let tie_break = self.router.weighted_random(self.random, worker).to_bits();
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
            preload_worker: self.preload_target(best, is_frequent),
        })
    }

    /// A sort key by which ties are broken before the random choice; equal for all workers unless readiness leases
    /// will be needed. Exception: in that case the worker whose lease expires first is chosen, so that traffic renews
    /// as many leases as possible.
    fn lease_rank(&self, worker: &Worker) -> Micros {
        if self.router.will_need_leases() {
            worker.accepted_at
        } else {
            0
        }
    }

    /// Whether the other routers, if they dispatch as this one does, send many requests to each preferred endpoint in
    /// one keep-alive.
    fn is_requested_often_elsewhere(&self) -> bool {
        let other_routers = f64::from(self.router.config.router_count) - 1.0;
        let partitions = self.fan_out.partitions as f64;
        let requests = other_routers * self.function.recent_requests / partitions;
        requests >= (self.fan_out.preferred * self.fan_out.preferred) as f64
    }

    /// Exception: preferred endpoints are presumed to have an instance if other routers request the function often,
    /// since among many routers each knows of few instances. Otherwise the endpoints are queried instead.
    fn presumed_instances(&self, is_frequent: bool) -> Vec<Candidate<'a>> {
        let router = self.router;
        let preferred_count = self.fan_out.preferred;
        let needs_spreading = preferred_count > MIN_PREFERRED
            || self.warm.iter().all(|c| router.is_congested(c.worker));
        // Under overload, a wrong presumption costs more than the congestion of an instance believed to be loaded.
        let has_believed_instance = self
            .warm
            .iter()
            .any(|c| self.is_eligible(c) && self.has_free_slot(c));
        let should_presume =
            is_frequent && needs_spreading && !(has_believed_instance && router.is_overloaded());
        // A wrong presumption costs a cold miss or else a load, which must finish in time as well.
        let load_and_work = (self.load_us + self.placement.work_us) as Micros;
        let has_time =
            router.config.workers_answer_misses || load_and_work <= self.placement.time_left;
        if !should_presume || !has_time {
            return Vec::new();
        }
        // A congested endpoint with a queue does not count, and the next one is added in its place. Otherwise all
        // routers would fill the first two endpoints of a hot function.
        let mut uncongested = 0;
        let endpoints = self.preferred.first(self.presumption_limit());
        let endpoints = endpoints.take_while(|worker| {
            let is_congested_with_queue =
                router.is_congested(worker) && router.may_have_queue(worker);
            uncongested += usize::from(!is_congested_with_queue);
            uncongested <= preferred_count
        });
        endpoints.filter_map(|w| self.presume_instance(w)).collect()
    }

    /// The number of endpoints inspected for presumed instances. Where a wrong presumption costs a load, it includes
    /// at most one fallback for each preferred endpoint.
    fn presumption_limit(&self) -> usize {
        if self.router.config.workers_answer_misses {
            self.fan_out.inspected
        } else {
            self.fan_out.inspected.min(2 * self.fan_out.preferred)
        }
    }

    /// Presumes one instance at a worker that has warmed up, unless something to the contrary is known.
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

    /// The worker that is commanded to load the function for later requests. Exception: this is a preferred endpoint
    /// that was found without an instance or, if the best worker is congested, the next uncongested endpoint.
    fn preload_target(&self, best: &Worker, is_frequent: bool) -> Option<WorkerId> {
        let router = self.router;
        if !is_frequent || router.are_loads_congested() {
            return None;
        }
        let preferred_count = self.fan_out.preferred;
        let needs_another_instance = router.is_congested(best)
            && self.function.recent_requests > 2.0
            && self.pending_load_capacity() == 0;
        let limit = if needs_another_instance {
            2 * PREFERRED_ENDPOINTS
        } else {
            preferred_count
        };
        let mut endpoints = self.preferred.first(limit).enumerate();
        let target = endpoints.find(|(rank, worker)| {
            let instance = self.instance_at(worker);
            let was_missing = instance.missing_until > router.now;
            let is_needed =
                *rank < preferred_count && preferred_count > MIN_PREFERRED && was_missing;
            let can_load = instance.command.is_none()
                && instance.backoff_until <= router.now
                && !router.is_warm(&instance);
            (is_needed || needs_another_instance) && can_load && !router.is_congested(worker)
        });
        target.map(|(_, worker)| worker.endpoint.worker)
    }

    /// The number of requests that can run concurrently on the instances being loaded, assuming one per load.
    pub(super) fn pending_load_capacity(&self) -> usize {
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
