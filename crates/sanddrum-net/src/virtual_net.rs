//! Many cores in one thread and in virtual time. Equal seeds give equal timelines, to the byte.

use crate::link_model::{LinkFault, LinkModel};
use crate::{
    CloseCause, ConnectionId, Core, Event, HostId, Io, ListenerId, Micros, Rng, Side,
    TrafficObserver,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

enum What {
    Knock { from: ConnectionId, to: String },
    Connected { conn: ConnectionId },
    Bytes { conn: ConnectionId, bytes: Vec<u8> },
    Room { conn: ConnectionId },
    Closed { conn: ConnectionId, how: CloseCause },
}

struct Hosted {
    core: Option<Box<dyn Core>>,
    zone: usize,
    doors: Vec<String>,
    kept: Option<Vec<u8>>,
    audit: Vec<String>,
    frozen: bool,
    wake: Option<Micros>,
    conns: BTreeSet<ConnectionId>,
}

/// One end of a connection.
struct End {
    host: HostId,
    peer: Option<ConnectionId>,
    /// Bytes under way to the other end.
    under_way: usize,
    short: bool,
    paused: bool,
    /// What came while paused or frozen.
    held: VecDeque<What>,
    /// Nothing that was sent later arrives earlier.
    last: Micros,
}

pub struct VirtualNet {
    now: Micros,
    links: LinkModel,
    chance: Rng,
    tap: Box<dyn TrafficObserver>,
    hosts: Vec<Hosted>,
    ends: BTreeMap<ConnectionId, End>,
    doors: BTreeMap<String, (HostId, ListenerId)>,
    queue: BTreeMap<(Micros, u64), What>,
    sent: u64,
    next_conn: u64,
    wakes: BTreeSet<(Micros, HostId)>,
    touched: BTreeSet<HostId>,
    /// Connections read again, whose held bytes are told once their core is not being called.
    resumed: BTreeSet<ConnectionId>,
    /// Connections that break at their next write.
    torn: BTreeSet<ConnectionId>,
    /// Ways that something is wrong with, and what is held there.
    bent: BTreeMap<(HostId, HostId), (LinkFault, Vec<What>)>,
    steps: u64,
}

impl VirtualNet {
    pub fn new(seed: u64, start: Micros, links: LinkModel, tap: Box<dyn TrafficObserver>) -> Self {
        VirtualNet {
            now: start,
            links,
            chance: Rng::new(seed),
            tap,
            hosts: Vec::new(),
            ends: BTreeMap::new(),
            doors: BTreeMap::new(),
            queue: BTreeMap::new(),
            sent: 0,
            next_conn: 0,
            wakes: BTreeSet::new(),
            touched: BTreeSet::new(),
            resumed: BTreeSet::new(),
            torn: BTreeSet::new(),
            bent: BTreeMap::new(),
            steps: 0,
        }
    }
    pub fn now(&self) -> Micros {
        self.now
    }
    pub fn observer(&mut self) -> &mut dyn TrafficObserver {
        &mut *self.tap
    }
    /// Events carried out so far.
    pub fn processed_events(&self) -> u64 {
        self.steps
    }
    pub fn add(&mut self, zone: usize, doors: &[&str], core: Box<dyn Core>) -> HostId {
        let host = HostId(self.hosts.len());
        let doors: Vec<String> = doors.iter().map(|d| d.to_string()).collect();
        self.hosts.push(Hosted {
            core: None,
            zone,
            doors,
            kept: None,
            audit: Vec::new(),
            frozen: false,
            wake: None,
            conns: BTreeSet::new(),
        });
        self.replace(host, core);
        host
    }
    /// What the core last had kept; it outlives the core.
    pub fn saved_state(&self, host: HostId) -> Option<Vec<u8>> {
        self.hosts.get(host.0).and_then(|h| h.kept.clone())
    }
    /// What a core had kept is lost.
    pub fn clear_saved_state(&mut self, host: HostId) {
        self.hosts
            .get_mut(host.0)
            .iter_mut()
            .for_each(|h| h.kept = None);
    }
    /// The lines of a core's audit; they outlive the core.
    pub fn audit(&self, host: HostId) -> &[String] {
        self.hosts.get(host.0).map_or(&[], |h| &h.audit)
    }
    /// Tells a core of a file that it watches.
    pub fn deliver_file(&mut self, host: HostId, name: &str, content: Result<&[u8], &str>) {
        self.call(host, |core, now, io| core.on_file(now, name, content, io));
        self.turn_touched();
    }
    /// A core takes the place of a dead one.
    pub fn replace(&mut self, host: HostId, core: Box<dyn Core>) {
        self.kill(host);
        let Some(hosted) = self.hosts.get_mut(host.0) else {
            return;
        };
        (hosted.core, hosted.frozen) = (Some(core), false);
        for (n, door) in hosted.doors.iter().enumerate() {
            self.doors.insert(door.clone(), (host, ListenerId(n)));
        }
        self.call(host, |core, now, io| core.start(now, io));
        self.turn_touched();
    }
    /// A core dies: its doors close and its connections break.
    pub fn kill(&mut self, host: HostId) {
        let Some(hosted) = self.hosts.get_mut(host.0) else {
            return;
        };
        hosted.core = None;
        self.doors.retain(|_, (owner, _)| *owner != host);
        self.wakes.retain(|(_, h)| *h != host);
        self.hosts[host.0].wake = None;
        for conn in std::mem::take(&mut self.hosts[host.0].conns) {
            self.drop_end(conn, CloseCause::Reset);
        }
    }
    /// A frozen core's machine is silent: nothing is read, written or refused, and no time passes for it.
    pub fn freeze(&mut self, host: HostId, frozen: bool) {
        let Some(hosted) = self.hosts.get_mut(host.0) else {
            return;
        };
        hosted.frozen = frozen;
        if !frozen && hosted.core.is_some() {
            let conns: Vec<ConnectionId> = hosted.conns.iter().copied().collect();
            conns.into_iter().for_each(|conn| self.give_held(conn));
            self.touched.insert(host);
            self.turn_touched();
        }
    }
    /// Something is wrong with the way from one host to another, or no more; what was held there goes on then.
    pub fn set_link_fault(&mut self, from: HostId, to: HostId, how: Option<LinkFault>) {
        let held = self
            .bent
            .remove(&(from, to))
            .map_or(Vec::new(), |(_, held)| held);
        if let Some(how) = how {
            self.bent.insert((from, to), (how, Vec::new()));
        }
        for what in held {
            self.post(from, Some(to), 0, what);
        }
    }
    /// Breaks every connection between two hosts.
    pub fn reset_between(&mut self, one: HostId, other: HostId) {
        let of = |conn: &ConnectionId| self.ends.get(conn).map(|end| end.host);
        let between = |(_, end): &(&ConnectionId, &End)| {
            end.host == one && end.peer.is_some_and(|peer| of(&peer) == Some(other))
        };
        let conns: Vec<ConnectionId> = self
            .ends
            .iter()
            .filter(between)
            .map(|(conn, _)| *conn)
            .collect();
        for conn in conns {
            let peer = self.ends.get(&conn).and_then(|end| end.peer);
            for conn in [Some(conn), peer].into_iter().flatten() {
                self.sent += 1;
                self.queue.insert(
                    (self.now, self.sent),
                    What::Closed {
                        conn,
                        how: CloseCause::Reset,
                    },
                );
            }
        }
    }
    /// Each connection of a core breaks at its next write, in the middle of what is written.
    pub fn reset_on_next_write(&mut self, host: HostId) {
        self.torn
            .extend(self.hosts.get(host.0).iter().flat_map(|h| &h.conns));
    }
    pub fn shut_down(&mut self, host: HostId) {
        self.call(host, |core, now, io| core.shut_down(now, io));
        self.turn_touched();
    }
    /// Whether a core says that it owes nothing more; a dead one owes nothing.
    pub fn is_core_done(&self, host: HostId) -> bool {
        self.hosts
            .get(host.0)
            .and_then(|h| h.core.as_ref())
            .is_none_or(|core| core.is_done())
    }

    /// Plays everything up to this instant.
    pub fn run_until(&mut self, until: Micros) {
        loop {
            let first = self.queue.first_key_value().map(|((at, _), _)| *at);
            let wake = self.wakes.first().map(|(at, _)| *at);
            let Some(at) = first
                .into_iter()
                .chain(wake)
                .min()
                .filter(|at| *at <= until)
            else {
                break;
            };
            self.now = self.now.max(at);
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= at) {
                self.steps += 1;
                let what = entry.remove();
                self.deliver(what);
            }
            while let Some((due, host)) = self.wakes.first().copied().filter(|(due, _)| *due <= at)
            {
                self.wakes.remove(&(due, host));
                self.hosts[host.0].wake = None;
                if !self.hosts[host.0].frozen {
                    self.touched.insert(host);
                }
            }
            self.turn_touched();
        }
        self.now = self.now.max(until);
    }

    fn turn_touched(&mut self) {
        loop {
            while let Some(conn) = self.resumed.pop_first() {
                self.give_held(conn);
            }
            let Some(host) = self.touched.pop_first() else {
                return;
            };
            if self.hosts[host.0].frozen {
                continue;
            }
            self.call(host, |core, now, io| core.process(now, io));
            self.touched.remove(&host);
            let wake = self.hosts[host.0]
                .core
                .as_ref()
                .and_then(|core| core.next_wakeup())
                .map(|at| at.max(self.now + 1));
            let hosted = &mut self.hosts[host.0];
            if hosted.wake != wake {
                if let Some(at) = hosted.wake {
                    self.wakes.remove(&(at, host));
                }
                self.wakes.extend(wake.map(|at| (at, host)));
                hosted.wake = wake;
            }
        }
    }
    fn call(&mut self, host: HostId, what: impl FnOnce(&mut dyn Core, Micros, &mut dyn Io)) {
        let Some(mut core) = self.hosts.get_mut(host.0).and_then(|h| h.core.take()) else {
            return;
        };
        let now = self.now;
        what(&mut *core, now, &mut Wires { net: self, host });
        self.hosts[host.0].core = Some(core);
        self.touched.insert(host);
    }
    fn latency(&mut self, from: HostId, to: Option<HostId>) -> Micros {
        let zone = |host: HostId| self.hosts.get(host.0).map_or(0, |h| h.zone);
        let same = to.is_none_or(|to| zone(from) == zone(to));
        let way = if same {
            self.links.same_zone_latency
        } else {
            self.links.cross_zone_latency
        };
        let mut takes = way as f64 * (1.0 + self.chance.next_f64() * self.links.jitter);
        if self.links.loss_probability > 0.0 && self.chance.random_bool(self.links.loss_probability)
        {
            takes += self.links.retransmit_after as f64;
        }
        takes as Micros
    }
    /// Sends on the way; nothing arrives before what the same end sent earlier.
    fn post(&mut self, from: HostId, to: Option<HostId>, earliest: Micros, what: What) -> Micros {
        let arrives = self.now + self.latency(from, to);
        let mut at = arrives.max(earliest);
        if let Some((bend, held)) = to.and_then(|to| self.bent.get_mut(&(from, to))) {
            let passes = matches!(what, What::Knock { .. } | What::Connected { .. });
            if bend.drops_data && !passes {
                held.push(what);
                return earliest;
            }
            // Behind what was sent before it, and not later than that by a delay of its own: pieces that follow each
            // other would be late by the sum of all their delays.
            at = (arrives + bend.delay).max(earliest);
            if let (What::Bytes { bytes, .. }, true) = (&what, bend.bytes_per_second > 0.0) {
                at += (bytes.len() as f64 / bend.bytes_per_second * 1e6) as Micros;
            }
        }
        self.sent += 1;
        self.queue.insert((at, self.sent), what);
        at
    }
    fn post_on(&mut self, conn: ConnectionId, what: What) {
        let Some(end) = self.ends.get(&conn) else {
            return;
        };
        let (from, last) = (end.host, end.last);
        let to = end
            .peer
            .and_then(|peer| self.ends.get(&peer))
            .map(|e| e.host);
        let at = self.post(from, to, last, what);
        if let Some(end) = self.ends.get_mut(&conn) {
            end.last = at;
        }
    }
    fn open(&mut self, host: HostId, peer: Option<ConnectionId>) -> ConnectionId {
        let conn = ConnectionId(self.next_conn);
        self.next_conn += 1;
        let end = End {
            host,
            peer,
            under_way: 0,
            short: false,
            paused: false,
            held: VecDeque::new(),
            last: self.now,
        };
        self.ends.insert(conn, end);
        self.hosts[host.0].conns.insert(conn);
        conn
    }
    /// An end goes; the other one is told.
    fn drop_end(&mut self, conn: ConnectionId, how: CloseCause) {
        let peer = self.ends.get(&conn).and_then(|e| e.peer);
        if let Some(peer) = peer {
            self.post_on(conn, What::Closed { conn: peer, how });
        }
        if let Some(end) = self.ends.remove(&conn) {
            self.tap.closed(self.now, end.host, conn);
            self.hosts[end.host.0].conns.remove(&conn);
        }
    }
    fn give_held(&mut self, conn: ConnectionId) {
        while let Some(end) = self.ends.get_mut(&conn) {
            if end.paused || self.hosts[end.host.0].frozen {
                return;
            }
            let Some(what) = end.held.pop_front() else {
                return;
            };
            self.deliver_now(conn, what);
        }
    }
    fn deliver(&mut self, what: What) {
        let conn = match &what {
            What::Knock { from, to } => {
                let (from, to) = (*from, to.clone());
                return self.knock(from, &to);
            }
            What::Connected { conn }
            | What::Bytes { conn, .. }
            | What::Room { conn }
            | What::Closed { conn, .. } => *conn,
        };
        let Some(end) = self.ends.get_mut(&conn) else {
            return;
        };
        let frozen = self.hosts[end.host.0].frozen;
        let waits = matches!(what, What::Bytes { .. } | What::Closed { .. }) && end.paused;
        if frozen || waits || !end.held.is_empty() {
            end.held.push_back(what);
            return;
        }
        self.deliver_now(conn, what);
    }
    fn knock(&mut self, from: ConnectionId, to: &str) {
        let Some(caller) = self.ends.get(&from).map(|e| e.host) else {
            return;
        };
        let Some((host, door)) = self.doors.get(to).copied() else {
            self.post(
                caller,
                None,
                0,
                What::Closed {
                    conn: from,
                    how: CloseCause::Refused,
                },
            );
            return;
        };
        if self
            .bent
            .get(&(caller, host))
            .is_some_and(|(bend, _)| bend.refuses_connections)
        {
            self.post(
                caller,
                None,
                0,
                What::Closed {
                    conn: from,
                    how: CloseCause::Refused,
                },
            );
            return;
        }
        if self.hosts[host.0].frozen {
            // Nothing answers; the caller gives up by itself, or is met once the machine is heard again.
            self.sent += 1;
            self.queue.insert(
                (self.now + self.links.retransmit_after, self.sent),
                What::Knock {
                    from,
                    to: to.into(),
                },
            );
            return;
        }
        let conn = self.open(host, Some(from));
        if let Some(end) = self.ends.get_mut(&from) {
            end.peer = Some(conn);
        }
        self.tap.opened(self.now, host, conn, Side::Accepted, "");
        self.post_on(conn, What::Connected { conn: from });
        self.call(host, |core, now, io| {
            core.on_event(
                now,
                Event::Accepted {
                    conn,
                    listener: door,
                },
                io,
            )
        });
    }
    fn deliver_now(&mut self, conn: ConnectionId, what: What) {
        let Some(end) = self.ends.get(&conn) else {
            return;
        };
        let (host, peer) = (end.host, end.peer);
        match what {
            What::Knock { .. } => {}
            What::Connected { conn } => {
                self.call(host, |core, now, io| {
                    core.on_event(now, Event::Connected { conn }, io)
                });
            }
            What::Bytes { bytes, .. } => {
                if let Some(other) = peer.and_then(|peer| self.ends.get_mut(&peer)) {
                    other.under_way = other.under_way.saturating_sub(bytes.len());
                    if other.short && other.under_way * 2 <= self.links.window_bytes {
                        other.short = false;
                        self.post_on(
                            conn,
                            What::Room {
                                conn: peer.unwrap_or(conn),
                            },
                        );
                    }
                }
                if !bytes.is_empty() {
                    self.tap.received(self.now, host, conn, &bytes);
                    self.call(host, |core, now, io| {
                        core.on_event(
                            now,
                            Event::Bytes {
                                conn,
                                bytes: &bytes,
                            },
                            io,
                        );
                    });
                }
            }
            What::Room { conn } => {
                self.call(host, |core, now, io| {
                    core.on_event(now, Event::Writable { conn }, io)
                });
            }
            What::Closed { conn, how } => {
                self.ends.remove(&conn);
                self.hosts[host.0].conns.remove(&conn);
                self.tap.closed(self.now, host, conn);
                self.call(host, |core, now, io| {
                    core.on_event(now, Event::Closed { conn, cause: how }, io)
                });
            }
        }
    }
}

