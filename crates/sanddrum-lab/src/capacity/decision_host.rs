//! A hollow router: its decision module, and the jobs, executions and connections that an edge keeps for it. It decides
//! nothing by itself.

use super::simulated::Message;
use sanddrum::{
    AttemptResult, Decisions, EventBatch, FunctionId, HealthCheckResult, LoadReport, LoadResult,
    Micros, Outcome, PeerId, RequestId, Router, Settings, Warmth, WorkerId,
};
use sanddrum_upstream::{ConnectionEvents, ConnectionPolicy, WorkerConnectionId};
use sanddrum_wire::{ExecutionStatus, InstanceState, LoadReport as WireLoadReport};
use std::collections::{BTreeMap, BTreeSet};

/// What a module decided, as it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    Execute {
        job: RequestId,
        worker: WorkerId,
        limit: Micros,
    },
    Cancel {
        job: RequestId,
        execution: usize,
    },
    PushBack {
        job: RequestId,
        wait: Micros,
    },
    Kill {
        job: RequestId,
    },
    Hold {
        worker: WorkerId,
        function: FunctionId,
        copies: u32,
    },
    Unload {
        worker: WorkerId,
        function: FunctionId,
    },
    Probe {
        worker: WorkerId,
    },
    Subscribe,
    WakeAt(Micros),
}

impl Decision {
    /// Writes it to whom it is meant for.
    pub fn write(&self, out: &mut impl Decisions) {
        match *self {
            Decision::Execute { job, worker, limit } => out.dispatch(job, worker, limit),
            Decision::Cancel { job, execution } => out.cancel(job, execution),
            Decision::PushBack { job, wait } => out.reject(job, wait),
            Decision::Kill { job } => out.fail(job),
            Decision::Hold {
                worker,
                function,
                copies,
            } => out.load(worker, function, copies),
            Decision::Unload { worker, function } => out.unload(worker, function),
            Decision::Probe { worker } => out.check_health(worker),
            Decision::Subscribe => out.subscribe(),
            Decision::WakeAt(at) => out.wake_at(at),
        }
    }
}

/// Decisions in the order written; carried out after the round, so that only the module's own time is in it.
#[derive(Debug, Default)]
pub struct Written(pub Vec<Decision>);

impl Decisions for Written {
    fn dispatch(&mut self, job: RequestId, worker: WorkerId, limit: Micros) {
        self.0.push(Decision::Execute { job, worker, limit });
    }
    fn cancel(&mut self, job: RequestId, execution: usize) {
        self.0.push(Decision::Cancel { job, execution });
    }
    fn reject(&mut self, job: RequestId, wait: Micros) {
        self.0.push(Decision::PushBack { job, wait });
    }
    fn fail(&mut self, job: RequestId) {
        self.0.push(Decision::Kill { job });
    }
    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u32) {
        self.0.push(Decision::Hold {
            worker,
            function,
            copies,
        });
    }
    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        self.0.push(Decision::Unload { worker, function });
    }
    fn check_health(&mut self, worker: WorkerId) {
        self.0.push(Decision::Probe { worker });
    }
    fn subscribe(&mut self) {
        self.0.push(Decision::Subscribe);
    }
    fn gossip(&mut self, _: Option<PeerId>, _: &[u8]) {
        // Routers have no way to each other.
    }
    fn wake_at(&mut self, at: Micros) {
        self.0.push(Decision::WakeAt(at));
    }
    fn log(&mut self, _: &str) {}
}

/// What a play counts, of one router or of all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub calls: u64,
    pub finished: u64,
    pub pushed_back: u64,
    pub killed: u64,
    pub executions: u64,
    pub misses: u64,
    pub asks: u64,
    pub orders: u64,
    pub unloads: u64,
    pub probes: u64,
    pub cancels: u64,
    pub handshakes: u64,
    /// Rows of the worker list that came.
    pub rows: u64,
    pub rounds: u64,
    /// Processor time of the rounds, in nanoseconds, and of those without a call or an answer to one.
    pub nanoseconds: u64,
    pub control_nanoseconds: u64,
    /// The same of the connection module.
    pub connection_nanoseconds: u64,
    /// Control messages both ways, and their bytes on the wire.
    pub messages: u64,
    pub bytes: u64,
    /// Loads begun at workers.
    pub loads: u64,
}

