//! Wraps the discovery service and counts its messages, bytes and processor time in each second.

use super::cpu_clock::ThreadCpuClock;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, PeerIdentity, UnreadInput};
use sanddrum_wire::{FrameDecoder, FromDiscovery, ToDiscovery};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The load on the discovery service within a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondStats {
    /// Accepted connections.
    pub connections: u64,
    /// Connections that the service reset.
    pub resets: u64,
    /// Hello messages of routers.
    pub hellos: u64,
    /// Watches by routers, including polls on open connections. Reports list them as calls.
    pub watches: u64,
    /// Registrations of workers.
    pub registrations: u64,
    /// Heartbeats of workers.
    pub heartbeats: u64,
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent, as encoded.
    pub bytes: u64,
    /// Processor time of the service's core, in nanoseconds.
    pub nanoseconds: u64,
}

/// A message between the discovery service and a router, recorded when the service received or sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiscoveryMessage {
    Watch {
        router: String,
        service_incarnation: u64,
        version: u64,
    },
    Update {
        router: String,
        service_incarnation: u64,
        version: u64,
        is_full: bool,
        rows: usize,
    },
}

#[derive(Debug, Default)]
pub struct DiscoveryStats {
    pub seconds: BTreeMap<Micros, SecondStats>,
    /// All messages, if recording was requested; every update has to be decoded for it.
    pub message_log: Option<Vec<(Micros, DiscoveryMessage)>>,
}

impl DiscoveryStats {
    fn second(&mut self, now: Micros) -> &mut SecondStats {
        self.seconds.entry(now.div_euclid(1_000_000)).or_default()
    }
    /// The largest value of a figure in the seconds that begin between `from` and `to`.
    pub fn worst(&self, from: Micros, to: Micros, figure: impl Fn(&SecondStats) -> u64) -> u64 {
        self.within(from, to).map(figure).max().unwrap_or(0)
    }
    /// The sum of a figure over the seconds that begin between `from` and `to`.
    pub fn sum(&self, from: Micros, to: Micros, figure: impl Fn(&SecondStats) -> u64) -> u64 {
        self.within(from, to).map(figure).sum()
    }
    fn within(&self, from: Micros, to: Micros) -> impl Iterator<Item = &SecondStats> {
        let (from, to) = (from.div_euclid(1_000_000), to.div_euclid(1_000_000));
        self.seconds
            .range(from..to.max(from + 1))
            .map(|(_, second)| second)
    }
}

/// Counts the frames of a stream without storing them.
#[derive(Debug, Default)]
struct FrameCount {
    /// The part of the next frame's length prefix that has been seen.
    prefix: Vec<u8>,
    /// Bytes of the current frame that have not been seen yet.
    remaining: usize,
}

impl FrameCount {
    /// The number of frames that end within these bytes.
    fn count_ends(&mut self, mut bytes: &[u8]) -> u64 {
        let mut ended = 0;
        while !bytes.is_empty() {
            if self.remaining == 0 {
                let (more, rest) = bytes.split_at(bytes.len().min(4 - self.prefix.len()));
                self.prefix.extend_from_slice(more);
                bytes = rest;
                if let Some(length) = self.prefix.first_chunk::<4>() {
                    self.remaining = u32::from_be_bytes(*length) as usize;
                    self.prefix.clear();
                    ended += u64::from(self.remaining == 0);
                }
                continue;
            }
            let taken = self.remaining.min(bytes.len());
            self.remaining -= taken;
            bytes = &bytes[taken..];
            ended += u64::from(self.remaining == 0);
        }
        ended
    }
}

#[derive(Default)]
struct MeteredConnection {
    router: String,
    incoming: FrameDecoder,
    out: FrameCount,
    outgoing: FrameDecoder,
}

/// The largest frame that can be decoded.
const MAX_FRAME_BYTES: usize = 64 << 20;

pub struct Metered<C> {
    core: C,
    connections: BTreeMap<ConnectionId, MeteredConnection>,
    stats: Rc<RefCell<DiscoveryStats>>,
    clock: ThreadCpuClock,
    now: Cell<Micros>,
}

impl<C: Core> Metered<C> {
    pub fn new(core: C, stats: Rc<RefCell<DiscoveryStats>>) -> Self {
        let (connections, clock, now) = (BTreeMap::new(), ThreadCpuClock::new(), Cell::new(0));
        Metered {
            core,
            connections,
            stats,
            clock,
            now,
        }
    }
    fn measure(
        &mut self,
        now: Micros,
        io: &mut dyn Io,
        operation: impl FnOnce(&mut C, &mut dyn Io),
    ) {
        self.now.set(now);
        let Metered {
            core,
            connections,
            stats,
            clock,
            ..
        } = self;
        let mut metered_io = MeteredIo {
            io,
            connections,
            stats,
            now,
            clock,
            excluded: 0,
        };
        let before = ThreadCpuClock::now();
        operation(core, &mut metered_io);
        let within = clock
            .elapsed_since(before)
            .saturating_sub(metered_io.excluded);
        stats.borrow_mut().second(now).nanoseconds += within;
    }
    fn count_incoming(&mut self, now: Micros, conn: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        connection.incoming.push_bytes(bytes);
        let mut stats = self.stats.borrow_mut();
        while let Ok(Some(message)) = connection.incoming.next_message::<ToDiscovery>() {
            match message {
                ToDiscovery::Hello(hello) => {
                    stats.second(now).hellos += 1;
                    connection.router = hello.name;
                }
                ToDiscovery::Watch(watch) => {
                    stats.second(now).watches += 1;
                    let (router, service_incarnation, version) = (
                        connection.router.clone(),
                        watch.service_incarnation,
                        watch.version,
                    );
                    let watch_message = DiscoveryMessage::Watch {
                        router,
                        service_incarnation,
                        version,
                    };
                    stats
                        .message_log
                        .iter_mut()
                        .for_each(|log| log.push((now, watch_message.clone())));
                }
                ToDiscovery::Register(_) => stats.second(now).registrations += 1,
                ToDiscovery::Heartbeat(_) => stats.second(now).heartbeats += 1,
            }
        }
    }
}

