//! What is currently known about one worker: readiness, speed factor, load report and concurrency limit.

use super::constants::{
    BASELINE_RISE_US, BUSY_CORES_THRESHOLD, EWMA_WEIGHT, LIMIT_DECREASE, MAX_FAILURE_SCORE,
    REPORT_DECAY_US, SPEED_FACTOR_DECAY_US,
};
use crate::state::Worker;
use crate::statistics::decayed;
use crate::{FunctionId, Micros, WorkerState};

impl Worker {
    /// Whether it is listed as ready and not ejected.
    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == WorkerState::Ready && !self.is_ejected
    }

    /// Its size as a divisor, never zero.
    pub(super) fn positive_size(&self) -> f64 {
        self.endpoint.size.max(f64::MIN_POSITIVE)
    }

    /// The speed factor at present, decayed towards its baseline.
    pub(super) fn speed_factor_now(&self, now: Micros) -> f64 {
        decayed(
            self.speed_factor,
            self.baseline_speed_factor,
            now - self.speed_factor_at,
            SPEED_FACTOR_DECAY_US,
        )
    }

    /// Recent latency as a multiple of the latency without congestion.
    pub(super) fn congestion(&self, now: Micros) -> f64 {
        self.speed_factor_now(now) / self.baseline_speed_factor
    }

    /// Records the speed factor observed in one answer.
    pub(super) fn observe_speed_factor(&mut self, now: Micros, observed: f64) {
        let elapsed = (now - self.speed_factor_at) as f64;
        let risen_baseline = self.baseline_speed_factor * (1.0 + elapsed / BASELINE_RISE_US);
        self.speed_factor = self.speed_factor_now(now);
        self.speed_factor += EWMA_WEIGHT / 2.0 * (observed - self.speed_factor);
        self.speed_factor_at = now;
        self.observation_count += 1.0;
        let weight = (1.0 / self.observation_count).max(EWMA_WEIGHT / 10.0);
        self.long_run_speed_factor += (observed - self.long_run_speed_factor) * weight;
        self.baseline_speed_factor = if self.observation_count * EWMA_WEIGHT < 4.0 {
            self.long_run_speed_factor
        } else {
            risen_baseline.min(self.long_run_speed_factor)
        };
    }

    /// Requests of all routers in flight here, per unit of size; an old report decays towards the fleet median.
    pub(super) fn in_flight_per_size(&self, now: Micros, median: f64) -> f64 {
        let unknown = median * self.endpoint.size;
        let reported = self.report.in_flight.unwrap_or(unknown) / self.positive_size();
        decayed(reported, median, now - self.reported_at, REPORT_DECAY_US)
    }

    /// The fraction of reported requests that is queued. If that is not reported, 1 if nearly all cores are busy,
    /// otherwise 0. If requests start loads, a load in progress is a queued request that does not wait for a core, and
    /// is subtracted.
    pub(super) fn queued_fraction(&self, requests_start_loads: bool) -> Option<f64> {
        let loads = self.report.loads_in_progress;
        let loads = loads.filter(|_| requests_start_loads).unwrap_or(0.0);
        let queued = self.report.queued.zip(self.report.in_flight);
        let fraction = queued.map(|(queued, in_flight)| (queued - loads) / in_flight.max(1.0));
        let busy = self.report.busy.map(|busy| busy > BUSY_CORES_THRESHOLD);
        fraction.or(busy.map(|busy| f64::from(u8::from(busy))))
    }

    /// The fraction of requests that wait for a core. Zero while cores are idle, so that a cold fleet does not count
    /// as overloaded: its requests wait for an instance or a load, and rejecting others would free nothing.
    pub(super) fn fraction_queued_for_cores(&self, requests_start_loads: bool) -> Option<f64> {
        let has_idle_cores = self
            .report
            .busy
            .is_some_and(|busy| busy <= BUSY_CORES_THRESHOLD);
        self.queued_fraction(requests_start_loads)
            .map(|fraction| if has_idle_cores { 0.0 } else { fraction })
    }

    /// Cuts the concurrency limit, at most once in the duration of a request, since requests dispatched before the
    /// cut still affect latencies.
    pub(super) fn cut_concurrency_limit(&mut self, now: Micros, work_us: f64) {
        if now >= self.limit_cut_at + (work_us * self.speed_factor) as Micros {
            self.limit_cut_at = now;
            self.concurrency_limit = (self.concurrency_limit * LIMIT_DECREASE).max(1.0);
        }
    }

    /// Records an error. Repeated errors lead to an exponential backoff: a worker that fails all requests immediately
    /// would otherwise always have the fewest in flight. A single function that fails may itself be at fault.
    pub(super) fn record_error(&mut self, now: Micros, function: FunctionId, work_us: f64) {
        if self.failure_score != 1 || self.last_failed_function != function {
            self.failure_score = (self.failure_score + 1).min(MAX_FAILURE_SCORE);
        }
        let backoff_us = if self.failure_score > 1 {
            work_us * f64::from(1 << self.failure_score) / 2.0
        } else {
            0.0
        };
        self.last_failed_function = function;
        self.backoff_until = self.backoff_until.max(now + backoff_us as Micros);
    }

    /// Records that the worker has responded in any way.
    pub(super) fn record_response(&mut self, now: Micros) {
        self.last_response_at = now;
        self.unanswered_check_at = None;
        self.unanswered_checks = 0;
        self.is_ejected = false;
    }
}
