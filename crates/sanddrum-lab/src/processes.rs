//! Plays a scenario with real processes: edges, workers, the discovery service and the store each run as a process of
//! the program on loopback, and every link between two of them goes through a relay. This module starts, pauses,
//! resumes, terminates and kills the processes. The clients and the relays run in this process, and the checker
//! verifies the traffic that crosses the relays.

use crate::environment::Environment;
use crate::fleet::{Addresses, Component, Fleet};
use crate::port_reservation::{
    is_near_file_limit, raise_file_limit, required_descriptors, ReservedPort,
};
use crate::recorder::{Recording, Role};
use crate::relay::{Fault, Greeting, Relay, RelayControl};
use crate::scenario::Scenario;
use crate::scheduling_delay::{self, SchedulingDelayMonitor, RUNNER};
use crate::sockets::send_signal;
use rustix::process::Signal;
use sanddrum_emulator::{Shared, WorkerFaults};
use sanddrum_net::{Core, EventLoop, FileError, HostId, Micros};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

/// The relay in front of a process, on a port that others connect to.
struct ProcessRelay {
    host: HostId,
    port: ReservedPort,
    control: Shared<RelayControl>,
}

/// What the command line of a process is built from.
pub struct ProcessOptions<'a> {
    pub component: Component,
    pub fleet: &'a Fleet,
    /// A worker starts now, with no function loaded; otherwise it counts as started long ago.
    pub cold: bool,
    pub incarnation: u64,
    pub seed: u64,
    /// Address of the discovery service.
    pub list: &'a str,
    /// Address of the function store.
    pub store: &'a str,
    /// Address that the process is reached at: the one of its relay.
    pub known_as: &'a str,
    /// The process writes the address that it listens on into this file.
    pub address_file: &'a Path,
    /// An emulated process reads its faults from this file.
    pub faults_file: &'a Path,
    pub state_file: &'a Path,
}

/// Builds the command that starts a process; its standard input is set afterwards.
pub type MakeProcessCommand = Box<dyn Fn(&ProcessOptions) -> Command>;

/// A process must listen within this time, on a machine that is busy starting the others.
const STARTUP_TIMEOUT: Micros = 30_000_000;
/// How often starting and terminating processes are checked, and the delay of this process's own event loop is
/// measured.
const POLL_INTERVAL: Micros = 5_000;
/// How long a machine that runs many processes may delay one of them.
const SCHEDULING_SLACK: Micros = 500_000;
/// A longer delay of this process's own event loop means that the machine limited the run.
pub const LATE_THRESHOLD: Micros = 50_000;

/// Plays a scenario with a process for each edge, worker and service.
pub struct ProcessEnvironment {
    driver: EventLoop,
    fleet: Fleet,
    folder: PathBuf,
    make_command: MakeProcessCommand,
    relays: BTreeMap<Component, ProcessRelay>,
    /// Carries the connections of workers to the discovery service.
    registration_relay: ProcessRelay,
    callers: Option<HostId>,
    children: BTreeMap<Component, Child>,
    /// Processes that don't listen yet, with the time of their start.
    pending: BTreeMap<Component, Micros>,
    /// How often each process was started.
    starts: BTreeMap<Component, u64>,
    /// The last contents written to each faults file.
    written_faults: BTreeMap<Component, String>,
    /// Processes that were asked to terminate; their relays stop listening once they have exited.
    terminating: BTreeSet<Component>,
    /// The longest delay of this process's own event loop.
    pub max_loop_delay: Micros,
    /// How often that delay exceeded [`LATE_THRESHOLD`].
    pub late_iterations: u64,
    /// More than nine tenths of the open file limit were in use at some time.
    pub near_file_limit: bool,
    /// Called about once a second with the time of the event loop.
    pub progress: Option<Box<dyn Fn(Micros)>>,
    last_progress: Micros,
    recording: Recording,
    delay_monitor: SchedulingDelayMonitor,
    last_delay_sample: Micros,
}

fn process_name(component: Component) -> String {
    match component {
        Component::Worker(n) => Scenario::worker_name(n),
        Component::Edge(n) => Scenario::edge_name(n),
        Component::List => "list".into(),
        Component::Store => "store".into(),
        Component::Callers => "callers".into(),
    }
}

