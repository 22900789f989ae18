//! The product's driver: one thread, real sockets, the monotonic clock, signals.

mod signals;
mod sockets;
mod streams;

use crate::files::{Audit, Watched};
use crate::{
    CloseCause, ConnectionId, Core, Event, HostId, Io, ListenerId, Micros, TrafficObserver,
};
use polling::{Event as Ready, PollMode, Poller};
use sockets::Sockets;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bytes read from one connection before the others have their turn.
const READ_AT_ONCE: usize = 64 * 1024;
/// Connections accepted before the others have their turn.
const ACCEPTS_AT_ONCE: usize = 256;
/// No descriptor is free: accepting pauses so long, or until a connection ends.
const ACCEPT_PAUSE: Micros = 50_000;
/// A connection that was closed here is read out so long, or until the other side has closed as well.
const LINGER: Micros = 500_000;
/// Connections that are being read out at a time; beyond that the first one goes, whatever is unread.
const LINGERING: usize = 16;
/// The loop looks for input at least this often, so that it is known within that when something came.
const LOOK_EVERY: Micros = 25_000;
/// A wait for input comes back within this after its time-out, or the process was held up in it.
const WAIT_SLACK: Micros = 5_000;
/// Longer than this between two looks, and the process was held up: by a stop, or by others on its processor.
const HELD_UP: Micros = 60_000;
/// A wait for input that failed is tried again after this, and so often in a row: for five seconds in all.
const WAIT_AGAIN_AFTER: Duration = Duration::from_millis(1);
const MOST_FAILED_WAITS: u32 = 5_000;
/// After such a time the loop looks again before any core acts, but no more often than this in a row: a loop whose
/// looks themselves take that long has to get on.
const LOOKS_WHEN_HELD_UP: usize = 3;
/// Reads in a row from a connection whose input has waited, so that the other side's end behind it is seen.
const READS_WHEN_HELD_UP: usize = 16;
/// Looks for what has come meanwhile before the loop ends: somebody who never stops writing does not hold it.
const LAST_LOOKS: usize = 100;

enum Source {
    Listener {
        host: HostId,
        door: ListenerId,
        listener: TcpListener,
        /// Connections may have waited here since then; none did when it was last accepted from.
        unread_since: Option<Micros>,
    },
    Stream(Stream),
    /// Closed here, and read out: to close a socket that holds unread input resets the connection, which can destroy
    /// the answer that was written last.
    Lingering(TcpStream),
    Signals(UnixStream),
    Reload(UnixStream),
}

/// What is watched, by keys that are never used twice. Guards against an event of a connection that ended earlier in
/// the same poll, taken for one of another connection in its place: a dial under way would count as refused.
#[derive(Default)]
struct Sources {
    all: BTreeMap<usize, Source>,
    next: usize,
}

impl Sources {
    fn insert(&mut self, source: Source) -> usize {
        let key = self.next;
        self.next += 1;
        self.all.insert(key, source);
        key
    }
    fn get(&self, key: usize) -> Option<&Source> {
        self.all.get(&key)
    }
    fn get_mut(&mut self, key: usize) -> Option<&mut Source> {
        self.all.get_mut(&key)
    }
}

struct Stream {
    host: HostId,
    conn: ConnectionId,
    socket: TcpStream,
    /// It came through a door.
    accepted: bool,
    connecting: bool,
    paused: bool,
    wants_write: bool,
    /// Input may have waited here since then; there was none when it was last read.
    unread_since: Option<Micros>,
    /// Not in the poller: the other side hung up while nothing may be told of it, which would be told for ever.
    asleep: bool,
}

struct Hosted {
    core: Box<dyn Core>,
    /// Its connections' places among the sources.
    conns: BTreeMap<ConnectionId, usize>,
    doors: Vec<usize>,
    state_file: Option<PathBuf>,
    frozen: bool,
    touched: bool,
    stopping: bool,
    /// Connections that break at their next write.
    torn: BTreeSet<ConnectionId>,
    audit: Option<Audit>,
    watched: Vec<Watched>,
}

