//! A link between two processes that a test steers: connections are taken, dialled on, and their bytes passed, held,
//! slowed or thrown away. It reads no more of them than the greeting that says who calls.

use sanddrum_emulator::Shared;
use sanddrum_net::{CloseCause, ConnectionId, Core, Event, Io, Micros, Outbox};
use sanddrum_wire::{FrameDecoder, ToDiscovery, ToWorker};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Everything takes so much longer, each way.
    Delay(Micros),
    /// What the caller sends does not arrive until the link is mended.
    SilentTo,
    /// What it is answered does not.
    SilentFrom,
    /// Connections are taken, and nothing more is heard of them.
    Unanswered,
    /// Connections are broken as soon as they are made.
    Refused,
    /// No more than so many bytes a second pass on each connection, each way.
    Slow(f64),
}

/// How a caller is known: by the greeting of its protocol, or not at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Greets {
    No,
    Worker,
    List,
}

/// What a test and a relay both hold.
#[derive(Clone, Debug, Default)]
pub struct Steering {
    /// Where the process behind it listens now; none while there is no process.
    pub to: Option<String>,
    /// Faults of all callers (none), or of one by its name.
    pub faults: BTreeMap<Option<String>, Fault>,
    /// Callers whose connections are to be broken now.
    pub breaks: Vec<Option<String>>,
    /// Counts what was steered, so that the relay looks.
    pub turn: u64,
}

impl Steering {
    pub fn set(&mut self, whom: Option<&str>, fault: Option<Fault>) {
        let whom = whom.map(String::from);
        match fault {
            Some(fault) => drop(self.faults.insert(whom, fault)),
            None => drop(self.faults.remove(&whom)),
        }
        self.turn += 1;
    }
    pub fn reset(&mut self, whom: Option<&str>) {
        self.breaks.push(whom.map(String::from));
        self.turn += 1;
    }
    pub fn lead_to(&mut self, to: Option<String>) {
        self.to = to;
        self.turn += 1;
    }
    fn of(&self, name: &str) -> Option<Fault> {
        self.faults
            .get(&Some(name.to_string()))
            .or(self.faults.get(&None))
            .copied()
    }
}

enum Piece {
    Bytes(Vec<u8>),
    End(CloseCause),
}

/// One direction of a connection.
struct Way {
    pieces: VecDeque<(Micros, Piece)>,
    held: usize,
    /// Nothing more passes before, where the link is slow.
    free: Micros,
    out: Outbox<()>,
}

struct Pair {
    back: Option<ConnectionId>,
    back_up: bool,
    name: Option<String>,
    greeting: FrameDecoder,
    /// To the process behind, and back from it.
    to: Way,
    from: Way,
    paused: bool,
}

/// Bytes held for one direction of a connection before its sender is slowed down.
const HELD: usize = 1 << 20;
/// The most that waits for a socket.
const MOST: usize = 64 << 20;

pub struct Relay {
    greets: Greets,
    steering: Shared<Steering>,
    seen: u64,
    pairs: BTreeMap<ConnectionId, Pair>,
    /// The front of each connection dialled on.
    fronts: BTreeMap<ConnectionId, ConnectionId>,
    /// Pairs that something came for or waits in.
    busy: BTreeSet<ConnectionId>,
}

fn way() -> Way {
    Way {
        pieces: VecDeque::new(),
        held: 0,
        free: 0,
        out: Outbox::new(MOST),
    }
}

impl Way {
    fn take(&mut self, at: Micros, piece: Piece) {
        if let Piece::Bytes(bytes) = &piece {
            self.held += bytes.len();
        }
        self.pieces.push_back((at, piece));
    }
    fn is_empty(&self) -> bool {
        self.pieces.is_empty() && self.out.pending_bytes() == 0
    }
    /// Passes on what is due; what ends the connection comes last.
    fn pass(&mut self, now: Micros, fault: Option<Fault>, silent: bool) -> Option<CloseCause> {
        let delay = if let Some(Fault::Delay(by)) = fault {
            by
        } else {
            0
        };
        while let Some((at, piece)) = self.pieces.front() {
            if silent || at + delay > now || self.free > now {
                return None;
            }
            match piece {
                Piece::End(how) => return Some(*how),
                Piece::Bytes(bytes) => {
                    if let Some(Fault::Slow(per_s)) = fault {
                        self.free = now + (bytes.len() as f64 / per_s.max(1.0) * 1e6) as Micros;
                    }
                    self.held -= bytes.len();
                    let _ = self.out.push((), bytes);
                    self.pieces.pop_front();
                }
            }
        }
        None
    }
    fn wake(&self, fault: Option<Fault>, silent: bool) -> Option<Micros> {
        let delay = if let Some(Fault::Delay(by)) = fault {
            by
        } else {
            0
        };
        let first = self.pieces.front().filter(|_| !silent);
        first.map(|(at, _)| (at + delay).max(self.free))
    }
}

