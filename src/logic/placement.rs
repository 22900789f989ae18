//! Placement of one request: admission, candidates, the warm-first choice, a cold start, or a final answer.

use super::candidates::Candidates;
use super::cold_start::ColdStart;
use super::constants::{LATE_DECREASE, MAX_WARM_CANDIDATES};
use super::warm_first::WarmChoice;
use super::Router;
use crate::state::PendingRequest;
use crate::{AnswerReason, Decisions, Micros, Request, RequestId};

/// A request to be placed, with the inputs of its placement.
pub(super) struct PlacementRequest {
    /// The request.
    pub request: Request,
    /// When it arrived.
    pub arrived_at: Micros,
    /// The number of attempts so far.
    pub attempts: usize,
    /// Whether an attempt is in flight, so that another one is a hedge.
    pub is_hedge: bool,
    /// Whether the worker of its last attempt rejected it.
    pub was_last_rejected: bool,
    /// Its work without congestion, in microseconds.
    pub work_us: f64,
    /// Its expected time at the median worker, in microseconds.
    pub median_work_us: f64,
    /// The time left until its deadline.
    pub time_left: Micros,
    /// The time left of its latency objective.
    pub objective_left: Micros,
    /// The time within which it must be predicted to finish in order to be placed.
    pub time_budget: Micros,
    /// Whether its value per unit of work is not clearly below the mean.
    pub is_valuable: bool,
}

/// The result of choosing among the candidates.
pub(super) enum Choice {
    /// The endpoint list is stale and no worker that may receive an attempt holds a readiness lease.
    EndpointsStale,
    /// No worker may receive an attempt.
    NoWorker,
    /// An instance has free capacity.
    Warm(WarmChoice),
    /// No instance has free capacity.
    Cold(ColdStart),
}

impl Router {
    /// Dispatches a request, makes it wait, or gives its final answer.
    pub(super) fn place_request(&mut self, id: RequestId, out: &mut impl Decisions) {
        let pending = self.requests.get(&id);
        let Some(placement) = pending.and_then(|p| self.placement_request(p)) else {
            return;
        };
        if !self.admits(&placement) {
            return self.answer_unless_in_flight(id, AnswerReason::Overloaded, out);
        }
        let random = self.next_random();
        let now = self.now;
        let function = placement.request.function;
        self.functions
            .remove_expired(function, random, MAX_WARM_CANDIDATES, |instance| {
                instance.in_flight == 0 && instance.expires_at <= now
            });
        let Some(choice) = self.choose(&placement, random) else {
            return;
        };
        match choice {
            Choice::EndpointsStale if self.may_be_confirmed_soon() => {
                self.wait_or_answer(id, out);
            }
            Choice::EndpointsStale => {
                self.answer_unless_in_flight(id, AnswerReason::EndpointsStale, out)
            }
            Choice::NoWorker => self.answer_unless_in_flight(id, AnswerReason::NoWorker, out),
            Choice::Warm(choice) => self.dispatch_warm(&placement, &choice, out),
            Choice::Cold(cold_start) => self.handle_cold_start(&placement, &cold_start, out),
        }
    }

    /// The inputs of a request's placement; `None` if it already has as many attempts in flight as it may have.
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
            is_valuable: self.value_per_work(&request) >= least_value,
        })
    }

    fn choose(&self, placement: &PlacementRequest, random: u64) -> Option<Choice> {
        let pending = self.requests.get(&placement.request.id)?;
        let function = self.functions.get(placement.request.function)?;
        if self.have_all_leases_expired() {
            return Some(Choice::EndpointsStale);
        }
        if placement.attempts > 0 && !self.has_allowed_worker(pending) {
            return Some(Choice::NoWorker);
        }
        let candidates = Candidates::new(self, placement, pending, function, random);
        if let Some(choice) = candidates.choose_warm() {
            return Some(Choice::Warm(choice));
        }
        let cold_start = candidates.plan_cold_start();
        let may_be_without_lease = self.are_endpoints_stale() && !cold_start.has_worker();
        if may_be_without_lease && !self.has_allowed_worker(pending) {
            return Some(Choice::EndpointsStale);
        }
        Some(Choice::Cold(cold_start))
    }
}
