//! The host of a decision module in a simulated router: the requests, attempts and connections that an edge manages.
//! The host makes no decisions itself.

use super::simulated::Message;
use sanddrum::{
    AttemptLimits, AttemptResult, Decisions, EventBatch, FunctionId, HealthCheckResult, LoadReport,
    LoadResult, Micros, Outcome, PeerId, RequestId, Router, Settings, Warmth, WorkerId,
};
use sanddrum_upstream::{ConnectionEvents, ConnectionPolicy, WorkerConnectionId};
use sanddrum_wire::{ExecutionStatus, InstanceState, LoadReport as WireLoadReport};
use std::collections::{BTreeMap, BTreeSet};

/// A decision of a module, as recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    Execute {
        job: RequestId,
        worker: WorkerId,
        limits: AttemptLimits,
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
        send_deadline: Micros,
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
    /// Passes the decision on to `out`.
    pub fn write(&self, out: &mut impl Decisions) {
        match *self {
            Decision::Execute {
                job,
                worker,
                limits,
            } => out.dispatch(job, worker, limits),
            Decision::Cancel { job, execution } => out.cancel(job, execution),
            Decision::PushBack { job, wait } => out.reject(job, wait),
            Decision::Kill { job } => out.fail(job),
            Decision::Hold {
                worker,
                function,
                copies,
                send_deadline,
            } => out.load(worker, function, copies, send_deadline),
            Decision::Unload { worker, function } => out.unload(worker, function),
            Decision::Probe { worker } => out.check_health(worker),
            Decision::Subscribe => out.subscribe(),
            Decision::WakeAt(at) => out.wake_at(at),
        }
    }
}

/// Records decisions in order. They are carried out after the round, so that only the module's own time is measured.
#[derive(Debug, Default)]
pub struct RecordedDecisions(pub Vec<Decision>);

