//! The list service with hollow routers and the workers of one zone, in virtual time; what is done to them, one thing
//! after the other.

use super::metered::{Metered, Tally};
use super::simulated_router::{Followers, HollowRouterSpec, SimulatedRouter};
use super::Stop;
use crate::scenario::Scenario;
use sanddrum::Settings;
use sanddrum_edge::{DiscoveryVersion, Edge, EdgeOptions};
use sanddrum_emulator::{
    DiscoveryFaults, DiscoveryService, DiscoverySpec, IdempotencyKeys, MachineConfig, OnMiss,
    Worker, WorkerFaults, WorkerSpec,
};
use sanddrum_net::{Core, Event, HostId, Io, LinkModel, Micros, NullObserver, VirtualNet};
use sanddrum_settings::{LoadedSettings, SettingsError};
use sanddrum_wire::{EndpointRecord, Phase};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub(crate) const SECOND: Micros = 1_000_000;
/// Virtual time starts here, well after nought, which stands for long ago.
const BEGIN: Micros = 1_000 * SECOND;
const LIST: &str = "10.3.0.1:1000";
const STORE: &str = "10.3.0.2:1000";
/// How often it is looked at whether something has come about.
const STEP: Micros = 100_000;

/// Why something did not come to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Told to stop.
    Stopped,
    /// It took more real time than it may.
    Late,
    /// It did not come about within this virtual time.
    Never(Micros),
}

/// Who plays.
#[derive(Clone, Debug)]
pub struct DiscoveryEnvironmentSpec {
    pub settings: LoadedSettings,
    pub list: DiscoverySpec,
    pub seed: u64,
    pub routers: usize,
    /// Workers that the service knows from the start.
    pub rows: usize,
    pub zones: usize,
    /// How often a worker tells that it runs.
    pub beat_every: Micros,
    pub links: LinkModel,
    /// Whole edges in the place of hollow routers, to compare them.
    pub whole_edges: bool,
}

pub struct DiscoveryEnvironment {
    spec: DiscoveryEnvironmentSpec,
    net: VirtualNet,
    module: Settings,
    list: HostId,
    routers: Vec<HostId>,
    starts: u64,
    workers: Vec<HostId>,
    incarnations: Vec<u64>,
    list_runs: u64,
    pub tally: Rc<RefCell<Tally>>,
    pub followers: Rc<RefCell<Followers>>,
    stop: Stop,
    until: Instant,
}

/// Takes connections and nothing else: the store that workers call.
struct Deaf;

impl Core for Deaf {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, _: Event<'_>, _: &mut dyn Io) {}
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}

fn address(kind: usize, n: usize) -> String {
    format!("10.{kind}.{}.{}:1000", n / 250, n % 250 + 1)
}

/// A worker's row as the service knows it from the start.
pub(crate) fn row(n: usize, zones: usize) -> EndpointRecord {
    EndpointRecord {
        name: Scenario::worker_name(n),
        address: address(1, n),
        zone: format!("z{}", n % zones.max(1)),
        cell: (n / 4) as u32,
        kind: 0,
        size: 8.0,
        phase: Phase::Ready,
        incarnation: 1,
        age_us: -1,
    }
}

