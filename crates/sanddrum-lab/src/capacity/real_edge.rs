//! Runs a real edge with emulated workers, discovery service and function store on the virtual network, records it,
//! and sets up a simulated router with the same requests and endpoint lists for comparison.

use super::cpu_clock::ThreadCpuClock;
use super::decision_host::{Decision, RecordedDecisions};
use super::model::{Functions, Model, Popularity};
use super::simulated::{Arrival, Arrivals, Fleet, FleetSpec, ListSource, LoadTimes};
use crate::{play, Recording, Scenario, VirtualEnvironment};
use sanddrum::{Decisions, EndpointList, EventBatch, Micros, Request, Router};
use sanddrum_edge::{DecisionModule, Edge, EdgeOptions};
use sanddrum_net::{ConnectionId, Core, Event, FileError, FilePart, Io, LinkModel};
use std::cell::RefCell;
use std::rc::Rc;

/// The recorded inputs, decisions and processor time of a real edge.
#[derive(Clone, Debug, Default)]
pub struct ObservedEdge {
    /// Requests as they reached the decision module.
    pub requests: Vec<(Micros, Request)>,
    /// Endpoint lists as they reached the decision module.
    pub lists: Vec<(Micros, EndpointList)>,
    pub decisions: Vec<(Micros, Decision)>,
    /// Processor time of the whole edge, in nanoseconds.
    pub edge_nanoseconds: u64,
    /// Processor time of the decision module's rounds, in nanoseconds.
    pub module_nanoseconds: u64,
    pub rounds: Vec<(Micros, EventBatch)>,
    pub finished: usize,
    seed: u64,
}

type Shared = Rc<RefCell<ObservedEdge>>;

/// A decision module that records its events and decisions.
struct RecordingModule {
    module: Router,
    observed: Shared,
    clock: ThreadCpuClock,
}

impl DecisionModule for RecordingModule {
    fn handle(&mut self, now: Micros, round: &EventBatch, out: &mut impl Decisions) {
        let mut decisions = RecordedDecisions::default();
        let start_time = ThreadCpuClock::now();
        self.module.handle(now, round, &mut decisions);
        let elapsed = self.clock.elapsed_since(start_time);
        let mut observed = self.observed.borrow_mut();
        observed.module_nanoseconds += elapsed;
        observed.rounds.push((now, round.clone()));
        observed
            .requests
            .extend(round.requests.iter().map(|request| (now, *request)));
        observed
            .lists
            .extend(round.endpoint_lists.iter().map(|list| (now, list.clone())));
        observed
            .decisions
            .extend(decisions.0.iter().map(|decision| (now, decision.clone())));
        drop(observed);
        decisions.0.iter().for_each(|decision| decision.write(out));
    }
}

/// A core whose processor time is measured.
struct TimedCore {
    core: Box<dyn Core>,
    observed: Shared,
    clock: ThreadCpuClock,
}

impl TimedCore {
    fn time<T>(&mut self, operation: impl FnOnce(&mut dyn Core) -> T) -> T {
        let start_time = ThreadCpuClock::now();
        let result = operation(&mut *self.core);
        let elapsed = self.clock.elapsed_since(start_time);
        self.observed.borrow_mut().edge_nanoseconds += elapsed;
        result
    }
}

impl Core for TimedCore {
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
    fn on_file_part(&mut self, now: Micros, name: &str, part: FilePart<'_>, io: &mut dyn Io) {
        self.time(|core| core.on_file_part(now, name, part, io));
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

/// Links with a constant latency.
pub fn uniform_links() -> LinkModel {
    LinkModel {
        jitter: 0.0,
        split_probability: 0.0,
        ..LinkModel::default()
    }
}

/// Runs a scenario with a single real edge. Clients declare the exact work of each request, so that the requests can
/// be replayed.
///
/// # Errors
/// The scenario can't be set up.
pub fn run_real_edge(mut scenario: Scenario) -> Result<ObservedEdge, String> {
    scenario.edges = 1;
    scenario
        .calls
        .iter_mut()
        .for_each(|calls| calls.exact_hints = true);
    let observed: Shared = Rc::new(RefCell::new(ObservedEdge::default()));
    let (recording, shared) = (Recording::default(), observed.clone());
    let make_edge = move |start: EdgeOptions| -> Box<dyn Core> {
        shared.borrow_mut().seed = start.seed;
        let module = Router::new(start.seed, &start.settings.decision_settings());
        let module = RecordingModule {
            module,
            observed: shared.clone(),
            clock: ThreadCpuClock::new(),
        };
        let core = Box::new(Edge::with_module(start, module));
        Box::new(TimedCore {
            core,
            observed: shared.clone(),
            clock: ThreadCpuClock::new(),
        })
    };
    let environment =
        VirtualEnvironment::new(scenario, uniform_links(), &recording, Box::new(make_edge));
    let mut environment = environment.map_err(|e| e.to_string())?;
    let outcome = play(&mut environment, &recording).map_err(|e| e.to_string())?;
    let mut observed = observed.take();
    observed.finished = outcome.verdict.finished as usize;
    Ok(observed)
}

/// A simulated fleet that gets the recorded requests and endpoint lists of a real edge at the same times, with workers
/// of the same size and a function store without contention.
///
/// # Errors
/// The scenario's edge can't be set up.
pub fn simulated_fleet(scenario: &Scenario, observed: &ObservedEdge) -> Result<Fleet, String> {
    let address = "127.0.0.1:1";
    let single_edge = Scenario {
        edges: 1,
        ..scenario.clone()
    };
    let edge = single_edge
        .edge(0, address, address)
        .map_err(|e| e.to_string())?;
    let (l, links) = (&scenario.settings, uniform_links());
    let count = l.integer("traffic.functions");
    let functions = Functions::new(l, count, Popularity::Zipf(1.0), scenario.seed);
    let worker = scenario.worker(0, address, address, address);
    let mut model = Model::of(l);
    model.size.cores = worker.machine.cores;
    model.size.speed = worker.machine.speed;
    model.size.queue_limit = worker.machine.queue_limit;
    model.size.memory_mb = worker.machine.memory_mb;
    model.size.concurrent_loads = worker.machine.concurrent_loads;
    model.size.start_us_per_mb = worker.machine.start_us_per_mb;
    model.report_interval = worker.report_interval;
    (model.same_zone, model.cross_zone) = (links.same_zone_latency, links.cross_zone_latency);
    let to_arrival = |(at, request): &(Micros, Request)| {
        let function = functions.all.iter().position(|f| f.id == request.function);
        let function = function
            .ok_or("the recording has a request for a function that isn't part of the scenario")?;
        let work = request.expected_work.unwrap_or_default() as f64;
        Ok(Arrival {
            at: *at,
            router: 0,
            function,
            work,
            due: request.deadline,
            hint: request.expected_work,
        })
    };
    let arrivals = observed
        .requests
        .iter()
        .map(to_arrival)
        .collect::<Result<Vec<Arrival>, String>>()?;
    Ok(Fleet::new(FleetSpec {
        modules: vec![(observed.seed, edge.decision_settings())],
        workers: scenario.workers,
        zones: scenario.zones.len(),
        model,
        functions: Rc::new(functions),
        arrivals: Arrivals::Given(arrivals),
        lists: ListSource::Given(observed.lists.clone()),
        loads: LoadTimes::Store {
            us_per_mb: l.number("store.per-mb-us"),
        },
        background: None,
        seed: scenario.seed,
    }))
}
