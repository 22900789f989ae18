//! The real thing beside the hollow one: an edge's core with the stand-in workers, list service and store on the virtual
//! network, and the same calls and lists given to a hollow router.

use super::clock::Clock;
use super::decision_host::{Decision, Written};
use super::model::{Functions, Model, Shape};
use super::simulated::{Call, Calls, Fleet, Lists, Loads, Spec};
use crate::{play, Recording, Scenario, VirtualEnvironment};
use sanddrum::{Decisions, EndpointList, EventBatch, Micros, Request, Router};
use sanddrum_edge::{DecisionModule, Edge, EdgeOptions};
use sanddrum_net::{ConnectionId, Core, Event, FileError, Io, LinkModel};
use std::cell::RefCell;
use std::rc::Rc;

/// What a real edge was seen to do.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Jobs and lists as they came to the module, and what it decided.
    pub jobs: Vec<(Micros, Request)>,
    pub lists: Vec<(Micros, EndpointList)>,
    pub decisions: Vec<(Micros, Decision)>,
    /// Processor time of the whole edge and of its module's rounds, in nanoseconds.
    pub edge_nanoseconds: u64,
    pub module_nanoseconds: u64,
    pub rounds: Vec<(Micros, EventBatch)>,
    pub finished: usize,
    seed: u64,
}

type Shared = Rc<RefCell<Seen>>;

/// A module whose news and decisions are seen.
struct Watched {
    module: Router,
    seen: Shared,
    clock: Clock,
}

impl DecisionModule for Watched {
    fn handle(&mut self, now: Micros, round: &EventBatch, out: &mut impl Decisions) {
        let mut written = Written::default();
        let began = Clock::now();
        self.module.handle(now, round, &mut written);
        let took = self.clock.passed(began);
        let mut seen = self.seen.borrow_mut();
        seen.module_nanoseconds += took;
        seen.rounds.push((now, round.clone()));
        seen.jobs
            .extend(round.requests.iter().map(|job| (now, *job)));
        seen.lists
            .extend(round.endpoint_lists.iter().map(|list| (now, list.clone())));
        seen.decisions
            .extend(written.0.iter().map(|decision| (now, decision.clone())));
        drop(seen);
        written.0.iter().for_each(|decision| decision.write(out));
    }
}

/// A core whose processor time is taken.
struct Timed {
    core: Box<dyn Core>,
    seen: Shared,
    clock: Clock,
}

impl Timed {
    fn time<T>(&mut self, what: impl FnOnce(&mut dyn Core) -> T) -> T {
        let began = Clock::now();
        let gives = what(&mut *self.core);
        let took = self.clock.passed(began);
        self.seen.borrow_mut().edge_nanoseconds += took;
        gives
    }
}

impl Core for Timed {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.time(|core| core.start(now, io));
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        self.time(|core| core.on_event(now, event, io));
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.time(|core| core.process(now, io));
    }
    fn next_wakeup(&self) -> Option<Micros> {
        self.core.next_wakeup()
    }
    fn on_file(
        &mut self,
        now: Micros,
        name: &str,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        self.time(|core| core.on_file(now, name, content, io));
    }
    fn on_credentials_changed(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        denied: bool,
        io: &mut dyn Io,
    ) {
        self.time(|core| core.on_credentials_changed(now, conn, denied, io));
    }
    fn shut_down(&mut self, now: Micros, io: &mut dyn Io) {
        self.time(|core| core.shut_down(now, io));
    }
    fn accepts_while_draining(&self) -> bool {
        self.core.accepts_while_draining()
    }
    fn is_done(&self) -> bool {
        self.core.is_done()
    }
}

/// Links that take the same time for each message.
pub fn even_links() -> LinkModel {
    LinkModel {
        jitter: 0.0,
        split_probability: 0.0,
        ..LinkModel::default()
    }
}

/// Plays a scenario with one real edge. Callers tell the work of each call as their hint, so that it can be played
/// again.
///
/// # Errors
/// The scenario can't be set up.
pub fn real(mut scenario: Scenario) -> Result<Seen, String> {
    scenario.edges = 1;
    scenario
        .calls
        .iter_mut()
        .for_each(|calls| calls.exact_hints = true);
    let seen: Shared = Rc::new(RefCell::new(Seen::default()));
    let (recording, shared) = (Recording::default(), seen.clone());
    let make_edge = move |start: EdgeOptions| -> Box<dyn Core> {
        shared.borrow_mut().seed = start.seed;
        let module = Router::new(start.seed, &start.settings.values_for_module());
        let module = Watched {
            module,
            seen: shared.clone(),
            clock: Clock::new(),
        };
        let core = Box::new(Edge::with_module(start, module));
        Box::new(Timed {
            core,
            seen: shared.clone(),
            clock: Clock::new(),
        })
    };
    let stage = VirtualEnvironment::new(scenario, even_links(), &recording, Box::new(make_edge));
    let mut stage = stage.map_err(|e| e.to_string())?;
    let outcome = play(&mut stage, &recording).map_err(|e| e.to_string())?;
    let mut seen = seen.take();
    seen.finished = outcome.verdict.finished as usize;
    Ok(seen)
}

/// A hollow fleet that gets the calls and lists that a real edge got, at the same instants, with workers of the same
/// size and a store at full pace.
///
/// # Errors
/// The scenario's edge can't be set up.
pub fn hollow(scenario: &Scenario, seen: &Seen) -> Result<Fleet, String> {
    let address = "127.0.0.1:1";
    let alone = Scenario {
        edges: 1,
        ..scenario.clone()
    };
    let edge = alone.edge(0, address, address).map_err(|e| e.to_string())?;
    let (l, links) = (&scenario.settings, even_links());
    let count = l.integer("traffic.functions");
    let functions = Functions::new(l, count, Shape::Zipf(1.0), scenario.seed);
    let worker = scenario.worker(0, address, address, address);
    let mut model = Model::of(l);
    model.size.cores = worker.machine.cores;
    model.size.speed = worker.machine.speed;
    model.size.queue_limit = worker.machine.queue_limit;
    model.size.memory_mb = worker.machine.memory_mb;
    model.size.concurrent_loads = worker.machine.concurrent_loads;
    model.size.start_us_per_mb = worker.machine.start_us_per_mb;
    model.report_every = worker.report_interval;
    (model.same_zone, model.cross_zone) = (links.same_zone_latency, links.cross_zone_latency);
    let numbered = |(at, job): &(Micros, Request)| {
        let function = functions.all.iter().position(|f| f.id == job.function);
        let function = function.ok_or("a call of a function that isn't known")?;
        let work = job.expected_work.unwrap_or_default() as f64;
        Ok(Call {
            at: *at,
            router: 0,
            function,
            work,
            due: job.deadline,
            hint: job.expected_work,
        })
    };
    let calls = seen
        .jobs
        .iter()
        .map(numbered)
        .collect::<Result<Vec<Call>, String>>()?;
    Ok(Fleet::new(Spec {
        modules: vec![(seen.seed, edge.values_for_module())],
        workers: scenario.workers,
        zones: scenario.zones.len(),
        model,
        functions: Rc::new(functions),
        calls: Calls::Given(calls),
        lists: Lists::Given(seen.lists.clone()),
        loads: Loads::Store {
            us_per_mb: l.number("store.per-mb-us"),
        },
        others: None,
        seed: scenario.seed,
    }))
}
