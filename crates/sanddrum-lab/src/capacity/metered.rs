//! The list service with a meter on it: what reaches it and leaves it, by second, and the processor time within its core.

use super::clock::Clock;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, PeerIdentity};
use sanddrum_wire::{FrameDecoder, FromDiscovery, ToDiscovery};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// What fell on the list service within a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListSecond {
    /// Connections made, and those that it broke off itself.
    pub connections: u64,
    pub turned_away: u64,
    /// Greetings of routers.
    pub greetings: u64,
    /// Calls for the list, a question on a standing connection among them.
    pub calls: u64,
    /// Workers' own tellings, and their beats.
    pub registers: u64,
    pub beats: u64,
    /// Messages and bytes out, as encoded.
    pub messages: u64,
    pub bytes: u64,
    /// Processor time within its core, in nanoseconds.
    pub nanoseconds: u64,
}

/// Something said between the list service and a router, in the order in which the service heard or said it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    Asks {
        router: String,
        run: u64,
        version: u64,
    },
    Told {
        router: String,
        run: u64,
        version: u64,
        whole: bool,
        rows: usize,
    },
}

#[derive(Debug, Default)]
pub struct Tally {
    pub seconds: BTreeMap<Micros, ListSecond>,
    /// Kept only where asked for, as all that is said is read then.
    pub said: Option<Vec<(Micros, Said)>>,
}

impl Tally {
    fn second(&mut self, now: Micros) -> &mut ListSecond {
        self.seconds.entry(now.div_euclid(1_000_000)).or_default()
    }
    /// Of the seconds that begin within a span, the most of a figure.
    pub fn worst(&self, from: Micros, to: Micros, figure: impl Fn(&ListSecond) -> u64) -> u64 {
        self.within(from, to).map(figure).max().unwrap_or(0)
    }
    /// And the sum.
    pub fn sum(&self, from: Micros, to: Micros, figure: impl Fn(&ListSecond) -> u64) -> u64 {
        self.within(from, to).map(figure).sum()
    }
    fn within(&self, from: Micros, to: Micros) -> impl Iterator<Item = &ListSecond> {
        let (from, to) = (from.div_euclid(1_000_000), to.div_euclid(1_000_000));
        self.seconds
            .range(from..to.max(from + 1))
            .map(|(_, second)| second)
    }
}

/// Frames of a stream, counted without being kept.
#[derive(Debug, Default)]
struct FrameCount {
    prefix: Vec<u8>,
    content: usize,
}

impl FrameCount {
    /// How many frames end within these bytes.
    fn ends(&mut self, mut bytes: &[u8]) -> u64 {
        let mut ends = 0;
        while !bytes.is_empty() {
            if self.content == 0 {
                let (more, rest) = bytes.split_at(bytes.len().min(4 - self.prefix.len()));
                self.prefix.extend_from_slice(more);
                bytes = rest;
                if let Some(length) = self.prefix.first_chunk::<4>() {
                    self.content = u32::from_be_bytes(*length) as usize;
                    self.prefix.clear();
                    ends += u64::from(self.content == 0);
                }
                continue;
            }
            let taken = self.content.min(bytes.len());
            self.content -= taken;
            bytes = &bytes[taken..];
            ends += u64::from(self.content == 0);
        }
        ends
    }
}

#[derive(Default)]
struct Wire {
    router: String,
    inn: FrameDecoder,
    out: FrameCount,
    told: FrameDecoder,
}

/// The largest frame that the meter reads.
const MOST: usize = 64 << 20;

pub struct Metered<C> {
    core: C,
    wires: BTreeMap<ConnectionId, Wire>,
    tally: Rc<RefCell<Tally>>,
    clock: Clock,
    now: Cell<Micros>,
}

impl<C: Core> Metered<C> {
    pub fn new(core: C, tally: Rc<RefCell<Tally>>) -> Self {
        let (wires, clock, now) = (BTreeMap::new(), Clock::new(), Cell::new(0));
        Metered {
            core,
            wires,
            tally,
            clock,
            now,
        }
    }
    fn call(&mut self, now: Micros, io: &mut dyn Io, what: impl FnOnce(&mut C, &mut dyn Io)) {
        self.now.set(now);
        let Metered {
            core,
            wires,
            tally,
            clock,
            ..
        } = self;
        let mut counted = Counted {
            io,
            wires,
            tally,
            now,
            clock,
            outside: 0,
        };
        let before = Clock::now();
        what(core, &mut counted);
        let within = clock.passed(before).saturating_sub(counted.outside);
        tally.borrow_mut().second(now).nanoseconds += within;
    }
    fn heard(&mut self, now: Micros, conn: ConnectionId, bytes: &[u8]) {
        let Some(wire) = self.wires.get_mut(&conn) else {
            return;
        };
        wire.inn.push_bytes(bytes);
        let mut tally = self.tally.borrow_mut();
        while let Ok(Some(message)) = wire.inn.next_message::<ToDiscovery>() {
            match message {
                ToDiscovery::Hello(hello) => {
                    tally.second(now).greetings += 1;
                    wire.router = hello.name;
                }
                ToDiscovery::Watch(watch) => {
                    tally.second(now).calls += 1;
                    let (router, run, version) = (
                        wire.router.clone(),
                        watch.service_incarnation,
                        watch.version,
                    );
                    let asks = Said::Asks {
                        router,
                        run,
                        version,
                    };
                    tally
                        .said
                        .iter_mut()
                        .for_each(|said| said.push((now, asks.clone())));
                }
                ToDiscovery::Register(_) => tally.second(now).registers += 1,
                ToDiscovery::Heartbeat(_) => tally.second(now).beats += 1,
            }
        }
    }
}