impl Counts {
    /// Calls that have their final answer.
    pub fn ended(&self) -> u64 {
        self.finished + self.pushed_back + self.killed
    }
    /// What came since an earlier count.
    pub fn since(&self, before: &Counts) -> Counts {
        let mut since = self.clone();
        for (field, before) in since.fields().into_iter().zip(before.clone().fields()) {
            *field -= *before;
        }
        since
    }
    pub fn add(&mut self, other: &Counts) {
        for (field, other) in self.fields().into_iter().zip(other.clone().fields()) {
            *field += *other;
        }
    }
    fn fields(&mut self) -> [&mut u64; 20] {
        let Counts {
            calls,
            finished,
            pushed_back,
            killed,
            executions,
            misses,
            asks,
            orders,
            unloads,
            probes,
            cancels,
            handshakes,
            rows,
            rounds,
            nanoseconds,
            control_nanoseconds,
            connection_nanoseconds,
            messages,
            bytes,
            loads,
        } = self;
        [
            calls,
            finished,
            pushed_back,
            killed,
            executions,
            misses,
            asks,
            orders,
            unloads,
            probes,
            cancels,
            handshakes,
            rows,
            rounds,
            nanoseconds,
            control_nanoseconds,
            connection_nanoseconds,
            messages,
            bytes,
            loads,
        ]
    }
}

pub(crate) struct HostedJob {
    pub function: usize,
    pub work: f64,
    pub due: Micros,
    pub came: Micros,
    pub executions: Vec<u64>,
    pub out: usize,
    pub closed: bool,
}

#[derive(Clone, Copy)]
pub(crate) struct Out {
    pub job: RequestId,
    pub number: usize,
    pub worker: WorkerId,
    pub sent: Micros,
    /// Its time-out's place in the queue of events.
    pub late: (Micros, u64),
    pub link: WorkerConnectionId,
}

#[derive(Clone, Copy)]
pub(crate) struct Asked {
    pub worker: WorkerId,
    pub function: FunctionId,
    pub sent: Micros,
    pub late: (Micros, u64),
    pub link: WorkerConnectionId,
}

/// What is out on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Mark {
    Execution(u64),
    Order(u64),
    Probe(u64),
    /// It wants no answer.
    Other,
}

/// A connection to a worker, or one that is to be.
pub(crate) struct Link {
    /// The worker's place in the fleet, and its name.
    pub to: usize,
    pub worker: WorkerId,
    /// Of the process that was dialled.
    pub incarnation: u64,
    pub dialled: bool,
    pub up: bool,
    /// It gets nothing new, and ends once it carries nothing.
    pub retired: bool,
    /// What isn't written yet.
    pub out: Vec<(Mark, Message)>,
    pub carries: BTreeSet<Mark>,
    pub quiet_since: Micros,
}

impl Link {
    pub fn new(to: usize, worker: WorkerId, now: Micros) -> Self {
        let (dialled, up, retired, incarnation) = (false, false, false, 0);
        let (out, carries, quiet_since) = (Vec::new(), BTreeSet::new(), now);
        Link {
            to,
            worker,
            incarnation,
            dialled,
            up,
            retired,
            out,
            carries,
            quiet_since,
        }
    }
}

pub struct Host {
    pub(crate) module: Router,
    pub(crate) zone: usize,
    pub(crate) jobs: BTreeMap<RequestId, HostedJob>,
    pub(crate) executions: BTreeMap<u64, Out>,
    pub(crate) orders: BTreeMap<u64, Asked>,
    pub(crate) probes: BTreeMap<u64, Asked>,
    pub(crate) links: BTreeMap<WorkerConnectionId, Link>,
    /// Connections to each worker that may be called, but retired ones.
    pub(crate) targets: BTreeMap<WorkerId, BTreeSet<WorkerConnectionId>>,
    pub(crate) made: u64,
    pub(crate) dirty: BTreeSet<WorkerConnectionId>,
    pub(crate) connections: ConnectionPolicy,
    pub(crate) news: ConnectionEvents,
    pub(crate) connect_wake: Option<Micros>,
    pub(crate) round: EventBatch,
    pub(crate) wake: Option<Micros>,
    /// When its next turn stands in the queue of events.
    pub(crate) turn_at: Option<Micros>,
    next_job: u64,
    next_execution: u64,
    next_asked: u64,
    /// When it last ordered copies of a function.
    pub(crate) ordered: BTreeMap<FunctionId, Micros>,
    pub counts: Counts,
}