impl ProcessEnvironment {
    /// Starts all processes and waits until they listen.
    ///
    /// # Errors
    /// A process can't be started or doesn't listen in time, or the scenario uses features that this environment
    /// doesn't support.
    pub fn new(
        scenario: Scenario,
        recording: &Recording,
        folder: PathBuf,
        make_command: MakeProcessCommand,
    ) -> io::Result<Self> {
        if scenario.settings.text("tls.workers") == "verified"
            || scenario.settings.text("identity.tokens") != "off"
            || scenario.calls.iter().any(|c| c.effect == "fingerprinted")
        {
            let what =
                "lab fleet does not support tokens, certificates or fingerprinted workloads; use lab run";
            return Err(io::Error::other(what));
        }
        let (workers, edges) = (scenario.workers, scenario.edges);
        raise_file_limit(required_descriptors(workers, edges))?;
        let mut driver = EventLoop::new(Box::new(recording.clone()))?;
        let all = (0..workers)
            .map(Component::Worker)
            .chain((0..edges).map(Component::Edge));
        let all: Vec<Component> = [Component::List, Component::Store]
            .into_iter()
            .chain(all)
            .collect();
        let mut relays = BTreeMap::new();
        let mut hosts = 0;
        let mut relay =
            |role: Role, greeting: Greeting, driver: &mut EventLoop| -> io::Result<ProcessRelay> {
                recording.0.borrow_mut().set_role(HostId(hosts), role);
                hosts += 1;
                let (control, port) = (
                    Rc::new(RefCell::new(RelayControl::default())),
                    ReservedPort::new()?,
                );
                let core = Box::new(Relay::new(greeting, control.clone()));
                Ok(ProcessRelay {
                    host: driver.add(core, vec![], None)?,
                    port,
                    control,
                })
            };
        for component in &all {
            let (role, greeting) = match component {
                Component::Worker(n) => (Role::Worker(*n), Greeting::Worker),
                Component::List => (Role::List, Greeting::Discovery),
                _ => (Role::Other, Greeting::Anonymous),
            };
            relays.insert(*component, relay(role, greeting, &mut driver)?);
        }
        let registration_relay = relay(Role::Other, Greeting::Discovery, &mut driver)?;
        let at = |component: Component| {
            relays
                .get(&component)
                .map_or(String::new(), |relay: &ProcessRelay| {
                    relay.port.address.to_string()
                })
        };
        let addresses = Addresses {
            workers: (0..workers).map(|n| at(Component::Worker(n))).collect(),
            edges: (0..edges).map(|n| at(Component::Edge(n))).collect(),
            list: at(Component::List),
            store: at(Component::Store),
        };
        for (n, address) in addresses.edges.iter().enumerate() {
            recording
                .0
                .borrow_mut()
                .set_edge_name(address, &Scenario::edge_name(n));
        }
        let fleet = Fleet::new(scenario, addresses, recording)?;
        let mut environment = ProcessEnvironment {
            driver,
            fleet,
            folder,
            make_command,
            relays,
            registration_relay,
            callers: None,
            children: BTreeMap::new(),
            pending: BTreeMap::new(),
            starts: BTreeMap::new(),
            written_faults: BTreeMap::new(),
            terminating: BTreeSet::new(),
            max_loop_delay: 0,
            late_iterations: 0,
            near_file_limit: false,
            progress: None,
            last_progress: 0,
            recording: recording.clone(),
            delay_monitor: SchedulingDelayMonitor::default(),
            last_delay_sample: 0,
        };
        std::fs::write(
            environment.folder.join("scenario.sx"),
            &environment.fleet.scenario.text,
        )?;
        std::fs::write(
            environment.folder.join("workers"),
            environment.fleet.addresses.workers.join("\n"),
        )?;
        // The discovery service and the store start first, then the workers, then the edges: each process finds those
        // that it connects to.
        for group in [&all[..2], &all[2..2 + workers], &all[2 + workers..]] {
            for component in group {
                environment.spawn(*component, false)?;
            }
            environment.wait_until_listening()?;
        }
        Ok(environment)
    }
    pub fn catch_signals(&mut self) -> io::Result<()> {
        self.driver.catch_signals()
    }
    /// Starts the clients, which begin to send requests.
    ///
    /// # Errors
    /// The clients can't be added to the event loop.
    pub fn start_clients(&mut self, recording: &Recording) -> io::Result<()> {
        recording
            .0
            .borrow_mut()
            .set_role(HostId(self.relays.len() + 1), Role::Callers);
        self.callers = Some(
            self.driver
                .add(self.fleet.callers(SCHEDULING_SLACK), vec![], None)?,
        );
        Ok(())
    }
    fn file(&self, component: Component, extension: &str) -> PathBuf {
        self.folder
            .join(format!("{}.{extension}", process_name(component)))
    }
    fn spawn(&mut self, component: Component, cold: bool) -> io::Result<()> {
        let count = self.starts.entry(component).or_default();
        *count += 1;
        let incarnation = *count;
        let seed = self
            .fleet
            .scenario
            .seed
            .wrapping_mul(1009)
            .wrapping_add(incarnation * 7919);
        let files = ["address", "faults", "state"].map(|extension| self.file(component, extension));
        let [address_file, faults_file, state_file] = &files;
        let _ = std::fs::remove_file(address_file);
        if let (Component::Worker(n), true) = (component, cold) {
            *self.fleet.workers[n].borrow_mut() = WorkerFaults::default();
        }
        self.written_faults.remove(&component);
        self.write_faults(component)?;
        let at = |relay: &ProcessRelay| relay.port.address.to_string();
        let list = if let Component::Worker(_) = component {
            at(&self.registration_relay)
        } else {
            at(&self.relays[&Component::List])
        };
        let (store, known_as) = (
            at(&self.relays[&Component::Store]),
            at(&self.relays[&component]),
        );
        let fleet = &self.fleet;
        let options = ProcessOptions {
            component,
            fleet,
            cold,
            incarnation,
            seed,
            list: &list,
            store: &store,
            known_as: &known_as,
            address_file,
            faults_file,
            state_file,
        };
        let mut command = (self.make_command)(&options);
        // The process exits when this pipe closes, so that it never outlives this process, however this one ends.
        let child = command.stdin(Stdio::piped()).spawn()?;
        self.children.insert(component, child);
        self.pending.insert(component, self.driver.now());
        Ok(())
    }
    /// Connects the relays of processes that now listen, and closes those of terminated processes that have exited.
    fn poll_processes(&mut self) -> io::Result<()> {
        for (component, since) in std::mem::take(&mut self.pending) {
            if let Ok(at) = std::fs::read_to_string(self.file(component, "address")) {
                self.set_relay_target(component, Some(at.trim().to_string()))?;
                continue;
            }
            let exited = self
                .children
                .get_mut(&component)
                .map(Child::try_wait)
                .transpose()?
                .flatten();
            if let Some(status) = exited {
                return Err(io::Error::other(format!(
                    "{} exited before it listened: {status}",
                    process_name(component)
                )));
            }
            if self.driver.now() > since + STARTUP_TIMEOUT {
                return Err(io::Error::other(format!(
                    "{} did not listen within {} s",
                    process_name(component),
                    STARTUP_TIMEOUT / 1_000_000
                )));
            }
            self.pending.insert(component, since);
        }
        for component in self.terminating.iter().copied().collect::<Vec<_>>() {
            if self.has_exited(component)? {
                self.terminating.remove(&component);
                self.set_relay_target(component, None)?;
            }
        }
        Ok(())
    }
    /// Makes the relays of a process forward to this address, or stop listening.
    fn set_relay_target(&mut self, component: Component, to: Option<String>) -> io::Result<()> {
        let relays = self
            .relays
            .get(&component)
            .into_iter()
            .chain((component == Component::List).then_some(&self.registration_relay));
        for relay in relays {
            let listeners = if to.is_some() {
                vec![relay.port.listen()?]
            } else {
                vec![]
            };
            relay.control.borrow_mut().set_target(to.clone());
            self.driver.set_listeners(relay.host, listeners)?;
        }
        Ok(())
    }
    fn wait_until_listening(&mut self) -> io::Result<()> {
        while !self.pending.is_empty() {
            let next = self.driver.now() + POLL_INTERVAL;
            self.driver.run_until(next)?;
            self.poll_processes()?;
        }
        Ok(())
    }
    /// The faults of an emulated process, as it reads them from its faults file.
    fn faults_json(&self, component: Component) -> Option<String> {
        match component {
            Component::Worker(n) => serde_json::to_string(&*self.fleet.workers[n].borrow()).ok(),
            Component::Store => serde_json::to_string(&*self.fleet.store.borrow()).ok(),
            Component::List => serde_json::to_string(&*self.fleet.list.borrow()).ok(),
            _ => None,
        }
    }
    /// Records the delay of this event loop and, at intervals, how long each process has waited for a processor.
    fn record_delays(&mut self, loop_delay: Micros) {
        let (now, log) = (self.driver.now(), &mut self.recording.0.borrow_mut().log);
        log.scheduling_delays
            .entry(RUNNER.into())
            .or_default()
            .add(now, loop_delay);
        if now < self.last_delay_sample + scheduling_delay::sampling_interval(self.children.len()) {
            return;
        }
        self.last_delay_sample = now;
        for (component, child) in &self.children {
            self.delay_monitor
                .sample(log, now, process_name(*component), child.id());
        }
    }
    /// Writes the faults file of an emulated process if its faults have changed.
    fn write_faults(&mut self, component: Component) -> io::Result<()> {
        let Some(text) = self.faults_json(component) else {
            return Ok(());
        };
        if let Component::Worker(n) = component {
            // These faults take effect once; `text` already contains them.
            let mut faults = self.fleet.workers[n].borrow_mut();
            (faults.invalidate_once, faults.garble_once) = (false, false);
        }
        if self.written_faults.get(&component) != Some(&text) {
            let (file, temporary) = (
                self.file(component, "faults"),
                self.file(component, "beside"),
            );
            std::fs::write(&temporary, &text)?;
            std::fs::rename(&temporary, &file)?;
            self.written_faults.insert(component, text);
        }
        Ok(())
    }
    fn signal(&self, component: Component, signal: Signal) {
        self.children
            .get(&component)
            .iter()
            .for_each(|child| send_signal(child, signal));
    }
    /// Whether a process has exited.
    ///
    /// # Errors
    /// The system can't report its status.
    fn has_exited(&mut self, component: Component) -> io::Result<bool> {
        Ok(self
            .children
            .get_mut(&component)
            .map(Child::try_wait)
            .transpose()?
            .flatten()
            .is_some())
    }
    /// The name by which a relay identifies a connecting process, if the protocol has a greeting. Clients send no
    /// greeting, so the faults of their links apply to all connections of the relay.
    fn caller_name(from: Component) -> Option<String> {
        matches!(from, Component::Edge(_) | Component::Worker(_)).then(|| process_name(from))
    }
    fn relay(&self, from: Component, to: Component) -> Option<&ProcessRelay> {
        let is_registration = matches!((from, to), (Component::Worker(_), Component::List));
        if is_registration {
            Some(&self.registration_relay)
        } else {
            self.relays.get(&to)
        }
    }
}

