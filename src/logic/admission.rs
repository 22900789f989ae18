//! Admission and load shedding: which requests are placed at all.

use super::placement::PlacementRequest;
use super::Router;
use crate::statistics::{hash_of, unit_interval};
use crate::{Micros, Request};

impl Router {
    /// The latency objective of a request as of its arrival. A client's retry has already used up part of it: the
    /// elapsed part of its time limit, and at least half of the objective.
    pub(super) fn remaining_objective(&self, request: &Request, arrived_at: Micros) -> Micros {
        let workload = self.workload(request.workload);
        let objective = workload.latency_objective;
        if !request.is_retry {
            return objective;
        }
        let remaining = objective - workload.time_limit + request.deadline - arrived_at;
        remaining.clamp(0, objective / 2)
    }

    /// The time within which a request must be predicted to finish. Under overload this is the latency objective,
    /// since a late answer has little value and delays the next one. Where workers answer cold misses, requests wait
    /// for loads in the router and delay no others, so congested loads alone do not reduce the budget.
    pub(super) fn time_budget(&self, time_left: Micros, objective_left: Micros) -> Micros {
        let do_loads_delay_requests =
            !self.config.workers_answer_misses && self.are_loads_congested();
        if self.is_overloaded() || do_loads_delay_requests {
            objective_left
        } else {
            time_left
        }
    }

    /// Whether a request is placed: it can still be in time, is not shed, and has attempts and retries left.
    pub(super) fn admits(&self, placement: &PlacementRequest) -> bool {
        let is_ineligible = placement.time_left <= placement.median_work_us as Micros
            || placement.attempts >= self.config.max_attempts;
        !is_ineligible && !self.sheds(placement) && !self.has_exhausted_retries(placement)
    }

    /// Load shedding, which also covers overload that no single worker shows: the admitted fraction follows late
    /// answers and rejections, and requests of low value are shed first. Without a recent load report, requests are
    /// admitted so that their answers bring new ones.
    fn sheds(&self, placement: &PlacementRequest) -> bool {
        let is_new = placement.arrived_at == self.now && placement.attempts == 0;
        let random = unit_interval(hash_of((self.seed, placement.request.id)));
        let penalty = if placement.is_valuable { 0.0 } else { 1.0 };
        let admitted_fraction = 2.0 * self.admitted_fraction - penalty;
        is_new && self.is_overloaded() && random > admitted_fraction && self.fleet.has_recent_report
    }

    /// Whether the retry budget for requests rejected under overload is used up. Without this limit, requests tried
    /// one full worker after another, with six times as many attempts as finished requests.
    fn has_exhausted_retries(&self, placement: &PlacementRequest) -> bool {
        let has_budget = placement.is_valuable && self.retry_budget >= 1.0;
        placement.was_last_rejected && !placement.is_hedge && self.is_overloaded() && !has_budget
    }
}