impl<C: Core> Core for Metered<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.call(now, io, |core, io| core.start(now, io));
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } => {
                self.tally.borrow_mut().second(now).connections += 1;
                let (inn, told) = (FrameDecoder::new(MOST), FrameDecoder::new(MOST));
                self.wires.insert(
                    conn,
                    Wire {
                        inn,
                        told,
                        ..Wire::default()
                    },
                );
            }
            Event::Bytes { conn, bytes } => self.heard(now, conn, bytes),
            Event::Closed { conn, .. } => drop(self.wires.remove(&conn)),
            Event::Connected { .. } | Event::Writable { .. } => {}
        }
        self.call(now, io, |core, io| core.on_event(now, event, io));
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.call(now, io, |core, io| core.process(now, io));
    }
    fn next_wakeup(&self) -> Option<Micros> {
        let before = Clock::now();
        let wake = self.core.next_wakeup();
        let within = self.clock.passed(before);
        self.tally.borrow_mut().second(self.now.get()).nanoseconds += within;
        wake
    }
    fn is_done(&self) -> bool {
        self.core.is_done()
    }
}

/// Passes on what the core asks of its driver, whose time is not the core's.
struct Counted<'a> {
    io: &'a mut dyn Io,
    wires: &'a mut BTreeMap<ConnectionId, Wire>,
    tally: &'a Rc<RefCell<Tally>>,
    now: Micros,
    clock: &'a Clock,
    outside: u64,
}

impl Counted<'_> {
    fn outside<T>(&mut self, what: impl FnOnce(&mut Self) -> T) -> T {
        let before = Clock::now();
        let done = what(self);
        // Of the two readings, one is within what has passed and one is not; neither is the core's.
        self.outside += Clock::now() - before + self.clock.reading();
        done
    }
    fn wrote(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let Some(wire) = self.wires.get_mut(&conn) else {
            return;
        };
        let mut tally = self.tally.borrow_mut();
        let second = tally.second(self.now);
        second.messages += wire.out.ends(bytes);
        second.bytes += bytes.len() as u64;
        let Some(said) = &mut tally.said else { return };
        wire.told.push_bytes(bytes);
        while let Ok(Some(message)) = wire.told.next_message::<FromDiscovery>() {
            let FromDiscovery::Endpoints(rows) = message else {
                continue;
            };
            let (router, count) = (wire.router.clone(), rows.endpoints.len());
            let (run, version, whole) = (
                rows.service_incarnation,
                rows.version,
                rows.is_full_snapshot,
            );
            said.push((
                self.now,
                Said::Told {
                    router,
                    run,
                    version,
                    whole,
                    rows: count,
                },
            ));
        }
    }
}

impl Io for Counted<'_> {
    fn connect(&mut self, to: &str) -> ConnectionId {
        self.outside(|this| this.io.connect(to))
    }
    fn connect_named(&mut self, to: &str, name: &str) -> ConnectionId {
        self.outside(|this| this.io.connect_named(to, name))
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
    fn is_poll_overdue(&self) -> bool {
        self.io.is_poll_overdue()
    }
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        self.outside(|this| {
            let wrote = this.io.write(conn, bytes);
            this.wrote(conn, &bytes[..wrote.min(bytes.len())]);
            wrote
        })
    }
    fn close(&mut self, conn: ConnectionId) {
        self.outside(|this| this.io.close(conn));
    }
    fn reset(&mut self, conn: ConnectionId) {
        self.outside(|this| {
            this.wires.remove(&conn);
            this.tally.borrow_mut().second(this.now).turned_away += 1;
            this.io.reset(conn);
        });
    }
    fn pause(&mut self, conn: ConnectionId, paused: bool) {
        self.outside(|this| this.io.pause(conn, paused));
    }
    fn save_state(&mut self, state: &[u8]) {
        self.outside(|this| this.io.save_state(state));
    }
    fn save_state_later(&mut self, state: &[u8]) {
        self.outside(|this| this.io.save_state_later(state));
    }
    fn audit(&mut self, line: &str) {
        self.outside(|this| this.io.audit(line));
    }
}
