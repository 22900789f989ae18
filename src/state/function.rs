//! The state of functions and of their instances at workers, with indexes.

use crate::statistics::tie_break;
use crate::{FunctionId, Micros, RequestId, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// Functions of which no instance was ever found are evicted, those without requests for longest first, when there may
/// be more than this many: clients can name any number of functions that no worker has.
const MAX_UNSERVED_FUNCTIONS: usize = 4_096;
/// The number of such functions that are retained then.
const RETAINED_UNSERVED_FUNCTIONS: usize = MAX_UNSERVED_FUNCTIONS / 2;

/// An unanswered command to a worker about a function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InstanceCommand {
    /// Report how many instances are loaded.
    Query,
    /// Load the function.
    Load,
}

/// What is known about a function at one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InstanceState {
    /// Loaded instances, as far as this router knows.
    pub instances: u32,
    /// When the worker may unload them if none is in use.
    pub expires_at: Micros,
    /// Requests from this router in flight.
    pub in_flight: u32,
    /// No request is dispatched before this instant.
    pub backoff_until: Micros,
    /// No instance was found there; until this instant, none is presumed to be loaded.
    pub missing_until: Micros,
    /// The command in flight.
    pub command: Option<InstanceCommand>,
    /// A request from this router has started a load.
    pub is_loading: bool,
}

/// A function that was called recently.
#[derive(Debug, Default)]
pub(crate) struct Function {
    /// The number of requests that one instance runs concurrently.
    pub concurrency: u32,
    /// The work of a request without congestion, in microseconds.
    pub work_us: f64,
    /// Whether `work_us` has been observed.
    pub is_work_observed: bool,
    /// The time of a load without congestion, in microseconds.
    pub load_us: f64,
    /// When workers were last queried for instances.
    pub queried_at: Option<Micros>,
    /// Until when requests wait for the answers to that query.
    pub query_deadline: Micros,
    /// What is known about it at each worker.
    pub workers: BTreeMap<WorkerId, InstanceState>,
    /// Workers with an instance, ordered by requests from this router in flight and then by a hash.
    warm_workers: BTreeSet<(u32, u64, WorkerId)>,
    /// Workers with a command in flight or a load in progress.
    pub pending_workers: BTreeSet<WorkerId>,
    /// Requests that wait for an instance or for capacity.
    pub waiting: BTreeSet<RequestId>,
    /// The number of recent requests, decayed over a keep-alive.
    pub recent_requests: f64,
    /// When it was last called.
    pub last_request_at: Micros,
    /// The worker that last ran or loaded it.
    pub last_warm_worker: Option<WorkerId>,
}

impl Function {
    /// A function without observations, with its expected work and load time in microseconds.
    pub fn new(work_us: f64, load_us: f64) -> Self {
        Function {
            work_us,
            load_us,
            ..Function::default()
        }
    }

    /// Whether no instance of it was ever found, and nothing that it waits for may change that.
    fn is_unserved(&self) -> bool {
        let is_idle = |instance: &InstanceState| instance.in_flight == 0 && instance.instances == 0;
        !self.is_work_observed
            && self.last_warm_worker.is_none()
            && self.waiting.is_empty()
            && self.pending_workers.is_empty()
            && self.workers.values().all(is_idle)
    }

    /// What is known about the function at a worker.
    pub fn instance(&self, worker: WorkerId) -> InstanceState {
        self.workers.get(&worker).copied().unwrap_or_default()
    }

    /// At most `limit` workers with an instance: first the idle ones whose hash is at least `min_hash`, then all by
    /// requests in flight. The same worker may occur twice.
    pub fn warm_workers(&self, min_hash: u64, limit: usize) -> impl Iterator<Item = WorkerId> + '_ {
        let idle = self
            .warm_workers
            .range((0, min_hash, WorkerId(0))..(1, 0, WorkerId(0)));
        idle.chain(&self.warm_workers)
            .map(|(.., worker)| *worker)
            .take(limit)
    }
}

/// All functions that were called recently.
#[derive(Default)]
pub(crate) struct Functions {
    by_id: BTreeMap<FunctionId, Function>,
    by_last_request: BTreeSet<(Micros, FunctionId)>,
    by_worker: BTreeSet<(WorkerId, FunctionId)>,
    /// The number of functions that were served or in use when unserved ones were last evicted.
    other_functions: usize,
}

