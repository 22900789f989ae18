//! A fake host: it records the module's decisions, and reports the outcomes that a test chooses.
#![allow(dead_code)] // Each test file uses only a part of this module.

use sanddrum::{
    AttemptLimits, AttemptResult, CellId, CustomerId, Decisions, Endpoint, EndpointList,
    EndpointListKind, EventBatch, FunctionId, KindId, LoadReport, LoadResult, Micros, Outcome,
    PeerId, Request, RequestId, Router, Settings, Value, Warmth, WorkerId, WorkerState, WorkloadId,
    ZoneId,
};
use std::collections::BTreeMap;

/// A decision, with plain numbers for identifiers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// An attempt of a request was dispatched to a worker.
    Dispatch { request: u64, worker: u64 },
    /// An attempt was cancelled.
    Cancel { request: u64, attempt: usize },
    /// A request was rejected.
    Reject(u64),
    /// A request failed.
    Fail(u64),
    /// A load command for instances of a function, or a query if `instances` is zero.
    Load {
        worker: u64,
        function: u64,
        instances: u32,
    },
    /// A command to unload a function's idle instances.
    Unload { worker: u64, function: u64 },
    /// A health check of a worker.
    CheckHealth(u64),
    /// A subscription to the endpoint list.
    Subscribe,
}

/// Records all decisions.
pub struct DecisionLog {
    pub actions: Vec<Action>,
    /// The wake-up time last requested by the module.
    pub wake_at: Micros,
    /// The Retry-After of each rejected request, oldest first.
    pub retry_afters: Vec<Micros>,
    /// The limits of each dispatched attempt, oldest first.
    pub attempt_limits: Vec<AttemptLimits>,
    /// The send deadline of each load command that is not a query, oldest first.
    pub load_deadlines: Vec<Micros>,
}

impl Decisions for DecisionLog {
    fn dispatch(&mut self, request: RequestId, worker: WorkerId, limits: AttemptLimits) {
        self.attempt_limits.push(limits);
        let (request, worker) = (request.0, worker.0);
        self.actions.push(Action::Dispatch { request, worker });
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        let request = request.0;
        self.actions.push(Action::Cancel { request, attempt });
    }
    fn reject(&mut self, request: RequestId, retry_after: Micros) {
        self.retry_afters.push(retry_after);
        self.actions.push(Action::Reject(request.0));
    }
    fn fail(&mut self, request: RequestId) {
        self.actions.push(Action::Fail(request.0));
    }
    fn load(&mut self, worker: WorkerId, function: FunctionId, instances: u32, deadline: Micros) {
        if instances > 0 {
            self.load_deadlines.push(deadline);
        }
        self.actions.push(Action::Load {
            worker: worker.0,
            function: function.0,
            instances,
        });
    }
    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        let (worker, function) = (worker.0, function.0);
        self.actions.push(Action::Unload { worker, function });
    }
    fn check_health(&mut self, worker: WorkerId) {
        self.actions.push(Action::CheckHealth(worker.0));
    }
    fn subscribe(&mut self) {
        self.actions.push(Action::Subscribe);
    }
    fn gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn wake_at(&mut self, at: Micros) {
        self.wake_at = at;
    }
    fn log(&mut self, _: &str) {}
}