impl Hosted {
    fn new(core: Box<dyn Core>, state_file: Option<PathBuf>) -> Self {
        Hosted {
            core,
            conns: BTreeMap::new(),
            doors: Vec::new(),
            state_file,
            frozen: false,
            touched: true,
            stopping: false,
            torn: BTreeSet::new(),
            audit: None,
            watched: Vec::new(),
        }
    }
}

/// When the loop looked for input: what was not there at the last look but one has come since.
#[derive(Clone, Copy, Debug)]
struct Looks {
    last: Micros,
    before: Micros,
}

/// Why [`EventLoop::run`] came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shutdown {
    /// Every core was asked to end and owes nothing.
    Graceful,
    /// A second signal came.
    Immediate,
}

pub struct EventLoop {
    poller: Poller,
    sources: Sources,
    hosts: Vec<Option<Hosted>>,
    tap: Box<dyn TrafficObserver>,
    begun: Instant,
    epoch: Micros,
    next_conn: u64,
    looks: Looks,
    /// The earliest arrival of what a core is being told of, where it is input.
    arrival: Option<Micros>,
    /// Connections refused before they began, and torn ones, told once the core is not being called.
    refused: Vec<(HostId, ConnectionId)>,
    broken: Vec<(HostId, ConnectionId)>,
    accepts_again: Option<Micros>,
    /// Until when each is read out that was closed here.
    lingering: BTreeSet<(Micros, usize)>,
    signals: u32,
    /// Waits for input that failed in a row.
    failed_waits: u32,
    /// Set by the signals' handlers beside what they write to their pipes, should a pipe take nothing.
    asked_to_end: Arc<AtomicBool>,
    asked_to_reload: Arc<AtomicBool>,
    asked_to_report: Arc<AtomicBool>,
    /// A second signal to end changes nothing.
    ends_in_order_only: bool,
    buffer: Vec<u8>,
}

