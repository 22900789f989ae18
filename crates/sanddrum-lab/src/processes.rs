//! A stage of real processes: edges, workers, list service and store, each a process of the program on loopback, every
//! link between two of them through a relay. Here they are started, killed, stopped, continued and ended; the callers
//! and the relays run in this process, and what crosses them is what is judged.

use crate::environment::Environment;
use crate::fleet::{Addresses, Fleet, Who};
use crate::port_reservation::{descriptors, is_short_of_files, make_room, Port};
use crate::recorder::{Recording, Role};
use crate::relay::{Fault, Greets, Relay, Steering};
use crate::scenario::Scenario;
use crate::scheduling_delay::{self, Watch, OURS};
use crate::sockets::send;
use rustix::process::Signal;
use sanddrum_emulator::{Shared, WorkerFaults};
use sanddrum_net::{Core, EventLoop, FileError, HostId, Micros};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

struct Door {
    host: HostId,
    port: Port,
    steering: Shared<Steering>,
}

/// What a process is started with.
pub struct Start<'a> {
    pub who: Who,
    pub fleet: &'a Fleet,
    pub cold: bool,
    pub incarnation: u64,
    pub seed: u64,
    pub list: &'a str,
    pub store: &'a str,
    /// What others know a worker by.
    pub known_as: &'a str,
    /// It writes where it listens into this file.
    pub address_file: &'a Path,
    /// What is wrong with it stands in this file.
    pub faults_file: &'a Path,
    pub state_file: &'a Path,
}

/// The command that runs a part as a process, without its standard streams.
pub type MakeProcess = Box<dyn Fn(&Start) -> Command>;

/// A process has to listen within this time, on a machine that is busy with the others.
const UP_WITHIN: Micros = 30_000_000;
/// How often it is looked whether something listens, and how late this process's own loop is.
const LOOKS_EVERY: Micros = 5_000;
/// A machine that runs many processes may hold one up for so long.
const SLACK: Micros = 500_000;
/// Late by this much, this process itself was held up: the machine was the limit.
pub const LATE: Micros = 50_000;

pub struct ProcessEnvironment {
    driver: EventLoop,
    fleet: Fleet,
    folder: PathBuf,
    make: MakeProcess,
    doors: BTreeMap<Who, Door>,
    /// The links of workers to the list service.
    registers: Door,
    callers: Option<HostId>,
    children: BTreeMap<Who, Child>,
    pending: BTreeMap<Who, Micros>,
    starts: BTreeMap<Who, u64>,
    told_faults: BTreeMap<Who, String>,
    /// Asked to end: their doors close once they have.
    ending: BTreeSet<Who>,
    /// How late this process's own loop ran at the worst, and how often it was late.
    pub latest: Micros,
    pub late: u64,
    /// Over nine tenths of the open files that are allowed were in use.
    pub short_of_files: bool,
    /// Told each second how long it has run.
    pub progress: Option<Box<dyn Fn(Micros)>>,
    told_at: Micros,
    recording: Recording,
    watch: Watch,
    watched_at: Micros,
}

fn name(who: Who) -> String {
    match who {
        Who::Worker(n) => Scenario::worker_name(n),
        Who::Edge(n) => Scenario::edge_name(n),
        Who::List => "list".into(),
        Who::Store => "store".into(),
        Who::Callers => "callers".into(),
    }
}

