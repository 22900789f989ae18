//! The production driver: one thread, real sockets, the monotonic clock, signals.

mod closing;
mod host;
mod input_schedule;
mod listeners;
mod loop_io;
mod poll;
mod shutdown;
mod signals;
mod sources;
mod streams;
mod turn_log;
mod watched_files;

use self::host::{Host, PlaceholderCore};
use self::input_schedule::InputSchedule;
use self::loop_io::LoopIo;
use self::poll::PollTimes;
use self::sources::{Source, SourceKey, Sources};
use self::turn_log::TurnLog;
use crate::files::AuditLog;
use crate::{ConnectionId, Core, Event, HostId, Io, Micros, TrafficObserver};
use polling::Poller;
use std::collections::BTreeSet;
use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The maximum number of bytes per read, so that one connection cannot delay the others for long.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// A longer time than this between two polls means that the process was stalled: it was stopped, or not scheduled.
const STALL_THRESHOLD: Micros = 60_000;
/// The maximum number of polls before timers run. After a stall the loop first polls again, but a loop whose polls
/// themselves take longer than the threshold still has to make progress.
const MAX_POLLS_PER_STEP: usize = 3;
/// The maximum number of polls for remaining input before the loop ends, so that a peer that never stops writing
/// cannot keep it running.
const MAX_FINAL_POLLS: usize = 100;

/// Why [`EventLoop::run`] returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shutdown {
    /// The graceful shutdown of every core is complete.
    Graceful,
    /// A second signal requested an immediate end.
    Immediate,
}

/// A connection of a host.
#[derive(Clone, Copy)]
struct HostConnection {
    host: HostId,
    conn: ConnectionId,
}

/// Flags that the signal handlers set in addition to writing to their pipes, since writes to a full pipe are lost.
#[derive(Default)]
struct SignalFlags {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    status: Arc<AtomicBool>,
    debug_log: Arc<AtomicBool>,
}

/// Runs cores on real sockets in one thread.
pub struct EventLoop {
    poller: Poller,
    sources: Sources,
    /// Indexed by host id; `None` if the core was killed.
    hosts: Vec<Option<Host>>,
    observer: Box<dyn TrafficObserver>,
    started: Instant,
    /// The wall clock at `started`.
    epoch: Micros,
    next_connection: u64,
    polls: PollTimes,
    input_schedule: InputSchedule,
    /// Streams that may have unread input, if the next poll reports it.
    maybe_unread: BTreeSet<SourceKey>,
    turn_log: TurnLog,
    /// While input is delivered to a core: the earliest instant at which it may have arrived.
    earliest_arrival: Option<Micros>,
    /// Connections that could not be opened. Their cores are notified once no core is being called.
    pending_refusals: Vec<HostConnection>,
    /// Connections to reset once no core is being called.
    pending_resets: Vec<HostConnection>,
    /// When to retry accepting connections and registering streams with the poller.
    retry_accept_at: Option<Micros>,
    /// Closed connections whose input is still drained, ordered by the time at which draining ends.
    lingering: BTreeSet<(Micros, SourceKey)>,
    /// The number of shutdown signals received.
    shutdown_signals: u32,
    /// The number of consecutive failed polls.
    failed_polls: u32,
    signal_flags: SignalFlags,
    ignores_repeated_signals: bool,
    /// Whether the program logs at the debug level; SIGUSR2 changes it.
    debug_log: Option<&'static AtomicBool>,
    read_buffer: Vec<u8>,
}

