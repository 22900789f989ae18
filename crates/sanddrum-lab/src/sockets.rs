//! Plays a scenario on loopback sockets: the emulated workers and services and the clients share one event loop;
//! edges run on it too, or as processes.

use crate::environment::{Environment, MakeEdge};
use crate::fleet::{Addresses, Component, Fleet};
use crate::recorder::{Recording, Role};
use crate::relay::Fault;
use crate::scenario::Scenario;
use rustix::process::{kill_process, Pid, Signal};
use sanddrum_edge::{Edge, EdgeOptions, KEYS_FILE};
use sanddrum_net::{Core, EventLoop, HostId, Micros};
use sanddrum_tls::{INBOUND_FILES, OUTBOUND_FILES};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command};

/// Builds the command that runs an edge as a process, from the edge's number, the fleet (which has the edge's address
/// and that of the discovery service), its state file and its seed.
pub type MakeEdgeCommand = Box<dyn Fn(usize, &Fleet, &PathBuf, u64) -> Command>;

/// How edges are run on sockets.
pub enum EdgeMode {
    /// On the same event loop as everything else.
    InProcess(MakeEdge),
    /// Each as a process of its own, started with this command.
    Processes(MakeEdgeCommand),
}

/// Sends a signal to a child process.
pub(crate) fn send_signal(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process(pid, signal);
    }
}

/// Plays a scenario on loopback sockets.
pub struct SocketEnvironment {
    driver: EventLoop,
    fleet: Fleet,
    hosts: BTreeMap<Component, HostId>,
    edge_mode: EdgeMode,
    children: BTreeMap<usize, Child>,
    folder: PathBuf,
}

/// How long a machine that is busy with other things may delay a process.
const SOCKET_SLACK: Micros = 150_000;
/// How long a restart waits for its port, if that was taken in the meantime.
const PORT_WAIT: Micros = 2_000_000;

