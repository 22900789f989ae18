//! What the emulated clients, model servers and feed of a soak run observed, each at its own end of a connection, with
//! timestamps of the lab's clock. The checker reads only this and nothing that a router reports about itself.

use sanddrum_net::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A request's id, chosen by the client and unique in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A router of the fleet; it keeps its id over restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId(pub usize);

/// One incarnation of a model server: a restart gets a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub usize);

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    Once,
    Repeatable,
    /// Servers drop repetitions within [`REPEAT_WINDOW`] of the first attempt that may have run.
    ByKey,
}

/// How long servers drop repetitions of a request of the class [`Effect::ByKey`].
pub const REPEAT_WINDOW: Micros = 1_000_000;

impl Effect {
    /// The request class of the run's settings that has this effect.
    pub fn class_name(self) -> &'static str {
        match self {
            Effect::Once => "single",
            Effect::Repeatable => "free",
            Effect::ByKey => "keyed",
        }
    }
    /// The effect's name in the platform's settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Effect::Once => "once",
            Effect::Repeatable => "repeatable",
            Effect::ByKey => "by_key",
        }
    }
}

/// A completely received response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub at: Micros,
    /// The status of the CGI response, 0 if it has none.
    pub status: u16,
    pub body: Vec<u8>,
}

/// How a client abandoned a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Abandonment {
    Closed,
    Reset,
    Aborted,
}

/// A request whose last byte was written to an established connection.
#[derive(Clone, Debug)]
pub struct Request {
    pub router: RouterId,
    pub effect: Effect,
    pub time_limit: Micros,
    pub sent: Micros,
    /// Whether this was the first request on its connection.
    pub first_on_connection: bool,
    /// How long its connection had been idle before the request was sent.
    pub idle_before: Micros,
    pub abandoned: Option<(Micros, Abandonment)>,
    pub responses: Vec<Response>,
    /// When its connection was closed, by the router or the operating system, before a response was received.
    pub closed_unanswered: Option<Micros>,
    /// The response could not be parsed.
    pub malformed: bool,
}

/// A request that a model server received completely.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request_id: RequestId,
    pub server: ServerId,
    pub at: Micros,
    /// The remaining time that the router passed on with the request.
    pub deadline: Micros,
    /// The server rejected it without running it.
    pub never_ran: bool,
    /// Whether the arrival time is unknown: the attempt may have waited in the receive buffer of a server that wasn't
    /// reading.
    pub arrival_unknown: bool,
    /// The earliest time at which it may have arrived, if a fault of its link kept it from being read.
    pub held_since: Option<Micros>,
    /// When the server wrote the end of its answer or gave it up: it read a cancellation, or learned of the end of the
    /// connection. `None` while it is out.
    pub ended: Option<Micros>,
}

/// The number of an attempt among all of a run, in the order of reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub usize);

/// A load command that a model server received.
#[derive(Clone, Copy, Debug)]
pub struct LoadCommand {
    pub server: ServerId,
    pub at: Micros,
    /// Whether the arrival time of the load command is unknown.
    pub arrival_unknown: bool,
}

/// The start of a model server.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    pub server: ServerId,
    pub at: Micros,
    pub size: f64,
    /// Whether the server had been running long before the run began.
    pub before_run: bool,
}

/// The feed's announcement that routers must not send a model server any new requests.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub server: ServerId,
    pub announced_at: Micros,
}

/// One process of a router, from its start to its exit.
#[derive(Clone, Debug, Default)]
pub struct Incarnation {
    pub started: Micros,
    pub ready: Option<Micros>,
    pub sigterm_sent: Option<Micros>,
    pub killed: Option<Micros>,
    /// It was killed because it had not exited in time after SIGTERM; the requests it still had in flight are lost.
    pub killed_after_sigterm: Option<Micros>,
    /// When its exit was noticed, and its exit code, which is `None` if a signal ended it.
    pub exited: Option<(Micros, Option<i32>)>,
    /// Number of open descriptors after a third of the run and at its end.
    pub descriptors: Vec<usize>,
    /// Resident memory after a third of the run and at its end.
    pub resident_bytes: Vec<u64>,
}

/// A span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub from: Micros,
    pub to: Micros,
}

impl Span {
    /// Returns how much of this span lies between two instants.
    pub fn overlap(&self, from: Micros, to: Micros) -> Micros {
        (self.to.min(to) - self.from.max(from)).max(0)
    }
}