impl EventLoop {
    /// Creates a loop without hosts. Its clock starts at the wall-clock time and then follows the monotonic clock, so
    /// that later steps of the wall clock do not affect it.
    ///
    /// # Errors
    /// The operating system cannot create a poller.
    pub fn new(observer: Box<dyn TrafficObserver>) -> io::Result<Self> {
        let epoch = wall_clock();
        Ok(EventLoop {
            poller: Poller::new()?,
            sources: Sources::default(),
            hosts: Vec::new(),
            observer,
            started: Instant::now(),
            epoch,
            next_connection: 0,
            polls: PollTimes {
                last: epoch,
                previous: epoch,
            },
            input_schedule: InputSchedule::new(),
            maybe_unread: BTreeSet::new(),
            turn_log: TurnLog::default(),
            earliest_arrival: None,
            pending_refusals: Vec::new(),
            pending_resets: Vec::new(),
            retry_accept_at: None,
            lingering: BTreeSet::new(),
            shutdown_signals: 0,
            failed_polls: 0,
            signal_flags: SignalFlags::default(),
            ignores_repeated_signals: false,
            debug_log: None,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }
    /// The current instant of the loop's clock.
    pub fn now(&self) -> Micros {
        self.epoch + self.started.elapsed().as_micros() as Micros
    }
    /// The observer of all traffic.
    pub fn observer(&mut self) -> &mut dyn TrafficObserver {
        &mut *self.observer
    }
    /// Appends the host's audit log to a file of at most `max_bytes`. A full file is renamed, replacing the one that
    /// was renamed before it.
    pub fn set_audit_file(&mut self, host: HostId, path: PathBuf, max_bytes: u64) {
        if let Some(host) = self.host_mut(host) {
            host.audit_log = Some(AuditLog::new(path, max_bytes));
        }
    }
    /// Adds a core and starts it. Its state is saved to `state_file`, if given.
    ///
    /// # Errors
    /// A listener cannot be registered with the poller.
    pub fn add(
        &mut self,
        core: Box<dyn Core>,
        listeners: Vec<TcpListener>,
        state_file: Option<PathBuf>,
    ) -> io::Result<HostId> {
        let id = HostId(self.hosts.len());
        self.hosts.push(Some(Host::new(core, state_file)));
        self.listen(id, listeners)?;
        self.call(id, |core, now, io| core.start(now, io));
        Ok(id)
    }
    /// Kills a core: its listeners are closed, and its connections are broken.
    pub fn kill(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(id.0).and_then(Option::take) else {
            return;
        };
        for key in host.listeners.iter().chain(host.connections.values()) {
            self.remove_source(*key);
        }
        for conn in host.connections.keys() {
            self.observer.closed(self.now(), id, *conn);
        }
    }
    /// Kills the host's core, if it still runs, and starts another one in its place.
    ///
    /// # Errors
    /// A listener cannot be registered with the poller.
    pub fn replace(
        &mut self,
        id: HostId,
        core: Box<dyn Core>,
        listeners: Vec<TcpListener>,
        state_file: Option<PathBuf>,
    ) -> io::Result<()> {
        self.kill(id);
        self.hosts[id.0] = Some(Host::new(core, state_file));
        self.listen(id, listeners)?;
        self.call(id, |core, now, io| core.start(now, io));
        Ok(())
    }
    /// Freezes or thaws a host. While it is frozen, nothing is read, written or refused there, and its core is not
    /// woken.
    pub fn freeze(&mut self, id: HostId, frozen: bool) {
        let Some(host) = self.host_mut(id) else {
            return;
        };
        (host.frozen, host.is_pending) = (frozen, true);
        let keys: Vec<SourceKey> = host.connections.values().copied().collect();
        for key in keys {
            self.update_interest(key);
        }
    }
    /// Resets each current connection of a host at its next write, after half of the data.
    pub fn reset_on_next_write(&mut self, host: HostId) {
        if let Some(host) = self.host_mut(host) {
            host.reset_on_write = host.connections.keys().copied().collect();
        }
    }
    /// Whether the host's core has completed its graceful shutdown or was killed.
    pub fn is_core_done(&self, host: HostId) -> bool {
        self.host(host).is_none_or(|host| host.core.is_done())
    }
    /// Whether a shutdown signal was received.
    pub fn shutdown_requested(&self) -> bool {
        self.shutdown_signals > 0
    }

    /// Runs until every core is done or a second shutdown signal is received. At a graceful end, all input that has
    /// arrived by then is read, and all listeners and connections are closed in an orderly way, so that output is
    /// delivered.
    ///
    /// # Errors
    /// Polling for input fails repeatedly.
    pub fn run(&mut self) -> io::Result<Shutdown> {
        let mut final_polls = 0;
        loop {
            let is_done = self.hosts.iter().flatten().all(|host| host.core.is_done());
            final_polls = if is_done { final_polls + 1 } else { 0 };
            let events = self.step(is_done.then(|| self.now()))?;
            if self.shutdown_signals > 1 && !self.ignores_repeated_signals {
                return Ok(Shutdown::Immediate);
            }
            let is_read = events == 0 || final_polls >= MAX_FINAL_POLLS;
            if is_done && (is_read || self.must_end()) {
                self.close_everything()?;
                return Ok(Shutdown::Graceful);
            }
        }
    }
    /// Whether the instant by which a core has to end has passed.
    fn must_end(&self) -> bool {
        self.ends_by().is_some_and(|at| at <= self.now())
    }
    fn ends_by(&self) -> Option<Micros> {
        let cores = self.hosts.iter().flatten().map(|host| &host.core);
        cores.filter_map(|core| core.ends_by()).min()
    }
    /// Runs until this instant, or until a shutdown signal is received.
    ///
    /// # Errors
    /// Polling for input fails repeatedly.
    pub fn run_until(&mut self, until: Micros) -> io::Result<()> {
        while self.now() < until && self.shutdown_signals == 0 {
            self.step(Some(until))?;
        }
        Ok(())
    }

    /// Waits for input until this instant or the next timer, and handles the input and all due timers. Returns the
    /// number of events. After a stall of the process it polls again before it runs timers, so that the cores first
    /// receive all input that arrived meanwhile.
    fn step(&mut self, until: Option<Micros>) -> io::Result<usize> {
        let mut events = 0;
        let mut began = None;
        for poll in 1..=MAX_POLLS_PER_STEP {
            if poll > 1 {
                self.input_schedule.catch_up();
            }
            let timeout = if poll == 1 {
                self.poll_timeout(until)
            } else {
                Duration::ZERO
            };
            let Some(polled) = self.poll(timeout)? else {
                return Ok(events + 1);
            };
            events += polled;
            began = began.or(Some(self.polls.last));
            if self.now() - self.polls.previous <= STALL_THRESHOLD {
                break;
            }
        }
        self.run_due();
        let now = self.now();
        let began = began.unwrap_or(now);
        self.input_schedule.end_turn(now - began);
        self.turn_log.end_turn(began, now);
        Ok(events)
    }
    fn host(&self, id: HostId) -> Option<&Host> {
        self.hosts.get(id.0).and_then(Option::as_ref)
    }
    fn host_mut(&mut self, id: HostId) -> Option<&mut Host> {
        self.hosts.get_mut(id.0).and_then(Option::as_mut)
    }
    /// Whether the host is frozen; false if its core was killed.
    fn is_frozen(&self, id: HostId) -> bool {
        self.host(id).is_some_and(|host| host.frozen)
    }
    /// The source key of a host's connection.
    fn source_key(&self, host: HostId, conn: ConnectionId) -> Option<SourceKey> {
        self.host(host)?.connections.get(&conn).copied()
    }

    /// Calls the host's core, unless it was killed.
    fn call(&mut self, id: HostId, call: impl FnOnce(&mut dyn Core, Micros, &mut dyn Io)) {
        let Some(host) = self.host_mut(id) else {
            return;
        };
        host.is_pending = true;
        let mut core = std::mem::replace(&mut host.core, Box::new(PlaceholderCore));
        let now = self.now();
        let mut io = LoopIo {
            event_loop: self,
            host: id,
        };
        call(&mut *core, now, &mut io);
        if let Some(host) = self.host_mut(id) {
            host.core = core;
        }
    }
    fn call_with_event(&mut self, host: HostId, event: Event<'_>) {
        self.call(host, |core, now, io| core.on_event(now, event, io));
    }
}

/// The machine's wall clock, in microseconds since 1970.
fn wall_clock() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as Micros
}
