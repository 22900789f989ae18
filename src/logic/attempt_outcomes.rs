//! Learns from the outcome of an attempt: instances, latencies, work, and the worker's concurrency limit.

use super::constants::{
    CONGESTION_FACTOR, EWMA_WEIGHT, INITIAL_WORK_FRACTION, IN_TIME_MARGIN, LIMIT_INCREASE,
    MAX_SPEED_FACTOR, OVERLOAD_FACTOR,
};
use super::estimates::work_hint;
use super::Router;
use crate::state::{Attempt, Function, HintCalibration, InstanceState, RunningMean, Worker};
use crate::{AttemptResult, Micros, Outcome, Request, Warmth};

/// The latency of a request that was served by a loaded instance without waiting for others.
struct ServedRequest {
    now: Micros,
    latency_us: f64,
    expected_us: f64,
    uncorrected_us: f64,
    objective_us: f64,
    has_hint: bool,
}

impl Router {
    /// Learns from the outcome of an attempt that was in flight.
    pub(super) fn learn_from_result(
        &mut self,
        request: &Request,
        result: &AttemptResult,
        attempt: &Attempt,
    ) {
        let now = self.now;
        let latency_us = result.latency as f64;
        let expected_us = self.expected_work(request);
        let served = ServedRequest {
            now,
            latency_us,
            expected_us,
            uncorrected_us: self.uncorrected_work(request),
            objective_us: self.latency_objective(request.workload) as f64,
            has_hint: work_hint(request).is_some(),
        };
        let Some(worker) = self.workers.get_mut(&result.worker) else {
            return;
        };
        let Some(function) = self.functions.get_mut(request.function) else {
            return;
        };
        let mut instance = function.instance(result.worker);
        instance.in_flight = instance.in_flight.saturating_sub(1);
        let mut observed_load_us = None;
        match result.outcome {
            Outcome::Finished => {
                instance.instances = instance.instances.max(1);
                instance.expires_at = now + self.config.keep_alive;
                instance.is_loading = false;
                function.last_warm_worker = Some(result.worker);
                worker.failure_score /= 2;
                if result.warmth == Warmth::StartedLoad {
                    instance.instances = 1;
                    let load_us = latency_us - expected_us;
                    observed_load_us = Some(load_us.max(latency_us * INITIAL_WORK_FRACTION));
                } else if is_work_only(result, attempt) {
                    let usual = self.workload_work.entry(request.workload).or_default();
                    let calibration = &mut self.hint_calibration;
                    learn_work(&served, worker, function, usual, calibration);
                    adjust_concurrency_limit(&served, worker, function);
                }
            }
            // Waited for a load that did not come. Guards against load queues that are not reported.
            Outcome::TimedOut if instance.instances == 0 => {
                instance.is_loading = false;
                instance.missing_until = now + function.load_us as Micros;
                observed_load_us = Some(latency_us);
            }
            _ => learn_failure(&served, result, worker, function, request, &mut instance),
        }
        self.functions
            .set_instance(request.function, result.worker, instance);
        if let Some(load_us) = observed_load_us {
            self.learn_load(request.function, load_us);
        }
    }
}

/// Whether an attempt's latency is that of the work, without waiting for a load or for other requests.
fn is_work_only(result: &AttemptResult, attempt: &Attempt) -> bool {
    matches!(result.warmth, Warmth::Warm | Warmth::Unknown) && !attempt.was_queued
}

/// Learns what the work takes: what answers take beyond their baseline is the worker's, the rest the function's.
fn learn_work(
    served: &ServedRequest,
    worker: &mut Worker,
    function: &mut Function,
    usual: &mut RunningMean,
    calibration: &mut HintCalibration,
) {
    // The initial guess is no baseline: all workers would look fast, and then congested.
    if usual.count * EWMA_WEIGHT >= 1.0 {
        let speed_factor = served.latency_us / served.expected_us.max(1.0);
        worker.observe_speed_factor(served.now, speed_factor.min(MAX_SPEED_FACTOR));
    }
    let work_us = served.latency_us / worker.congestion(served.now).max(1.0);
    usual.count += 1.0;
    usual.mean += (work_us - usual.mean) * (1.0 / usual.count).max(EWMA_WEIGHT / 10.0);
    if !function.is_work_observed {
        function.work_us = usual.mean;
        function.is_work_observed = true;
    }
    function.work_us += EWMA_WEIGHT / 2.0 * (work_us - function.work_us);
    if served.has_hint {
        // A ratio of sums, as the mean of ratios is ruled by requests with hints far too low.
        let kept = 1.0 - EWMA_WEIGHT / 4.0;
        calibration.actual_us = kept * calibration.actual_us + work_us;
        calibration.expected_us = kept * calibration.expected_us + served.uncorrected_us;
    }
}

/// The concurrency limit grows while answers fit their latency objective, and shrinks otherwise.
fn adjust_concurrency_limit(served: &ServedRequest, worker: &mut Worker, function: &Function) {
    let typical_us = function.work_us * worker.speed_factor * IN_TIME_MARGIN;
    let is_too_slow = typical_us > served.objective_us;
    let congestion = worker.congestion(served.now);
    // Guards against heavy requests that look like congestion where nothing is reported to be queued.
    let may_have_queue = worker.report.queued.is_none_or(|queued| queued > 0.0);
    let is_in_use = f64::from(worker.in_flight + 1) > worker.concurrency_limit / 2.0;
    if (congestion > CONGESTION_FACTOR && may_have_queue) || is_too_slow {
        worker.cut_concurrency_limit(served.now, served.expected_us);
    } else if congestion <= OVERLOAD_FACTOR && is_in_use {
        worker.concurrency_limit += LIMIT_INCREASE / worker.concurrency_limit;
    }
}

/// Learns from an attempt that did not succeed, other than one that waited in vain for a load.
fn learn_failure(
    served: &ServedRequest,
    result: &AttemptResult,
    worker: &mut Worker,
    function: &Function,
    request: &Request,
    instance: &mut InstanceState,
) {
    let now = served.now;
    let expected = served.expected_us as Micros;
    let load_failed = result.warmth == Warmth::LoadFailed;
    match result.outcome {
        Outcome::Rejected => {
            instance.backoff_until = now + expected;
            worker.backoff_until = now + expected / 4;
            worker.cut_concurrency_limit(now, served.expected_us);
        }
        Outcome::ColdMiss | Outcome::Error if load_failed => {
            instance.instances = 0;
            instance.is_loading = false;
            instance.backoff_until = now + expected;
        }
        Outcome::ColdMiss => {
            instance.instances = 0;
            instance.is_loading = false;
            instance.missing_until = now + function.load_us as Micros;
        }
        Outcome::Error => {
            instance.is_loading = false;
            instance.backoff_until = now + expected;
            worker.record_error(now, request.function, served.expected_us);
        }
        _ => instance.is_loading = false,
    }
}
