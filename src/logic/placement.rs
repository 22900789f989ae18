//! Placement of one request, step by step: admission, candidates, the warm-first choice, a cold start, or rejection.

use super::candidates::Candidates;
use super::cold_start::ColdStart;
use super::constants::{LATE_DECREASE, MAX_WARM_CANDIDATES};
use super::warm_first::WarmChoice;
use super::Router;
use crate::state::PendingRequest;
use crate::{AnswerReason, Decisions, Micros, Request, RequestId};

/// A request to be placed, with what its placement depends on.
pub(super) struct PlacementRequest {
    /// The request.
    pub request: Request,
    /// When it arrived.
    pub arrived_at: Micros,
    /// Attempts that it has had.
    pub attempts: usize,
    /// Whether an attempt is in flight, so that another one is a hedge.
    pub is_hedge: bool,
    /// Whether the worker of its last attempt rejected it.
    pub was_last_rejected: bool,
    /// Its work without congestion, in microseconds.
    pub work_us: f64,
    /// Its work at the median worker, in microseconds.
    pub median_work_us: f64,
    /// The time left until its client gives up.
    pub time_left: Micros,
    /// The time left of its latency objective.
    pub objective_left: Micros,
    /// The time within which it must be predicted to end in order to be placed.
    pub time_budget: Micros,
    /// Whether its value for its work is not below the mean.
    pub is_valuable: bool,
}

/// The choice made among the candidates.
pub(super) enum Choice {
    /// The endpoint list is stale and no worker holds a readiness lease.
    EndpointsStale,
    /// No worker may get an attempt.
    NoWorker,
    /// An instance with capacity.
    Warm(WarmChoice),
    /// No instance has capacity.
    Cold(ColdStart),
}

impl Router {
    /// Dispatches a request, has it wait, or answers it.
    pub(super) fn place_request(&mut self, id: RequestId, out: &mut impl Decisions) {
        let pending = self.requests.get(&id);
        let Some(placement) = pending.and_then(|p| self.placement_request(p)) else {
            return;
        };
        if !self.admits(&placement) {
            return self.give_up(id, AnswerReason::Overloaded, out);
        }
        let draw = self.random_draw();
        let now = self.now;
        let function = placement.request.function;
        self.functions
            .remove_expired(function, draw, MAX_WARM_CANDIDATES, |instance| {
                instance.in_flight == 0 && instance.expires_at <= now
            });
        let Some(choice) = self.choose(&placement, draw) else {
            return;
        };
        match choice {
            Choice::EndpointsStale if self.may_be_confirmed_soon() => {
                self.wait_or_give_up(id, out);
            }
            Choice::EndpointsStale => self.give_up(id, AnswerReason::EndpointsStale, out),
            Choice::NoWorker => self.give_up(id, AnswerReason::NoWorker, out),
            Choice::Warm(choice) => self.dispatch_warm(&placement, &choice, out),
            Choice::Cold(cold_start) => self.start_cold(&placement, &cold_start, out),
        }
    }

    /// What a request's placement depends on; none if no other attempt may be in flight beside those that are.
    fn placement_request(&self, pending: &PendingRequest) -> Option<PlacementRequest> {
        let request = pending.request;
        let in_flight = pending.in_flight();
        if in_flight > 1 || (in_flight == 1 && !self.may_hedge(&request)) {
            return None;
        }
        let work_us = self.expected_work(&request);
        let time_left = request.deadline - self.now;
        let objective = self.remaining_objective(&request, pending.arrived_at);
        let objective_left = (pending.arrived_at + objective - self.now).min(time_left);
        let least_value = self.mean_value * (1.0 - LATE_DECREASE);
        Some(PlacementRequest {
            request,
            arrived_at: pending.arrived_at,
            attempts: pending.attempts.len(),
            is_hedge: in_flight > 0,
            was_last_rejected: pending.was_last_rejected(),
            work_us,
            median_work_us: work_us * self.fleet.medians.speed_factor,
            time_left,
            objective_left,
            time_budget: self.time_budget(time_left, objective_left),
            is_valuable: self.value_for_work(&request) >= least_value,
        })
    }

    fn choose(&self, placement: &PlacementRequest, draw: u64) -> Option<Choice> {
        let pending = self.requests.get(&placement.request.id)?;
        let function = self.functions.get(placement.request.function)?;
        if self.has_no_lease() {
            return Some(Choice::EndpointsStale);
        }
        if placement.attempts > 0 && !self.has_allowed_worker(pending) {
            return Some(Choice::NoWorker);
        }
        let candidates = Candidates::new(self, placement, pending, function, draw);
        let choice = match candidates.choose_warm() {
            Some(choice) => Choice::Warm(choice),
            None => Choice::Cold(candidates.plan_cold_start()),
        };
        Some(choice)
    }
}
