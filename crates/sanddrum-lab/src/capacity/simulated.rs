//! The simulated fleet: real decision modules with simulated hosts, workers and clients in virtual time. A single
//! queue orders all events, so equal seeds give equal runs.

use super::decision_host::{
    execution_outcome, load_outcome, report_from_wire, warmth_from_wire, Counts, Decision,
    DecisionHost, HostedRequest, PendingControl,
};
use super::decision_host::{Attempt, MessageTag, RecordedDecisions};
use super::message_sizes::MessageSizes;
use super::model::{BackgroundRouters, Functions, Model, SimulatedWorker};
use super::start_stats::StartStats;
use super::{cpu_clock::ThreadCpuClock, Stop};
use sanddrum::{
    CellId, Endpoint, EndpointList, EndpointListKind, EventBatch, FunctionId, HealthCheckResult,
    KindId, LoadReport, LoadResult, Micros, Outcome, Request, RequestId, Settings, Warmth,
    WorkerId, WorkerState, WorkloadId, ZoneId,
};
use sanddrum_emulator::machine::{Effect, Task, Ticket};
use sanddrum_net::Rng;
use sanddrum_upstream::WorkerConnectionId;
use sanddrum_wire::{ExecutionStatus, InstanceState, Load, LoadReport as WireLoadReport};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;

mod connections;
mod routers;
mod workers;

/// Start of virtual time. Well above zero, which stands for a time long ago.
pub const START_TIME: Micros = 1_000_000_000;
/// Rounds of a decision module in one turn of its host, as in an edge.
const MAX_ROUNDS_PER_TURN: usize = 4;
/// Number of events after which the real time and the stop request are checked.
const EVENTS_PER_TIME_CHECK: u64 = 64;
/// Time for which a replaced worker is gone.
const RESTART_DELAY: Micros = 5_000_000;
/// Longest time to wait for the work of a draining worker.
const MAX_DRAIN_TIME: Micros = 10_000_000;
/// How often a draining worker is checked for remaining work.
const DRAIN_CHECK_INTERVAL: Micros = 100_000;

/// How long it takes to fetch a function.
#[derive(Clone, Copy, Debug)]
pub enum LoadTimes {
    /// A random time from the model.
    Random,
    /// The time that the emulated function store in the first zone takes without contention.
    Store { us_per_mb: f64 },
}

/// A request that arrives at a router at a given time.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Micros,
    pub router: usize,
    pub function: usize,
    pub work: f64,
    pub due: Micros,
    /// The amount of work that the client declares.
    pub hint: Option<Micros>,
}

/// Where the routers' endpoint lists come from.
#[derive(Clone, Debug)]
pub enum ListSource {
    /// A full list at the start, and deltas when workers change.
    AtStart,
    /// The first router gets exactly these lists.
    Given(Vec<(Micros, EndpointList)>),
}

/// Where requests come from.
#[derive(Clone, Debug)]
pub enum Arrivals {
    /// Poisson arrivals with `rate` requests a second at each router, independent of the others, until `until`.
    Random {
        rate: f64,
        until: Micros,
    },
    Given(Vec<Arrival>),
}

/// The parameters of a simulated fleet.
pub struct FleetSpec {
    /// Seed and settings of the decision module of each simulated router.
    pub modules: Vec<(u64, Settings)>,
    pub workers: usize,
    pub zones: usize,
    pub model: Model,
    pub functions: Rc<Functions>,
    pub arrivals: Arrivals,
    pub lists: ListSource,
    pub loads: LoadTimes,
    pub background: Option<BackgroundRouters>,
    pub seed: u64,
}

/// A scripted failure or change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptedEvent {
    /// A worker fails without notice.
    Fail(usize),
    /// A worker drains and restarts; it then has no instances and is warming up.
    Replace(usize),
    ZoneLost(usize),
    ZoneRestored(usize),
    /// The endpoint list publishes an unchanged worker again.
    Republish(usize),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStatus {
    Done,
    /// The limit on real time was reached first.
    OutOfTime,
    Stopped,
}

pub(crate) enum Message {
    Execute {
        id: u64,
        function: usize,
        work: f64,
        limit: Micros,
    },
    Cancel {
        id: u64,
    },
    Load {
        id: u64,
        function: usize,
        instances: u32,
    },
    Unload {
        function: usize,
    },
    HealthCheck {
        id: u64,
    },
}

