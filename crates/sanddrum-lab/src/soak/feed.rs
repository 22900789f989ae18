//! The emulated control feed of a soak run: it serves numbered events over HTTP/1.1 on two addresses, one of which is
//! active.

use sanddrum_net::{CloseCause, ConnectionId, Core, Event, Io, ListenerId, Micros};
use sanddrum_wire::http;
use serde_json::{json, Value as Json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How the feed behaves, normally or with a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedMode {
    Normal,
    /// Requests are read and not answered.
    Silent,
    /// Responses are delayed by this much.
    Delayed(Micros),
    /// Responses are cut off in the middle and the connection is reset.
    Truncating,
    /// All connections are reset, new ones too.
    Resetting,
}

/// The state of the feed, shared with the environment, which changes it.
#[derive(Debug)]
pub struct FeedState {
    pub events: Vec<Json>,
    pub mode: FeedMode,
    /// The listener at which requests are answered; those at the other one stay unanswered.
    pub listener: ListenerId,
    /// Requests received so far.
    pub requests: u64,
}

impl FeedState {
    /// Creates a state whose first event is a full snapshot of these members.
    pub fn new(members: Vec<Json>) -> Self {
        let first = json!({"n": 1, "members": {"complete": true, "members": members}});
        FeedState {
            events: vec![first],
            mode: FeedMode::Normal,
            listener: ListenerId(0),
            requests: 0,
        }
    }
    /// Adds an event that changes these members.
    pub fn change(&mut self, members: Vec<Json>) {
        let n = self.events.len() + 1;
        self.events
            .push(json!({"n": n, "members": {"complete": false, "members": members}}));
    }
    /// Returns all events so far, in the form that a start configuration has.
    pub fn start_events(&self) -> Json {
        json!({"n": self.events.len(), "events": self.events})
    }
}

struct Connection {
    listener: ListenerId,
    request_text: String,
    /// The open request: the last event that the router has, and when its wait for another one ends.
    open_request: Option<(usize, Micros)>,
    respond_at: Option<Micros>,
}

/// How often a waiting request is checked.
const CHECK_INTERVAL: Micros = 5_000;

/// The core of the feed.
pub struct Feed {
    state: Rc<RefCell<FeedState>>,
    last_processed: Micros,
    connections: BTreeMap<ConnectionId, Connection>,
}

impl Feed {
    pub fn new(state: Rc<RefCell<FeedState>>) -> Self {
        Feed {
            state,
            last_processed: 0,
            connections: BTreeMap::new(),
        }
    }
    fn receive(&mut self, now: Micros, conn: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        connection
            .request_text
            .push_str(&String::from_utf8_lossy(bytes));
        if !connection.request_text.ends_with("\r\n\r\n") {
            return;
        }
        let number = |name: &str| -> Option<usize> {
            let rest = connection.request_text.split(name).nth(1)?;
            rest.split(['&', ' ']).next()?.parse().ok()
        };
        let (known_events, wait) = (number("SUB=").unwrap_or(0), number("wait=").unwrap_or(1000));
        connection.open_request = Some((known_events, now + wait as Micros * 1000));
        connection.request_text.clear();
        self.state.borrow_mut().requests += 1;
    }
    fn respond(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let state = self.state.borrow();
        if state.mode == FeedMode::Resetting {
            io.reset(conn);
            self.connections.remove(&conn);
            return;
        }
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Some((known_events, until)) = connection.open_request else {
            return;
        };
        if state.mode == FeedMode::Silent || connection.listener != state.listener {
            return;
        }
        if known_events >= state.events.len() && now < until {
            return;
        }
        if let FeedMode::Delayed(by) = state.mode {
            let at = *connection.respond_at.get_or_insert(now + by);
            if now < at {
                return;
            }
        }
        (connection.open_request, connection.respond_at) = (None, None);
        let new_events = state.events.get(known_events..).unwrap_or_default();
        let body =
            json!({"n": state.events.len().max(known_events), "events": new_events}).to_string();
        let response = http::encode_response(200, &[], body.as_bytes(), true);
        if state.mode == FeedMode::Truncating {
            io.write(conn, &response[..response.len() / 2]);
            io.reset(conn);
            self.connections.remove(&conn);
        } else {
            io.write(conn, &response);
        }
    }
}

impl Core for Feed {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, listener } => {
                let connection = Connection {
                    listener,
                    request_text: String::new(),
                    open_request: None,
                    respond_at: None,
                };
                self.connections.insert(conn, connection);
            }
            Event::Bytes { conn, bytes } => self.receive(now, conn, bytes),
            Event::Closed { conn, cause } => {
                if cause == CloseCause::Orderly {
                    io.close(conn);
                }
                self.connections.remove(&conn);
            }
            Event::Connected { .. } | Event::Writable { .. } => {}
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.last_processed = now;
        let conns: Vec<ConnectionId> = self.connections.keys().copied().collect();
        conns
            .into_iter()
            .for_each(|conn| self.respond(now, conn, io));
    }
    fn next_wakeup(&self) -> Option<Micros> {
        let resets =
            self.state.borrow().mode == FeedMode::Resetting && !self.connections.is_empty();
        let must_check = resets
            || self
                .connections
                .values()
                .any(|connection| connection.open_request.is_some());
        // The state is changed by the environment without an event of this core.
        must_check.then_some(self.last_processed + CHECK_INTERVAL)
    }
}
