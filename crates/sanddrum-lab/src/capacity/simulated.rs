//! The hollow fleet: decision modules as they are, with hollow hosts, workers and callers, in virtual time. One queue
//! of events in one order; equal seeds give equal plays.

use super::decision_host::{
    end_of, order_end_of, report_of, warmth_of, Asked, Counts, Decision, Host, HostedJob,
};
use super::decision_host::{Mark, Out, Written};
use super::model::{Functions, Model, Others, SimulatedWorker};
use super::sizes::Bytes;
use super::starts::Starts;
use super::{clock::Clock, Stop};
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

mod links;
mod routers;
mod workers;

/// Virtual time starts here, well after nought, which stands for long ago.
pub const BEGIN: Micros = 1_000_000_000;
/// Rounds of a module in one turn, as an edge has them.
const ROUNDS_A_TURN: usize = 4;
/// Real time is looked at once in so many events.
const LOOK_AT_TIME: u64 = 64;
/// A worker that is replaced is away so long, and its work is waited for no longer than that.
const REPLACED_WITHIN: Micros = 5_000_000;
const DRAINED_WITHIN: Micros = 10_000_000;
/// How often a drained worker is looked at.
const DRAIN_LOOK: Micros = 100_000;

/// How a fetch of a function takes.
#[derive(Clone, Copy, Debug)]
pub enum Loads {
    /// As the model draws it.
    Drawn,
    /// As from the stand-in store at full pace, which is in the first zone.
    Store { us_per_mb: f64 },
}

/// A call that reaches a router at a given instant.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub at: Micros,
    pub router: usize,
    pub function: usize,
    pub work: f64,
    pub due: Micros,
    /// What its caller says of its work.
    pub hint: Option<Micros>,
}

/// Where a router's worker lists come from.
#[derive(Clone, Debug)]
pub enum Lists {
    /// The whole at the beginning, and changes as things happen.
    AtStart,
    /// The first router gets these, and no others.
    Given(Vec<(Micros, EndpointList)>),
}

/// Where calls come from.
#[derive(Clone, Debug)]
pub enum Calls {
    /// So many a second at each router, each for itself, until then.
    Drawn {
        rate: f64,
        until: Micros,
    },
    Given(Vec<Call>),
}

/// A fleet that is to be played.
pub struct Spec {
    /// Seed and settings of each module that is played; there are as many routers.
    pub modules: Vec<(u64, Settings)>,
    pub workers: usize,
    pub zones: usize,
    pub model: Model,
    pub functions: Rc<Functions>,
    pub calls: Calls,
    pub lists: Lists,
    pub loads: Loads,
    pub others: Option<Others>,
    pub seed: u64,
}

/// What goes wrong, or changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// A machine fails without a word.
    Fail(usize),
    /// A worker is drained and starts anew, empty and cold.
    Replace(usize),
    ZoneLost(usize),
    ZoneBack(usize),
    /// The list tells of a worker as it is, for nothing.
    Tell(usize),
}

/// How a play went on until an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Played {
    Done,
    /// The bound on real time was reached before.
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
    Hold {
        id: u64,
        function: usize,
        copies: u32,
    },
    Unload {
        function: usize,
    },
    Probe {
        id: u64,
    },
}

enum Answer {
    Done {
        id: u64,
        ended: ExecutionStatus,
        copy: Option<InstanceState>,
        report: WireLoadReport,
        worker: usize,
    },
    Held {
        id: u64,
        ended: ExecutionStatus,
        copies: u32,
    },
    Probed {
        id: u64,
        report: WireLoadReport,
        worker: usize,
    },
}

enum Event {
    /// The next call that a router draws.
    Call(usize),
    Given(Call),
    Turn(usize),
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
    WorkerTurn(usize),
    Fetched {
        worker: usize,
        incarnation: u64,
        load: u64,
    },
    ExecutionLate {
        router: usize,
        id: u64,
    },
    OrderLate {
        router: usize,
        id: u64,
    },
    ProbeLate {
        router: usize,
        id: u64,
    },
    LinkUp {
        router: usize,
        link: WorkerConnectionId,
    },
    /// A connection is to be looked at.
    Link {
        router: usize,
        link: WorkerConnectionId,
    },
    LinkBroken {
        router: usize,
        link: WorkerConnectionId,
    },
    List {
        router: usize,
        list: Rc<EndpointList>,
    },
    Act(Act),
    /// A drained worker may have nothing left to do.
    Drained {
        worker: usize,
        since: Micros,
    },
    Back(usize),
    Noticed(Vec<usize>),
}

