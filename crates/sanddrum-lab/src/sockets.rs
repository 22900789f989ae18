//! A scenario's fleet on loopback sockets: stand-ins and callers on one loop, edges beside them or as processes.

use crate::environment::{Environment, MakeEdge};
use crate::fleet::{Addresses, Fleet, Who};
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

/// The command that runs an edge as a process.
pub type MakeCommand = Box<dyn Fn(usize, &Fleet, &PathBuf, u64) -> Command>;

/// How edges are run on sockets.
pub enum EdgesAs {
    /// On the same loop as everything else.
    Cores(MakeEdge),
    /// Each as a process of its own: the command for an edge's number, its listening and its list's address, its
    /// state file and its seed.
    Processes(MakeCommand),
}

/// Sends a signal to a process that was started here.
pub(crate) fn send(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process(pid, signal);
    }
}

pub struct SocketEnvironment {
    driver: EventLoop,
    fleet: Fleet,
    hosts: BTreeMap<Who, HostId>,
    edges_as: EdgesAs,
    children: BTreeMap<usize, Child>,
    folder: PathBuf,
}

/// A machine that is busy with other things may hold a process up for so long.
const SOCKET_SLACK: Micros = 150_000;
/// A port that was taken in between is waited for so long.
const PORT_WAIT: Micros = 2_000_000;