impl ProcessEnvironment {
    /// Starts everything and waits until all of it listens.
    ///
    /// # Errors
    /// A process can't be started or does not listen in time; the scenario asks for what this stage has not.
    pub fn new(
        scenario: Scenario,
        recording: &Recording,
        folder: PathBuf,
        make: MakeProcess,
    ) -> io::Result<Self> {
        if scenario.settings.text("tls.workers") == "verified"
            || scenario.settings.text("identity.tokens") != "off"
            || scenario.calls.iter().any(|c| c.effect == "fingerprinted")
        {
            let what =
                "tokens, certificates and fingerprinted workloads are played by lab run, not by processes";
            return Err(io::Error::other(what));
        }
        let (workers, edges) = (scenario.workers, scenario.edges);
        make_room(descriptors(workers, edges))?;
        let mut driver = EventLoop::new(Box::new(recording.clone()))?;
        let all = (0..workers)
            .map(Who::Worker)
            .chain((0..edges).map(Who::Edge));
        let all: Vec<Who> = [Who::List, Who::Store].into_iter().chain(all).collect();
        let mut doors = BTreeMap::new();
        let mut hosts = 0;
        let mut door = |role: Role, greets: Greets, driver: &mut EventLoop| -> io::Result<Door> {
            recording.0.borrow_mut().role(HostId(hosts), role);
            hosts += 1;
            let (steering, port) = (Rc::new(RefCell::new(Steering::default())), Port::new()?);
            let core = Box::new(Relay::new(greets, steering.clone()));
            Ok(Door {
                host: driver.add(core, vec![], None)?,
                port,
                steering,
            })
        };
        for who in &all {
            let (role, greets) = match who {
                Who::Worker(n) => (Role::Worker(*n), Greets::Worker),
                Who::List => (Role::List, Greets::List),
                _ => (Role::Other, Greets::No),
            };
            doors.insert(*who, door(role, greets, &mut driver)?);
        }
        let registers = door(Role::Other, Greets::List, &mut driver)?;
        let at = |who: Who| {
            doors
                .get(&who)
                .map_or(String::new(), |d: &Door| d.port.at.to_string())
        };
        let addresses = Addresses {
            workers: (0..workers).map(|n| at(Who::Worker(n))).collect(),
            edges: (0..edges).map(|n| at(Who::Edge(n))).collect(),
            list: at(Who::List),
            store: at(Who::Store),
        };
        for (n, address) in addresses.edges.iter().enumerate() {
            recording
                .0
                .borrow_mut()
                .edge(address, &Scenario::edge_name(n));
        }
        let fleet = Fleet::new(scenario, addresses, recording)?;
        let mut stage = ProcessEnvironment {
            driver,
            fleet,
            folder,
            make,
            doors,
            registers,
            callers: None,
            children: BTreeMap::new(),
            pending: BTreeMap::new(),
            starts: BTreeMap::new(),
            told_faults: BTreeMap::new(),
            ending: BTreeSet::new(),
            latest: 0,
            late: 0,
            short_of_files: false,
            progress: None,
            told_at: 0,
            recording: recording.clone(),
            watch: Watch::default(),
            watched_at: 0,
        };
        std::fs::write(stage.folder.join("scenario.sx"), &stage.fleet.scenario.text)?;
        std::fs::write(
            stage.folder.join("workers"),
            stage.fleet.addresses.workers.join("\n"),
        )?;
        // The list service and the store first, then workers, then edges: each finds what it calls.
        for some in [&all[..2], &all[2..2 + workers], &all[2 + workers..]] {
            for who in some {
                stage.spawn(*who, false)?;
            }
            stage.wait_until_up()?;
        }
        Ok(stage)
    }
    pub fn catch_signals(&mut self) -> io::Result<()> {
        self.driver.catch_signals()
    }
    /// Lets calls begin.
    ///
    /// # Errors
    /// The callers can't be run.
    pub fn call(&mut self, recording: &Recording) -> io::Result<()> {
        recording
            .0
            .borrow_mut()
            .role(HostId(self.doors.len() + 1), Role::Callers);
        self.callers = Some(self.driver.add(self.fleet.callers(SLACK), vec![], None)?);
        Ok(())
    }
    fn file(&self, who: Who, what: &str) -> PathBuf {
        self.folder.join(format!("{}.{what}", name(who)))
    }
    fn spawn(&mut self, who: Who, cold: bool) -> io::Result<()> {
        let count = self.starts.entry(who).or_default();
        *count += 1;
        let incarnation = *count;
        let seed = self
            .fleet
            .scenario
            .seed
            .wrapping_mul(1009)
            .wrapping_add(incarnation * 7919);
        let files = ["address", "faults", "state"].map(|what| self.file(who, what));
        let [address_file, faults_file, state_file] = &files;
        let _ = std::fs::remove_file(address_file);
        if let (Who::Worker(n), true) = (who, cold) {
            *self.fleet.workers[n].borrow_mut() = WorkerFaults::default();
        }
        self.told_faults.remove(&who);
        self.tell_faults(who)?;
        let at = |door: &Door| door.port.at.to_string();
        let list = if let Who::Worker(_) = who {
            at(&self.registers)
        } else {
            at(&self.doors[&Who::List])
        };
        let (store, known_as) = (at(&self.doors[&Who::Store]), at(&self.doors[&who]));
        let fleet = &self.fleet;
        let start = Start {
            who,
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
        let mut command = (self.make)(&start);
        // It ends when this pipe does, so that none outlives this process however that ends.
        let child = command.stdin(Stdio::piped()).spawn()?;
        self.children.insert(who, child);
        self.pending.insert(who, self.driver.now());
        Ok(())
    }
    /// Sees which processes listen by now and leads their links there.
    fn look(&mut self) -> io::Result<()> {
        for (who, since) in std::mem::take(&mut self.pending) {
            if let Ok(at) = std::fs::read_to_string(self.file(who, "address")) {
                self.lead(who, Some(at.trim().to_string()))?;
                continue;
            }
            let ended = self
                .children
                .get_mut(&who)
                .map(Child::try_wait)
                .transpose()?
                .flatten();
            if let Some(status) = ended {
                return Err(io::Error::other(format!(
                    "{} ended before it listened: {status}",
                    name(who)
                )));
            }
            if self.driver.now() > since + UP_WITHIN {
                return Err(io::Error::other(format!("{} does not listen", name(who))));
            }
            self.pending.insert(who, since);
        }
        for who in self.ending.iter().copied().collect::<Vec<_>>() {
            if self.has_ended(who)? {
                self.ending.remove(&who);
                self.lead(who, None)?;
            }
        }
        Ok(())
    }
    fn lead(&mut self, who: Who, to: Option<String>) -> io::Result<()> {
        let doors = self
            .doors
            .get(&who)
            .into_iter()
            .chain((who == Who::List).then_some(&self.registers));
        for door in doors {
            let listeners = if to.is_some() {
                vec![door.port.listen()?]
            } else {
                vec![]
            };
            door.steering.borrow_mut().lead_to(to.clone());
            self.driver.set_listeners(door.host, listeners)?;
        }
        Ok(())
    }
    fn wait_until_up(&mut self) -> io::Result<()> {
        while !self.pending.is_empty() {
            let next = self.driver.now() + LOOKS_EVERY;
            self.driver.run_until(next)?;
            self.look()?;
        }
        Ok(())
    }
    /// What is wrong with a stand-in, as its process reads it.
    fn faults_of(&self, who: Who) -> Option<String> {
        match who {
            Who::Worker(n) => serde_json::to_string(&*self.fleet.workers[n].borrow()).ok(),
            Who::Store => serde_json::to_string(&*self.fleet.store.borrow()).ok(),
            Who::List => serde_json::to_string(&*self.fleet.list.borrow()).ok(),
            _ => None,
        }
    }
    /// How late this loop is, and how long each process has waited for a processor.
    fn watch_processes(&mut self, late: Micros) {
        let (now, log) = (self.driver.now(), &mut self.recording.0.borrow_mut().log);
        log.scheduling_delays
            .entry(OURS.into())
            .or_default()
            .add(now, late);
        if now < self.watched_at + scheduling_delay::every(self.children.len()) {
            return;
        }
        self.watched_at = now;
        for (who, child) in &self.children {
            self.watch.look(log, now, name(*who), child.id());
        }
    }
    fn tell_faults(&mut self, who: Who) -> io::Result<()> {
        let Some(text) = self.faults_of(who) else {
            return Ok(());
        };
        if let Who::Worker(n) = who {
            // Faults that are over as soon as they are there.
            let mut faults = self.fleet.workers[n].borrow_mut();
            (faults.invalidate_once, faults.garble_once) = (false, false);
        }
        if self.told_faults.get(&who) != Some(&text) {
            let (file, beside) = (self.file(who, "faults"), self.file(who, "beside"));
            std::fs::write(&beside, &text)?;
            std::fs::rename(&beside, &file)?;
            self.told_faults.insert(who, text);
        }
        Ok(())
    }
    fn signal(&self, who: Who, signal: Signal) {
        self.children
            .get(&who)
            .iter()
            .for_each(|child| send(child, signal));
    }
    /// Whether a process has ended by itself.
    ///
    /// # Errors
    /// The system does not tell.
    fn has_ended(&mut self, who: Who) -> io::Result<bool> {
        Ok(self
            .children
            .get_mut(&who)
            .map(Child::try_wait)
            .transpose()?
            .flatten()
            .is_some())
    }
    /// Callers and workers that fetch do not greet by name: their faults are everybody's.
    fn caller(from: Who) -> Option<String> {
        matches!(from, Who::Edge(_) | Who::Worker(_)).then(|| name(from))
    }
    fn door(&self, from: Who, to: Who) -> Option<&Door> {
        let registers = matches!((from, to), (Who::Worker(_), Who::List));
        if registers {
            Some(&self.registers)
        } else {
            self.doors.get(&to)
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
        let parts = (0..self.fleet.workers.len())
            .map(Who::Worker)
            .chain([Who::Store, Who::List]);
        for who in parts.collect::<Vec<_>>() {
            self.tell_faults(who)?;
        }
        while self.driver.now() < at {
            let calm = self.pending.is_empty() && self.ending.is_empty();
            let next = at.min(self.driver.now() + LOOKS_EVERY);
            self.driver.run_until(next)?;
            let late = self.driver.now() - next;
            self.latest = self.latest.max(late);
            self.late += u64::from(late > LATE);
            self.watch_processes(late);
            if !calm {
                self.look()?;
            }
            if next >= self.told_at + 1_000_000 {
                self.progress.iter().for_each(|progress| progress(next));
                self.told_at = next;
                self.short_of_files |= is_short_of_files();
            }
            if self.driver.shutdown_requested() {
                return Err(io::Error::other(
                    "ended by a signal before the scenario was over",
                ));
            }
        }
        Ok(())
    }
    fn kill(&mut self, who: Who) {
        if let Some(mut child) = self.children.remove(&who) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.pending.remove(&who);
        self.ending.remove(&who);
        let _ = self.lead(who, None);
    }
    fn start(&mut self, who: Who) -> io::Result<()> {
        self.spawn(who, true)
    }
    fn freeze(&mut self, who: Who, frozen: bool) {
        self.signal(who, if frozen { Signal::STOP } else { Signal::CONT });
    }
    fn reset_on_next_write(&mut self, who: Who) {
        if let Some(door) = self.doors.get(&who) {
            door.steering.borrow_mut().reset(None);
        }
    }
    fn set_link_fault(&mut self, from: Who, to: Who, fault: Option<Fault>) -> io::Result<()> {
        let whom = Self::caller(from);
        if let Some(door) = self.door(from, to) {
            door.steering.borrow_mut().set(whom.as_deref(), fault);
        }
        Ok(())
    }
    fn break_link(&mut self, from: Who, to: Who) -> io::Result<()> {
        let whom = Self::caller(from);
        if let Some(door) = self.door(from, to) {
            door.steering.borrow_mut().reset(whom.as_deref());
        }
        Ok(())
    }
    fn clear_saved_state(&mut self, who: Who) {
        let _ = std::fs::remove_file(self.file(who, "state"));
    }
    fn shut_down(&mut self, who: Who) {
        self.signal(who, Signal::TERM);
        self.ending.insert(who);
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
        SLACK
    }
    fn slack(&self) -> Micros {
        SLACK
    }
}

/// A stand-in whose faults stand in a file that its driver watches.
pub struct Steered {
    core: Box<dyn Core>,
    take: Box<dyn FnMut(&str)>,
}

/// The name of that file for its core.
pub const FAULTS: &str = "faults";

impl Steered {
    pub fn new(core: Box<dyn Core>, take: Box<dyn FnMut(&str)>) -> Self {
        Steered { core, take }
    }
}

impl Core for Steered {
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
            (self.take)(&text);
        }
    }
    fn is_done(&self) -> bool {
        self.core.is_done()
    }
}
