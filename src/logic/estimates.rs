//! Estimates: the work of requests, their value, the rate at which work arrives and the time of loads.

use super::constants::{INITIAL_WORK_FRACTION, SPEED_FACTOR_DECAY_US};
use super::Router;
use crate::config::PriorityWeightUnit;
use crate::statistics::decayed;
use crate::{Micros, Request, WorkloadId};

/// The client's hint of the expected work; a hint of zero is none.
pub(super) fn work_hint(request: &Request) -> Option<Micros> {
    request.expected_work.filter(|hint| *hint > 0)
}

impl Router {
    /// The work of a request without congestion, in microseconds: the geometric mean of its hint and of what its
    /// function usually takes, both being rough, corrected by what hinted requests took.
    pub(super) fn expected_work(&self, request: &Request) -> f64 {
        let calibration = &self.hint_calibration;
        let is_calibrated = work_hint(request).is_some() && calibration.expected_us > 0.0;
        let correction = if is_calibrated {
            calibration.actual_us / calibration.expected_us
        } else {
            1.0
        };
        self.uncorrected_work(request) * correction
    }

    /// The same without the correction for hints. Until a request of the function was answered, its workload's
    /// usual work stands for it.
    pub(super) fn uncorrected_work(&self, request: &Request) -> f64 {
        let function = self.functions.get(request.function);
        let observed = function.filter(|f| f.is_work_observed).map(|f| f.work_us);
        let usual = observed.unwrap_or_else(|| self.usual_work(request.workload));
        work_hint(request).map_or(usual, |hint| (usual * hint as f64).sqrt())
    }

    /// The usual work of a workload's requests without congestion, in microseconds.
    fn usual_work(&self, id: WorkloadId) -> f64 {
        self.workload_work.get(&id).map_or_else(
            || self.latency_objective(id) as f64 * INITIAL_WORK_FRACTION,
            |work| work.mean,
        )
    }

    /// The value of a request for its work. Uses the workload's work: what a function was seen to take under overload
    /// would have it shed for ever.
    pub(super) fn value_for_work(&self, request: &Request) -> f64 {
        let weight = self.workload(request.workload).priority_weight;
        match self.config.priority_weight_unit {
            PriorityWeightUnit::Work => weight,
            PriorityWeightUnit::Request => {
                let usual = self.usual_work(request.workload);
                let hinted = work_hint(request).map(|hint| (usual * hint as f64).sqrt());
                weight / hinted.unwrap_or(usual).max(1.0)
            }
        }
    }

    /// Work that arrives at this router, in microseconds a microsecond.
    pub(super) fn work_rate_now(&self) -> f64 {
        let elapsed = (self.now - self.work_rate_at) as f64;
        self.work_rate * (-elapsed / self.config.collapse_window_us).exp()
    }

    /// The time of loads of late as a multiple of the usual.
    pub(super) fn load_speed_factor_now(&self) -> f64 {
        decayed(
            self.load_times.speed_factor,
            1.0,
            self.now - self.load_times.speed_factor_at,
            SPEED_FACTOR_DECAY_US,
        )
    }
}