impl Decisions for RecordedDecisions {
    fn dispatch(&mut self, job: RequestId, worker: WorkerId, limits: AttemptLimits) {
        self.0.push(Decision::Execute {
            job,
            worker,
            limits,
        });
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
    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u32, send_deadline: Micros) {
        self.0.push(Decision::Hold {
            worker,
            function,
            copies,
            send_deadline,
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
        // Simulated routers can't reach each other.
    }
    fn wake_at(&mut self, at: Micros) {
        self.0.push(Decision::WakeAt(at));
    }
    fn log(&mut self, _: &str) {}
}

/// The counters of a run, of one router or of all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub requests: u64,
    pub finished: u64,
    pub rejected: u64,
    pub failed: u64,
    pub attempts: u64,
    pub misses: u64,
    pub load_queries: u64,
    pub load_commands: u64,
    pub unloads: u64,
    pub health_checks: u64,
    pub cancels: u64,
    pub handshakes: u64,
    /// Rows received in endpoint lists.
    pub rows: u64,
    pub rounds: u64,
    /// Processor time of the module's rounds, in nanoseconds.
    pub nanoseconds: u64,
    /// Processor time of the rounds without a request or an attempt result, in nanoseconds.
    pub control_nanoseconds: u64,
    /// Processor time of the connection policy, in nanoseconds.
    pub connection_nanoseconds: u64,
    /// Control messages in both directions, and their bytes on the wire.
    pub messages: u64,
    pub bytes: u64,
    /// Loads started at workers.
    pub loads: u64,
}

impl Counts {
    /// Requests with a final answer.
    pub fn ended(&self) -> u64 {
        self.finished + self.rejected + self.failed
    }
    /// The difference to earlier counts.
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
            requests,
            finished,
            rejected,
            failed,
            attempts,
            misses,
            load_queries,
            load_commands,
            unloads,
            health_checks,
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
            requests,
            finished,
            rejected,
            failed,
            attempts,
            misses,
            load_queries,
            load_commands,
            unloads,
            health_checks,
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

pub(crate) struct HostedRequest {
    pub function: usize,
    pub work: f64,
    pub deadline: Micros,
    pub arrived: Micros,
    pub attempts: Vec<u64>,
    pub in_flight: usize,
    pub closed: bool,
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub request: RequestId,
    pub index: usize,
    pub worker: WorkerId,
    pub sent: Micros,
    /// The key of the timeout in the event queue.
    pub timeout: (Micros, u64),
    pub connection: WorkerConnectionId,
}

/// A load command, query or health check that waits for its answer.
#[derive(Clone, Copy)]
pub(crate) struct PendingControl {
    pub worker: WorkerId,
    pub function: FunctionId,
    pub sent: Micros,
    pub timeout: (Micros, u64),
    pub connection: WorkerConnectionId,
}

/// Identifies a message on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MessageTag {
    Attempt(u64),
    Load(u64),
    HealthCheck(u64),
    /// A message without an answer.
    Unanswered,
}

/// A connection to a worker, established or not.
pub(crate) struct WorkerConnection {
    /// The worker's index in the fleet.
    pub to: usize,
    pub worker: WorkerId,
    /// The incarnation of the worker when the connection was opened.
    pub incarnation: u64,
    /// The handshake has started or is complete.
    pub open_started: bool,
    pub up: bool,
    /// The connection takes no new messages and ends once it is unused.
    pub retired: bool,
    /// Messages that aren't written yet.
    pub unsent: Vec<(MessageTag, Message)>,
    pub in_flight: BTreeSet<MessageTag>,
    pub idle_since: Micros,
}

impl WorkerConnection {
    pub fn new(to: usize, worker: WorkerId, now: Micros) -> Self {
        let (open_started, up, retired, incarnation) = (false, false, false, 0);
        let (unsent, in_flight, idle_since) = (Vec::new(), BTreeSet::new(), now);
        WorkerConnection {
            to,
            worker,
            incarnation,
            open_started,
            up,
            retired,
            unsent,
            in_flight,
            idle_since,
        }
    }
}

/// A decision module and its bookkeeping.
pub struct DecisionHost {
    pub(crate) module: Router,
    pub(crate) zone: usize,
    pub(crate) requests: BTreeMap<RequestId, HostedRequest>,
    pub(crate) attempts: BTreeMap<u64, Attempt>,
    pub(crate) load_commands: BTreeMap<u64, PendingControl>,
    pub(crate) health_checks: BTreeMap<u64, PendingControl>,
    pub(crate) connections: BTreeMap<WorkerConnectionId, WorkerConnection>,
    /// The connections to each listed worker, without retired ones.
    pub(crate) targets: BTreeMap<WorkerId, BTreeSet<WorkerConnectionId>>,
    pub(crate) connections_created: u64,
    /// Connections whose queued messages are sent if they are established.
    pub(crate) connections_to_flush: BTreeSet<WorkerConnectionId>,
    pub(crate) connection_policy: ConnectionPolicy,
    pub(crate) connection_events: ConnectionEvents,
    pub(crate) connection_wake: Option<Micros>,
    pub(crate) round: EventBatch,
    pub(crate) wake: Option<Micros>,
    /// The time of the host's next turn in the event queue.
    pub(crate) scheduled_wakeup: Option<Micros>,
    next_request: u64,
    next_attempt_id: u64,
    next_control_id: u64,
    /// When the last load command for each function was sent.
    pub(crate) last_load_sent: BTreeMap<FunctionId, Micros>,
    pub counts: Counts,
}

impl DecisionHost {
    pub fn new(seed: u64, settings: &Settings, zone: usize) -> Self {
        DecisionHost {
            module: Router::new(seed, settings),
            zone,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            load_commands: BTreeMap::new(),
            health_checks: BTreeMap::new(),
            connections: BTreeMap::new(),
            targets: BTreeMap::new(),
            connections_created: 0,
            connections_to_flush: BTreeSet::new(),
            // Derives the same seed as an edge.
            connection_policy: ConnectionPolicy::new(seed ^ 0xc0, settings),
            connection_events: ConnectionEvents::default(),
            connection_wake: None,
            round: EventBatch::default(),
            wake: None,
            scheduled_wakeup: None,
            next_request: 0,
            next_attempt_id: 0,
            next_control_id: 0,
            last_load_sent: BTreeMap::new(),
            counts: Counts::default(),
        }
    }
    pub(crate) fn add_request(&mut self, request: HostedRequest) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(id, request);
        id
    }
    pub(crate) fn next_attempt_id(&mut self) -> u64 {
        self.next_attempt_id += 1;
        self.next_attempt_id
    }
    pub(crate) fn next_control_id(&mut self) -> u64 {
        self.next_control_id += 1;
        self.next_control_id
    }
    pub(crate) fn has_events(&self) -> bool {
        let r = &self.round;
        !(r.endpoint_lists.is_empty()
            && r.requests.is_empty()
            && r.attempt_results.is_empty()
            && r.load_results.is_empty()
            && r.health_check_results.is_empty())
    }
    /// Marks a request as answered; returns whether it was open.
    pub(crate) fn close(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.closed) else {
            return false;
        };
        request.closed = true;
        self.remove_if_done(id);
        true
    }
    fn remove_if_done(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.closed && request.in_flight == 0)
        {
            self.requests.remove(&id);
        }
    }
    /// Ends an attempt and queues its result for the module; `None` if it has ended before.
    pub(crate) fn attempt_ended(
        &mut self,
        now: Micros,
        id: u64,
        outcome: Outcome,
        warmth: Warmth,
        function_in_flight: Option<u32>,
        report: Option<LoadReport>,
    ) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let is_final = match self.requests.get_mut(&attempt.request) {
            Some(request) => {
                request.in_flight = request.in_flight.saturating_sub(1);
                request.closed
            }
            None => true,
        };
        self.remove_if_done(attempt.request);
        self.counts.misses += u64::from(outcome == Outcome::ColdMiss);
        let Attempt {
            request,
            index,
            worker,
            sent,
            ..
        } = attempt;
        let latency = now - sent;
        self.round.attempt_results.push(AttemptResult {
            request,
            attempt: index,
            worker,
            outcome,
            latency,
            is_final,
            warmth,
            function_in_flight,
            report,
        });
        Some(attempt)
    }
    pub(crate) fn load_ended(
        &mut self,
        now: Micros,
        id: u64,
        outcome: Outcome,
        instances: u32,
    ) -> Option<PendingControl> {
        let pending = self.load_commands.remove(&id)?;
        let PendingControl {
            worker,
            function,
            sent,
            ..
        } = pending;
        self.round.load_results.push(LoadResult {
            worker,
            function,
            outcome,
            latency: now - sent,
            instances,
        });
        Some(pending)
    }
    pub(crate) fn health_check_ended(
        &mut self,
        now: Micros,
        id: u64,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> Option<PendingControl> {
        let pending = self.health_checks.remove(&id)?;
        self.round.health_check_results.push(HealthCheckResult {
            worker: pending.worker,
            outcome,
            latency: now - pending.sent,
            report,
        });
        Some(pending)
    }
}