impl<C: Core> Core for Metered<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.measure(now, io, |core, io| core.start(now, io));
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } => {
                self.stats.borrow_mut().second(now).connections += 1;
                let (incoming, outgoing) = (
                    FrameDecoder::new(MAX_FRAME_BYTES),
                    FrameDecoder::new(MAX_FRAME_BYTES),
                );
                self.connections.insert(
                    conn,
                    MeteredConnection {
                        incoming,
                        outgoing,
                        ..MeteredConnection::default()
                    },
                );
            }
            Event::Bytes { conn, bytes } => self.count_incoming(now, conn, bytes),
            Event::Closed { conn, .. } => drop(self.connections.remove(&conn)),
            Event::Connected { .. } | Event::Writable { .. } => {}
        }
        self.measure(now, io, |core, io| core.on_event(now, event, io));
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.measure(now, io, |core, io| core.process(now, io));
    }
    fn next_wakeup(&self) -> Option<Micros> {
        let before = ThreadCpuClock::now();
        let wake = self.core.next_wakeup();
        let within = self.clock.elapsed_since(before);
        self.stats.borrow_mut().second(self.now.get()).nanoseconds += within;
        wake
    }
    fn ends_by(&self) -> Option<Micros> {
        self.core.ends_by()
    }
    fn is_done(&self) -> bool {
        self.core.is_done()
    }
}

/// Forwards I/O to the driver, whose processor time must not count as the core's.
struct MeteredIo<'a> {
    io: &'a mut dyn Io,
    connections: &'a mut BTreeMap<ConnectionId, MeteredConnection>,
    stats: &'a Rc<RefCell<DiscoveryStats>>,
    now: Micros,
    clock: &'a ThreadCpuClock,
    excluded: u64,
}

impl MeteredIo<'_> {
    fn exclude<T>(&mut self, operation: impl FnOnce(&mut Self) -> T) -> T {
        let before = ThreadCpuClock::now();
        let done = operation(self);
        // The measured time contains one of the two clock readings; the other is added. Neither counts as the core's
        // time.
        self.excluded += ThreadCpuClock::now() - before + self.clock.overhead();
        done
    }
    fn count_outgoing(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let mut stats = self.stats.borrow_mut();
        let second = stats.second(self.now);
        second.messages += connection.out.count_ends(bytes);
        second.bytes += bytes.len() as u64;
        let Some(log) = &mut stats.message_log else {
            return;
        };
        connection.outgoing.push_bytes(bytes);
        while let Ok(Some(message)) = connection.outgoing.next_message::<FromDiscovery>() {
            let FromDiscovery::Endpoints(rows) = message else {
                continue;
            };
            let (router, count) = (connection.router.clone(), rows.endpoints.len());
            let (service_incarnation, version, is_full) = (
                rows.service_incarnation,
                rows.version,
                rows.is_full_snapshot,
            );
            log.push((
                self.now,
                DiscoveryMessage::Update {
                    router,
                    service_incarnation,
                    version,
                    is_full,
                    rows: count,
                },
            ));
        }
    }
}

impl Io for MeteredIo<'_> {
    fn connect(&mut self, to: &str) -> ConnectionId {
        self.exclude(|this| this.io.connect(to))
    }
    fn connect_named(&mut self, to: &str, name: &str) -> ConnectionId {
        self.exclude(|this| this.io.connect_named(to, name))
    }
    fn peer(&self, conn: ConnectionId) -> Option<PeerIdentity> {
        self.io.peer(conn)
    }
    fn wall_clock(&self, now: Micros) -> Micros {
        self.io.wall_clock(now)
    }
    fn earliest_arrival(&self, now: Micros) -> Micros {
        self.io.earliest_arrival(now)
    }
    fn unread_input(&self, conn: ConnectionId) -> UnreadInput {
        self.io.unread_input(conn)
    }
    fn clock(&self, now: Micros) -> Micros {
        self.io.clock(now)
    }
    fn is_poll_overdue(&self) -> bool {
        self.io.is_poll_overdue()
    }
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        self.exclude(|this| {
            let wrote = this.io.write(conn, bytes);
            this.count_outgoing(conn, &bytes[..wrote.min(bytes.len())]);
            wrote
        })
    }
    fn close(&mut self, conn: ConnectionId) {
        self.exclude(|this| this.io.close(conn));
    }
    fn finish_writing(&mut self, conn: ConnectionId) {
        self.exclude(|this| this.io.finish_writing(conn));
    }
    fn reset(&mut self, conn: ConnectionId) {
        self.exclude(|this| {
            this.connections.remove(&conn);
            this.stats.borrow_mut().second(this.now).resets += 1;
            this.io.reset(conn);
        });
    }
    fn pause(&mut self, conn: ConnectionId, paused: bool) {
        self.exclude(|this| this.io.pause(conn, paused));
    }
    fn save_state(&mut self, state: &[u8]) {
        self.exclude(|this| this.io.save_state(state));
    }
    fn save_state_later(&mut self, state: &[u8]) {
        self.exclude(|this| this.io.save_state_later(state));
    }
    fn audit(&mut self, line: &str) {
        self.exclude(|this| this.io.audit(line));
    }
}
