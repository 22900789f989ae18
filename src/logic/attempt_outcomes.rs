//! Learns from the outcome of an attempt: loaded instances, latencies, work, and the worker's concurrency limit.

use super::constants::{
    CONGESTION_FACTOR, EWMA_WEIGHT, INITIAL_WORK_FRACTION, IN_TIME_MARGIN, LIMIT_INCREASE,
    MAX_SPEED_FACTOR, OVERLOAD_FACTOR,
};
use super::estimates::work_hint;
use super::Router;
use crate::state::{Attempt, Function, HintCalibration, InstanceState, RunningMean, Worker};
use crate::{AttemptResult, Micros, Outcome, Request, Warmth};

/// The latency of an attempt and what was expected of it.
struct AttemptTiming {
    now: Micros,
    latency_us: f64,
    expected_us: f64,
    uncorrected_us: f64,
    objective_us: f64,
    has_hint: bool,
}

impl Router {
    /// Updates estimates and limits from the outcome of an attempt that was in flight.
    pub(super) fn learn_from_result(
        &mut self,
        request: &Request,
        result: &AttemptResult,
        attempt: &Attempt,
    ) {
        let now = self.now;
        let latency_us = result.latency as f64;
        let expected_us = self.expected_work(request);
        let timing = AttemptTiming {
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
                    learn_work(&timing, worker, function, usual, calibration);
                    adjust_concurrency_limit(&timing, worker, function);
                }
            }
            // The attempt waited for a load that did not complete: the worker may have an unreported load queue.
            Outcome::TimedOut if instance.instances == 0 => {
                instance.is_loading = false;
                instance.missing_until = now + function.load_us as Micros;
                observed_load_us = Some(latency_us);
            }
            _ => learn_failure(&timing, result, worker, function, request, &mut instance),
        }
        self.functions
            .set_instance(request.function, result.worker, instance);
        if let Some(load_us) = observed_load_us {
            self.learn_load(request.function, load_us);
        }
    }
}

/// Whether an attempt's latency consists of work only, without waiting for a load or for other requests.
fn is_work_only(result: &AttemptResult, attempt: &Attempt) -> bool {
    matches!(result.warmth, Warmth::Warm | Warmth::Unknown) && !attempt.was_queued
}

/// Updates the work estimates. Latency beyond the worker's baseline is attributed to the worker, the rest to the
/// function.
fn learn_work(
    timing: &AttemptTiming,
    worker: &mut Worker,
    function: &mut Function,
    usual: &mut RunningMean,
    calibration: &mut HintCalibration,
) {
    // With the initial estimate as the baseline, all workers would look fast at first and congested later.
    if usual.count * EWMA_WEIGHT >= 1.0 {
        let speed_factor = timing.latency_us / timing.expected_us.max(1.0);
        worker.observe_speed_factor(timing.now, speed_factor.min(MAX_SPEED_FACTOR));
    }
    let work_us = timing.latency_us / worker.congestion(timing.now).max(1.0);
    usual.count += 1.0;
    usual.mean += (work_us - usual.mean) * (1.0 / usual.count).max(EWMA_WEIGHT / 10.0);
    if !function.is_work_observed {
        function.work_us = usual.mean;
        function.is_work_observed = true;
    }
    function.work_us += EWMA_WEIGHT / 2.0 * (work_us - function.work_us);
    if timing.has_hint {
        // A ratio of sums: a mean of ratios would be dominated by requests whose hints are far too low.
        let decay = 1.0 - EWMA_WEIGHT / 4.0;
        calibration.actual_us = decay * calibration.actual_us + work_us;
        calibration.expected_us = decay * calibration.expected_us + timing.uncorrected_us;
    }
}

/// Cuts the concurrency limit if answers show congestion or are too slow for the latency objective; otherwise raises
/// it while it is in use.
fn adjust_concurrency_limit(timing: &AttemptTiming, worker: &mut Worker, function: &Function) {
    let typical_us = function.work_us * worker.speed_factor * IN_TIME_MARGIN;
    let is_too_slow = typical_us > timing.objective_us;
    let congestion = worker.congestion(timing.now);
    // Heavy requests look like congestion, so a worker that reports an empty queue does not count as congested.
    let may_have_queue = worker.report.queued.is_none_or(|queued| queued > 0.0);
    let is_in_use = f64::from(worker.in_flight + 1) > worker.concurrency_limit / 2.0;
    if (congestion > CONGESTION_FACTOR && may_have_queue) || is_too_slow {
        worker.cut_concurrency_limit(timing.now, timing.expected_us);
    } else if congestion <= OVERLOAD_FACTOR && is_in_use {
        worker.concurrency_limit += LIMIT_INCREASE / worker.concurrency_limit;
    }
}

/// Updates instance and worker after an attempt that failed, other than by a timeout while waiting for a load.
fn learn_failure(
    timing: &AttemptTiming,
    result: &AttemptResult,
    worker: &mut Worker,
    function: &Function,
    request: &Request,
    instance: &mut InstanceState,
) {
    let now = timing.now;
    let expected = timing.expected_us as Micros;
    let load_failed = result.warmth == Warmth::LoadFailed;
    match result.outcome {
        Outcome::Rejected => {
            instance.backoff_until = now + expected;
            worker.backoff_until = now + expected / 4;
            worker.cut_concurrency_limit(now, timing.expected_us);
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
            worker.record_error(now, request.function, timing.expected_us);
        }
        _ => instance.is_loading = false,
    }
}