enum Answer {
    ExecutionDone {
        id: u64,
        status: ExecutionStatus,
        instance: Option<InstanceState>,
        report: WireLoadReport,
        worker: usize,
    },
    LoadDone {
        id: u64,
        status: ExecutionStatus,
        instances: u32,
    },
    HealthChecked {
        id: u64,
        report: WireLoadReport,
        worker: usize,
    },
}

enum Event {
    /// The next random request at a router.
    NextArrival(usize),
    Given(Arrival),
    RouterWakeup(usize),
    ToWorker {
        worker: usize,
        incarnation: u64,
        router: usize,
        message: Message,
    },
    ToRouter {
        router: usize,
        answer: Answer,
    },
    WorkerWakeup(usize),
    Fetched {
        worker: usize,
        incarnation: u64,
        load: u64,
    },
    AttemptTimeout {
        router: usize,
        id: u64,
    },
    LoadTimeout {
        router: usize,
        id: u64,
    },
    HealthCheckTimeout {
        router: usize,
        id: u64,
    },
    ConnectionUp {
        router: usize,
        connection: WorkerConnectionId,
    },
    /// Checks a connection for its connect timeout, idle timeout or retirement.
    CheckConnection {
        router: usize,
        connection: WorkerConnectionId,
    },
    ConnectionBroken {
        router: usize,
        connection: WorkerConnectionId,
    },
    List {
        router: usize,
        list: Rc<EndpointList>,
    },
    Scripted(ScriptedEvent),
    /// Checks whether a draining worker has finished its work.
    CheckDrained {
        worker: usize,
        since: Micros,
    },
    WorkerBack(usize),
    EndpointsPublished(Vec<usize>),
}

pub struct Fleet {
    now: Micros,
    queue: BTreeMap<(Micros, u64), Event>,
    sequence: u64,
    pub hosts: Vec<DecisionHost>,
    pub workers: Vec<SimulatedWorker>,
    by_id: BTreeMap<WorkerId, usize>,
    by_function: BTreeMap<FunctionId, usize>,
    functions: Rc<Functions>,
    model: Model,
    arrivals: Arrivals,
    loads: LoadTimes,
    background: Option<BackgroundRouters>,
    zones: usize,
    lost_zones: BTreeSet<usize>,
    rng: Rng,
    seed: u64,
    workers_to_process: BTreeSet<usize>,
    routers_to_process: BTreeSet<usize>,
    message_sizes: MessageSizes,
    /// Start times of the requests that arrive in its window.
    pub starts: StartStats,
    /// All decisions with their times and routers, if recording was requested.
    pub log: Option<Vec<(Micros, usize, Decision)>>,
    /// The first router's rounds, if recording was requested.
    pub rounds: Option<Vec<(Micros, EventBatch)>>,
    clock: ThreadCpuClock,
}

impl Fleet {
    pub fn new(spec: FleetSpec) -> Self {
        let FleetSpec {
            modules,
            workers,
            zones,
            model,
            functions,
            arrivals,
            lists,
            loads,
            background,
            seed,
        } = spec;
        let simulated = (0..workers).map(|n| SimulatedWorker::new(n, zones, &model.size, seed));
        let workers: Vec<SimulatedWorker> = simulated.collect();
        let host = |(n, (seed, settings)): (usize, &(u64, Settings))| {
            DecisionHost::new(*seed, settings, n % zones.max(1))
        };
        let mut fleet = Fleet {
            now: START_TIME,
            queue: BTreeMap::new(),
            sequence: 0,
            hosts: modules.iter().enumerate().map(host).collect(),
            by_id: workers.iter().enumerate().map(|(n, w)| (w.id, n)).collect(),
            workers,
            by_function: functions
                .all
                .iter()
                .enumerate()
                .map(|(n, f)| (f.id, n))
                .collect(),
            message_sizes: MessageSizes::new(&functions),
            functions,
            model,
            arrivals,
            loads,
            background,
            zones,
            lost_zones: BTreeSet::new(),
            rng: Rng::new(seed ^ 0xf1ee7),
            seed,
            workers_to_process: BTreeSet::new(),
            routers_to_process: BTreeSet::new(),
            starts: StartStats::default(),
            log: None,
            rounds: None,
            clock: ThreadCpuClock::new(),
        };
        fleet.schedule_lists(lists);
        match fleet.arrivals.clone() {
            Arrivals::Random { .. } => {
                (0..fleet.hosts.len()).for_each(|router| fleet.schedule_arrival(router))
            }
            Arrivals::Given(arrivals) => arrivals.into_iter().for_each(|arrival| {
                fleet.schedule(arrival.at, Event::Given(arrival));
            }),
        }
        fleet
    }
    fn schedule_lists(&mut self, lists: ListSource) {
        match lists {
            ListSource::AtStart => {
                let rows = (0..self.workers.len()).map(|n| self.row(n)).collect();
                let list = Rc::new(EndpointList {
                    kind: EndpointListKind::Full,
                    endpoints: rows,
                });
                for router in 0..self.hosts.len() {
                    self.schedule(
                        START_TIME,
                        Event::List {
                            router,
                            list: list.clone(),
                        },
                    );
                }
            }
            ListSource::Given(lists) => lists.into_iter().for_each(|(at, list)| {
                self.schedule(
                    at,
                    Event::List {
                        router: 0,
                        list: Rc::new(list),
                    },
                );
            }),
        }
    }
    pub fn now(&self) -> Micros {
        self.now
    }
    /// Schedules a failure or change.
    pub fn schedule_event(&mut self, at: Micros, event: ScriptedEvent) {
        self.schedule(at, Event::Scripted(event));
    }
    /// The sum of the counts of all routers.
    pub fn counts(&self) -> Counts {
        let mut all = Counts::default();
        self.hosts.iter().for_each(|host| all.add(&host.counts));
        all
    }
    /// The size on the wire of a list message with `rows` rows.
    pub fn list_bytes(&self, rows: usize) -> u64 {
        self.message_sizes.list(rows)
    }
    /// The number of established connections from routers to workers.
    pub fn connections(&self) -> usize {
        self.hosts
            .iter()
            .map(|host| {
                host.connections
                    .values()
                    .filter(|connection| connection.up)
                    .count()
            })
            .sum()
    }

