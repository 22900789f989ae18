//! Records endpoint lists: workers that are added, removed, draining or restarted.

use super::constants::{INITIAL_CONCURRENCY_LIMIT, SUBSCRIBE_RETRIES_PER_POLL_INTERVAL};
use super::Router;
use crate::state::{Timer, Worker};
use crate::{Endpoint, EndpointList, EndpointListKind, Micros, WorkerState};
use std::collections::BTreeSet;

impl Router {
    /// Records a full endpoint list, a delta, or a failure to receive one.
    pub(super) fn record_endpoint_list(&mut self, list: &EndpointList) {
        match list.kind {
            EndpointListKind::Failed => return self.retry_subscription(),
            EndpointListKind::Full | EndpointListKind::Cached => {
                self.remove_unlisted(&list.endpoints);
            }
            EndpointListKind::Delta => {}
        }
        for endpoint in &list.endpoints {
            self.record_endpoint(endpoint);
        }
    }

    /// Subscribes again after a random delay, since the subscriptions of many routers may have failed together.
    fn retry_subscription(&mut self) {
        let interval = self.config.endpoint_poll_interval / SUBSCRIBE_RETRIES_PER_POLL_INTERVAL;
        let max_delay = interval.max(2);
        let jitter = self.next_random() % (max_delay / 2) as u64;
        let delay = max_delay / 2 + jitter as Micros;
        if !self.timers.iter().any(|(_, t)| *t == Timer::Subscribe) {
            self.timers.insert((self.now + delay, Timer::Subscribe));
        }
    }

    /// Marks workers that a full snapshot does not list as gone.
    fn remove_unlisted(&mut self, listed: &[Endpoint]) {
        let listed: BTreeSet<_> = listed.iter().map(|endpoint| endpoint.worker).collect();
        let endpoints = self.workers.values().map(|worker| worker.endpoint);
        let unlisted: Vec<_> = endpoints
            .filter(|endpoint| !listed.contains(&endpoint.worker))
            .filter(|endpoint| endpoint.state != WorkerState::Gone)
            .collect();
        for endpoint in unlisted {
            self.record_endpoint(&Endpoint {
                state: WorkerState::Gone,
                ..endpoint
            });
        }
    }

    fn record_endpoint(&mut self, endpoint: &Endpoint) {
        let now = self.now;
        let id = endpoint.worker;
        let routers = f64::from(self.config.router_count.max(1));
        let worker = self.workers.entry(id).or_insert_with(|| Worker {
            endpoint: *endpoint,
            speed_factor: 1.0,
            baseline_speed_factor: 1.0,
            concurrency_limit: INITIAL_CONCURRENCY_LIMIT / routers,
            ..Worker::default()
        });
        let has_restarted = worker.endpoint.started_at < endpoint.started_at;
        if has_restarted {
            worker.record_response(now);
            worker.speed_factor = worker.baseline_speed_factor;
            worker.observation_count = 0.0;
            worker.slow_start_budget_us = 0.0;
            worker.slow_start_budget_at = now;
        }
        worker.endpoint = *endpoint;
        // Live sizes would move the preferred endpoints with every list, and routers would not agree on them.
        if self.config.sizes_are_live {
            worker.endpoint.size = 1.0;
        }
        // A worker that left and returned while ejected would otherwise not be counted as ejected again.
        self.ejected_workers.extend(worker.is_ejected.then_some(id));
        match endpoint.state {
            WorkerState::Ready => self.ready_workers.insert(id.0, worker.endpoint.size),
            WorkerState::Draining | WorkerState::Gone => self.ready_workers.remove(id.0),
        }
        let report_entry = (worker.reported_at, id);
        if endpoint.state == WorkerState::Gone {
            self.by_report_time.remove(&report_entry);
        } else {
            self.by_report_time.insert(report_entry);
        }
        if has_restarted || endpoint.state == WorkerState::Gone {
            self.functions.forget_instances(id);
        }
    }
}