pub(crate) fn execution_outcome(ended: ExecutionStatus) -> Outcome {
    match ended {
        ExecutionStatus::Finished => Outcome::Finished,
        ExecutionStatus::Error => Outcome::Error,
        ExecutionStatus::Rejected => Outcome::Rejected,
        ExecutionStatus::ColdMiss => Outcome::ColdMiss,
        ExecutionStatus::Dropped => Outcome::CancelledBeforeStart,
    }
}

pub(crate) fn load_outcome(ended: ExecutionStatus) -> Outcome {
    match ended {
        ExecutionStatus::Finished => Outcome::Finished,
        ExecutionStatus::Error | ExecutionStatus::ColdMiss => Outcome::Error,
        ExecutionStatus::Rejected | ExecutionStatus::Dropped => Outcome::Rejected,
    }
}

pub(crate) fn warmth_from_wire(instance: Option<InstanceState>) -> Warmth {
    match instance {
        Some(InstanceState::Warm) => Warmth::Warm,
        Some(InstanceState::StartedLoad) => Warmth::StartedLoad,
        Some(InstanceState::WaitedForLoad) => Warmth::WaitedForLoad,
        Some(InstanceState::LoadFailed) => Warmth::LoadFailed,
        None => Warmth::Unknown,
    }
}

pub(crate) fn report_from_wire(report: &WireLoadReport) -> LoadReport {
    LoadReport {
        in_flight: report.in_flight,
        queued: report.queued,
        busy: report.busy,
        memory_pinned: report.memory_pinned,
        loads_in_progress: report.loads_in_progress,
        ..LoadReport::default()
    }
}
