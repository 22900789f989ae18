//! Load on one edge: as many calls as it takes, or an open loop at a set rate whose latencies count from when each call
//! was meant to be made, so that a slow edge cannot hide its own delays.

use hdrhistogram::Histogram;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, Outbox, Rng};
use sanddrum_wire::http;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

#[derive(Clone, Debug)]
pub struct LoadGeneratorSpec {
    pub edge: String,
    pub workload: String,
    /// The functions called are this and a number, all equally often.
    pub function: String,
    pub functions: usize,
    pub connections: usize,
    /// Calls a second; nought: as many as it takes, each connection one at a time.
    pub rate: f64,
    pub length: Micros,
    /// Calls begun in this first part are not counted.
    pub warm_up: Micros,
    pub body: String,
    /// Tokens that calls show, in turn; none where there are none.
    pub tokens: Vec<String>,
    /// The name that the edge has to own, where it is spoken to over TLS.
    pub name: Option<String>,
    /// Each call on a connection of its own.
    pub fresh: bool,
    /// A connection that the edge ends is opened again.
    pub reopens: bool,
    pub seed: u64,
}

#[derive(Debug)]
pub struct LoadMeasurement {
    pub finished: u64,
    /// By status; nought stands for a broken connection.
    pub others: BTreeMap<u16, u64>,
    pub latency: Histogram<u64>,
    /// Calls that no connection was free for, and that were given up for it.
    pub dropped: u64,
    pub counted: Micros,
}

impl LoadMeasurement {
    pub fn empty() -> Self {
        let latency = Histogram::new_with_bounds(1, 600_000_000, 3);
        let latency = latency
            .unwrap_or_else(|_| unreachable!("ten minutes in three digits are within bounds"));
        LoadMeasurement {
            finished: 0,
            others: BTreeMap::new(),
            latency,
            dropped: 0,
            counted: 0,
        }
    }
    pub fn rate(&self) -> f64 {
        self.finished as f64 / (self.counted.max(1) as f64 / 1e6)
    }
    pub fn quantile_us(&self, q: f64) -> u64 {
        self.latency.value_at_quantile(q)
    }
}

struct Line {
    up: bool,
    /// When the call that is out was meant to be made.
    meant: Option<Micros>,
    out: Outbox<()>,
    bytes: Vec<u8>,
}

pub struct LoadGenerator {
    spec: LoadGeneratorSpec,
    requests: Vec<Vec<u8>>,
    turn: usize,
    chance: Rng,
    begun: Micros,
    ends: Micros,
    next: Micros,
    lines: BTreeMap<ConnectionId, Line>,
    free: Vec<ConnectionId>,
    behind: VecDeque<Micros>,
    out: usize,
    pub seen: Rc<RefCell<LoadMeasurement>>,
}

/// Calls that wait for a free connection; more are dropped and counted.
const BEHIND: usize = 1_000_000;

