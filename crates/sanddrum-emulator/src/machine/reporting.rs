//! The load report and the ground truth of a machine.

use super::Machine;
use crate::ground_truth::{FunctionGroundTruth, WorkerGroundTruth};
use sanddrum_net::Micros;
use sanddrum_wire::LoadReport;
use std::collections::BTreeMap;

impl Machine {
    /// The number of requests for a function that run or wait.
    pub(super) fn in_flight_of(&self, function: &str) -> u32 {
        let running = self
            .running
            .iter()
            .filter(|running| running.task.function == function)
            .count();
        let queued = self
            .queue
            .iter()
            .filter(|queued| queued.task.function == function)
            .count();
        (running + queued) as u32
    }

    /// The current load report.
    pub fn load_report(&self) -> LoadReport {
        let pinned_mb: f64 = self
            .instances
            .values()
            .filter(|instance| instance.running > 0 || !instance.is_loaded())
            .map(|instance| instance.memory_mb)
            .sum();
        LoadReport {
            in_flight: Some((self.running.len() + self.queue.len()) as f64),
            queued: Some(self.queue.len() as f64),
            busy: Some(self.running.len() as f64 / self.config.cores.max(1) as f64),
            memory_pinned: Some(pinned_mb / self.config.memory_mb.max(1.0)),
            loads_in_progress: Some(self.loads_in_progress() as f64),
        }
    }

    /// The actual state of the machine. `is_serving` states whether the worker around it accepts and answers requests.
    pub fn ground_truth(&self, now: Micros, is_serving: bool) -> WorkerGroundTruth {
        let in_flight = self.running.len() + self.queue.len();
        let capacity = self.config.queue_limit + self.config.cores;
        WorkerGroundTruth {
            cores: self.config.cores,
            core_speed: self.core_speed(now),
            in_flight,
            free_capacity: capacity.saturating_sub(in_flight),
            backlog: self.backlog(now),
            is_serving,
            functions: self.functions(),
        }
    }

    fn backlog(&self, now: Micros) -> f64 {
        let core_speed = self.core_speed(now);
        let running: f64 = self
            .running
            .iter()
            .map(|running| (running.ends_at - now).max(0) as f64 * core_speed)
            .sum();
        let queued: f64 = self.queue.iter().map(|queued| queued.task.work).sum();
        running + queued
    }

    fn functions(&self) -> BTreeMap<u64, FunctionGroundTruth> {
        let mut functions: BTreeMap<u64, FunctionGroundTruth> = BTreeMap::new();
        let instances = self.instances.values();
        for instance in instances.filter(|instance| !instance.is_obsolete) {
            let function = functions
                .entry(sanddrum_wire::stable_id(&instance.function))
                .or_default();
            if instance.is_loaded() {
                function.concurrency += instance.concurrency;
            } else {
                function.is_loading = true;
            }
        }
        let running = self.running.iter().map(|running| &running.task);
        let queued = self.queue.iter().map(|queued| &queued.task);
        for task in running.chain(queued) {
            functions
                .entry(sanddrum_wire::stable_id(&task.function))
                .or_default()
                .in_flight += 1;
        }
        functions
    }
}