impl Host {
    pub fn new(seed: u64, settings: &Settings, zone: usize) -> Self {
        Host {
            module: Router::new(seed, settings),
            zone,
            jobs: BTreeMap::new(),
            executions: BTreeMap::new(),
            orders: BTreeMap::new(),
            probes: BTreeMap::new(),
            links: BTreeMap::new(),
            targets: BTreeMap::new(),
            made: 0,
            dirty: BTreeSet::new(),
            // A seed of its own, as an edge gives it.
            connections: ConnectionPolicy::new(seed ^ 0xc0, settings),
            news: ConnectionEvents::default(),
            connect_wake: None,
            round: EventBatch::default(),
            wake: None,
            turn_at: None,
            next_job: 0,
            next_execution: 0,
            next_asked: 0,
            ordered: BTreeMap::new(),
            counts: Counts::default(),
        }
    }
    pub(crate) fn take(&mut self, job: HostedJob) -> RequestId {
        let id = RequestId(self.next_job);
        self.next_job += 1;
        self.jobs.insert(id, job);
        id
    }
    pub(crate) fn next_execution(&mut self) -> u64 {
        self.next_execution += 1;
        self.next_execution
    }
    pub(crate) fn next_asked(&mut self) -> u64 {
        self.next_asked += 1;
        self.next_asked
    }
    pub(crate) fn has_news(&self) -> bool {
        let r = &self.round;
        !(r.endpoint_lists.is_empty()
            && r.requests.is_empty()
            && r.attempt_results.is_empty()
            && r.load_results.is_empty()
            && r.health_check_results.is_empty())
    }
    /// The job has its final answer; none has two.
    pub(crate) fn close(&mut self, id: RequestId) -> bool {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.closed) else {
            return false;
        };
        job.closed = true;
        self.forget_if_done(id);
        true
    }
    fn forget_if_done(&mut self, id: RequestId) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|job| job.closed && job.out == 0)
        {
            self.jobs.remove(&id);
        }
    }
    /// The end of an execution, told to the module once; gives what was out.
    pub(crate) fn execution_ended(
        &mut self,
        now: Micros,
        id: u64,
        end: Outcome,
        warmth: Warmth,
        crowd: Option<u32>,
        report: Option<LoadReport>,
    ) -> Option<Out> {
        let out = self.executions.remove(&id)?;
        let settled = match self.jobs.get_mut(&out.job) {
            Some(job) => {
                job.out = job.out.saturating_sub(1);
                job.closed
            }
            None => true,
        };
        self.forget_if_done(out.job);
        self.counts.misses += u64::from(end == Outcome::ColdMiss);
        let Out {
            job,
            number,
            worker,
            sent,
            ..
        } = out;
        let latency = now - sent;
        self.round.attempt_results.push(AttemptResult {
            request: job,
            attempt: number,
            worker,
            outcome: end,
            latency,
            is_final: settled,
            warmth,
            function_in_flight: crowd,
            report,
        });
        Some(out)
    }
    pub(crate) fn order_ended(
        &mut self,
        now: Micros,
        id: u64,
        end: Outcome,
        copies: u32,
    ) -> Option<Asked> {
        let asked = self.orders.remove(&id)?;
        let Asked {
            worker,
            function,
            sent,
            ..
        } = asked;
        self.round.load_results.push(LoadResult {
            worker,
            function,
            outcome: end,
            latency: now - sent,
            instances: copies,
        });
        Some(asked)
    }
    pub(crate) fn probe_ended(
        &mut self,
        now: Micros,
        id: u64,
        end: Outcome,
        report: Option<LoadReport>,
    ) -> Option<Asked> {
        let asked = self.probes.remove(&id)?;
        self.round.health_check_results.push(HealthCheckResult {
            worker: asked.worker,
            outcome: end,
            latency: now - asked.sent,
            report,
        });
        Some(asked)
    }
}

pub(crate) fn end_of(ended: ExecutionStatus) -> Outcome {
    match ended {
        ExecutionStatus::Finished => Outcome::Finished,
        ExecutionStatus::Error => Outcome::Error,
        ExecutionStatus::Rejected => Outcome::Rejected,
        ExecutionStatus::ColdMiss => Outcome::ColdMiss,
        ExecutionStatus::Dropped => Outcome::CancelledBeforeStart,
    }
}

pub(crate) fn order_end_of(ended: ExecutionStatus) -> Outcome {
    match ended {
        ExecutionStatus::Finished => Outcome::Finished,
        ExecutionStatus::Error | ExecutionStatus::ColdMiss => Outcome::Error,
        ExecutionStatus::Rejected | ExecutionStatus::Dropped => Outcome::Rejected,
    }
}

pub(crate) fn warmth_of(copy: Option<InstanceState>) -> Warmth {
    match copy {
        Some(InstanceState::Warm) => Warmth::Warm,
        Some(InstanceState::StartedLoad) => Warmth::StartedLoad,
        Some(InstanceState::WaitedForLoad) => Warmth::WaitedForLoad,
        Some(InstanceState::LoadFailed) => Warmth::LoadFailed,
        None => Warmth::Unknown,
    }
}

pub(crate) fn report_of(report: &WireLoadReport) -> LoadReport {
    LoadReport {
        in_flight: report.in_flight,
        queued: report.queued,
        busy: report.busy,
        memory_pinned: report.memory_pinned,
        loads_in_progress: report.loads_in_progress,
        ..LoadReport::default()
    }
}