impl Drop for ProcessEnvironment {
    fn drop(&mut self) {
        self.children
            .values_mut()
            .for_each(|child| drop(child.kill()));
        self.children
            .values_mut()
            .for_each(|child| drop(child.wait()));
    }
}

impl Environment for ProcessEnvironment {
    fn now(&self) -> Micros {
        self.driver.now()
    }
    fn fleet(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
    fn run_until(&mut self, at: Micros) -> io::Result<()> {
        let emulated = (0..self.fleet.workers.len())
            .map(Component::Worker)
            .chain([Component::Store, Component::List]);
        for component in emulated.collect::<Vec<_>>() {
            self.write_faults(component)?;
        }
        while self.driver.now() < at {
            let settled = self.pending.is_empty() && self.terminating.is_empty();
            let next = at.min(self.driver.now() + POLL_INTERVAL);
            self.driver.run_until(next)?;
            let loop_delay = self.driver.now() - next;
            self.max_loop_delay = self.max_loop_delay.max(loop_delay);
            self.late_iterations += u64::from(loop_delay > LATE_THRESHOLD);
            self.record_delays(loop_delay);
            if !settled {
                self.poll_processes()?;
            }
            if next >= self.last_progress + 1_000_000 {
                self.progress.iter().for_each(|progress| progress(next));
                self.last_progress = next;
                self.near_file_limit |= is_near_file_limit();
            }
            if self.driver.shutdown_requested() {
                return Err(io::Error::other(
                    "interrupted by a signal before the scenario was over",
                ));
            }
        }
        Ok(())
    }
    fn kill(&mut self, component: Component) {
        if let Some(mut child) = self.children.remove(&component) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.pending.remove(&component);
        self.terminating.remove(&component);
        let _ = self.set_relay_target(component, None);
    }
    fn start(&mut self, component: Component) -> io::Result<()> {
        self.spawn(component, true)
    }
    fn freeze(&mut self, component: Component, frozen: bool) {
        self.signal(component, if frozen { Signal::STOP } else { Signal::CONT });
    }
    fn reset_on_next_write(&mut self, component: Component) {
        if let Some(relay) = self.relays.get(&component) {
            relay.control.borrow_mut().reset_connections(None);
        }
    }
    fn set_link_fault(
        &mut self,
        from: Component,
        to: Component,
        fault: Option<Fault>,
    ) -> io::Result<()> {
        let caller = Self::caller_name(from);
        if let Some(relay) = self.relay(from, to) {
            relay
                .control
                .borrow_mut()
                .set_fault(caller.as_deref(), fault);
        }
        Ok(())
    }
    fn break_link(&mut self, from: Component, to: Component) -> io::Result<()> {
        let caller = Self::caller_name(from);
        if let Some(relay) = self.relay(from, to) {
            relay
                .control
                .borrow_mut()
                .reset_connections(caller.as_deref());
        }
        Ok(())
    }
    fn clear_saved_state(&mut self, component: Component) {
        let _ = std::fs::remove_file(self.file(component, "state"));
    }
    fn shut_down(&mut self, component: Component) {
        self.signal(component, Signal::TERM);
        self.terminating.insert(component);
    }
    fn distribute_keys(&mut self) -> io::Result<()> {
        Ok(())
    }
    fn distribute_certificates(&mut self) -> io::Result<()> {
        Ok(())
    }
    fn is_traffic_finished(&self) -> bool {
        self.callers
            .is_none_or(|host| self.driver.is_core_done(host))
    }
    fn max_scheduling_delay(&self) -> Micros {
        SCHEDULING_SLACK
    }
    fn slack(&self) -> Micros {
        SCHEDULING_SLACK
    }
}

/// An emulated worker or service that takes its faults from a file that its event loop watches.
pub struct FaultControlled {
    core: Box<dyn Core>,
    apply_faults: Box<dyn FnMut(&str)>,
}

/// Name under which the event loop passes that file to the core.
pub const FAULTS_FILE: &str = "faults";

impl FaultControlled {
    pub fn new(core: Box<dyn Core>, apply_faults: Box<dyn FnMut(&str)>) -> Self {
        FaultControlled { core, apply_faults }
    }
}

impl Core for FaultControlled {
    fn start(&mut self, now: Micros, io: &mut dyn sanddrum_net::Io) {
        self.core.start(now, io);
    }
    fn on_event(
        &mut self,
        now: Micros,
        event: sanddrum_net::Event<'_>,
        io: &mut dyn sanddrum_net::Io,
    ) {
        self.core.on_event(now, event, io);
    }
    fn process(&mut self, now: Micros, io: &mut dyn sanddrum_net::Io) {
        self.core.process(now, io);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        self.core.next_wakeup()
    }
    fn on_file(
        &mut self,
        _: Micros,
        _: &str,
        content: Result<&[u8], &FileError>,
        _: &mut dyn sanddrum_net::Io,
    ) {
        if let Ok(text) = content.map(String::from_utf8_lossy) {
            (self.apply_faults)(&text);
        }
    }
    fn is_done(&self) -> bool {
        self.core.is_done()
    }
}