impl Functions {
    /// A function, if it was called recently.
    pub fn get(&self, id: FunctionId) -> Option<&Function> {
        self.by_id.get(&id)
    }

    /// A function, for changes of everything but the indexed state: instances change through
    /// [`set_instance`](Self::set_instance), the last request through [`record_request`](Self::record_request).
    pub fn get_mut(&mut self, id: FunctionId) -> Option<&mut Function> {
        self.by_id.get_mut(&id)
    }

    /// Indexes a request for a function, which is created if it is unknown. The caller sets `last_request_at` to `now`.
    pub fn record_request(
        &mut self,
        id: FunctionId,
        now: Micros,
        create: impl FnOnce() -> Function,
    ) -> &mut Function {
        if !self.by_id.contains_key(&id) {
            self.evict_unserved(now);
        }
        let function = self.by_id.entry(id).or_insert_with(create);
        self.by_last_request.remove(&(function.last_request_at, id));
        self.by_last_request.insert((now, id));
        function
    }

    /// What is known about a function at a worker.
    pub fn instance(&self, id: FunctionId, worker: WorkerId) -> InstanceState {
        self.get(id)
            .map(|function| function.instance(worker))
            .unwrap_or_default()
    }

    /// Replaces what is known about a function at a worker and updates the indexes.
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

    /// Applies a change to what is known about a function at a worker.
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

    /// Removes expired instances from the index until [`Function::warm_workers`] returns none with these arguments.
    /// Otherwise they would take the slots of workers with valid instances within `limit`.
    pub fn remove_expired(
        &mut self,
        id: FunctionId,
        min_hash: u64,
        limit: usize,
        is_expired: impl Fn(&InstanceState) -> bool,
    ) {
        let Some(function) = self.by_id.get_mut(&id) else {
            return;
        };
        loop {
            let expired: Vec<_> = function
                .warm_workers(min_hash, limit)
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

    /// The functions with a known state at a worker.
    pub fn at_worker(&self, worker: WorkerId) -> impl Iterator<Item = FunctionId> + '_ {
        self.by_worker
            .range((worker, FunctionId(0))..=(worker, FunctionId(u64::MAX)))
            .map(|(_, id)| *id)
    }

    /// Records that a worker no longer has instances or loads started by requests from this router.
    pub fn forget_instances(&mut self, worker: WorkerId) {
        for id in self.at_worker(worker).collect::<Vec<_>>() {
            self.update_instance(id, worker, |instance| {
                instance.instances = 0;
                instance.is_loading = false;
            });
        }
    }

    /// Evicts functions whose last request came at or before `until` and that have no waiting requests.
    pub fn evict_idle(&mut self, until: Micros) {
        let idle: Vec<_> = self
            .by_last_request
            .range(..=(until, FunctionId(u64::MAX)))
            .copied()
            .collect();
        for (last_request_at, id) in idle {
            if self.by_id.get(&id).is_some_and(|f| f.waiting.is_empty()) {
                self.remove(last_request_at, id);
            }
        }
    }

    /// Evicts unserved functions if there may be too many of them. Those called at `now` remain, as their requests have
    /// not been placed yet.
    fn evict_unserved(&mut self, now: Micros) {
        if self.by_id.len() < self.other_functions + MAX_UNSERVED_FUNCTIONS {
            return;
        }
        let mut unserved: Vec<_> = self
            .by_last_request
            .range(..(now, FunctionId(0)))
            .filter(|(_, id)| self.by_id.get(id).is_some_and(Function::is_unserved))
            .copied()
            .collect();
        let retained = unserved.len().min(RETAINED_UNSERVED_FUNCTIONS);
        unserved.truncate(unserved.len() - retained);
        for (last_request_at, id) in unserved {
            self.remove(last_request_at, id);
        }
        self.other_functions = self.by_id.len() - retained;
    }

    fn remove(&mut self, last_request_at: Micros, id: FunctionId) {
        self.by_last_request.remove(&(last_request_at, id));
        let Some(function) = self.by_id.remove(&id) else {
            return;
        };
        for worker in function.workers.keys() {
            self.by_worker.remove(&(*worker, id));
        }
    }
}
