//! Estimates of requests' work and value, of the rate of incoming work, and of load times.

use super::constants::{INITIAL_WORK_FRACTION, SPEED_FACTOR_DECAY_US};
use super::Router;
use crate::config::PriorityWeightUnit;
use crate::statistics::decayed;
use crate::{Micros, Request, WorkloadId};

/// The client's hint of the expected work; zero means that there is none.
pub(super) fn work_hint(request: &Request) -> Option<Micros> {
    request.expected_work.filter(|hint| *hint > 0)
}

impl Router {
    /// A request's work without congestion, in microseconds: the geometric mean of its hint and of the function's
    /// usual work, since both are rough, corrected by the actual work of earlier requests with hints.
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

    /// Like [`expected_work`](Self::expected_work), without the correction for hints. Until a
    /// request of the function has been answered, the usual work
    /// of its workload is used.
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

    /// A request's value per unit of work. Uses the usual work of the workload: a function whose work was observed
    /// under overload would be shed forever.
    pub(super) fn value_per_work(&self, request: &Request) -> f64 {
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

    /// The rate of work arriving at this router, in microseconds of work per microsecond.
    pub(super) fn work_rate_now(&self) -> f64 {
        let elapsed = (self.now - self.work_rate_at) as f64;
        self.work_rate * (-elapsed / self.config.collapse_window_us).exp()
    }

    /// The recent load time as a multiple of the usual one.
    pub(super) fn load_speed_factor_now(&self) -> f64 {
        decayed(
            self.load_times.speed_factor,
            1.0,
            self.now - self.load_times.speed_factor_at,
            SPEED_FACTOR_DECAY_US,
        )
    }
}