struct Wires<'a> {
    net: &'a mut VirtualNet,
    host: HostId,
}

impl Io for Wires<'_> {
    fn connect(&mut self, to: &str) -> ConnectionId {
        let conn = self.net.open(self.host, None);
        let now = self.net.now;
        self.net
            .tap
            .opened(now, self.host, conn, Side::Connected, to);
        let target = self.net.doors.get(to).map(|(host, _)| *host);
        self.net.post(
            self.host,
            target,
            0,
            What::Knock {
                from: conn,
                to: to.into(),
            },
        );
        conn
    }
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        if bytes.len() > 1 && self.net.torn.remove(&conn) {
            let wrote = self.write(conn, &bytes[..bytes.len() / 2]);
            let peer = self.net.ends.get(&conn).and_then(|e| e.peer);
            if let Some(peer) = peer {
                self.net.post_on(
                    conn,
                    What::Closed {
                        conn: peer,
                        how: CloseCause::Reset,
                    },
                );
            }
            self.net.sent += 1;
            let broken = What::Closed {
                conn,
                how: CloseCause::Reset,
            };
            self.net.queue.insert((self.net.now, self.net.sent), broken);
            return wrote;
        }
        let window = self.net.links.window_bytes;
        let Some(end) = self.net.ends.get_mut(&conn) else {
            return 0;
        };
        let Some(peer) = end.peer else { return 0 };
        let takes = bytes.len().min(window.saturating_sub(end.under_way));
        end.under_way += takes;
        end.short = takes < bytes.len();
        let taken = &bytes[..takes];
        let now = self.net.now;
        self.net.tap.sent(now, self.host, conn, taken);
        let split = takes > 1
            && self
                .net
                .chance
                .random_bool(self.net.links.split_probability);
        let at = if split {
            1 + self.net.chance.index(takes - 1)
        } else {
            takes
        };
        for part in [&taken[..at], &taken[at..]] {
            if !part.is_empty() {
                self.net.post_on(
                    conn,
                    What::Bytes {
                        conn: peer,
                        bytes: part.to_vec(),
                    },
                );
            }
        }
        takes
    }
    fn close(&mut self, conn: ConnectionId) {
        self.net.drop_end(conn, CloseCause::Orderly);
    }
    fn reset(&mut self, conn: ConnectionId) {
        self.net.drop_end(conn, CloseCause::Reset);
    }
    fn pause(&mut self, conn: ConnectionId, paused: bool) {
        if let Some(end) = self.net.ends.get_mut(&conn) {
            end.paused = paused;
            if !paused {
                self.net.resumed.insert(conn);
            }
        }
    }
    fn save_state(&mut self, state: &[u8]) {
        self.net.hosts[self.host.0].kept = Some(state.to_vec());
    }
    fn audit(&mut self, line: &str) {
        self.net.hosts[self.host.0].audit.push(line.to_string());
    }
}
