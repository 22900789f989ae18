//! A tiny fake host: it keeps what the module decided and lets a story say what came of it.
#![allow(dead_code)]

use sanddrum::*;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Did {
    Execute(u64, u64),
    Cancel(u64, usize),
    PushBack(u64),
    Kill(u64),
    Hold(u64, u64, u32),
    Unload(u64, u64),
    Probe(u64),
    Subscribe,
}

pub struct Log {
    pub did: Vec<Did>,
    pub wake: Micros,
    /// Times to come back, in the order they were told.
    pub waits: Vec<Micros>,
}

impl Decisions for Log {
    fn dispatch(&mut self, job: RequestId, worker: WorkerId, _: Micros) {
        self.did.push(Did::Execute(job.0, worker.0));
    }
    fn cancel(&mut self, job: RequestId, execution: usize) {
        self.did.push(Did::Cancel(job.0, execution));
    }
    fn reject(&mut self, job: RequestId, wait: Micros) {
        self.waits.push(wait);
        self.did.push(Did::PushBack(job.0));
    }
    fn fail(&mut self, job: RequestId) {
        self.did.push(Did::Kill(job.0));
    }
    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u32) {
        self.did.push(Did::Hold(worker.0, function.0, copies));
    }
    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        self.did.push(Did::Unload(worker.0, function.0));
    }
    fn check_health(&mut self, worker: WorkerId) {
        self.did.push(Did::Probe(worker.0));
    }
    fn subscribe(&mut self) {
        self.did.push(Did::Subscribe);
    }
    fn gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn wake_at(&mut self, at: Micros) {
        self.wake = at;
    }
    fn log(&mut self, _: &str) {}
}

pub struct Host {
    pub router: Router,
    pub now: Micros,
    pub log: Log,
    /// Executions a job has had.
    pub tries: BTreeMap<u64, usize>,
    /// What workers report with each answer.
    pub report: Option<LoadReport>,
}

impl Host {
    /// Workers 0 to `workers` - 1, one restartable workload, and what the story sets beside that.
    pub fn new(workers: u64, set: &[(&str, Value)]) -> Host {
        Host::seeded(1, workers, set)
    }

    pub fn seeded(seed: u64, workers: u64, set: &[(&str, Value)]) -> Host {
        let number = |name: &str, n: f64| (name.to_string(), Value::Number(n));
        let mut map = BTreeMap::from([
            number("workloads.count", 1.0),
            number("workloads.0.start-target-us", 1e6),
            number("limits.max-executions", 5.0),
            number("copies.keep-alive-us", 8e6),
            number("rules.fall-us", 2e6),
            number("rules.cold-us", 1e7),
            number("rules.cold-from", 0.2),
            (
                "workloads.0.effect".into(),
                Value::Text("restartable".into()),
            ),
            ("limits.cancel".into(), Value::Flag(true)),
        ]);
        map.extend(
            set.iter()
                .map(|(name, value)| (name.to_string(), value.clone())),
        );
        let router = Router::new(seed, &Settings(map));
        let mut host = Host {
            router,
            now: 1_000_000,
            log: Log {
                did: Vec::new(),
                wake: Micros::MAX,
                waits: Vec::new(),
            },
            tries: BTreeMap::new(),
            report: None,
        };
        let rows = (0..workers)
            .map(|w| row(w, WorkerState::Ready, 0))
            .collect();
        host.handle(EventBatch {
            endpoint_lists: vec![EndpointList {
                kind: EndpointListKind::Cached,
                endpoints: rows,
            }],
            ..EventBatch::default()
        });
        host
    }

    pub fn handle(&mut self, round: EventBatch) {
        let from = self.log.did.len();
        self.router.handle(self.now, &round, &mut self.log);
        for did in &self.log.did[from..] {
            if let Did::Execute(job, _) = did {
                *self.tries.entry(*job).or_default() += 1;
            }
        }
    }