impl EventLoop {
    /// The clock starts at the wall clock's time of day and goes on with the monotonic clock, whatever steps the wall clock
    /// takes after that.
    pub fn new(tap: Box<dyn TrafficObserver>) -> io::Result<Self> {
        let epoch = wall_clock();
        Ok(EventLoop {
            poller: Poller::new()?,
            sources: Sources::default(),
            hosts: Vec::new(),
            tap,
            begun: Instant::now(),
            epoch,
            looks: Looks {
                last: epoch,
                before: epoch,
            },
            arrival: None,
            next_conn: 0,
            refused: Vec::new(),
            broken: Vec::new(),
            accepts_again: None,
            lingering: BTreeSet::new(),
            signals: 0,
            failed_waits: 0,
            asked_to_end: Arc::default(),
            asked_to_reload: Arc::default(),
            asked_to_report: Arc::default(),
            ends_in_order_only: false,
            buffer: vec![0; READ_AT_ONCE],
        })
    }
    pub fn now(&self) -> Micros {
        self.epoch + self.begun.elapsed().as_micros() as Micros
    }
    pub fn observer(&mut self) -> &mut dyn TrafficObserver {
        &mut *self.tap
    }
    /// Lines of this core's audit go to a file, and to one more of the same size once that is full.
    pub fn set_audit_file(&mut self, host: HostId, file: PathBuf, most: u64) {
        if let Some(Some(hosted)) = self.hosts.get_mut(host.0) {
            hosted.audit = Some(Audit::new(file, most));
        }
    }
    /// Binds a door; the port may be nought, the address bound is given back.
    pub fn bind(at: &str) -> io::Result<(TcpListener, String)> {
        let listener = TcpListener::bind(at)?;
        listener.set_nonblocking(true)?;
        let at = listener.local_addr()?.to_string();
        Ok((listener, at))
    }
    /// Takes a core in and starts it.
    pub fn add(
        &mut self,
        core: Box<dyn Core>,
        doors: Vec<TcpListener>,
        state_file: Option<PathBuf>,
    ) -> io::Result<HostId> {
        let host = HostId(self.hosts.len());
        self.hosts.push(Some(Hosted::new(core, state_file)));
        self.listen(host, doors)?;
        self.call(host, |core, now, io| core.start(now, io));
        Ok(host)
    }
    fn listen(&mut self, host: HostId, doors: Vec<TcpListener>) -> io::Result<()> {
        for (n, listener) in doors.into_iter().enumerate() {
            let key = self.sources.insert(Source::Listener {
                host,
                door: ListenerId(n),
                listener,
                unread_since: None,
            });
            if let Some(Source::Listener { listener, .. }) = self.sources.get(key) {
                self.poller
                    .add_with_mode(listener, Ready::readable(key), PollMode::Level)?;
            }
            if let Some(Some(hosted)) = self.hosts.get_mut(host.0) {
                hosted.doors.push(key);
            }
        }
        Ok(())
    }
    /// A core listens at these doors from now on, and at no others.
    ///
    /// # Errors
    /// A door can't be watched.
    pub fn set_listeners(&mut self, host: HostId, doors: Vec<TcpListener>) -> io::Result<()> {
        let before = self
            .hosts
            .get_mut(host.0)
            .and_then(Option::as_mut)
            .map(|h| std::mem::take(&mut h.doors));
        before
            .into_iter()
            .flatten()
            .for_each(|key| self.remove(key));
        self.listen(host, doors)
    }
    /// A core dies: its doors close and its connections break.
    pub fn kill(&mut self, host: HostId) {
        let Some(hosted) = self.hosts.get_mut(host.0).and_then(Option::take) else {
            return;
        };
        for key in hosted.doors.iter().chain(hosted.conns.values()) {
            self.remove(*key);
        }
        hosted
            .conns
            .keys()
            .for_each(|conn| self.tap.closed(self.now(), host, *conn));
    }
    /// A core takes the place of a dead one.
    ///
    /// # Errors
    /// A door can't be watched.
    pub fn replace(
        &mut self,
        host: HostId,
        core: Box<dyn Core>,
        doors: Vec<TcpListener>,
        state_file: Option<PathBuf>,
    ) -> io::Result<()> {
        self.kill(host);
        self.hosts[host.0] = Some(Hosted::new(core, state_file));
        self.listen(host, doors)?;
        self.call(host, |core, now, io| core.start(now, io));
        Ok(())
    }
    /// A frozen core's machine is silent: nothing is read, written or refused, and no time passes for it.
    pub fn freeze(&mut self, host: HostId, frozen: bool) {
        if let Some(Some(hosted)) = self.hosts.get_mut(host.0) {
            (hosted.frozen, hosted.touched) = (frozen, true);
        }
        let keys: Vec<usize> = self
            .host(host)
            .map_or(vec![], |h| h.conns.values().copied().collect());
        keys.into_iter().for_each(|key| self.attend(key));
    }
    /// Each connection of a core breaks at its next write, in the middle of what is written.
    pub fn reset_on_next_write(&mut self, host: HostId) {
        if let Some(Some(hosted)) = self.hosts.get_mut(host.0) {
            hosted.torn = hosted.conns.keys().copied().collect();
        }
    }
    fn host(&self, host: HostId) -> Option<&Hosted> {
        self.hosts.get(host.0).and_then(Option::as_ref)
    }