impl SocketEnvironment {
    /// Sets everything up on loopback ports that the system chooses; `folder` takes the edges' state files.
    pub fn new(
        scenario: Scenario,
        recording: &Recording,
        edges_as: EdgesAs,
        folder: PathBuf,
    ) -> io::Result<Self> {
        let mut stage = Self::standing(scenario, recording, edges_as, folder, &[])?;
        stage.set_up(Who::Callers, None, recording)?;
        Ok(stage)
    }
    /// The same without callers, and with edges at these addresses as far as they go.
    ///
    /// # Errors
    /// A port is taken, or an edge does not answer.
    pub fn standing(
        scenario: Scenario,
        recording: &Recording,
        edges_as: EdgesAs,
        folder: PathBuf,
        edge_doors: &[&str],
    ) -> io::Result<Self> {
        let driver = EventLoop::new(Box::new(recording.clone()))?;
        let (workers, edges) = (scenario.workers, scenario.edges);
        let mut bound = BTreeMap::new();
        let mut bind = |who: Who| -> io::Result<String> {
            let given = if let Who::Edge(n) = who {
                edge_doors.get(n).copied()
            } else {
                None
            };
            let (listener, at) = EventLoop::bind(given.unwrap_or("127.0.0.1:0"))?;
            bound.insert(who, listener);
            Ok(at)
        };
        let addresses = Addresses {
            workers: (0..workers)
                .map(|n| bind(Who::Worker(n)))
                .collect::<io::Result<_>>()?,
            edges: (0..edges)
                .map(|n| bind(Who::Edge(n)))
                .collect::<io::Result<_>>()?,
            list: bind(Who::List)?,
            store: bind(Who::Store)?,
        };
        let fleet = Fleet::new(scenario, addresses, recording)?;
        let mut stage = SocketEnvironment {
            driver,
            fleet,
            hosts: BTreeMap::new(),
            edges_as,
            children: BTreeMap::new(),
            folder,
        };
        stage.distribute_keys()?;
        stage.distribute_certificates()?;
        let all = (0..workers)
            .map(Who::Worker)
            .chain((0..edges).map(Who::Edge));
        for who in [Who::List, Who::Store].into_iter().chain(all) {
            let listener = bound.remove(&who);
            stage.set_up(who, listener, recording)?;
        }
        // Edges that are processes need a moment; calls are made once they answer.
        stage.wait_for_edges()?;
        Ok(stage)
    }
    fn set_up(
        &mut self,
        who: Who,
        listener: Option<std::net::TcpListener>,
        recording: &Recording,
    ) -> io::Result<()> {
        if let Who::Edge(n) = who {
            let address = self.fleet.addresses.edges[n].clone();
            recording
                .0
                .borrow_mut()
                .edge(&address, &Scenario::edge_name(n));
            if matches!(self.edges_as, EdgesAs::Processes(_)) {
                drop(listener);
                return self.spawn(n);
            }
        }
        let role = match who {
            // Under TLS it is recorded within.
            Who::Worker(_) if self.fleet.authority.is_some() => Role::Other,
            Who::Worker(n) => Role::Worker(n),
            Who::List => Role::List,
            Who::Callers => Role::Callers,
            Who::Edge(_) | Who::Store => Role::Other,
        };
        recording
            .0
            .borrow_mut()
            .role(HostId(self.hosts.len()), role);
        let core = self.core(who, false)?;
        let state = self.state_file(who);
        let host = self
            .driver
            .add(core, listener.into_iter().collect(), state)?;
        self.hosts.insert(who, host);
        self.watch_keys(who, host);
        self.watch_papers(who, host);
        Ok(())
    }
    fn watch_papers(&mut self, who: Who, host: HostId) {
        if self.fleet.authority.is_none() {
            return;
        }
        let every = self
            .fleet
            .scenario
            .settings
            .duration_us("tls.watch-every-us");
        match who {
            // An impostor shows what it came with.
            Who::Worker(n) if !self.fleet.impostors.contains(&n) => {
                let name = Scenario::worker_name(n);
                self.driver.watch_file(
                    host,
                    INBOUND_FILES[1],
                    self.folder.join(format!("{name}.pem")),
                    every,
                );
                self.driver.watch_file(
                    host,
                    INBOUND_FILES[2],
                    self.folder.join(format!("{name}.key")),
                    every,
                );
            }
            Who::Edge(_) => self.driver.watch_file(
                host,
                OUTBOUND_FILES[0],
                self.folder.join("roots.pem"),
                every,
            ),
            _ => {}
        }
    }
    fn keys_file(&self) -> PathBuf {
        self.folder
            .join(self.fleet.scenario.settings.text("identity.keys-file"))
    }
    fn watch_keys(&mut self, who: Who, host: HostId) {
        if self.fleet.token_issuer.is_some() && matches!(who, Who::Edge(_)) {
            let every = self
                .fleet
                .scenario
                .settings
                .duration_us("identity.watch-every-us");
            self.driver
                .watch_file(host, KEYS_FILE, self.keys_file(), every);
        }
    }
    fn state_file(&self, who: Who) -> Option<PathBuf> {
        match who {
            Who::Edge(n) => Some(
                self.folder
                    .join(format!("{}.state", Scenario::edge_name(n))),
            ),
            _ => None,
        }
    }
    fn spawn(&mut self, n: usize) -> io::Result<()> {
        let (_, seed, _) = self.fleet.edge(n).map_err(io::Error::other)?;
        let state = self.state_file(Who::Edge(n)).unwrap_or_default();
        if let EdgesAs::Processes(command) = &self.edges_as {
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
                    return Err(io::Error::other(format!("no edge answers at {address}")));
                }
                let next = self.driver.now() + 10_000;
                self.driver.run_until(next)?;
            }
        }
        // Time for the list to reach them.
        let next = self.driver.now() + 300_000;
        self.driver.run_until(next)
    }
    fn core(&mut self, who: Who, cold: bool) -> io::Result<Box<dyn Core>> {
        let now = self.driver.now();
        Ok(match who {
            Who::Worker(n) => self.fleet.worker(n, now, cold)?,
            Who::List => self.fleet.list(now),
            Who::Store => self.fleet.store(),
            Who::Callers => self.fleet.callers(0),
            Who::Edge(n) => {
                let (settings, seed, incarnation) = self.fleet.edge(n).map_err(io::Error::other)?;
                let kept = self
                    .state_file(who)
                    .and_then(|file| std::fs::read(file).ok());
                let start = EdgeOptions {
                    settings,
                    seed,
                    cached_state: kept,
                    incarnation,
                    metrics_page: None,
                    platform: None,
                };
                let edge: Box<dyn Core> = match &self.edges_as {
                    EdgesAs::Cores(make) => make(start),
                    EdgesAs::Processes(_) => Box::new(Edge::new(start)),
                };
                self.fleet.with_tls(edge)?
            }
        })
    }
    fn address(&self, who: Who) -> Option<&str> {
        let a = &self.fleet.addresses;
        match who {
            Who::Worker(n) => Some(&a.workers[n]),
            Who::Edge(n) => Some(&a.edges[n]),
            Who::List => Some(&a.list),
            Who::Store => Some(&a.store),
            Who::Callers => None,
        }
    }
    /// Whether a signal asked for the end.
    pub fn signalled(&self) -> bool {
        self.driver.shutdown_requested()
    }
    pub fn catch_signals(&mut self) -> io::Result<()> {
        self.driver.catch_signals()
    }
    /// Asks the edges that are processes to end, and waits for them; gives the numbers of those that did not end
    /// well.
    pub fn end_edges(&mut self, ask: impl Fn(u32)) -> io::Result<Vec<usize>> {
        let mut ill = Vec::new();
        self.children.values().for_each(|child| ask(child.id()));
        let until = self.driver.now() + 5_000_000;
        for (n, mut child) in std::mem::take(&mut self.children) {
            loop {
                match child.try_wait()? {
                    Some(status) if status.success() => break,
                    Some(_) => {
                        ill.push(n);
                        break;
                    }
                    None if self.driver.now() > until => {
                        child.kill()?;
                        child.wait()?;
                        ill.push(n);
                        break;
                    }
                    None => {
                        let next = self.driver.now() + 10_000;
                        self.driver.run_until(next)?;
                    }
                }
            }
        }
        Ok(ill)
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
    fn kill(&mut self, who: Who) {
        if let Who::Edge(n) = who {
            if let Some(mut child) = self.children.remove(&n) {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if let Some(host) = self.hosts.get(&who) {
            self.driver.kill(*host);
        }
    }
    fn start(&mut self, who: Who) -> io::Result<()> {
        if let Who::Edge(n) = who {
            if matches!(self.edges_as, EdgesAs::Processes(_)) {
                return self.spawn(n);
            }
        }
        let Some(address) = self.address(who).map(String::from) else {
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
        let core = self.core(who, true)?;
        if let Some(host) = self.hosts.get(&who).copied() {
            let state = self.state_file(who);
            self.driver.replace(host, core, vec![listener], state)?;
            self.watch_keys(who, host);
            self.watch_papers(who, host);
        }
        Ok(())
    }
    fn distribute_keys(&mut self) -> io::Result<()> {
        let Some(keys) = self.fleet.keys() else {
            return Ok(());
        };
        let (file, beside) = (self.keys_file(), self.folder.join("keys.beside"));
        std::fs::write(&beside, keys)?;
        std::fs::rename(&beside, &file)
    }
    fn distribute_certificates(&mut self) -> io::Result<()> {
        if self.fleet.authority.is_none() {
            return Ok(());
        }
        let write = |name: String, content: &[u8]| {
            let beside = self.folder.join(format!("{name}.beside"));
            std::fs::write(&beside, content)?;
            std::fs::rename(&beside, self.folder.join(name))
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
    fn set_link_fault(&mut self, _: Who, _: Who, _: Option<Fault>) -> io::Result<()> {
        Err(io::Error::other(
            "links are steered by lab fleet, and by lab run --virtual",
        ))
    }
    fn break_link(&mut self, from: Who, to: Who) -> io::Result<()> {
        self.set_link_fault(from, to, None)
    }
    fn clear_saved_state(&mut self, who: Who) {
        self.state_file(who)
            .iter()
            .for_each(|file| drop(std::fs::remove_file(file)));
    }
    fn shut_down(&mut self, who: Who) {
        if let (Who::Edge(n), EdgesAs::Processes(_)) = (who, &self.edges_as) {
            self.children
                .get(&n)
                .iter()
                .for_each(|child| send(child, Signal::TERM));
        }
    }
    fn freeze(&mut self, who: Who, frozen: bool) {
        if let Some(child) = if let Who::Edge(n) = who {
            self.children.get(&n)
        } else {
            None
        } {
            return send(child, if frozen { Signal::STOP } else { Signal::CONT });
        }
        if let Some(host) = self.hosts.get(&who) {
            self.driver.freeze(*host, frozen);
        }
    }
    fn reset_on_next_write(&mut self, who: Who) {
        if let Some(host) = self.hosts.get(&who) {
            self.driver.reset_on_next_write(*host);
        }
    }
    fn is_traffic_finished(&self) -> bool {
        self.hosts
            .get(&Who::Callers)
            .is_none_or(|host| self.driver.is_core_done(*host))
    }
    fn slack(&self) -> Micros {
        SOCKET_SLACK
    }
}