    pub fn draft(&self, id: u64, function: u64) -> Request {
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

    pub fn job(&mut self, id: u64, function: u64) {
        self.handle(EventBatch {
            requests: vec![self.draft(id, function)],
            ..EventBatch::default()
        });
    }

    pub fn list(&mut self, kind: EndpointListKind, rows: Vec<Endpoint>) {
        self.handle(EventBatch {
            endpoint_lists: vec![EndpointList {
                kind,
                endpoints: rows,
            }],
            ..EventBatch::default()
        });
    }

    pub fn count(&self, what: impl Fn(&Did) -> bool) -> usize {
        self.log.did.iter().filter(|did| what(did)).count()
    }

    /// Final answers given for a job.
    pub fn finals(&self, job: u64) -> usize {
        self.count(|did| *did == Did::Kill(job) || *did == Did::PushBack(job))
    }

    pub fn asked(&self, function: u64) -> Vec<u64> {
        let asks = self.log.did.iter().filter_map(|did| match did {
            Did::Hold(w, f, 0) if *f == function => Some(*w),
            _ => None,
        });
        asks.collect()
    }

    pub fn order_end(&mut self, worker: u64, function: u64, end: Outcome, copies: u32) {
        let (worker, function) = (WorkerId(worker), FunctionId(function));
        let news = LoadResult {
            worker,
            function,
            outcome: end,
            latency: 1_000,
            instances: copies,
        };
        self.handle(EventBatch {
            load_results: vec![news],
            ..EventBatch::default()
        });
    }

    /// Answers all asks out so far with so many copies.
    pub fn answer_asks(&mut self, copies: u32) {
        let asks: Vec<Did> = self
            .log
            .did
            .iter()
            .filter(|d| matches!(d, Did::Hold(_, _, 0)))
            .copied()
            .collect();
        for ask in asks {
            if let Did::Hold(worker, function, _) = ask {
                self.order_end(worker, function, Outcome::Finished, copies);
            }
        }
    }

    /// The first order to load a function succeeds after so long; tells where.
    pub fn loaded_by_order(&mut self, function: u64, latency: Micros) -> u64 {
        self.now += latency;
        let order = self.log.did.iter().find_map(|did| match did {
            Did::Hold(w, f, n) if *f == function && *n > 0 => Some((*w, *n)),
            _ => None,
        });
        let (worker, copies) = order.unwrap_or((99, 0));
        self.order_end(worker, function, Outcome::Finished, copies);
        worker
    }

    /// Where the newest execution of a job went.
    pub fn sent(&self, job: u64) -> Option<u64> {
        self.log.did.iter().rev().find_map(|did| match did {
            Did::Execute(j, w) if *j == job => Some(*w),
            _ => None,
        })
    }

    pub fn end(&mut self, job: u64, end: Outcome, warmth: Warmth, latency: Micros) {
        self.now += latency;
        self.answer(job, end, warmth, latency);
    }

    /// An execution's end, told now.
    pub fn answer(&mut self, job: u64, end: Outcome, warmth: Warmth, latency: Micros) {
        let worker = WorkerId(self.sent(job).unwrap_or(0));
        let execution = self.tries.get(&job).map_or(0, |n| n - 1);
        let settled = end == Outcome::Finished;
        let news = AttemptResult {
            request: RequestId(job),
            attempt: execution,
            worker,
            outcome: end,
            latency,
            is_final: settled,
            warmth,
            function_in_flight: None,
            report: self.report,
        };
        self.handle(EventBatch {
            attempt_results: vec![news],
            ..EventBatch::default()
        });
    }

    pub fn finish(&mut self, job: u64, warmth: Warmth, latency: Micros) {
        self.end(job, Outcome::Finished, warmth, latency);
    }

    /// Lets time pass, waking the module whenever it asked to be.
    pub fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.log.wake <= until {
            self.now = self.now.max(self.log.wake);
            self.log.wake = Micros::MAX;
            self.handle(EventBatch {
                timer: true,
                ..EventBatch::default()
            });
        }
        self.now = until;
    }
}

pub fn row(worker: u64, state: WorkerState, started: Micros) -> Endpoint {
    let worker = WorkerId(worker);
    Endpoint {
        worker,
        zone: ZoneId(0),
        cell: CellId(0),
        kind: KindId(0),
        size: 1.0,
        state,
        started_at: started,
    }
}