    /// Runs until every core is done, or a second signal. What has come by then is read, and what was written is
    /// delivered: the doors and connections close in order before it comes back.
    pub fn run(&mut self) -> io::Result<Shutdown> {
        let mut looks = 0;
        loop {
            let done = self.hosts.iter().flatten().all(|h| h.core.is_done());
            looks = if done { looks + 1 } else { 0 };
            let came = self.step(done.then(|| self.now()))?;
            if self.signals > 1 && !self.ends_in_order_only {
                return Ok(Shutdown::Immediate);
            }
            if done && (came == 0 || looks >= LAST_LOOKS) {
                self.leave()?;
                return Ok(Shutdown::Graceful);
            }
        }
    }
    /// Closes all doors, and the connections that came through them in order.
    fn leave(&mut self) -> io::Result<()> {
        self.report();
        for host in (0..self.hosts.len()).map(HostId) {
            let Some(Some(hosted)) = self.hosts.get_mut(host.0) else {
                continue;
            };
            let doors = std::mem::take(&mut hosted.doors);
            let conns: Vec<(ConnectionId, usize)> = hosted
                .conns
                .iter()
                .map(|(conn, key)| (*conn, *key))
                .collect();
            doors.into_iter().for_each(|key| self.remove(key));
            for (conn, key) in conns {
                match self.sources.get(key) {
                    Some(Source::Stream(s)) if s.accepted => self.close(host, conn, usize::MAX),
                    _ => drop(self.forget(host, conn)),
                }
            }
        }
        while let Some((until, _)) = self
            .lingering
            .last()
            .copied()
            .filter(|(at, _)| *at > self.now())
        {
            let mut ready = Vec::new();
            let timeout = Duration::from_micros((until - self.now()).max(0) as u64);
            match self.poller.wait(&mut ready, Some(timeout)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                other => drop(other?),
            }
            ready.iter().for_each(|event| self.read_out(event.key));
        }
        Ok(())
    }
    /// Runs until this instant.
    pub fn run_until(&mut self, until: Micros) -> io::Result<()> {
        while self.now() < until && self.signals == 0 {
            self.step(Some(until))?;
        }
        Ok(())
    }
    /// Whether a core says that it owes nothing more; a dead one owes nothing.
    pub fn is_core_done(&self, host: HostId) -> bool {
        self.host(host).is_none_or(|h| h.core.is_done())
    }
    /// Whether a signal asked for the end.
    pub fn shutdown_requested(&self) -> bool {
        self.signals > 0
    }

