//! What is remembered of functions and of their instances at workers, with the indexes by which it is found.

use crate::statistics::tie_break;
use crate::{FunctionId, Micros, RequestId, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// A command for a function that a worker has not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InstanceCommand {
    /// How many instances are loaded?
    Query,
    /// Load.
    Load,
}

/// A function at one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InstanceState {
    /// Loaded instances, as far as this router knows.
    pub instances: u32,
    /// When they may be unloaded if none is in use.
    pub expires_at: Micros,
    /// Requests of this router in flight.
    pub in_flight: u32,
    /// Nothing is dispatched before this instant.
    pub backoff_until: Micros,
    /// No instance was found; there may be one from this instant on.
    pub missing_until: Micros,
    /// The command in flight.
    pub command: Option<InstanceCommand>,
    /// A request of this router has started a load.
    pub is_loading: bool,
}

/// A function that was called of late.
#[derive(Debug, Default)]
pub(crate) struct Function {
    /// Requests that one instance runs at a time.
    pub concurrency: u32,
    /// Work of a request without congestion, in microseconds.
    pub work_us: f64,
    /// Whether `work_us` has been observed.
    pub is_work_observed: bool,
    /// Time of a load without congestion, in microseconds.
    pub load_us: f64,
    /// When workers were last queried for instances.
    pub queried_at: Option<Micros>,
    /// Until when the answers are waited for.
    pub query_deadline: Micros,
    /// What is known of it at workers.
    pub workers: BTreeMap<WorkerId, InstanceState>,
    /// Workers with an instance, by requests of this router in flight and then by a hash.
    warm_workers: BTreeSet<(u32, u64, WorkerId)>,
    /// Workers with a command in flight or a load under way.
    pub pending_workers: BTreeSet<WorkerId>,
    /// Requests that wait for an instance or for capacity.
    pub waiting: BTreeSet<RequestId>,
    /// Requests of late, decayed over a keep-alive.
    pub recent_requests: f64,
    /// When it was last called.
    pub last_request_at: Micros,
    /// The worker that last ran it or loaded it.
    pub last_warm_worker: Option<WorkerId>,
}

impl Function {
    /// A function of which nothing was observed, with its expected work and time of a load in microseconds.
    pub fn new(work_us: f64, load_us: f64) -> Self {
        Function {
            work_us,
            load_us,
            ..Function::default()
        }
    }

    /// What is known of the function at a worker.
    pub fn instance(&self, worker: WorkerId) -> InstanceState {
        self.workers.get(&worker).copied().unwrap_or_default()
    }

    /// At most `limit` workers with an instance: idle ones in the order of their hashes from `draw` on, then all by
    /// requests in flight. Some are repeated.
    pub fn warm_workers(&self, draw: u64, limit: usize) -> impl Iterator<Item = WorkerId> + '_ {
        let idle = self
            .warm_workers
            .range((0, draw, WorkerId(0))..(1, 0, WorkerId(0)));
        idle.chain(&self.warm_workers)
            .map(|(.., worker)| *worker)
            .take(limit)
    }
}

/// All functions called of late.
#[derive(Default)]
pub(crate) struct Functions {
    by_id: BTreeMap<FunctionId, Function>,
    by_last_request: BTreeSet<(Micros, FunctionId)>,
    by_worker: BTreeSet<(WorkerId, FunctionId)>,
}

impl Functions {
    /// A function, if it was called of late.
    pub fn get(&self, id: FunctionId) -> Option<&Function> {
        self.by_id.get(&id)
    }

    /// A function to be changed, all but its instances (see [`set_instance`](Self::set_instance)) and its last request.
    pub fn get_mut(&mut self, id: FunctionId) -> Option<&mut Function> {
        self.by_id.get_mut(&id)
    }

    /// Indexes a request for a function, which is created if it is not known yet.
    pub fn record_request(
        &mut self,
        id: FunctionId,
        now: Micros,
        create: impl FnOnce() -> Function,
    ) -> &mut Function {
        let function = self.by_id.entry(id).or_insert_with(create);
        self.by_last_request.remove(&(function.last_request_at, id));
        self.by_last_request.insert((now, id));
        function
    }

    /// What is known of a function at a worker.
    pub fn instance(&self, id: FunctionId, worker: WorkerId) -> InstanceState {
        self.get(id)
            .map(|function| function.instance(worker))
            .unwrap_or_default()
    }

    /// Replaces what is known of a function at a worker.
    pub fn set_instance(&mut self, id: FunctionId, worker: WorkerId, instance: InstanceState) {
        let Some(function) = self.by_id.get_mut(&id) else {
            return;
        };
        let hash = tie_break(id, worker);
        if let Some(before) = function.workers.insert(worker, instance) {
            function
                .warm_workers
                .remove(&(before.in_flight, hash, worker));
        } else {
            self.by_worker.insert((worker, id));
        }
        if instance.instances > 0 {
            function
                .warm_workers
                .insert((instance.in_flight, hash, worker));
        }
        if instance.is_loading || instance.command.is_some() {
            function.pending_workers.insert(worker);
        } else {
            function.pending_workers.remove(&worker);
        }
    }

    /// Changes what is known of a function at a worker.
    pub fn update_instance(
        &mut self,
        id: FunctionId,
        worker: WorkerId,
        change: impl FnOnce(&mut InstanceState),
    ) {
        let mut instance = self.instance(id, worker);
        change(&mut instance);
        self.set_instance(id, worker, instance);
    }

    /// Removes expired instances from those that [`Function::warm_workers`] yields, where they would hide others.
    pub fn remove_expired(
        &mut self,
        id: FunctionId,
        draw: u64,
        limit: usize,
        is_expired: impl Fn(&InstanceState) -> bool,
    ) {
        let Some(function) = self.by_id.get_mut(&id) else {
            return;
        };
        loop {
            let expired: Vec<_> = function
                .warm_workers(draw, limit)
                .filter(|worker| is_expired(&function.instance(*worker)))
                .collect();
            if expired.is_empty() {
                return;
            }
            for worker in expired {
                let in_flight = function.instance(worker).in_flight;
                let entry = (in_flight, tie_break(id, worker), worker);
                function.warm_workers.remove(&entry);
            }
        }
    }

    /// Functions of which something is known at a worker.
    pub fn at_worker(&self, worker: WorkerId) -> impl Iterator<Item = FunctionId> + '_ {
        self.by_worker
            .range((worker, FunctionId(0))..=(worker, FunctionId(u64::MAX)))
            .map(|(_, id)| *id)
    }

    /// Records that a worker has no instances any more, nor loads started by requests of this router.
    pub fn forget_instances(&mut self, worker: WorkerId) {
        for id in self.at_worker(worker).collect::<Vec<_>>() {
            self.update_instance(id, worker, |instance| {
                instance.instances = 0;
                instance.is_loading = false;
            });
        }
    }

    /// Evicts functions without waiting requests whose last request came at `until` or before.
    pub fn evict_idle(&mut self, until: Micros) {
        let idle: Vec<_> = self
            .by_last_request
            .range(..=(until, FunctionId(u64::MAX)))
            .copied()
            .collect();
        for (last_request_at, id) in idle {
            let Some(function) = self.by_id.get(&id).filter(|f| f.waiting.is_empty()) else {
                continue;
            };
            for worker in function.workers.keys() {
                self.by_worker.remove(&(*worker, id));
            }
            self.by_last_request.remove(&(last_request_at, id));
            self.by_id.remove(&id);
        }
    }
}
