//! Generates load on one edge: in a closed loop, as many requests as the edge answers; or in an open loop at a set
//! rate. Latencies of the open loop count from the time that each request was scheduled for, so that a slow edge
//! can't hide its own delays.

use hdrhistogram::Histogram;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, Outbox, Rng};
use sanddrum_wire::http;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// What a [`LoadGenerator`] sends, and how.
#[derive(Clone, Debug)]
pub struct LoadGeneratorSpec {
    pub edge: String,
    pub workload: String,
    /// Prefix of the function names, which end in a number; each function is requested equally often.
    pub function: String,
    pub functions: usize,
    pub connections: usize,
    /// Requests per second; 0 selects the closed loop, with one request at a time on each connection.
    pub rate: f64,
    pub duration: Micros,
    /// Requests scheduled within this first part of the run are not counted.
    pub warm_up: Micros,
    pub body: String,
    /// Tokens that the requests carry in turn; if empty, requests carry none.
    pub tokens: Vec<String>,
    /// The name that the edge's certificate must have, where the edge is reached over TLS.
    pub tls_name: Option<String>,
    /// Sends each request on a connection of its own.
    pub connection_per_request: bool,
    /// Opens a new connection for each one that the edge closes.
    pub reopen_closed: bool,
    pub seed: u64,
}

#[derive(Debug)]
pub struct LoadMeasurement {
    pub finished: u64,
    /// Requests that were not answered with 200, by status; 0 stands for a connection that was closed.
    pub other_statuses: BTreeMap<u16, u64>,
    pub latency: Histogram<u64>,
    /// Requests dropped because no connection was free and the backlog was full.
    pub dropped: u64,
    /// Length of the part of the run in which requests are counted.
    pub counted_duration: Micros,
}

impl LoadMeasurement {
    pub fn empty() -> Self {
        let latency = Histogram::new_with_bounds(1, 600_000_000, 3);
        let latency = latency.unwrap_or_else(|_| {
            unreachable!(
                "ten minutes with three significant digits are within the histogram's bounds"
            )
        });
        LoadMeasurement {
            finished: 0,
            other_statuses: BTreeMap::new(),
            latency,
            dropped: 0,
            counted_duration: 0,
        }
    }
    pub fn rate(&self) -> f64 {
        self.finished as f64 / (self.counted_duration.max(1) as f64 / 1e6)
    }
    pub fn quantile_us(&self, q: f64) -> u64 {
        self.latency.value_at_quantile(q)
    }
}

struct Connection {
    is_connected: bool,
    /// The time that the request in flight was scheduled for.
    scheduled_at: Option<Micros>,
    outbox: Outbox<()>,
    bytes: Vec<u8>,
}

pub struct LoadGenerator {
    spec: LoadGeneratorSpec,
    requests: Vec<Vec<u8>>,
    request_count: usize,
    rng: Rng,
    started_at: Micros,
    ends_at: Micros,
    next_at: Micros,
    connections: BTreeMap<ConnectionId, Connection>,
    free: Vec<ConnectionId>,
    backlog: VecDeque<Micros>,
    in_flight: usize,
    pub measurement: Rc<RefCell<LoadMeasurement>>,
}