impl Pair {
    fn silent(fault: Option<Fault>) -> (bool, bool) {
        let none = fault == Some(Fault::Unanswered);
        (
            none || fault == Some(Fault::SilentTo),
            none || fault == Some(Fault::SilentFrom),
        )
    }
}

impl Relay {
    pub fn new(greets: Greets, steering: Shared<Steering>) -> Self {
        let (pairs, fronts, busy) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Relay {
            greets,
            steering,
            seen: 0,
            pairs,
            fronts,
            busy,
        }
    }
    fn fault(&self, pair: &Pair) -> Option<Fault> {
        self.steering
            .borrow()
            .of(pair.name.as_deref().unwrap_or_default())
    }
    fn greeted(&mut self, front: ConnectionId, bytes: &[u8]) {
        let greets = self.greets;
        let Some(pair) = self.pairs.get_mut(&front).filter(|p| p.name.is_none()) else {
            return;
        };
        pair.greeting.push_bytes(bytes);
        pair.name = match greets {
            Greets::No => None,
            Greets::Worker => match pair.greeting.next_message::<ToWorker>() {
                Ok(Some(ToWorker::Hello(hello))) => Some(hello.name),
                _ => None,
            },
            // A worker tells of itself by its first row.
            Greets::List => match pair.greeting.next_message::<ToDiscovery>() {
                Ok(Some(ToDiscovery::Hello(hello))) => Some(hello.name),
                Ok(Some(ToDiscovery::Register(row))) => Some(row.name),
                _ => None,
            },
        };
    }
    fn dial(&mut self, front: ConnectionId, io: &mut dyn Io) {
        let to = self.steering.borrow().to.clone();
        let Some(pair) = self
            .pairs
            .get_mut(&front)
            .filter(|p| p.back.is_none() && p.name.is_some())
        else {
            return;
        };
        let fault = self
            .steering
            .borrow()
            .of(pair.name.as_deref().unwrap_or_default());
        match (fault, to) {
            (Some(Fault::Unanswered), _) => {}
            (Some(Fault::Refused), _) | (_, None) => self.end(front, io, CloseCause::Reset, true),
            (_, Some(to)) => {
                let back = io.connect(&to);
                pair.back = Some(back);
                self.fronts.insert(back, front);
            }
        }
    }
    /// Ends both sides, or what is left of them.
    fn end(&mut self, front: ConnectionId, io: &mut dyn Io, how: CloseCause, front_stands: bool) {
        let Some(pair) = self.pairs.remove(&front) else {
            return;
        };
        let sides = [
            front_stands.then_some(front),
            pair.back.filter(|b| self.fronts.contains_key(b)),
        ];
        if let Some(back) = pair.back {
            self.fronts.remove(&back);
        }
        for conn in sides.into_iter().flatten() {
            if how == CloseCause::Orderly {
                io.close(conn)
            } else {
                io.reset(conn)
            }
        }
    }
    fn tend(
        &mut self,
        now: Micros,
        front: ConnectionId,
        breaks: &[Option<String>],
        io: &mut dyn Io,
    ) {
        self.dial(front, io);
        let Some(pair) = self.pairs.get(&front) else {
            return;
        };
        let broken = breaks
            .iter()
            .any(|whom| whom.is_none() || *whom == pair.name);
        let fault = self.fault(pair);
        if broken || fault == Some(Fault::Refused) {
            return self.end(front, io, CloseCause::Reset, true);
        }
        let (silent_to, silent_from) = Pair::silent(fault);
        let Some(pair) = self.pairs.get_mut(&front) else {
            return;
        };
        let back = pair.back.filter(|_| pair.back_up);
        let ended_to = back.and_then(|_| pair.to.pass(now, fault, silent_to));
        let ended_from = pair.from.pass(now, fault, silent_from);
        back.iter().for_each(|back| pair.to.out.flush(*back, io));
        pair.from.out.flush(front, io);
        if pair.paused && pair.to.held.max(pair.from.held) * 2 < HELD {
            pair.paused = false;
            io.pause(front, false);
            pair.back.iter().for_each(|back| io.pause(*back, false));
        }
        let over =
            |way: &Way, how: CloseCause| way.out.pending_bytes() == 0 || how != CloseCause::Orderly;
        match (ended_from, ended_to) {
            (Some(how), _) if over(&pair.from, how) => self.end(front, io, how, true),
            (_, Some(how)) if over(&pair.to, how) => self.end(front, io, how, false),
            _ => {}
        }
    }
    fn came(&mut self, now: Micros, conn: ConnectionId, piece: Piece, io: &mut dyn Io) {
        let front = self.fronts.get(&conn).copied().unwrap_or(conn);
        if let Piece::Bytes(bytes) = &piece {
            if front == conn {
                self.greeted(front, bytes);
            }
        }
        let Some(pair) = self.pairs.get_mut(&front) else {
            return;
        };
        let way = if front == conn {
            &mut pair.to
        } else {
            &mut pair.from
        };
        way.take(now, piece);
        if way.held > HELD && !pair.paused {
            pair.paused = true;
            io.pause(front, true);
            pair.back.iter().for_each(|back| io.pause(*back, true));
        }
        self.dial(front, io);
    }
}

