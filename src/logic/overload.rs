//! Detects overload of the fleet, congestion of loads, and congestion of single workers.

use super::constants::{
    CONGESTED_LOAD_COUNT, CONGESTION_FACTOR, EXCESS_IN_FLIGHT_FACTOR, MIN_REPORTS, OVERLOAD_FACTOR,
    QUEUED_FRACTION_LIMIT, REPORT_DECAY_US, SAMPLED_REPORTS, SLOW_FACTOR,
};
use super::Router;
use crate::state::{FleetMedians, FleetView, Worker};
use crate::statistics::median;
use crate::{Micros, WorkerState};

/// Queue statistics of a recent load report.
struct QueueReport {
    age: Micros,
    queued_fraction: f64,
}

impl Router {
    /// Updates the fleet medians and the overload and panic-mode state.
    pub(super) fn refresh_fleet_view(&mut self) {
        // Only the workers that reported last are sampled: this router may get reports from a small part of the fleet.
        let latest = self.by_report_time.iter().rev();
        let latest = latest.filter_map(|(_, worker)| self.workers.get(worker));
        let sample: Vec<&Worker> = latest
            .filter(|worker| worker.is_ready())
            .take(SAMPLED_REPORTS)
            .collect();
        let reports = self.recent_queue_reports(&sample);
        let mut fleet = FleetView {
            medians: self.medians_of(&sample),
            queued_fraction: self.median_queued_fraction(&reports, sample.len()),
            has_recent_report: self.has_recent_report(&reports),
            is_in_panic_mode: false,
        };
        let workers = &self.workers;
        self.ejected_workers.retain(|id| {
            workers
                .get(id)
                .is_some_and(|w| w.is_ejected && w.endpoint.state == WorkerState::Ready)
        });
        // If most workers are ejected, the fault is more likely this router's own, and the others would be overloaded.
        fleet.is_in_panic_mode = self.ejected_workers.len() * 2 > self.ready_workers.len();
        self.fleet = fleet;
    }

    fn medians_of(&self, sample: &[&Worker]) -> FleetMedians {
        let now = self.now;
        let median_of = |value: &dyn Fn(&Worker) -> f64| {
            median(sample.iter().map(|worker| value(worker)).collect())
        };
        let reported = sample.iter().filter(|worker| worker.reported_at > 0);
        let in_flight = reported.filter_map(|worker| {
            let in_flight = worker.report.in_flight?;
            Some(in_flight / worker.positive_size())
        });
        FleetMedians {
            speed_factor: median_of(&|worker| worker.speed_factor_now(now)),
            congestion: median_of(&|worker| worker.congestion(now)),
            loads_in_progress: median_of(&|worker| worker.report.loads_in_progress.unwrap_or(0.0)),
            in_flight: median(in_flight.collect()),
        }
    }

    /// The reports that have not decayed yet, newest first.
    fn recent_queue_reports(&self, sample: &[&Worker]) -> Vec<QueueReport> {
        let oldest = (self.now - REPORT_DECAY_US as Micros).max(0);
        let requests_start_loads = !self.config.workers_answer_misses;
        let recent = sample.iter().filter(|worker| worker.reported_at > oldest);
        let reports = recent.filter_map(|worker| {
            Some(QueueReport {
                age: self.now - worker.reported_at,
                queued_fraction: worker.fraction_queued_for_cores(requests_start_loads)?,
            })
        });
        reports.collect()
    }

    /// Whether a report arrived within a latency objective or, if there are more routers than workers, within as many
    /// objectives as there are routers per worker, since each router then gets fewer answers.
    fn has_recent_report(&self, reports: &[QueueReport]) -> bool {
        let workers = self.ready_workers.len().max(1) as Micros;
        let routers_per_worker = Micros::from(self.config.router_count) / workers;
        let max_age = self.config.tightest_objective * routers_per_worker.max(1);
        reports.first().is_some_and(|report| report.age < max_age)
    }

    /// The queued fraction at the median worker; a mean over answers would be dominated by congested workers, which
    /// send most of them. Only the newest reports count, so that the end of an overload is noticed soon.
    fn median_queued_fraction(&self, reports: &[QueueReport], sample_size: usize) -> f64 {
        if reports.is_empty() {
            return 0.0;
        }
        let min_reports = (sample_size as f64).sqrt().max(MIN_REPORTS);
        let recent_age = self.config.tightest_objective;
        let newest = reports
            .iter()
            .enumerate()
            .take_while(|(index, report)| (*index as f64) < min_reports || report.age < recent_age);
        median(newest.map(|(_, report)| report.queued_fraction).collect())
    }

    /// Whether the median worker is overloaded.
    pub(super) fn is_overloaded(&self) -> bool {
        self.fleet.medians.congestion > OVERLOAD_FACTOR
            || self.fleet.queued_fraction > QUEUED_FRACTION_LIMIT
    }

    /// Whether loads take longer than announced or usual, or many are in progress: the function store or the load
    /// queues of workers are congested.
    pub(super) fn are_loads_congested(&self) -> bool {
        self.load_speed_factor_now() > OVERLOAD_FACTOR
            || self.fleet.medians.loads_in_progress > CONGESTED_LOAD_COUNT
    }

    /// Whether a worker is congested, perhaps by other routers' requests, which this router cannot see: it reports
    /// far more requests in flight than the median for its size, rejected a request recently, has an overdue answer
    /// and sent no report since, or is slow.
    pub(super) fn is_congested(&self, worker: &Worker) -> bool {
        let is_overdue = worker
            .attempts
            .iter()
            .any(|a| a.overdue_at <= self.now && worker.reported_at < a.overdue_at);
        let median = self.fleet.medians.in_flight;
        let has_excess_in_flight =
            worker.in_flight_per_size(self.now, median) > EXCESS_IN_FLIGHT_FACTOR * median;
        let slow_threshold = (CONGESTION_FACTOR * worker.baseline_speed_factor)
            .min(SLOW_FACTOR * self.fleet.medians.speed_factor);
        is_overdue
            || has_excess_in_flight
            || worker.congested_until > self.now
            || worker.speed_factor_now(self.now) > slow_threshold
    }

    /// Whether a large fraction of the requests last reported by the worker is queued, or it reports no queue.
    pub(super) fn may_have_queue(&self, worker: &Worker) -> bool {
        worker
            .queued_fraction(!self.config.workers_answer_misses)
            .is_none_or(|fraction| fraction > QUEUED_FRACTION_LIMIT)
    }

    /// Whether a worker has fewer requests in flight than a fraction of its concurrency limit, which protects it from
    /// overload of any cause, and no backoff from it is in effect.
    pub(super) fn has_capacity(&self, worker: &Worker, limit_fraction: f64) -> bool {
        f64::from(worker.in_flight) < worker.concurrency_limit * limit_fraction
            && worker.backoff_until <= self.now
    }
}
