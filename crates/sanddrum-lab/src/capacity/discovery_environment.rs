//! A discovery service with simulated routers and the workers of one zone, in virtual time, and the steps of scenarios
//! with them.

use super::metered::{DiscoveryStats, Metered};
use super::simulated_router::{FollowerStats, SimulatedRouter, SimulatedRouterSpec};
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
/// Start of virtual time. Well above zero, which stands for a time long ago.
const START_TIME: Micros = 1_000 * SECOND;
const DISCOVERY_ADDRESS: &str = "10.3.0.1:1000";
const STORE_ADDRESS: &str = "10.3.0.2:1000";
/// How often conditions, the stop request and the real time are checked.
const STEP: Micros = 100_000;

/// Why a step of a scenario did not complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Interrupted {
    /// A stop was requested.
    Stopped,
    /// The limit on real time was exceeded.
    DeadlineExceeded,
    /// The condition was not met within this virtual time.
    ConditionNotMet(Micros),
}

/// The parameters of a discovery environment.
#[derive(Clone, Debug)]
pub struct DiscoveryEnvironmentSpec {
    pub settings: LoadedSettings,
    pub service: DiscoverySpec,
    pub seed: u64,
    pub routers: usize,
    /// Workers that the service knows from the start.
    pub rows: usize,
    pub zones: usize,
    /// How often a worker sends a heartbeat.
    pub heartbeat_interval: Micros,
    pub links: LinkModel,
    /// Uses real edges instead of simulated routers, to compare them.
    pub real_edges: bool,
}

pub struct DiscoveryEnvironment {
    spec: DiscoveryEnvironmentSpec,
    net: VirtualNet,
    router_settings: Settings,
    service: HostId,
    routers: Vec<HostId>,
    starts: u64,
    workers: Vec<HostId>,
    incarnations: Vec<u64>,
    service_incarnation: u64,
    pub stats: Rc<RefCell<DiscoveryStats>>,
    pub followers: Rc<RefCell<FollowerStats>>,
    stop: Stop,
    deadline: Instant,
}

/// Accepts connections and does nothing else. Stands for the function store that workers connect to.
struct IdleCore;