/// Settings that a test adds to those of [`FakeHost`].
pub type Setting = (&'static str, Value);

/// Load commands are allowed.
pub const LOAD_COMMANDS: Setting = ("copies.orders", Value::Flag(true));

/// Workers answer a cold miss instead of loading the function for the request.
pub fn workers_answer_misses() -> Setting {
    ("copies.on-miss", text("miss"))
}

pub fn router_count(routers: f64) -> Setting {
    ("routers", Value::Number(routers))
}

pub fn text(text: &str) -> Value {
    Value::Text(text.into())
}

/// A router with its clock, and the decisions that it has made.
pub struct FakeHost {
    pub router: Router,
    pub now: Micros,
    pub log: DecisionLog,
    /// Attempts dispatched, by request.
    pub attempts: BTreeMap<u64, usize>,
    /// The load report that workers attach to each answer.
    pub report: Option<LoadReport>,
}

impl FakeHost {
    /// A host with workers 0 to `workers` - 1, one idempotent workload and the settings of the test.
    pub fn new(workers: u64, settings: &[(&str, Value)]) -> FakeHost {
        FakeHost::with_seed(1, workers, settings)
    }

    /// The same with a seed for the router.
    pub fn with_seed(seed: u64, workers: u64, settings: &[(&str, Value)]) -> FakeHost {
        let number = |name: &str, n: f64| (name.to_string(), Value::Number(n));
        let mut map = BTreeMap::from([
            number("workloads.count", 1.0),
            number("workloads.0.start-target-us", 1e6),
            number("limits.max-executions", 5.0),
            number("copies.keep-alive-us", 8e6),
            number("rules.fall-us", 2e6),
            number("rules.cold-us", 1e7),
            number("rules.cold-from", 0.2),
            ("workloads.0.effect".into(), text("restartable")),
            ("limits.cancel".into(), Value::Flag(true)),
        ]);
        let added = settings.iter();
        map.extend(added.map(|(name, value)| (name.to_string(), value.clone())));
        let mut host = FakeHost {
            router: Router::new(seed, &Settings(map)),
            now: 1_000_000,
            log: DecisionLog {
                actions: Vec::new(),
                wake_at: Micros::MAX,
                retry_afters: Vec::new(),
                attempt_limits: Vec::new(),
                load_deadlines: Vec::new(),
            },
            attempts: BTreeMap::new(),
            report: None,
        };
        host.update_endpoints(EndpointListKind::Cached, ready_endpoints(0..workers));
        host
    }

    pub fn handle(&mut self, batch: EventBatch) {
        let from = self.log.actions.len();
        self.router.handle(self.now, &batch, &mut self.log);
        for action in &self.log.actions[from..] {
            if let Action::Dispatch { request, .. } = action {
                *self.attempts.entry(*request).or_default() += 1;
            }
        }
    }

    /// Advances the clock by `span`, calling the module at each wake-up that it requested; returns the number of
    /// calls.
    pub fn advance(&mut self, span: Micros) -> usize {
        let until = self.now + span;
        let mut calls = 0;
        while self.log.wake_at <= until {
            self.now = self.now.max(self.log.wake_at);
            self.log.wake_at = Micros::MAX;
            self.handle(EventBatch {
                timer: true,
                ..EventBatch::default()
            });
            calls += 1;
        }
        self.now = until;
        calls
    }

    // ---- Events

    /// A request of the only workload, with a deadline in three seconds.
    pub fn request(&self, id: u64, function: u64) -> Request {
        Request {
            id: RequestId(id),
            function: FunctionId(function),
            workload: WorkloadId(0),
            customer: CustomerId(0),
            deadline: self.now + 3_000_000,
            memory_mb: 100.0,
            concurrency: 1.0,
            load_time: None,
            expected_work: None,
            is_retry: false,
        }
    }

    pub fn send(&mut self, id: u64, function: u64) {
        self.send_all(vec![self.request(id, function)]);
    }

    /// Sends requests in one batch.
    pub fn send_all(&mut self, requests: Vec<Request>) {
        self.handle(EventBatch {
            requests,
            ..EventBatch::default()
        });
    }

    pub fn update_endpoints(&mut self, kind: EndpointListKind, endpoints: Vec<Endpoint>) {
        self.handle(EventBatch {
            endpoint_lists: vec![EndpointList { kind, endpoints }],
            ..EventBatch::default()
        });
    }

    /// Reports a change of one endpoint.
    pub fn update_endpoint(&mut self, endpoint: Endpoint) {
        self.update_endpoints(EndpointListKind::Delta, vec![endpoint]);
    }

    /// Advances the clock by `latency` and ends the newest attempt of a request.
    pub fn end_attempt(&mut self, id: u64, outcome: Outcome, warmth: Warmth, latency: Micros) {
        self.now += latency;
        self.report_outcome(id, outcome, warmth, latency);
    }

    /// Advances the clock by `latency` and ends the newest attempt of a request with success.
    pub fn succeed(&mut self, id: u64, warmth: Warmth, latency: Micros) {
        self.end_attempt(id, Outcome::Finished, warmth, latency);
    }

    /// Reports the outcome of the newest attempt of a request without advancing the clock.
    pub fn report_outcome(&mut self, id: u64, outcome: Outcome, warmth: Warmth, latency: Micros) {
        let result = AttemptResult {
            request: RequestId(id),
            attempt: self.attempts.get(&id).map_or(0, |count| count - 1),
            worker: WorkerId(self.dispatched_to(id).unwrap_or(0)),
            outcome,
            latency,
            is_final: outcome == Outcome::Finished,
            warmth,
            function_in_flight: None,
            report: self.report,
        };
        self.handle(EventBatch {
            attempt_results: vec![result],
            ..EventBatch::default()
        });
    }

    /// Reports the outcome of a load command or query.
    pub fn end_load(&mut self, worker: u64, function: u64, outcome: Outcome, instances: u32) {
        let result = LoadResult {
            worker: WorkerId(worker),
            function: FunctionId(function),
            outcome,
            latency: 1_000,
            instances,
        };
        self.handle(EventBatch {
            load_results: vec![result],
            ..EventBatch::default()
        });
    }

    /// Answers all queries made so far with this number of instances.
    pub fn answer_queries(&mut self, instances: u32) {
        for action in self.log.actions.clone() {
            if let Action::Load {
                worker,
                function,
                instances: 0,
            } = action
            {
                self.end_load(worker, function, Outcome::Finished, instances);
            }
        }
    }

    /// Advances the clock by `latency` and completes the first load command for a function; returns its worker.
    pub fn complete_first_load(&mut self, function: u64, latency: Micros) -> u64 {
        self.now += latency;
        let command = self.log.actions.iter().find_map(|action| match action {
            Action::Load {
                worker,
                function: commanded,
                instances,
            } if *commanded == function && *instances > 0 => Some((*worker, *instances)),
            _ => None,
        });
        let (worker, instances) = command.unwrap_or((99, 0));
        self.end_load(worker, function, Outcome::Finished, instances);
        worker
    }

    // ---- Decisions

    pub fn count(&self, is_counted: impl Fn(&Action) -> bool) -> usize {
        let actions = self.log.actions.iter();
        actions.filter(|action| is_counted(action)).count()
    }

    /// The number of rejected requests.
    pub fn rejections(&self) -> usize {
        self.count(|action| matches!(action, Action::Reject(_)))
    }

    /// The number of final answers (rejection or failure) given to a request.
    pub fn final_answers(&self, id: u64) -> usize {
        self.count(|action| *action == Action::Fail(id) || *action == Action::Reject(id))
    }

    /// The worker of the newest attempt of a request.
    pub fn dispatched_to(&self, id: u64) -> Option<u64> {
        self.log
            .actions
            .iter()
            .rev()
            .find_map(|action| match action {
                Action::Dispatch { request, worker } if *request == id => Some(*worker),
                _ => None,
            })
    }

    pub fn is_dispatched(&self, id: u64) -> bool {
        self.dispatched_to(id).is_some()
    }

    /// The number of commands to load this many instances, or of queries if zero; of one function or of all.
    pub fn load_commands(&self, function: impl Into<Option<u64>>, instances: u32) -> usize {
        let function = function.into();
        self.count(|action| match action {
            Action::Load {
                function: commanded,
                instances: wanted,
                ..
            } => *wanted == instances && function.is_none_or(|function| *commanded == function),
            _ => false,
        })
    }

    /// Workers queried for instances of a function.
    pub fn queried_workers(&self, function: u64) -> Vec<u64> {
        let queries = self.log.actions.iter().filter_map(|action| match action {
            Action::Load {
                worker,
                function: commanded,
                instances: 0,
            } if *commanded == function => Some(*worker),
            _ => None,
        });
        queries.collect()
    }
}

pub fn endpoint(worker: u64, state: WorkerState, started_at: Micros) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        zone: ZoneId(0),
        cell: CellId(0),
        kind: KindId(0),
        size: 1.0,
        state,
        started_at,
    }
}

/// An endpoint that has long been ready.
pub fn ready_endpoint(worker: u64) -> Endpoint {
    endpoint(worker, WorkerState::Ready, 0)
}

pub fn ready_endpoints(workers: std::ops::Range<u64>) -> Vec<Endpoint> {
    workers.map(ready_endpoint).collect()
}

/// A load report with these numbers of requests in flight and queued.
pub fn report(in_flight: f64, queued: f64) -> Option<LoadReport> {
    Some(LoadReport {
        in_flight: Some(in_flight),
        queued: Some(queued),
        ..LoadReport::default()
    })
}
