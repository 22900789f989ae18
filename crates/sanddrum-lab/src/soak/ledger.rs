//! What the stand-ins of a soak run saw, each at its own end of a connection and with the time by the lab's clock. The
//! judge reads this and nothing that a router says of itself.

use sanddrum_net::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The caller's number of a request, new with every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A router of the fleet, the same over its restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId(pub usize);

/// One start of a model server: a restart is another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub usize);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    Once,
    Repeatable,
}

impl Effect {
    /// The class of the soak's settings that has this effect.
    pub fn class(self) -> &'static str {
        match self {
            Effect::Once => "single",
            Effect::Repeatable => "free",
        }
    }
    /// As the platform's settings word it.
    pub fn word(self) -> &'static str {
        match self {
            Effect::Once => "once",
            Effect::Repeatable => "repeatable",
        }
    }
}

/// An answer that came whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub at: Micros,
    /// The status of the CGI response, nought where it has none.
    pub status: u16,
    pub body: Vec<u8>,
}

/// How a client ended its wait for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    Closed,
    Reset,
    Aborted,
}

/// A request whose last byte was written to a connection that was up.
#[derive(Clone, Debug)]
pub struct Request {
    pub router: RouterId,
    pub effect: Effect,
    pub patience: Micros,
    pub sent: Micros,
    /// It was the first on its connection.
    pub first_on_connection: bool,
    /// How long its connection had carried nothing before it was sent.
    pub rested: Micros,
    pub left: Option<(Micros, Leaving)>,
    pub answers: Vec<Answer>,
    /// The router, or the machine, ended its connection before it was answered.
    pub cut: Option<Micros>,
    /// What came back could not be read.
    pub unreadable: bool,
}

/// A request as it came whole to a model server.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub call: CallId,
    pub server: ServerId,
    pub at: Micros,
    /// The deadline that was passed on.
    pub deadline: Micros,
    /// The server answered that it never ran.
    pub never_ran: bool,
    /// When it came is not known: it may have lain in the buffer of a server that read nothing.
    pub arrival_unknown: bool,
}

/// A command to load instances as it came to a model server.
#[derive(Clone, Copy, Debug)]
pub struct LoadCommand {
    pub server: ServerId,
    pub at: Micros,
    /// When it came is not known.
    pub arrival_unknown: bool,
}

/// A model server's start.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    pub server: ServerId,
    pub at: Micros,
    pub size: f64,
    /// It was up long before the run.
    pub long_ago: bool,
}

/// Since when the feed tells all routers to send a model server nothing more.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub server: ServerId,
    pub told: Micros,
}

/// One life of a router's process.
#[derive(Clone, Debug, Default)]
pub struct Life {
    pub started: Micros,
    pub ready: Option<Micros>,
    pub asked_to_end: Option<Micros>,
    pub killed: Option<Micros>,
    /// It was killed as it had not ended by itself after it was asked to; what it held then is lost.
    pub killed_after_asked: Option<Micros>,
    /// When it was seen to be gone, with its exit code; none for one ended by a signal.
    pub ended: Option<(Micros, Option<i32>)>,
    /// Descriptors and resident memory in bytes, as seen after a third of the run and at its end.
    pub descriptors: Vec<usize>,
    pub resident: Vec<u64>,
}

/// A span of time, from and to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub from: Micros,
    pub to: Micros,
}

impl Span {
    /// How much of this span lies between two instants.
    pub fn within(&self, from: Micros, to: Micros) -> Micros {
        (self.to.min(to) - self.from.max(from)).max(0)
    }
}

/// While the feed did not tell, or told late, and when what it would have told counts as told: so long after the trouble
/// began, or after the event where that came later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedTrouble {
    pub span: Span,
    pub told_after: Micros,
    /// Events from its very beginning count as told so long after that, and not after the event.
    pub is_outage: bool,
}

/// All that was seen in a run.
#[derive(Debug, Default)]
pub struct Ledger {
    pub requests: BTreeMap<CallId, Request>,
    pub attempts: Vec<Attempt>,
    pub load_commands: Vec<LoadCommand>,
    pub starts: Vec<Start>,
    pub drains: Vec<Drain>,
    pub lives: BTreeMap<RouterId, Vec<Life>>,
    /// While a router's process was stopped.
    pub stops: BTreeMap<RouterId, Vec<Span>>,
    pub feed_troubles: Vec<FeedTrouble>,
    /// While the lab's own loop was late, so that what it saw may have come earlier.
    pub lab_late: Vec<Span>,
    /// What came to a server under the number of a call that no client made.
    pub foreign_attempts: u64,
    /// Requests of clients that send what can't be read, and how many of them were answered as served.
    pub bad_clients: u64,
    pub bad_clients_served: u64,
    pub closes_by_clients: u64,
    pub aborts_by_clients: u64,
    pub connections_by_clients: u64,
    pub connections_to_servers: u64,
}

/// The ledger as the stand-ins of one run share it.
pub type Shared = Rc<RefCell<Ledger>>;

impl Ledger {
    /// How long the lab itself was late between two instants.
    pub fn late_between(&self, from: Micros, to: Micros) -> Micros {
        self.lab_late.iter().map(|span| span.within(from, to)).sum()
    }
    /// How long a router's process was stopped between two instants.
    pub fn stopped_between(&self, router: RouterId, from: Micros, to: Micros) -> Micros {
        let spans = self.stops.get(&router).into_iter().flatten();
        spans.map(|span| span.within(from, to)).sum()
    }
    /// The life of a router that a moment falls into.
    pub fn life_at(&self, router: RouterId, at: Micros) -> Option<&Life> {
        self.lives
            .get(&router)?
            .iter()
            .rev()
            .find(|life| life.started <= at)
    }
}

/// What a model server makes of a request: the judge compares what a client got with it, to the byte.
pub fn made_of(call: CallId, body: &[u8]) -> Vec<u8> {
    let mut made = format!("made of {:016x}:", call.0).into_bytes();
    made.extend(body.iter().rev());
    made
}

/// The body that a client sends with a call.
pub fn body_of(call: CallId) -> Vec<u8> {
    let length = (call.0 % 700) as usize;
    (0..length)
        .map(|n| (call.0 as usize).wrapping_mul(31).wrapping_add(n * 7) as u8)
        .collect()
}