    /// Carries out what has come, waiting for it until this instant or the next due one; how much it was. A process that
    /// was held up looks once more before it acts on what is due: all that came meanwhile is to be told first.
    fn step(&mut self, until: Option<Micros>) -> io::Result<usize> {
        let mut came = 0;
        for looks in 1..=LOOKS_WHEN_HELD_UP {
            let timeout = if looks == 1 {
                self.timeout(until)
            } else {
                Duration::ZERO
            };
            let Some(found) = self.look(timeout)? else {
                return Ok(came + 1);
            };
            came += found;
            if self.now() - self.looks.before <= HELD_UP {
                break;
            }
        }
        self.turn();
        Ok(came)
    }
    /// How long to wait for input.
    fn timeout(&self, until: Option<Micros>) -> Duration {
        if !(self.refused.is_empty() && self.broken.is_empty()) {
            return Duration::ZERO;
        }
        let wakes = self
            .hosts
            .iter()
            .flatten()
            .filter(|h| !h.frozen)
            .filter_map(|h| h.core.next_wakeup());
        let files = self
            .hosts
            .iter()
            .flatten()
            .flat_map(|h| h.watched.iter().map(|w| w.next));
        let lingers = self.lingering.first().map(|(at, _)| *at);
        let next = wakes
            .chain(files)
            .chain(until)
            .chain(self.accepts_again)
            .chain(lingers)
            .min();
        let span = next.map_or(LOOK_EVERY, |at| (at - self.now()).clamp(0, LOOK_EVERY));
        Duration::from_micros(span as u64)
    }
    /// Waits for input and tells the cores of it; how much it was, and none where the wait was interrupted.
    fn look(&mut self, timeout: Duration) -> io::Result<Option<usize>> {
        let mut ready = Vec::new();
        let began = self.now();
        match self.poller.wait(&mut ready, Some(timeout)) {
            // Guards against acting on due times before what came in meanwhile is read: a process that was stopped
            // and continued would take all others for silent.
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(None),
            Err(e) if self.failed_waits < MOST_FAILED_WAITS => {
                // Guards against an error of a moment, such as a kernel without memory, that ends all that is held.
                self.failed_waits += 1;
                tracing::warn!(reason = "poller", error = %e, "the wait for input failed and is tried again");
                std::thread::sleep(WAIT_AGAIN_AFTER);
                return Ok(None);
            }
            other => drop(other?),
        }
        self.failed_waits = 0;
        // Where the process was held up within the wait it is not known at which end of it the looking was done: a process
        // that is stopped as it is being woken has looked before the stop.
        let ended = self.now();
        let held_up = ended - began > timeout.as_micros() as Micros + WAIT_SLACK;
        self.looks = Looks {
            last: if held_up { began } else { ended },
            before: self.looks.last,
        };
        let came = ready.len();
        // Listeners last. Guards against a newcomer that is given the place of a connection whose input is there already.
        ready.sort_by_key(|event| {
            matches!(self.sources.get(event.key), Some(Source::Listener { .. }))
        });
        for event in ready {
            match self.sources.get(event.key) {
                Some(Source::Listener { .. }) => self.accept(event.key),
                Some(Source::Stream(_)) => self.ready(event),
                Some(Source::Lingering(_)) => self.read_out(event.key),
                Some(Source::Signals(_)) => self.signal(event.key),
                Some(Source::Reload(_)) => self.reload(event.key),
                None => {}
            }
        }
        self.heed_flags();
        for (host, conn) in std::mem::take(&mut self.refused) {
            self.call(host, |core, now, io| {
                core.on_event(
                    now,
                    Event::Closed {
                        conn,
                        cause: CloseCause::Refused,
                    },
                    io,
                )
            });
        }
        for (host, conn) in std::mem::take(&mut self.broken) {
            self.end(host, conn, CloseCause::Reset);
        }
        Ok(Some(came))
    }
    /// What is due by the clock, and the cores' turns.
    fn turn(&mut self) {
        if self.accepts_again.is_some_and(|at| at <= self.now()) {
            self.accept_again();
        }
        let now = self.now();
        while let Some((_, key)) = self.lingering.first().copied().filter(|(at, _)| *at <= now) {
            self.remove(key);
        }
        for n in 0..self.hosts.len() {
            let looks = self.hosts[n]
                .as_ref()
                .is_some_and(|h| h.watched.iter().any(|w| w.next <= now));
            if looks {
                self.look_at_files(HostId(n), false);
            }
            let Some(hosted) = &mut self.hosts[n] else {
                continue;
            };
            let due = hosted.touched || hosted.core.next_wakeup().is_some_and(|at| at <= now);
            if due && !hosted.frozen {
                hosted.touched = false;
                self.call(HostId(n), |core, now, io| core.process(now, io));
            }
        }
    }

    fn call(&mut self, host: HostId, what: impl FnOnce(&mut dyn Core, Micros, &mut dyn Io)) {
        let Some(hosted) = self.hosts.get_mut(host.0).and_then(Option::as_mut) else {
            return;
        };
        hosted.touched = true;
        let mut core = std::mem::replace(&mut hosted.core, Box::new(Away));
        let now = self.now();
        what(&mut *core, now, &mut Sockets { driver: self, host });
        if let Some(Some(hosted)) = self.hosts.get_mut(host.0) {
            hosted.core = core;
        }
    }
}

/// What the machine's wall clock shows.
fn wall_clock() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as Micros
}

/// Stands in a core's place while it is being called.
struct Away;

impl Core for Away {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, _: Event<'_>, _: &mut dyn Io) {}
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}