impl Core for IdleCore {
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

/// The row of a worker that the service knows from the start.
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
    /// Creates the environment with only the discovery service running, which knows its rows.
    ///
    /// # Errors
    /// The settings don't allow this number of routers.
    pub fn new(
        spec: DiscoveryEnvironmentSpec,
        stop: Stop,
        time_limit: Duration,
    ) -> Result<Self, SettingsError> {
        let mut settings = spec.settings.clone();
        settings.override_value("edge.edges", &spec.routers.max(1).to_string(), "capacity")?;
        let mut net = VirtualNet::new(
            spec.seed,
            START_TIME,
            spec.links.clone(),
            Box::new(NullObserver),
        );
        net.add(0, &[STORE_ADDRESS], Box::new(IdleCore));
        let service_host = net.add(0, &[DISCOVERY_ADDRESS], Box::new(IdleCore));
        let mut environment = DiscoveryEnvironment {
            net,
            router_settings: settings.decision_settings(),
            service: service_host,
            routers: Vec::new(),
            starts: 0,
            workers: Vec::new(),
            incarnations: Vec::new(),
            service_incarnation: 0,
            stats: Rc::default(),
            followers: Rc::default(),
            stop,
            deadline: Instant::now() + time_limit,
            spec,
        };
        environment.start_service();
        Ok(environment)
    }
    /// Sets the limit on real time, counted from now.
    pub fn set_time_limit(&mut self, time_limit: Duration) {
        self.deadline = Instant::now() + time_limit;
    }
    pub fn now(&self) -> Micros {
        self.net.now()
    }
    /// Starts a new incarnation of the service, which knows the initial rows of all workers.
    pub fn start_service(&mut self) {
        self.service_incarnation += 1;
        let rows: Vec<EndpointRecord> = (0..self.spec.rows)
            .map(|n| row(n, self.spec.zones))
            .collect();
        let faults = Rc::new(RefCell::new(DiscoveryFaults::default()));
        let service = DiscoveryService::new(
            self.spec.service.clone(),
            self.spec.seed ^ 0x115,
            self.service_incarnation,
            faults,
        );
        let service = service.with_endpoints(self.now(), &rows);
        self.net.replace(
            self.service,
            Box::new(Metered::new(service, self.stats.clone())),
        );
    }
    pub fn stop_service(&mut self) {
        self.net.kill(self.service);
    }
    /// Starts the first `count` routers now, with their cached lists or without.
    ///
    /// # Errors
    /// The settings are invalid for an edge.
    pub fn start_routers(&mut self, count: usize, keep_cache: bool) -> Result<(), SettingsError> {
        for n in 0..count.min(self.spec.routers) {
            self.starts += 1;
            let seed = self
                .spec
                .seed
                .wrapping_mul(1009)
                .wrapping_add(n as u64 * 101 + self.starts);
            let core = if self.spec.real_edges {
                self.real_edge(n, seed, keep_cache)?
            } else {
                self.simulated_router(n, seed, keep_cache)
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
    fn real_edge(
        &self,
        n: usize,
        seed: u64,
        keep_cache: bool,
    ) -> Result<Box<dyn Core>, SettingsError> {
        let mut settings = self.spec.settings.clone();
        for (name, value) in [
            ("edge.name", Scenario::edge_name(n)),
            ("edge.list", DISCOVERY_ADDRESS.to_string()),
            ("edge.edges", self.spec.routers.max(1).to_string()),
            ("edge.number", n.to_string()),
        ] {
            settings.override_value(name, &value, "capacity")?;
        }
        let cached_state = self
            .routers
            .get(n)
            .and_then(|host| self.net.saved_state(*host))
            .filter(|_| keep_cache);
        let incarnation = self.starts;
        let start = EdgeOptions {
            settings,
            seed,
            cached_state,
            incarnation,
            metrics_page: None,
            platform: None,
        };
        Ok(Box::new(Edge::new(start)))
    }
    fn simulated_router(&self, n: usize, seed: u64, keep_cache: bool) -> Box<dyn Core> {
        let known_version = self
            .followers
            .borrow()
            .routers
            .get(n)
            .map(|follower| follower.known_version);
        let spec = SimulatedRouterSpec {
            index: n,
            name: Scenario::edge_name(n),
            discovery_address: DISCOVERY_ADDRESS.into(),
            incarnation: self.starts,
            seed,
            cached_version: known_version
                .filter(|version| keep_cache && *version != DiscoveryVersion::default()),
            largest_frame: self.spec.settings.integer("limits.largest-frame-bytes"),
        };
        Box::new(SimulatedRouter::new(
            spec,
            &self.router_settings,
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
            discovery_address: DISCOVERY_ADDRESS.into(),
            store_address: STORE_ADDRESS.into(),
            heartbeat_interval: self.spec.heartbeat_interval,
        };
        let started = if incarnation > 1 { now } else { 0 };
        let (faults, idempotency_keys) = (
            Rc::new(RefCell::new(WorkerFaults::default())),
            Rc::new(RefCell::new(IdempotencyKeys::new(0))),
        );
        let seed = self.spec.seed.wrapping_mul(31).wrapping_add(n as u64);
        Box::new(Worker::new(
            spec,
            seed,
            started,
            incarnation,
            faults,
            idempotency_keys,
        ))
    }
    /// Adds emulated workers that have been running for a long time, up to `count` in total.
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
    /// Restarts a worker, running or not, in a new incarnation.
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
    /// The number of events processed so far.
    pub fn processed_events(&self) -> u64 {
        self.net.processed_events()
    }

    /// Runs to the start of the next second, so that the statistics by second cover only what follows.
    ///
    /// # Errors
    /// The limit on real time was exceeded, or a stop was requested.
    pub fn run_to_next_second(&mut self) -> Result<Micros, Interrupted> {
        let next = (self.now().div_euclid(SECOND) + 1) * SECOND;
        self.run_until(next)?;
        Ok(next)
    }
    /// Runs for this virtual time.
    ///
    /// # Errors
    /// The limit on real time was exceeded, or a stop was requested.
    pub fn run_for(&mut self, span: Micros) -> Result<(), Interrupted> {
        self.run_until(self.now() + span)
    }
    fn run_until(&mut self, at: Micros) -> Result<(), Interrupted> {
        while self.now() < at {
            let next = at.min(self.now() + STEP);
            self.step(next)?;
        }
        Ok(())
    }
    fn step(&mut self, next: Micros) -> Result<(), Interrupted> {
        self.net.run_until(next);
        if self.stop.is_set() {
            return Err(Interrupted::Stopped);
        }
        if Instant::now() >= self.deadline {
            return Err(Interrupted::DeadlineExceeded);
        }
        Ok(())
    }
    /// Runs until the condition holds, for at most this virtual time.
    ///
    /// # Errors
    /// The condition was not met, the limit on real time was exceeded, or a stop was requested.
    pub fn run_until_true(
        &mut self,
        max_wait: Micros,
        condition: impl Fn(&FollowerStats) -> bool,
    ) -> Result<(), Interrupted> {
        let last = self.now() + max_wait;
        while !condition(&self.followers.borrow()) {
            if self.now() >= last {
                return Err(Interrupted::ConditionNotMet(max_wait));
            }
            let next = self.now() + STEP;
            self.step(next)?;
        }
        Ok(())
    }
    /// The incarnation of the running service.
    pub fn service_incarnation(&self) -> u64 {
        self.service_incarnation
    }
}