impl SocketEnvironment {
    /// Starts the whole fleet with its clients, on loopback ports that the system chooses. The edges' state files are
    /// written to `folder`.
    pub fn new(
        scenario: Scenario,
        recording: &Recording,
        edge_mode: EdgeMode,
        folder: PathBuf,
    ) -> io::Result<Self> {
        let mut environment = Self::without_clients(scenario, recording, edge_mode, folder, &[])?;
        environment.set_up(Component::Callers, None, recording)?;
        Ok(environment)
    }
    /// Starts the fleet without clients. The first edges listen on these addresses, any others on ports that the
    /// system chooses.
    ///
    /// # Errors
    /// A port is taken, or an edge doesn't accept connections.
    pub fn without_clients(
        scenario: Scenario,
        recording: &Recording,
        edge_mode: EdgeMode,
        folder: PathBuf,
        edge_addresses: &[&str],
    ) -> io::Result<Self> {
        let driver = EventLoop::new(Box::new(recording.clone()))?;
        let (workers, edges) = (scenario.workers, scenario.edges);
        let mut bound = BTreeMap::new();
        let mut bind = |component: Component| -> io::Result<String> {
            let requested = if let Component::Edge(n) = component {
                edge_addresses.get(n).copied()
            } else {
                None
            };
            let (listener, at) = EventLoop::bind(requested.unwrap_or("127.0.0.1:0"))?;
            bound.insert(component, listener);
            Ok(at)
        };
        let addresses = Addresses {
            workers: (0..workers)
                .map(|n| bind(Component::Worker(n)))
                .collect::<io::Result<_>>()?,
            edges: (0..edges)
                .map(|n| bind(Component::Edge(n)))
                .collect::<io::Result<_>>()?,
            list: bind(Component::List)?,
            store: bind(Component::Store)?,
        };
        let fleet = Fleet::new(scenario, addresses, recording)?;
        let mut environment = SocketEnvironment {
            driver,
            fleet,
            hosts: BTreeMap::new(),
            edge_mode,
            children: BTreeMap::new(),
            folder,
        };
        environment.distribute_keys()?;
        environment.distribute_certificates()?;
        let all = (0..workers)
            .map(Component::Worker)
            .chain((0..edges).map(Component::Edge));
        for component in [Component::List, Component::Store].into_iter().chain(all) {
            let listener = bound.remove(&component);
            environment.set_up(component, listener, recording)?;
        }
        // Edges that are processes take a moment to start; clients are started once all edges accept connections.
        environment.wait_for_edges()?;
        Ok(environment)
    }
    fn set_up(
        &mut self,
        component: Component,
        listener: Option<std::net::TcpListener>,
        recording: &Recording,
    ) -> io::Result<()> {
        if let Component::Edge(n) = component {
            let address = self.fleet.addresses.edges[n].clone();
            recording
                .0
                .borrow_mut()
                .set_edge_name(&address, &Scenario::edge_name(n));
            if matches!(self.edge_mode, EdgeMode::Processes(_)) {
                drop(listener);
                return self.spawn(n);
            }
        }
        let role = match component {
            // Under TLS, the worker's plaintext is recorded inside its TLS layer.
            Component::Worker(_) if self.fleet.authority.is_some() => Role::Other,
            Component::Worker(n) => Role::Worker(n),
            Component::List => Role::List,
            Component::Callers => Role::Callers,
            Component::Edge(_) | Component::Store => Role::Other,
        };
        recording
            .0
            .borrow_mut()
            .set_role(HostId(self.hosts.len()), role);
        let core = self.core(component, false)?;
        let state = self.state_file(component);
        let host = self
            .driver
            .add(core, listener.into_iter().collect(), state)?;
        self.hosts.insert(component, host);
        self.watch_keys(component, host);
        self.watch_certificates(component, host);
        Ok(())
    }
    fn watch_certificates(&mut self, component: Component, host: HostId) {
        if self.fleet.authority.is_none() {
            return;
        }
        let interval = self
            .fleet
            .scenario
            .settings
            .duration_us("tls.watch-every-us");
        match component {
            // An impostor keeps the certificate that it started with.
            Component::Worker(n) if !self.fleet.impostors.contains(&n) => {
                let name = Scenario::worker_name(n);
                self.driver.watch_file(
                    host,
                    INBOUND_FILES[1],
                    self.folder.join(format!("{name}.pem")),
                    interval,
                );
                self.driver.watch_file(
                    host,
                    INBOUND_FILES[2],
                    self.folder.join(format!("{name}.key")),
                    interval,
                );
            }
            Component::Edge(_) => self.driver.watch_file(
                host,
                OUTBOUND_FILES[0],
                self.folder.join("roots.pem"),
                interval,
            ),
            _ => {}
        }
    }
    fn keys_file(&self) -> PathBuf {
        self.folder
            .join(self.fleet.scenario.settings.text("identity.keys-file"))
    }
    fn watch_keys(&mut self, component: Component, host: HostId) {
        if self.fleet.token_issuer.is_some() && matches!(component, Component::Edge(_)) {
            let interval = self
                .fleet
                .scenario
                .settings
                .duration_us("identity.watch-every-us");
            self.driver
                .watch_file(host, KEYS_FILE, self.keys_file(), interval);
        }
    }
    fn state_file(&self, component: Component) -> Option<PathBuf> {
        match component {
            Component::Edge(n) => Some(
                self.folder
                    .join(format!("{}.state", Scenario::edge_name(n))),
            ),
            _ => None,
        }
    }
    fn spawn(&mut self, n: usize) -> io::Result<()> {
        let (_, seed, _) = self.fleet.edge(n).map_err(io::Error::other)?;
        let state = self.state_file(Component::Edge(n)).unwrap_or_default();
        if let EdgeMode::Processes(command) = &self.edge_mode {
            let child = command(n, &self.fleet, &state, seed).spawn()?;
            self.children.insert(n, child);
        }
        Ok(())
    }
    fn wait_for_edges(&mut self) -> io::Result<()> {
        let until = self.driver.now() + 10_000_000;
        for address in self.fleet.addresses.edges.clone() {
            while std::net::TcpStream::connect(&address).is_err() {
                if self.driver.now() > until {
                    return Err(io::Error::other(format!(
                        "no edge accepts connections at {address}"
                    )));
                }
                let next = self.driver.now() + 10_000;
                self.driver.run_until(next)?;
            }
        }
        // Leaves time for the endpoint list to reach the edges.
        let next = self.driver.now() + 300_000;
        self.driver.run_until(next)
    }
    fn core(&mut self, component: Component, cold: bool) -> io::Result<Box<dyn Core>> {
        let now = self.driver.now();
        Ok(match component {
            Component::Worker(n) => self.fleet.worker(n, now, cold)?,
            Component::List => self.fleet.list(now),
            Component::Store => self.fleet.store(),
            Component::Callers => self.fleet.callers(0),
            Component::Edge(n) => {
                let (settings, seed, incarnation) = self.fleet.edge(n).map_err(io::Error::other)?;
                let cached_state = self
                    .state_file(component)
                    .and_then(|file| std::fs::read(file).ok());
                let options = EdgeOptions {
                    settings,
                    seed,
                    cached_state,
                    incarnation,
                    metrics_page: None,
                    platform: None,
                };
                let edge: Box<dyn Core> = match &self.edge_mode {
                    EdgeMode::InProcess(make) => make(options),
                    EdgeMode::Processes(_) => Box::new(Edge::new(options)),
                };
                self.fleet.with_tls(edge)?
            }
        })
    }
    fn address(&self, component: Component) -> Option<&str> {
        let a = &self.fleet.addresses;
        match component {
            Component::Worker(n) => Some(&a.workers[n]),
            Component::Edge(n) => Some(&a.edges[n]),
            Component::List => Some(&a.list),
            Component::Store => Some(&a.store),
            Component::Callers => None,
        }
    }
    /// Whether a signal asked for shutdown.
    pub fn shutdown_requested(&self) -> bool {
        self.driver.shutdown_requested()
    }
    pub fn catch_signals(&mut self) -> io::Result<()> {
        self.driver.catch_signals()
    }
    /// Calls `request_stop` with the process id of each edge that is a process, and waits for them to exit. Returns
    /// the numbers of those that failed or had to be killed.
    pub fn stop_edges(&mut self, request_stop: impl Fn(u32)) -> io::Result<Vec<usize>> {
        let mut failed = Vec::new();
        self.children
            .values()
            .for_each(|child| request_stop(child.id()));
        let until = self.driver.now() + 5_000_000;
        for (n, mut child) in std::mem::take(&mut self.children) {
            loop {
                match child.try_wait()? {
                    Some(status) if status.success() => break,
                    Some(_) => {
                        failed.push(n);
                        break;
                    }
                    None if self.driver.now() > until => {
                        child.kill()?;
                        child.wait()?;
                        failed.push(n);
                        break;
                    }
                    None => {
                        let next = self.driver.now() + 10_000;
                        self.driver.run_until(next)?;
                    }
                }
            }
        }
        Ok(failed)
    }
}