impl Core for Relay {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        let (Event::Accepted { conn, .. }
        | Event::Connected { conn }
        | Event::Bytes { conn, .. }
        | Event::Writable { conn }
        | Event::Closed { conn, .. }) = event;
        self.busy
            .insert(self.fronts.get(&conn).copied().unwrap_or(conn));
        match event {
            Event::Accepted { conn, .. } => {
                let name = (self.greets == Greets::No).then(String::new);
                let (to, from, greeting) = (way(), way(), FrameDecoder::new(MOST));
                let pair = Pair {
                    back: None,
                    back_up: false,
                    name,
                    greeting,
                    to,
                    from,
                    paused: false,
                };
                self.pairs.insert(conn, pair);
                self.dial(conn, io);
            }
            Event::Connected { conn } => {
                if let Some(pair) = self
                    .fronts
                    .get(&conn)
                    .and_then(|front| self.pairs.get_mut(front))
                {
                    pair.back_up = true;
                }
            }
            Event::Bytes { conn, bytes } => self.came(now, conn, Piece::Bytes(bytes.to_vec()), io),
            Event::Writable { conn } => {
                let front = self.fronts.get(&conn).copied().unwrap_or(conn);
                if let Some(pair) = self.pairs.get_mut(&front) {
                    let way = if front == conn {
                        &mut pair.from
                    } else {
                        &mut pair.to
                    };
                    way.out.unblock();
                }
            }
            Event::Closed { conn, cause: how } => {
                if let Some(front) = self.fronts.get(&conn).copied() {
                    self.fronts.remove(&conn);
                    let how = if how == CloseCause::Refused {
                        CloseCause::Reset
                    } else {
                        how
                    };
                    if let Some(pair) = self.pairs.get_mut(&front) {
                        pair.from.take(now, Piece::End(how));
                    }
                } else if let Some(pair) = self.pairs.get_mut(&conn) {
                    pair.to.take(now, Piece::End(how));
                    // Nothing can be told to a caller that has gone.
                    if pair.back.is_none() || !pair.back_up {
                        self.end(conn, io, how, false);
                    }
                }
            }
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        let turn = self.steering.borrow().turn;
        let breaks = std::mem::take(&mut self.steering.borrow_mut().breaks);
        if self.seen != turn {
            self.busy.extend(self.pairs.keys());
        }
        self.seen = turn;
        for front in self.busy.iter().copied().collect::<Vec<_>>() {
            self.tend(now, front, &breaks, io);
            let waits = |p: &Pair| !(p.to.is_empty() && p.from.is_empty());
            if !self.pairs.get(&front).is_some_and(waits) {
                self.busy.remove(&front);
            }
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        if self.seen != self.steering.borrow().turn {
            return Some(0);
        }
        let busy = self.busy.iter().filter_map(|front| self.pairs.get(front));
        let wakes = busy.flat_map(|pair| {
            let fault = self.fault(pair);
            let (to, from) = Pair::silent(fault);
            let to = pair
                .back
                .filter(|_| pair.back_up)
                .and_then(|_| pair.to.wake(fault, to));
            [to, pair.from.wake(fault, from)]
        });
        wakes.flatten().min()
    }
    fn is_done(&self) -> bool {
        true
    }
}