pub struct Fleet {
    now: Micros,
    queue: BTreeMap<(Micros, u64), Event>,
    posted: u64,
    pub hosts: Vec<Host>,
    pub workers: Vec<SimulatedWorker>,
    by_id: BTreeMap<WorkerId, usize>,
    by_function: BTreeMap<FunctionId, usize>,
    functions: Rc<Functions>,
    model: Model,
    calls: Calls,
    loads: Loads,
    others: Option<Others>,
    zones: usize,
    lost_zones: BTreeSet<usize>,
    chance: Rng,
    seed: u64,
    touched_workers: BTreeSet<usize>,
    touched_routers: BTreeSet<usize>,
    bytes: Bytes,
    /// Calls that came since then count.
    pub starts: Starts,
    /// Decisions with their instants and routers, where they are asked for.
    pub log: Option<Vec<(Micros, usize, Decision)>>,
    /// The first router's rounds, where they are asked for.
    pub rounds: Option<Vec<(Micros, EventBatch)>>,
    clock: Clock,
}

impl Fleet {
    pub fn new(spec: Spec) -> Self {
        let Spec {
            modules,
            workers,
            zones,
            model,
            functions,
            calls,
            lists,
            loads,
            others,
            seed,
        } = spec;
        let hollow = (0..workers).map(|n| SimulatedWorker::new(n, zones, &model.size, seed));
        let workers: Vec<SimulatedWorker> = hollow.collect();
        let host = |(n, (seed, settings)): (usize, &(u64, Settings))| {
            Host::new(*seed, settings, n % zones.max(1))
        };
        let mut fleet = Fleet {
            now: BEGIN,
            queue: BTreeMap::new(),
            posted: 0,
            hosts: modules.iter().enumerate().map(host).collect(),
            by_id: workers.iter().enumerate().map(|(n, w)| (w.id, n)).collect(),
            workers,
            by_function: functions
                .all
                .iter()
                .enumerate()
                .map(|(n, f)| (f.id, n))
                .collect(),
            bytes: Bytes::new(&functions),
            functions,
            model,
            calls,
            loads,
            others,
            zones,
            lost_zones: BTreeSet::new(),
            chance: Rng::new(seed ^ 0xf1ee7),
            seed,
            touched_workers: BTreeSet::new(),
            touched_routers: BTreeSet::new(),
            starts: Starts::default(),
            log: None,
            rounds: None,
            clock: Clock::new(),
        };
        fleet.post_lists(lists);
        match fleet.calls.clone() {
            Calls::Drawn { .. } => {
                (0..fleet.hosts.len()).for_each(|router| fleet.post_call(router))
            }
            Calls::Given(calls) => calls.into_iter().for_each(|call| {
                fleet.post(call.at, Event::Given(call));
            }),
        }
        fleet
    }
    fn post_lists(&mut self, lists: Lists) {
        match lists {
            Lists::AtStart => {
                let rows = (0..self.workers.len()).map(|n| self.row(n)).collect();
                let list = Rc::new(EndpointList {
                    kind: EndpointListKind::Full,
                    endpoints: rows,
                });
                for router in 0..self.hosts.len() {
                    self.post(
                        BEGIN,
                        Event::List {
                            router,
                            list: list.clone(),
                        },
                    );
                }
            }
            Lists::Given(lists) => lists.into_iter().for_each(|(at, list)| {
                self.post(
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
    /// Has something go wrong at an instant.
    pub fn script(&mut self, at: Micros, act: Act) {
        self.post(at, Event::Act(act));
    }
    /// What all routers counted.
    pub fn counts(&self) -> Counts {
        let mut all = Counts::default();
        self.hosts.iter().for_each(|host| all.add(&host.counts));
        all
    }
    /// Bytes on the wire of a list message of so many rows.
    pub fn list_bytes(&self, rows: usize) -> u64 {
        self.bytes.list(rows)
    }
    /// Connections to workers that the routers keep now.
    pub fn links(&self) -> usize {
        self.hosts
            .iter()
            .map(|host| host.links.values().filter(|link| link.up).count())
            .sum()
    }

    /// Plays everything up to this instant, unless the bound on real time or a stop comes before.
    pub fn run_until(&mut self, until: Micros, deadline: Instant, stop: &Stop) -> Played {
        let mut steps = 0u64;
        while let Some(at) = self
            .queue
            .first_key_value()
            .map(|((at, _), _)| *at)
            .filter(|at| *at <= until)
        {
            steps += 1;
            if steps.is_multiple_of(LOOK_AT_TIME) {
                if stop.is_set() {
                    return Played::Stopped;
                }
                if Instant::now() >= deadline {
                    return Played::OutOfTime;
                }
            }
            self.now = self.now.max(at);
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= at) {
                let event = entry.remove();
                self.event(event);
            }
            while let Some(worker) = self.touched_workers.pop_first() {
                self.worker_turn(worker);
            }
            while let Some(router) = self.touched_routers.pop_first() {
                self.router_turn(router);
                // What its own turn brings waits for the next, as in an edge.
                self.touched_routers.remove(&router);
            }
        }
        self.now = self.now.max(until);
        Played::Done
    }

    fn post(&mut self, at: Micros, event: Event) -> (Micros, u64) {
        self.posted += 1;
        let key = (at.max(self.now), self.posted);
        self.queue.insert(key, event);
        key
    }
    fn way(&self, one: usize, other: usize) -> Micros {
        if one == other {
            self.model.same_zone
        } else {
            self.model.cross_zone
        }
    }
    fn row(&self, n: usize) -> Endpoint {
        let worker = &self.workers[n];
        let state = match (worker.up, worker.drains) {
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

    fn event(&mut self, event: Event) {
        match event {
            Event::Call(router) => self.draw_call(router),
            Event::Given(call) => self.call(call),
            Event::Turn(router) => {
                if self.hosts[router].turn_at == Some(self.now) {
                    self.hosts[router].turn_at = None;
                    self.touched_routers.insert(router);
                }
            }
            Event::ToWorker {
                worker,
                incarnation,
                router,
                message,
            } => {
                if self.workers[worker].up && self.workers[worker].incarnation == incarnation {
                    self.message(worker, router, message);
                    self.touched_workers.insert(worker);
                }
            }
            Event::ToRouter { router, answer } => self.answer(router, answer),
            Event::WorkerTurn(worker) => {
                if self.workers[worker].wake == Some(self.now) {
                    self.touched_workers.insert(worker);
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
                    self.touched_workers.insert(worker);
                }
            }
            Event::ExecutionLate { router, id } => self.execution_late(router, id),
            Event::OrderLate { router, id } => self.end_order(router, id, Outcome::TimedOut, 0),
            Event::ProbeLate { router, id } => self.end_probe(router, id, Outcome::TimedOut, None),
            Event::LinkUp { router, link } => self.link_up(router, link),
            Event::Link { router, link } => self.look_at_link(router, link),
            Event::LinkBroken { router, link } => self.end_link(router, link, Outcome::Reset),
            Event::List { router, list } => {
                let bytes = self.bytes.list(list.endpoints.len());
                let host = &mut self.hosts[router];
                host.counts.rows += list.endpoints.len() as u64;
                (host.counts.messages, host.counts.bytes) =
                    (host.counts.messages + 1, host.counts.bytes + bytes);
                host.round.endpoint_lists.push((*list).clone());
                self.listed(router, &list);
                self.touched_routers.insert(router);
            }
            Event::Act(act) => self.act(act),
            Event::Drained { worker, since } => self.look_at_drained(worker, since),
            Event::Back(worker) => {
                self.break_links(worker);
                self.workers[worker].restart(self.now);
                self.notice(vec![worker], 0);
            }
            Event::Noticed(workers) => {
                let rows = workers.into_iter().map(|n| self.row(n)).collect();
                let list = Rc::new(EndpointList {
                    kind: EndpointListKind::Delta,
                    endpoints: rows,
                });
                for router in 0..self.hosts.len() {
                    let at = self.now + self.way(0, self.hosts[router].zone);
                    self.post(
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

    // ---- Calls

    fn post_call(&mut self, router: usize) {
        let Calls::Drawn { rate, until } = self.calls else {
            return;
        };
        let at =
            self.now + (self.chance.exponential(1e6 / rate.max(1e-9)).min(1e12) as Micros).max(1);
        if at < until {
            self.post(at, Event::Call(router));
        }
    }
    fn draw_call(&mut self, router: usize) {
        self.post_call(router);
        let function = self.functions.draw(&mut self.chance);
        let work = self.chance.exponential(self.model.work as f64).max(1.0);
        // What a lost zone's routers would have got goes to the others.
        let mut to = router;
        while self.lost_zones.contains(&self.hosts[to].zone) && self.lost_zones.len() < self.zones {
            to = self.chance.index(self.hosts.len());
        }
        let due = self.now + self.model.time_limit;
        self.call(Call {
            at: self.now,
            router: to,
            function,
            work,
            due,
            hint: None,
        });
    }
    fn call(&mut self, call: Call) {
        let (now, host) = (self.now, &mut self.hosts[call.router]);
        let Call {
            router,
            function,
            work,
            due,
            hint,
            ..
        } = call;
        let f = &self.functions.all[function];
        let id = host.take(HostedJob {
            function,
            work,
            due,
            came: now,
            executions: Vec::new(),
            out: 0,
            closed: false,
        });
        host.counts.calls += 1;
        host.round.requests.push(Request {
            id,
            function: f.id,
            workload: WorkloadId(0),
            customer: sanddrum::CustomerId(0),
            deadline: due,
            memory_mb: f.memory_mb,
            concurrency: f64::from(f.lanes),
            load_time: f.load,
            expected_work: hint,
            is_retry: false,
        });
        self.touched_routers.insert(router);
    }
    /// A seed of its own for what is scripted.
    pub fn chance(&self) -> Rng {
        Rng::new(self.seed ^ 0xac75)
    }
}