impl LoadGenerator {
    pub fn new(spec: LoadGeneratorSpec) -> Self {
        let request = |n: usize, token: Option<&String>| {
            let path = format!(
                "/v1/calls/{}/{}{}",
                spec.workload,
                spec.function,
                n % spec.functions.max(1)
            );
            let token = token.map(|token| format!("Bearer {token}"));
            let field = token
                .as_ref()
                .map(|token| ("authorization", token.as_str()));
            http::encode_request("POST", &path, field.as_slice(), spec.body.as_bytes())
        };
        let (count, tokens) = (
            spec.functions.max(1).max(spec.tokens.len()),
            spec.tokens.len().max(1),
        );
        LoadGenerator {
            requests: (0..count)
                .map(|n| request(n, spec.tokens.get(n % tokens)))
                .collect(),
            turn: 0,
            chance: Rng::new(spec.seed),
            begun: 0,
            ends: 0,
            next: 0,
            lines: BTreeMap::new(),
            free: Vec::new(),
            behind: VecDeque::new(),
            out: 0,
            seen: Rc::new(RefCell::new(LoadMeasurement::empty())),
            spec,
        }
    }
    fn send(&mut self, conn: ConnectionId, meant: Micros, io: &mut dyn Io) {
        self.turn += 1;
        // Tokens go in turn, so that each new one is seen once; functions by chance.
        let n = match self.spec.tokens.len() {
            0 => self.chance.index(self.requests.len()),
            _ => self.turn % self.requests.len(),
        };
        let Some(line) = self.lines.get_mut(&conn) else {
            return;
        };
        line.meant = Some(meant);
        self.out += 1;
        let _ = line.out.push((), &self.requests[n]);
        if line.up {
            line.out.flush(conn, io);
        }
    }
    fn open(&mut self, io: &mut dyn Io) {
        let conn = match &self.spec.name {
            Some(name) => io.connect_named(&self.spec.edge, name),
            None => io.connect(&self.spec.edge),
        };
        let line = Line {
            up: false,
            meant: None,
            out: Outbox::new(1 << 20),
            bytes: Vec::new(),
        };
        self.lines.insert(conn, line);
    }
    fn answered(&mut self, now: Micros, conn: ConnectionId, status: u16, io: &mut dyn Io) {
        let Some(meant) = self.lines.get_mut(&conn).and_then(|line| line.meant.take()) else {
            return;
        };
        self.out -= 1;
        let mut seen = self.seen.borrow_mut();
        if meant >= self.begun + self.spec.warm_up && meant < self.ends {
            match status {
                200 => {
                    seen.finished += 1;
                    let _ = seen.latency.record((now - meant).max(1) as u64);
                }
                other => *seen.others.entry(other).or_default() += 1,
            }
        }
        drop(seen);
        if self.spec.fresh && status != 0 {
            io.close(conn);
            self.lines.remove(&conn);
            self.free.retain(|free| *free != conn);
            if now < self.ends {
                self.open(io);
            }
            return;
        }
        if self.spec.rate <= 0.0 {
            if now < self.ends && status != 0 {
                self.send(conn, now, io);
            }
        } else if let Some(meant) = self.behind.pop_front() {
            self.send(conn, meant, io);
        } else {
            self.free.push(conn);
        }
    }
}

impl Core for LoadGenerator {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        (self.begun, self.ends, self.next) = (now, now + self.spec.length, now);
        self.seen.borrow_mut().counted = self.spec.length - self.spec.warm_up;
        (0..self.spec.connections).for_each(|_| self.open(io));
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Connected { conn } => {
                if let Some(line) = self.lines.get_mut(&conn) {
                    line.up = true;
                    match self.spec.rate > 0.0 {
                        true => self.free.push(conn),
                        false => self.send(conn, now, io),
                    }
                }
            }
            Event::Writable { conn } => {
                if let Some(line) = self.lines.get_mut(&conn) {
                    line.out.unblock();
                    line.out.flush(conn, io);
                }
            }
            Event::Bytes { conn, bytes } => {
                let Some(line) = self.lines.get_mut(&conn) else {
                    return;
                };
                line.bytes.extend_from_slice(bytes);
                if let Ok(Some((answer, took))) = http::parse_response(&line.bytes) {
                    line.bytes.drain(..took);
                    self.answered(now, conn, answer.status, io);
                }
            }
            Event::Closed { conn, .. } => {
                self.answered(now, conn, 0, io);
                self.lines.remove(&conn);
                self.free.retain(|free| *free != conn);
                if self.spec.reopens && now < self.ends {
                    self.open(io);
                }
            }
            Event::Accepted { .. } => {}
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        if self.spec.rate <= 0.0 {
            return;
        }
        while self.next <= now && self.next < self.ends {
            let meant = self.next;
            self.next += (self.chance.exponential(1e6 / self.spec.rate) as Micros).max(1);
            match self.free.pop() {
                Some(conn) => self.send(conn, meant, io),
                None if self.behind.len() < BEHIND => self.behind.push_back(meant),
                None => self.seen.borrow_mut().dropped += 1,
            }
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        let next = if self.spec.rate > 0.0 && self.next < self.ends {
            self.next
        } else {
            self.ends
        };
        (!self.is_done()).then_some(next)
    }
    fn is_done(&self) -> bool {
        // Seen by the driver after its time is up and every call has ended.
        self.next >= self.ends && self.out == 0 && self.behind.is_empty()
    }
}