impl DiscoveryEnvironment {
    /// Nothing has started yet but the list service, which knows its rows.
    ///
    /// # Errors
    /// The settings take no such number of routers.
    pub fn new(
        spec: DiscoveryEnvironmentSpec,
        stop: Stop,
        takes: Duration,
    ) -> Result<Self, SettingsError> {
        let mut settings = spec.settings.clone();
        settings.override_value("edge.edges", &spec.routers.max(1).to_string(), "capacity")?;
        let mut net = VirtualNet::new(spec.seed, BEGIN, spec.links.clone(), Box::new(NullObserver));
        net.add(0, &[STORE], Box::new(Deaf));
        let list = net.add(0, &[LIST], Box::new(Deaf));
        let mut stage = DiscoveryEnvironment {
            net,
            module: settings.decision_settings(),
            list,
            routers: Vec::new(),
            starts: 0,
            workers: Vec::new(),
            incarnations: Vec::new(),
            list_runs: 0,
            tally: Rc::default(),
            followers: Rc::default(),
            stop,
            until: Instant::now() + takes,
            spec,
        };
        stage.start_list();
        Ok(stage)
    }
    /// From now on so much real time is allowed.
    pub fn allow(&mut self, takes: Duration) {
        self.until = Instant::now() + takes;
    }
    pub fn now(&self) -> Micros {
        self.net.now()
    }
    /// The service starts with a list that it had kept, in a run of its own.
    pub fn start_list(&mut self) {
        self.list_runs += 1;
        let rows: Vec<EndpointRecord> = (0..self.spec.rows)
            .map(|n| row(n, self.spec.zones))
            .collect();
        let faults = Rc::new(RefCell::new(DiscoveryFaults::default()));
        let service = DiscoveryService::new(
            self.spec.list.clone(),
            self.spec.seed ^ 0x115,
            self.list_runs,
            faults,
        );
        let service = service.with_endpoints(self.now(), &rows);
        self.net.replace(
            self.list,
            Box::new(Metered::new(service, self.tally.clone())),
        );
    }
    pub fn stop_list(&mut self) {
        self.net.kill(self.list);
    }
    /// The first so many routers start at this instant, each with what it had kept or without a list.
    ///
    /// # Errors
    /// The settings are none for an edge.
    pub fn start_routers(&mut self, count: usize, keep: bool) -> Result<(), SettingsError> {
        for n in 0..count.min(self.spec.routers) {
            self.starts += 1;
            let seed = self
                .spec
                .seed
                .wrapping_mul(1009)
                .wrapping_add(n as u64 * 101 + self.starts);
            let core = if self.spec.whole_edges {
                self.edge(n, seed, keep)?
            } else {
                self.hollow(n, seed, keep)
            };
            match self.routers.get(n) {
                Some(host) => self.net.replace(*host, core),
                None => {
                    self.followers.borrow_mut().routers.push(Default::default());
                    let host = self.net.add(n % self.spec.zones.max(1), &[], core);
                    self.routers.push(host);
                }
            }
        }
        Ok(())
    }
    fn edge(&self, n: usize, seed: u64, keep: bool) -> Result<Box<dyn Core>, SettingsError> {
        let mut settings = self.spec.settings.clone();
        for (name, value) in [
            ("edge.name", Scenario::edge_name(n)),
            ("edge.list", LIST.to_string()),
            ("edge.edges", self.spec.routers.max(1).to_string()),
            ("edge.number", n.to_string()),
        ] {
            settings.override_value(name, &value, "capacity")?;
        }
        let kept = self
            .routers
            .get(n)
            .and_then(|host| self.net.saved_state(*host))
            .filter(|_| keep);
        let incarnation = self.starts;
        let start = EdgeOptions {
            settings,
            seed,
            cached_state: kept,
            incarnation,
            metrics_page: None,
            platform: None,
        };
        Ok(Box::new(Edge::new(start)))
    }
    fn hollow(&self, n: usize, seed: u64, keep: bool) -> Box<dyn Core> {
        let known = self
            .followers
            .borrow()
            .routers
            .get(n)
            .map(|follower| follower.known);
        let spec = HollowRouterSpec {
            number: n,
            name: Scenario::edge_name(n),
            list: LIST.into(),
            incarnation: self.starts,
            seed,
            kept: known.filter(|known| keep && *known != DiscoveryVersion::default()),
            largest_frame: self.spec.settings.integer("limits.largest-frame-bytes"),
        };
        Box::new(SimulatedRouter::new(
            spec,
            &self.module,
            self.followers.clone(),
        ))
    }
    pub fn stop_routers(&mut self, count: usize) {
        self.routers
            .iter()
            .take(count)
            .for_each(|host| self.net.kill(*host));
    }
    fn worker(&self, n: usize, incarnation: u64) -> Box<dyn Core> {
        let (now, row) = (self.now(), row(n, self.spec.zones));
        let spec = WorkerSpec {
            name: row.name,
            address: row.address,
            zone: row.zone,
            cell: row.cell,
            kind: row.kind,
            machine: MachineConfig {
                cores: row.size as usize,
                speed: 1.0,
                queue_limit: 64,
                memory_mb: 1e4,
                concurrent_loads: 4,
                keep_alive: 10 * SECOND,
                on_miss: OnMiss::Load,
                start_us_per_mb: 400.0,
                initial_capacity: 1.0,
                warm_up: 0,
                collapse_multiple: f64::MAX,
                collapse_window: 0,
            },
            reports_function_in_flight: false,
            report_interval: SECOND,
            discovery_address: LIST.into(),
            store_address: STORE.into(),
            heartbeat_interval: self.spec.beat_every,
        };
        let started = if incarnation > 1 { now } else { 0 };
        let (faults, marks) = (
            Rc::new(RefCell::new(WorkerFaults::default())),
            Rc::new(RefCell::new(IdempotencyKeys::new(0))),
        );
        let seed = self.spec.seed.wrapping_mul(31).wrapping_add(n as u64);
        Box::new(Worker::new(spec, seed, started, incarnation, faults, marks))
    }
    /// So many workers have run for long, each of them the stand-in's own core.
    pub fn add_workers(&mut self, count: usize) {
        for n in self.workers.len()..count.min(self.spec.rows) {
            let core = self.worker(n, 1);
            let host = self.net.add(n % self.spec.zones.max(1), &[], core);
            self.workers.push(host);
            self.incarnations.push(1);
        }
    }
    pub fn stop_workers(&mut self) {
        self.workers.iter().for_each(|host| self.net.kill(*host));
    }
    /// A worker starts anew, at once where it still ran.
    pub fn restart_worker(&mut self, n: usize) {
        let Some((host, incarnation)) = self
            .workers
            .get(n)
            .copied()
            .zip(self.incarnations.get_mut(n))
        else {
            return;
        };
        *incarnation += 1;
        let incarnation = *incarnation;
        let core = self.worker(n, incarnation);
        self.net.replace(host, core);
    }
    pub fn workers(&self) -> usize {
        self.workers.len()
    }
    pub fn spec(&self) -> &DiscoveryEnvironmentSpec {
        &self.spec
    }
    /// Events carried out so far.
    pub fn steps(&self) -> u64 {
        self.net.processed_events()
    }