/// Maximum number of requests that wait for a free connection; further ones are dropped and counted.
const MAX_BACKLOG: usize = 1_000_000;

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
            request_count: 0,
            rng: Rng::new(spec.seed),
            started_at: 0,
            ends_at: 0,
            next_at: 0,
            connections: BTreeMap::new(),
            free: Vec::new(),
            backlog: VecDeque::new(),
            in_flight: 0,
            measurement: Rc::new(RefCell::new(LoadMeasurement::empty())),
            spec,
        }
    }
    fn send(&mut self, conn: ConnectionId, scheduled_at: Micros, io: &mut dyn Io) {
        self.request_count += 1;
        // Tokens are used in turn, so that each new one reaches the edge once; functions are chosen at random.
        let n = match self.spec.tokens.len() {
            0 => self.rng.index(self.requests.len()),
            _ => self.request_count % self.requests.len(),
        };
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        connection.scheduled_at = Some(scheduled_at);
        self.in_flight += 1;
        let _ = connection.outbox.push((), &self.requests[n]);
        if connection.is_connected {
            connection.outbox.flush(conn, io);
        }
    }
    fn open_connection(&mut self, io: &mut dyn Io) {
        let conn = match &self.spec.tls_name {
            Some(tls_name) => io.connect_named(&self.spec.edge, tls_name),
            None => io.connect(&self.spec.edge),
        };
        let connection = Connection {
            is_connected: false,
            scheduled_at: None,
            outbox: Outbox::new(1 << 20),
            bytes: Vec::new(),
        };
        self.connections.insert(conn, connection);
    }
    /// Counts the end of a request, by its status or 0 for a closed connection, and sends the next one.
    fn finish_request(&mut self, now: Micros, conn: ConnectionId, status: u16, io: &mut dyn Io) {
        let Some(scheduled_at) = self
            .connections
            .get_mut(&conn)
            .and_then(|connection| connection.scheduled_at.take())
        else {
            return;
        };
        self.in_flight -= 1;
        let mut measurement = self.measurement.borrow_mut();
        if scheduled_at >= self.started_at + self.spec.warm_up && scheduled_at < self.ends_at {
            match status {
                200 => {
                    measurement.finished += 1;
                    let _ = measurement
                        .latency
                        .record((now - scheduled_at).max(1) as u64);
                }
                other => *measurement.other_statuses.entry(other).or_default() += 1,
            }
        }
        drop(measurement);
        if self.spec.connection_per_request && status != 0 {
            io.close(conn);
            self.connections.remove(&conn);
            self.free.retain(|free| *free != conn);
            if now < self.ends_at {
                self.open_connection(io);
            }
            return;
        }
        if self.spec.rate <= 0.0 {
            if now < self.ends_at && status != 0 {
                self.send(conn, now, io);
            }
        } else if let Some(scheduled_at) = self.backlog.pop_front() {
            self.send(conn, scheduled_at, io);
        } else {
            self.free.push(conn);
        }
    }
}

impl Core for LoadGenerator {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        (self.started_at, self.ends_at, self.next_at) = (now, now + self.spec.duration, now);
        self.measurement.borrow_mut().counted_duration = self.spec.duration - self.spec.warm_up;
        (0..self.spec.connections).for_each(|_| self.open_connection(io));
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Connected { conn } => {
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.is_connected = true;
                    match self.spec.rate > 0.0 {
                        true => self.free.push(conn),
                        false => self.send(conn, now, io),
                    }
                }
            }
            Event::Writable { conn } => {
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.outbox.unblock();
                    connection.outbox.flush(conn, io);
                }
            }
            Event::Bytes { conn, bytes } => {
                let Some(connection) = self.connections.get_mut(&conn) else {
                    return;
                };
                connection.bytes.extend_from_slice(bytes);
                if let Ok(Some((response, response_len))) = http::parse_response(&connection.bytes)
                {
                    connection.bytes.drain(..response_len);
                    self.finish_request(now, conn, response.status, io);
                }
            }
            Event::Closed { conn, .. } => {
                self.finish_request(now, conn, 0, io);
                self.connections.remove(&conn);
                self.free.retain(|free| *free != conn);
                if self.spec.reopen_closed && now < self.ends_at {
                    self.open_connection(io);
                }
            }
            Event::Accepted { .. } => {}
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        if self.spec.rate <= 0.0 {
            return;
        }
        while self.next_at <= now && self.next_at < self.ends_at {
            let scheduled_at = self.next_at;
            self.next_at += (self.rng.exponential(1e6 / self.spec.rate) as Micros).max(1);
            match self.free.pop() {
                Some(conn) => self.send(conn, scheduled_at, io),
                None if self.backlog.len() < MAX_BACKLOG => self.backlog.push_back(scheduled_at),
                None => self.measurement.borrow_mut().dropped += 1,
            }
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        let next_at = if self.spec.rate > 0.0 && self.next_at < self.ends_at {
            self.next_at
        } else {
            self.ends_at
        };
        (!self.is_done()).then_some(next_at)
    }
    fn is_done(&self) -> bool {
        // The open loop is done once all requests were scheduled and have ended.
        self.next_at >= self.ends_at && self.in_flight == 0 && self.backlog.is_empty()
    }
}