/// A span in which the feed delivered events late or not at all, and when the events of that span are deemed
/// delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedFault {
    pub span: Span,
    /// Events are deemed delivered this long after the fault began, or after the event if that is later.
    pub deemed_delivered_after: Micros,
    /// The feed was unreachable. Events from the start of the outage are deemed delivered `deemed_delivered_after`
    /// from that start, not from the event.
    pub is_outage: bool,
}

/// Everything observed in a run.
#[derive(Debug, Default)]
pub struct Observations {
    pub requests: BTreeMap<RequestId, Request>,
    pub attempts: Vec<Attempt>,
    pub load_commands: Vec<LoadCommand>,
    pub starts: Vec<Start>,
    pub drains: Vec<Drain>,
    pub incarnations: BTreeMap<RouterId, Vec<Incarnation>>,
    /// Spans in which a router's process was stopped.
    pub stops: BTreeMap<RouterId, Vec<Span>>,
    pub feed_faults: Vec<FeedFault>,
    /// Spans in which the lab's own event loop was late, so that what it received may have arrived earlier.
    pub lab_delays: Vec<Span>,
    /// Attempts received by servers whose request id no client had sent.
    pub foreign_attempts: u64,
    /// Attempts of requests that flooding clients had sent and cancelled at once.
    pub flooding_attempts: u64,
    /// Malformed requests that clients sent on purpose.
    pub malformed_requests: u64,
    /// Malformed requests that were answered with status 200.
    pub malformed_requests_served: u64,
    pub closes_by_clients: u64,
    pub aborts_by_clients: u64,
    pub connections_by_clients: u64,
    pub connections_to_servers: u64,
    /// Health checks and queries that servers have read.
    pub probes: u64,
}

/// The observations of a run, shared by its emulated clients, servers and feed.
pub type SharedObservations = Rc<RefCell<Observations>>;

impl Observations {
    /// Records an attempt that a server has read.
    pub fn begin_attempt(&mut self, attempt: Attempt) -> AttemptNumber {
        self.attempts.push(attempt);
        AttemptNumber(self.attempts.len() - 1)
    }
    /// Records that an attempt has ended; a later end changes nothing.
    pub fn end_attempt(&mut self, at: Micros, attempt: AttemptNumber) {
        if let Some(attempt) = self.attempts.get_mut(attempt.0) {
            attempt.ended.get_or_insert(at);
        }
    }
    /// Records that a server has exited with everything that was out at it.
    pub fn end_server(&mut self, at: Micros, server: ServerId) {
        let at_server = self.attempts.iter_mut().filter(|a| a.server == server);
        for attempt in at_server {
            attempt.ended.get_or_insert(at);
        }
    }
    /// Returns how long the lab itself was late between two instants.
    pub fn lab_delay_between(&self, from: Micros, to: Micros) -> Micros {
        self.lab_delays
            .iter()
            .map(|span| span.overlap(from, to))
            .sum()
    }
    /// Returns how long a router's process was stopped between two instants.
    pub fn stopped_between(&self, router: RouterId, from: Micros, to: Micros) -> Micros {
        let spans = self.stops.get(&router).into_iter().flatten();
        spans.map(|span| span.overlap(from, to)).sum()
    }
    /// Returns for how long a router's process had been stopped at this instant; zero if it ran.
    pub fn stopped_for(&self, router: RouterId, at: Micros) -> Micros {
        let mut spans = self.stops.get(&router).into_iter().flatten();
        spans
            .find(|span| span.from <= at && at < span.to)
            .map_or(0, |span| at - span.from)
    }
    /// Returns the last incarnation of a router that had started by this time.
    pub fn incarnation_at(&self, router: RouterId, at: Micros) -> Option<&Incarnation> {
        self.incarnations
            .get(&router)?
            .iter()
            .rev()
            .find(|incarnation| incarnation.started <= at)
    }
}

/// The response body that a model server produces for a request. The checker compares it with what the client
/// received, byte by byte.
pub fn expected_response_body(id: RequestId, body: &[u8]) -> Vec<u8> {
    let mut response = format!("made of {:016x}:", id.0).into_bytes();
    response.extend(body.iter().rev());
    response
}

/// The body that a client sends with a request.
pub fn request_body(id: RequestId) -> Vec<u8> {
    let length = (id.0 % 700) as usize;
    (0..length)
        .map(|n| (id.0 as usize).wrapping_mul(31).wrapping_add(n * 7) as u8)
        .collect()
}
