//! Admission and load shedding: which requests are placed at all.

use super::placement::PlacementRequest;
use super::Router;
use crate::statistics::{hash_of, unit_interval};
use crate::{Micros, Request};

impl Router {
    /// The latency objective of a request as it arrived. A client's retry has used up part of it before: what has gone
    /// of its time limit, and half of the objective at least.
    pub(super) fn remaining_objective(&self, request: &Request, arrived_at: Micros) -> Micros {
        let workload = self.workload(request.workload);
        let objective = workload.latency_objective;
        if !request.is_retry {
            return objective;
        }
        let remaining = objective - workload.time_limit + request.deadline - arrived_at;
        remaining.clamp(0, objective / 2)
    }

    /// The time within which a request must be predicted to end. Under overload that is its latency objective, as a late
    /// answer is worth little and makes the next one late. Where workers answer misses, who waits for a load waits here
    /// and is in nobody's way, so congested loads alone do not count.
    pub(super) fn time_budget(&self, time_left: Micros, objective_left: Micros) -> Micros {
        let do_loads_block = !self.config.workers_answer_misses && self.are_loads_congested();
        if self.is_overloaded() || do_loads_block {
            objective_left
        } else {
            time_left
        }
    }

    /// Whether a request is placed: it can be in time, is not shed, and has retries left.
    pub(super) fn admits(&self, placement: &PlacementRequest) -> bool {
        let is_hopeless = placement.time_left <= placement.median_work_us as Micros
            || placement.attempts >= self.config.max_attempts;
        !is_hopeless && !self.sheds(placement) && !self.has_exhausted_retries(placement)
    }

    /// Load shedding. Guards against overload that no single worker shows: the share that is admitted follows from late
    /// answers and rejections, and requests of little value are shed first. If no report came for long, a request is
    /// admitted to find out.
    fn sheds(&self, placement: &PlacementRequest) -> bool {
        let is_new = placement.arrived_at == self.now && placement.attempts == 0;
        let draw = unit_interval(hash_of((self.seed, placement.request.id)));
        let penalty = if placement.is_valuable { 0.0 } else { 1.0 };
        let admitted_fraction = 2.0 * self.admitted_fraction - penalty;
        is_new && self.is_overloaded() && draw > admitted_fraction && self.fleet.has_recent_report
    }

    /// Guards against requests that try one full worker after the other, six times what is finished.
    fn has_exhausted_retries(&self, placement: &PlacementRequest) -> bool {
        let has_budget = placement.is_valuable && self.retry_budget >= 1.0;
        placement.was_last_rejected && !placement.is_hedge && self.is_overloaded() && !has_budget
    }
}