impl Drop for SocketEnvironment {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Environment for SocketEnvironment {
    fn now(&self) -> Micros {
        self.driver.now()
    }
    fn fleet(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
    fn run_until(&mut self, at: Micros) -> io::Result<()> {
        self.driver.run_until(at)
    }
    fn kill(&mut self, component: Component) {
        if let Component::Edge(n) = component {
            if let Some(mut child) = self.children.remove(&n) {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if let Some(host) = self.hosts.get(&component) {
            self.driver.kill(*host);
        }
    }
    fn start(&mut self, component: Component) -> io::Result<()> {
        if let Component::Edge(n) = component {
            if matches!(self.edge_mode, EdgeMode::Processes(_)) {
                return self.spawn(n);
            }
        }
        let Some(address) = self.address(component).map(String::from) else {
            return Ok(());
        };
        let until = self.driver.now() + PORT_WAIT;
        let listener = loop {
            match EventLoop::bind(&address) {
                Ok((listener, _)) => break listener,
                Err(e) if self.driver.now() > until => return Err(e),
                Err(_) => {
                    let next = self.driver.now() + 20_000;
                    self.driver.run_until(next)?;
                }
            }
        };
        let core = self.core(component, true)?;
        if let Some(host) = self.hosts.get(&component).copied() {
            let state = self.state_file(component);
            self.driver.replace(host, core, vec![listener], state)?;
            self.watch_keys(component, host);
            self.watch_certificates(component, host);
        }
        Ok(())
    }
    fn distribute_keys(&mut self) -> io::Result<()> {
        let Some(keys) = self.fleet.keys() else {
            return Ok(());
        };
        let (file, temporary) = (self.keys_file(), self.folder.join("keys.beside"));
        std::fs::write(&temporary, keys)?;
        std::fs::rename(&temporary, &file)
    }
    fn distribute_certificates(&mut self) -> io::Result<()> {
        if self.fleet.authority.is_none() {
            return Ok(());
        }
        let write = |name: String, content: &[u8]| {
            let temporary = self.folder.join(format!("{name}.beside"));
            std::fs::write(&temporary, content)?;
            std::fs::rename(&temporary, self.folder.join(name))
        };
        write("roots.pem".into(), &self.fleet.roots())?;
        for n in 0..self.fleet.scenario.workers {
            let (chain, key) = self
                .fleet
                .worker_tls_material(n)?
                .certified_key
                .unwrap_or_default();
            write(format!("{}.pem", Scenario::worker_name(n)), &chain)?;
            write(format!("{}.key", Scenario::worker_name(n)), &key)?;
        }
        Ok(())
    }
    fn set_link_fault(&mut self, _: Component, _: Component, _: Option<Fault>) -> io::Result<()> {
        Err(io::Error::other(
            "link faults are supported only by lab fleet and by lab run --virtual",
        ))
    }
    fn break_link(&mut self, from: Component, to: Component) -> io::Result<()> {
        self.set_link_fault(from, to, None)
    }
    fn clear_saved_state(&mut self, component: Component) {
        self.state_file(component)
            .iter()
            .for_each(|file| drop(std::fs::remove_file(file)));
    }
    fn shut_down(&mut self, component: Component) {
        if let (Component::Edge(n), EdgeMode::Processes(_)) = (component, &self.edge_mode) {
            self.children
                .get(&n)
                .iter()
                .for_each(|child| send_signal(child, Signal::TERM));
        }
    }
    fn freeze(&mut self, component: Component, frozen: bool) {
        if let Some(child) = if let Component::Edge(n) = component {
            self.children.get(&n)
        } else {
            None
        } {
            return send_signal(child, if frozen { Signal::STOP } else { Signal::CONT });
        }
        if let Some(host) = self.hosts.get(&component) {
            self.driver.freeze(*host, frozen);
        }
    }
    fn reset_on_next_write(&mut self, component: Component) {
        if let Some(host) = self.hosts.get(&component) {
            self.driver.reset_on_next_write(*host);
        }
    }
    fn is_traffic_finished(&self) -> bool {
        self.hosts
            .get(&Component::Callers)
            .is_none_or(|host| self.driver.is_core_done(*host))
    }
    fn slack(&self) -> Micros {
        SOCKET_SLACK
    }
}