    /// Processes all events up to `until`, unless the limit on real time is reached or `stop` is set first.
    pub fn run_until(&mut self, until: Micros, deadline: Instant, stop: &Stop) -> RunStatus {
        let mut steps = 0u64;
        while let Some(at) = self
            .queue
            .first_key_value()
            .map(|((at, _), _)| *at)
            .filter(|at| *at <= until)
        {
            steps += 1;
            if steps.is_multiple_of(EVENTS_PER_TIME_CHECK) {
                if stop.is_set() {
                    return RunStatus::Stopped;
                }
                if Instant::now() >= deadline {
                    return RunStatus::OutOfTime;
                }
            }
            self.now = self.now.max(at);
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= at) {
                let event = entry.remove();
                self.handle_event(event);
            }
            while let Some(worker) = self.workers_to_process.pop_first() {
                self.process_worker(worker);
            }
            while let Some(router) = self.routers_to_process.pop_first() {
                self.process_router(router);
                // Events that a turn causes wait for the next turn, as in an edge.
                self.routers_to_process.remove(&router);
            }
        }
        self.now = self.now.max(until);
        RunStatus::Done
    }

    fn schedule(&mut self, at: Micros, event: Event) -> (Micros, u64) {
        self.sequence += 1;
        let key = (at.max(self.now), self.sequence);
        self.queue.insert(key, event);
        key
    }
    fn latency_between(&self, one: usize, other: usize) -> Micros {
        if one == other {
            self.model.same_zone
        } else {
            self.model.cross_zone
        }
    }
    fn row(&self, n: usize) -> Endpoint {
        let worker = &self.workers[n];
        let state = match (worker.up, worker.is_draining) {
            (false, _) => WorkerState::Gone,
            (true, true) => WorkerState::Draining,
            (true, false) => WorkerState::Ready,
        };
        Endpoint {
            worker: worker.id,
            zone: ZoneId(worker.zone),
            cell: CellId(0),
            kind: KindId(0),
            size: self.model.size.cores as f64 * self.model.size.speed,
            state,
            started_at: worker.machine.started_at,
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::NextArrival(router) => self.generate_arrival(router),
            Event::Given(arrival) => self.accept_request(arrival),
            Event::RouterWakeup(router) => {
                if self.hosts[router].scheduled_wakeup == Some(self.now) {
                    self.hosts[router].scheduled_wakeup = None;
                    self.routers_to_process.insert(router);
                }
            }
            Event::ToWorker {
                worker,
                incarnation,
                router,
                message,
            } => {
                if self.workers[worker].up && self.workers[worker].incarnation == incarnation {
                    self.handle_message(worker, router, message);
                    self.workers_to_process.insert(worker);
                }
            }
            Event::ToRouter { router, answer } => self.handle_answer(router, answer),
            Event::WorkerWakeup(worker) => {
                if self.workers[worker].wake == Some(self.now) {
                    self.workers_to_process.insert(worker);
                }
            }
            Event::Fetched {
                worker,
                incarnation,
                load,
            } => {
                let (now, w) = (self.now, &mut self.workers[worker]);
                if w.up && w.incarnation == incarnation {
                    w.machine.finish_fetch(now, load, true);
                    self.workers_to_process.insert(worker);
                }
            }
            Event::AttemptTimeout { router, id } => self.attempt_timed_out(router, id),
            Event::LoadTimeout { router, id } => self.end_load(router, id, Outcome::TimedOut, 0),
            Event::HealthCheckTimeout { router, id } => {
                self.end_health_check(router, id, Outcome::TimedOut, None)
            }
            Event::ConnectionUp { router, connection } => self.connection_up(router, connection),
            Event::CheckConnection { router, connection } => {
                self.check_connection(router, connection)
            }
            Event::ConnectionBroken { router, connection } => {
                self.end_connection(router, connection, Outcome::Reset)
            }
            Event::List { router, list } => {
                let bytes = self.message_sizes.list(list.endpoints.len());
                let host = &mut self.hosts[router];
                host.counts.rows += list.endpoints.len() as u64;
                (host.counts.messages, host.counts.bytes) =
                    (host.counts.messages + 1, host.counts.bytes + bytes);
                host.round.endpoint_lists.push((*list).clone());
                self.apply_endpoint_list(router, &list);
                self.routers_to_process.insert(router);
            }
            Event::Scripted(event) => self.apply_scripted(event),
            Event::CheckDrained { worker, since } => self.check_drained(worker, since),
            Event::WorkerBack(worker) => {
                self.break_connections(worker);
                self.workers[worker].restart(self.now);
                self.schedule_publish(vec![worker], 0);
            }
            Event::EndpointsPublished(workers) => {
                let rows = workers.into_iter().map(|n| self.row(n)).collect();
                let list = Rc::new(EndpointList {
                    kind: EndpointListKind::Delta,
                    endpoints: rows,
                });
                for router in 0..self.hosts.len() {
                    let at = self.now + self.latency_between(0, self.hosts[router].zone);
                    self.schedule(
                        at,
                        Event::List {
                            router,
                            list: list.clone(),
                        },
                    );
                }
            }
        }
    }

    // ---- Requests

    fn schedule_arrival(&mut self, router: usize) {
        let Arrivals::Random { rate, until } = self.arrivals else {
            return;
        };
        let at = self.now + (self.rng.exponential(1e6 / rate.max(1e-9)).min(1e12) as Micros).max(1);
        if at < until {
            self.schedule(at, Event::NextArrival(router));
        }
    }
    fn generate_arrival(&mut self, router: usize) {
        self.schedule_arrival(router);
        let function = self.functions.sample(&mut self.rng);
        let work = self.rng.exponential(self.model.work as f64).max(1.0);
        // Requests for routers in a lost zone go to the others.
        let mut to = router;
        while self.lost_zones.contains(&self.hosts[to].zone) && self.lost_zones.len() < self.zones {
            to = self.rng.index(self.hosts.len());
        }
        let due = self.now + self.model.time_limit;
        self.accept_request(Arrival {
            at: self.now,
            router: to,
            function,
            work,
            due,
            hint: None,
        });
    }
    fn accept_request(&mut self, arrival: Arrival) {
        let (now, host) = (self.now, &mut self.hosts[arrival.router]);
        let Arrival {
            router,
            function,
            work,
            due,
            hint,
            ..
        } = arrival;
        let f = &self.functions.all[function];
        let id = host.add_request(HostedRequest {
            function,
            work,
            deadline: due,
            arrived: now,
            attempts: Vec::new(),
            in_flight: 0,
            closed: false,
        });
        host.counts.requests += 1;
        host.round.requests.push(Request {
            id,
            function: f.id,
            workload: WorkloadId(0),
            customer: sanddrum::CustomerId(0),
            deadline: due,
            memory_mb: f.memory_mb,
            concurrency: f64::from(f.concurrency),
            load_time: f.load,
            expected_work: hint,
            is_retry: false,
        });
        self.routers_to_process.insert(router);
    }
    /// A separate random generator for scripted events.
    pub fn script_rng(&self) -> Rng {
        Rng::new(self.seed ^ 0xac75)
    }
}
