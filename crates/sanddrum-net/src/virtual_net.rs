//! The simulation driver: many cores in one thread and in virtual time. Equal seeds give byte-identical timelines.

mod delivery;
mod faults;
mod transmission;
mod virtual_io;

use self::virtual_io::VirtualIo;
use crate::link_model::{LinkFault, LinkModel};
use crate::{
    CloseCause, ConnectionId, Core, FileError, HostId, Io, ListenerId, Micros, Rng, TrafficObserver,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A message that is sent over a virtual link.
enum Message {
    /// A request to open a connection to an address.
    Connect {
        from: ConnectionId,
        to: String,
    },
    Connected {
        conn: ConnectionId,
    },
    Bytes {
        conn: ConnectionId,
        bytes: Vec<u8>,
    },
    /// The send window has free space again after a short write.
    Writable {
        conn: ConnectionId,
    },
    Closed {
        conn: ConnectionId,
        cause: CloseCause,
    },
}

/// A virtual host and its core. The zone, addresses, saved state and audit log outlive the core.
struct Host {
    core: Option<Box<dyn Core>>,
    zone: usize,
    listen_addresses: Vec<String>,
    saved_state: Option<Vec<u8>>,
    audit_log: Vec<String>,
    frozen: bool,
    wake_at: Option<Micros>,
    connections: BTreeSet<ConnectionId>,
}

/// One end of a connection.
struct VirtualSocket {
    host: HostId,
    peer: Option<ConnectionId>,
    /// Bytes in flight to the peer.
    bytes_in_flight: usize,
    /// Whether the last write was short.
    write_was_short: bool,
    paused: bool,
    /// Messages that arrived while the socket was paused or its host frozen.
    buffered: VecDeque<Message>,
    /// When the last message that was sent arrives. Messages sent later arrive no earlier.
    last_arrival: Micros,
}

/// The fault of a one-way link, and the messages that it holds until it is removed.
struct FaultyLink {
    fault: LinkFault,
    buffered: Vec<Message>,
}

/// Runs cores on simulated hosts and links, in virtual time.
pub struct VirtualNet {
    now: Micros,
    links: LinkModel,
    rng: Rng,
    observer: Box<dyn TrafficObserver>,
    hosts: Vec<Host>,
    sockets: BTreeMap<ConnectionId, VirtualSocket>,
    listeners: BTreeMap<String, (HostId, ListenerId)>,
    /// Messages in flight, ordered by their arrival and then by the order in which they were sent.
    in_flight: BTreeMap<(Micros, u64), Message>,
    sent_messages: u64,
    next_connection: u64,
    wakeups: BTreeSet<(Micros, HostId)>,
    /// Hosts whose cores are due a call to `process`.
    pending_hosts: BTreeSet<HostId>,
    /// Sockets whose reading was resumed. Their buffered messages are delivered once no core is being called.
    resumed: BTreeSet<ConnectionId>,
    /// Connections to reset at their next write.
    reset_on_write: BTreeSet<ConnectionId>,
    faulty_links: BTreeMap<(HostId, HostId), FaultyLink>,
    processed_events: u64,
}

impl VirtualNet {
    /// Creates a network without hosts, whose clock starts at `start`.
    pub fn new(
        seed: u64,
        start: Micros,
        links: LinkModel,
        observer: Box<dyn TrafficObserver>,
    ) -> Self {
        VirtualNet {
            now: start,
            links,
            rng: Rng::new(seed),
            observer,
            hosts: Vec::new(),
            sockets: BTreeMap::new(),
            listeners: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent_messages: 0,
            next_connection: 0,
            wakeups: BTreeSet::new(),
            pending_hosts: BTreeSet::new(),
            resumed: BTreeSet::new(),
            reset_on_write: BTreeSet::new(),
            faulty_links: BTreeMap::new(),
            processed_events: 0,
        }
    }
    /// The current instant of the virtual clock.
    pub fn now(&self) -> Micros {
        self.now
    }
    /// The observer of all traffic.
    pub fn observer(&mut self) -> &mut dyn TrafficObserver {
        &mut *self.observer
    }
    /// The number of messages delivered so far.
    pub fn processed_events(&self) -> u64 {
        self.processed_events
    }
    /// Adds a host that is in this zone and listens at these addresses, and starts its core.
    pub fn add(&mut self, zone: usize, listen_addresses: &[&str], core: Box<dyn Core>) -> HostId {
        let host = HostId(self.hosts.len());
        self.hosts.push(Host {
            core: None,
            zone,
            listen_addresses: listen_addresses
                .iter()
                .map(|address| address.to_string())
                .collect(),
            saved_state: None,
            audit_log: Vec::new(),
            frozen: false,
            wake_at: None,
            connections: BTreeSet::new(),
        });
        self.replace(host, core);
        host
    }
    /// The last state that the host's core saved; it outlives the core.
    pub fn saved_state(&self, host: HostId) -> Option<Vec<u8>> {
        self.hosts
            .get(host.0)
            .and_then(|host| host.saved_state.clone())
    }
    /// Deletes the host's saved state.
    pub fn clear_saved_state(&mut self, host: HostId) {
        if let Some(host) = self.hosts.get_mut(host.0) {
            host.saved_state = None;
        }
    }
    /// The lines of the host's audit log; they outlive the core.
    pub fn audit(&self, host: HostId) -> &[String] {
        self.hosts.get(host.0).map_or(&[], |host| &host.audit_log)
    }
    /// Delivers the content of a watched file to a core.
    pub fn deliver_file(&mut self, host: HostId, name: &str, content: Result<&[u8], &FileError>) {
        self.call(host, |core, now, io| core.on_file(now, name, content, io));
        self.process_pending();
    }
    /// Kills the host's core, if it still runs, and starts another one in its place.
    pub fn replace(&mut self, id: HostId, core: Box<dyn Core>) {
        self.kill(id);
        let Some(host) = self.hosts.get_mut(id.0) else {
            return;
        };
        (host.core, host.frozen) = (Some(core), false);
        for (index, address) in host.listen_addresses.iter().enumerate() {
            self.listeners
                .insert(address.clone(), (id, ListenerId(index)));
        }
        self.call(id, |core, now, io| core.start(now, io));
        self.process_pending();
    }
    /// Kills the host's core: its listeners are closed, and its connections are reset.
    pub fn kill(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(id.0) else {
            return;
        };
        host.core = None;
        host.wake_at = None;
        let connections = std::mem::take(&mut host.connections);
        self.listeners.retain(|_, (owner, _)| *owner != id);
        self.wakeups.retain(|(_, owner)| *owner != id);
        for conn in connections {
            self.close_socket(conn, CloseCause::Reset);
        }
    }
    /// Freezes or thaws a host. While it is frozen, nothing is read, written or refused there, and its core is not
    /// woken.
    pub fn freeze(&mut self, id: HostId, frozen: bool) {
        let Some(host) = self.hosts.get_mut(id.0) else {
            return;
        };
        host.frozen = frozen;
        if !frozen && host.core.is_some() {
            let connections: Vec<ConnectionId> = host.connections.iter().copied().collect();
            for conn in connections {
                self.deliver_buffered(conn);
            }
            self.pending_hosts.insert(id);
            self.process_pending();
        }
    }
    /// Begins a graceful shutdown of the host's core.
    pub fn shut_down(&mut self, host: HostId) {
        self.call(host, |core, now, io| core.shut_down(now, io));
        self.process_pending();
    }
    /// Whether the host's core has completed its graceful shutdown or was killed.
    pub fn is_core_done(&self, host: HostId) -> bool {
        self.hosts
            .get(host.0)
            .and_then(|host| host.core.as_ref())
            .is_none_or(|core| core.is_done())
    }

    /// Runs until this instant, inclusive.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(at) = self.next_event_at().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            while let Some(entry) = self
                .in_flight
                .first_entry()
                .filter(|entry| entry.key().0 <= at)
            {
                self.processed_events += 1;
                let message = entry.remove();
                self.deliver(message);
            }
            self.wake_hosts(at);
            self.process_pending();
        }
        self.now = self.now.max(until);
    }
    fn next_event_at(&self) -> Option<Micros> {
        let arrival = self.in_flight.first_key_value().map(|((at, _), _)| *at);
        let wakeup = self.wakeups.first().map(|(at, _)| *at);
        arrival.into_iter().chain(wakeup).min()
    }
    fn wake_hosts(&mut self, now: Micros) {
        while let Some((at, id)) = self.wakeups.first().copied().filter(|(at, _)| *at <= now) {
            self.wakeups.remove(&(at, id));
            let host = &mut self.hosts[id.0];
            host.wake_at = None;
            if !host.frozen {
                self.pending_hosts.insert(id);
            }
        }
    }

    /// Delivers the messages of resumed sockets and calls `process` on pending hosts, until none of either is left.
    fn process_pending(&mut self) {
        loop {
            while let Some(conn) = self.resumed.pop_first() {
                self.deliver_buffered(conn);
            }
            let Some(id) = self.pending_hosts.pop_first() else {
                return;
            };
            if self.hosts[id.0].frozen {
                continue;
            }
            self.call(id, |core, now, io| core.process(now, io));
            self.pending_hosts.remove(&id);
            self.schedule_wakeup(id);
        }
    }
    fn schedule_wakeup(&mut self, id: HostId) {
        let host = &mut self.hosts[id.0];
        let wake_at = host
            .core
            .as_ref()
            .and_then(|core| core.next_wakeup())
            .map(|at| at.max(self.now + 1));
        if host.wake_at == wake_at {
            return;
        }
        if let Some(before) = host.wake_at {
            self.wakeups.remove(&(before, id));
        }
        self.wakeups.extend(wake_at.map(|at| (at, id)));
        host.wake_at = wake_at;
    }
    /// Calls the host's core, if it is running and not already being called.
    fn call(&mut self, id: HostId, call: impl FnOnce(&mut dyn Core, Micros, &mut dyn Io)) {
        let Some(mut core) = self.hosts.get_mut(id.0).and_then(|host| host.core.take()) else {
            return;
        };
        let now = self.now;
        let mut io = VirtualIo {
            net: self,
            host: id,
        };
        call(&mut *core, now, &mut io);
        self.hosts[id.0].core = Some(core);
        self.pending_hosts.insert(id);
    }
}