    /// Goes on to the next whole second, so that what follows falls into seconds of its own.
    ///
    /// # Errors
    /// It took too long, or was told to stop.
    pub fn to_whole_second(&mut self) -> Result<Micros, Cut> {
        let next = (self.now().div_euclid(SECOND) + 1) * SECOND;
        self.run_until(next)?;
        Ok(next)
    }
    /// # Errors
    /// It took too long, or was told to stop.
    pub fn run_for(&mut self, span: Micros) -> Result<(), Cut> {
        self.run_until(self.now() + span)
    }
    fn run_until(&mut self, at: Micros) -> Result<(), Cut> {
        while self.now() < at {
            let next = at.min(self.now() + STEP);
            self.step(next)?;
        }
        Ok(())
    }
    fn step(&mut self, next: Micros) -> Result<(), Cut> {
        self.net.run_until(next);
        if self.stop.is_set() {
            return Err(Cut::Stopped);
        }
        if Instant::now() >= self.until {
            return Err(Cut::Late);
        }
        Ok(())
    }
    /// Goes on until something holds, and no longer than so much virtual time.
    ///
    /// # Errors
    /// It took too long, was told to stop, or never held.
    pub fn run_until_true(
        &mut self,
        most: Micros,
        holds: impl Fn(&Followers) -> bool,
    ) -> Result<(), Cut> {
        let last = self.now() + most;
        while !holds(&self.followers.borrow()) {
            if self.now() >= last {
                return Err(Cut::Never(most));
            }
            let next = self.now() + STEP;
            self.step(next)?;
        }
        Ok(())
    }
    /// Which run of the service it is.
    pub fn list_run(&self) -> u64 {
        self.list_runs
    }
}
