//! TLS 1.3 (RFC 8446) as a layer around a core. The core inside sees plain bytes and connections that are up once their
//! handshake is done; the driver outside sees ciphertext. It runs on the event loop and on the virtual network alike.
//!
//! What the layer takes from its core may reach the other side, as a driver's `write` promises. A connection whose
//! handshake fails never was: its core hears *refused*. One that ends without a close-notify was cut short, and its core
//! hears *reset*, whatever the socket said (RFC 8446, section 6.1).

mod certificates;
mod config;
mod role;
mod session;
mod verify;

pub use certificates::{describe, read_denied, serial, Described, KeyPrint, Papers, TermsError};
pub use config::{Asks, Expiry, Rules, Terms};
use role::Took;
pub use role::{Side, CALL_FILES, DOOR_FILES};
use session::{End, Step};
pub use verify::Limited;

use sanddrum_net::{ConnectionId, Core, Event, FileError, Io, ListenerId, Micros, PeerIdentity};
use std::collections::{BTreeMap, BTreeSet};

/// Bounds on handshakes and on what waits for a socket.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A handshake that is not done by then is given up.
    pub handshake_time_out: Micros,
    /// Handshakes under way with callers; more are closed at once.
    pub handshakes: usize,
    /// Ciphertext that waits for one socket before its core has to.
    pub waiting: usize,
    /// From so long before something ends on there are warnings.
    pub warn_ahead: Micros,
}

/// A core with TLS on its doors, on the connections that it opens by name, or on both.
pub struct Layer<C> {
    core: C,
    inner: Inner,
}

struct Inner {
    calls: Option<Side>,
    doors: Option<Side>,
    bounds: Bounds,
    ends: BTreeMap<ConnectionId, End>,
    due: BTreeSet<(Micros, ConnectionId)>,
    /// Ends that may have news for the core, looked at once it is not being called.
    news: BTreeSet<ConnectionId>,
    /// Made on terms that are not in force any more, and not judged by the new ones yet.
    stale: BTreeSet<ConnectionId>,
    handshakes: usize,
    look_at_ends: Micros,
}

/// Connections that are judged anew in one turn after a change of terms, so that sockets are served in between.
const JUDGED_A_TURN: usize = 64;
/// How often it is looked what ends soon.
const LOOK_EVERY: Micros = 3_600_000_000;

impl<C: Core> Layer<C> {
    /// A layer around a core, with TLS on none of its connections yet.
    pub fn new(core: C, bounds: Bounds) -> Self {
        let (ends, due, news, stale) = (
            BTreeMap::new(),
            BTreeSet::new(),
            BTreeSet::new(),
            BTreeSet::new(),
        );
        let (calls, doors) = (None, None);
        let inner = Inner {
            calls,
            doors,
            bounds,
            ends,
            due,
            news,
            stale,
            handshakes: 0,
            look_at_ends: 0,
        };
        Layer { core, inner }
    }
    /// Speaks TLS to whom the core calls by name.
    pub fn with_calls(mut self, side: Side) -> Self {
        self.inner.calls = Some(side);
        self
    }
    /// Speaks TLS with whom the core's doors accept.
    pub fn with_doors(mut self, side: Side) -> Self {
        self.inner.doors = Some(side);
        self
    }

    /// A watched file came. What is not good leaves the last good terms in force; the next file may make it whole.
    fn take_file(&mut self, now: Micros, name: &str, content: Result<&[u8], &FileError>) -> bool {
        let inner = &mut self.inner;
        let place = |names: [&str; 5]| names.iter().position(|n| *n == name);
        let (side, file, accepted) = match (place(CALL_FILES), place(DOOR_FILES)) {
            (Some(file), _) => (&mut inner.calls, file, false),
            (_, Some(file)) => (&mut inner.doors, file, true),
            _ => return false,
        };
        let Some(side) = side else { return true };
        match side.take(now, file, content) {
            Ok(Took::Nothing) => {}
            Ok(Took::Half) => {
                tracing::warn!(
                    reason = "tls-half",
                    name,
                    "the other file of the pair is waited for; the last good terms stay in force"
                );
            }
            Ok(Took::New) => {
                tracing::info!(
                    name,
                    "new connections are made on new terms; jobs on old ones end there"
                );
                let old = inner
                    .ends
                    .iter()
                    .filter(|(_, end)| end.is_up() && end.is_accepted() == accepted);
                inner.stale.extend(old.map(|(conn, _)| *conn));
                inner.look_at_ends = 0;
            }
            Err(e) => {
                metrics::counter!("sanddrum_tls_files_refused_total", "file" => name.to_string())
                    .increment(1);
                tracing::error!(reason = "tls-terms", error = %e, name, "the last good terms stay in force");
            }
        }
        true
    }

    /// Tells the core which connections were made on terms that are past, and whether it would be made on the new ones.
    fn judge_stale(&mut self, now: Micros, io: &mut dyn Io) {
        for _ in 0..JUDGED_A_TURN {
            let Some(conn) = self.inner.stale.pop_first() else {
                return;
            };
            let Some(end) = self.inner.ends.get(&conn).filter(|end| end.is_up()) else {
                continue;
            };
            let side = if end.is_accepted() {
                &self.inner.doors
            } else {
                &self.inner.calls
            };
            let judged = side.as_ref().map(|side| end.judge(now, side.terms()));
            let denied = match judged {
                Some(Err(why)) => {
                    tracing::warn!(reason = "tls-denied", name = end.name(), %why, "a peer is not believed any more");
                    true
                }
                _ => false,
            };
            self.core.on_credentials_changed(
                now,
                conn,
                denied,
                &mut Inside {
                    inner: &mut self.inner,
                    io,
                    now,
                },
            );
        }
    }

    fn look_at_ends(&mut self, now: Micros) {
        if now < self.inner.look_at_ends {
            return;
        }
        self.inner.look_at_ends = now + LOOK_EVERY;
        for (side, what) in [(&self.inner.calls, "calls"), (&self.inner.doors, "door")] {
            let Some(side) = side else { continue };
            for Expiry { what: of, at } in side.terms().expiries() {
                let left = (at - now) / 1_000_000;
                metrics::gauge!("sanddrum_tls_ends_in_seconds", "side" => what, "of" => of.clone())
                    .set(left as f64);
                if at - now < self.inner.bounds.warn_ahead {
                    tracing::warn!(
                        reason = "tls-ends",
                        side = what,
                        of,
                        hours = left / 3600,
                        "this ends soon, or has"
                    );
                }
            }
        }
    }

    fn tell(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        self.core.on_event(
            now,
            event,
            &mut Inside {
                inner: &mut self.inner,
                io,
                now,
            },
        );
    }
    /// Carries what an end has for its core, until there is nothing more.
    fn settle(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some(conn) = self.inner.news.pop_first() {
            while let Some(step) = self
                .inner
                .ends
                .get_mut(&conn)
                .and_then(|end| end.step(conn, io))
            {
                match step {
                    Step::Up(door) => {
                        self.inner.handshake_over(conn);
                        let resumed = self.inner.ends.get(&conn).is_some_and(End::is_resumed);
                        let kind = if resumed { "resumed" } else { "full" };
                        let with = if door.is_some() { "callers" } else { "workers" };
                        metrics::counter!("sanddrum_handshakes_total", "with" => with, "kind" => kind)
                            .increment(1);
                        match door {
                            Some(door) => self.tell(
                                now,
                                Event::Accepted {
                                    conn,
                                    listener: door,
                                },
                                io,
                            ),
                            None => self.tell(now, Event::Connected { conn }, io),
                        }
                    }
                    Step::Bytes(bytes) => self.tell(
                        now,
                        Event::Bytes {
                            conn,
                            bytes: &bytes,
                        },
                        io,
                    ),
                    Step::Room => self.tell(now, Event::Writable { conn }, io),
                    Step::Over { how, tells, why } => {
                        self.inner.handshake_over(conn);
                        if let Some(why) = why {
                            metrics::counter!("sanddrum_tls_ended_total").increment(1);
                            tracing::warn!(reason = "tls", why, "a connection is ended");
                        }
                        self.inner.ends.remove(&conn);
                        if tells {
                            self.tell(now, Event::Closed { conn, cause: how }, io);
                        }
                    }
                }
            }
        }
    }
}

impl Inner {
    fn handshake_over(&mut self, conn: ConnectionId) {
        if let Some(end) = self.ends.get_mut(&conn).filter(|end| end.counts) {
            end.counts = false;
            self.handshakes -= 1;
        }
    }
    fn begin(&mut self, now: Micros, conn: ConnectionId, end: End) {
        self.ends.insert(conn, end);
        self.due
            .insert((now + self.bounds.handshake_time_out, conn));
    }
    fn accept(&mut self, now: Micros, conn: ConnectionId, door: ListenerId, io: &mut dyn Io) {
        if self.handshakes >= self.bounds.handshakes {
            tracing::warn!(
                reason = "handshakes",
                "a caller is closed at once: too many handshakes are under way"
            );
            return io.reset(conn);
        }
        let Some(side) = &self.doors else { return };
        match side.terms().serve(now) {
            Ok(tls) => {
                self.handshakes += 1;
                self.begin(now, conn, End::accepted(tls, door, self.bounds.waiting));
            }
            Err(e) => {
                tracing::error!(reason = "tls-terms", error = %e, "no caller can be served");
                io.reset(conn);
            }
        }
    }
}

impl<C: Core> Core for Layer<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.start(
            now,
            &mut Inside {
                inner: &mut self.inner,
                io,
                now,
            },
        );
        self.settle(now, io);
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        for side in self.inner.calls.iter().chain(&self.inner.doors) {
            side.terms().set_time(now);
        }
        let conn = match event {
            Event::Accepted { .. } if self.inner.doors.is_none() => {
                return self.tell(now, event, io)
            }
            Event::Accepted {
                conn,
                listener: door,
            } => {
                self.inner.accept(now, conn, door, io);
                conn
            }
            Event::Connected { conn }
            | Event::Bytes { conn, .. }
            | Event::Writable { conn }
            | Event::Closed { conn, .. } => conn,
        };
        let Some(end) = self.inner.ends.get_mut(&conn) else {
            // A connection without TLS, opened without a name.
            if !matches!(event, Event::Accepted { .. }) {
                self.tell(now, event, io);
            }
            return;
        };
        match event {
            Event::Accepted { .. } | Event::Connected { .. } => end.connected(),
            Event::Bytes { bytes, .. } => end.came(bytes),
            Event::Writable { .. } => end.has_room(),
            Event::Closed { cause: how, .. } => end.closed(how),
        }
        self.inner.news.insert(conn);
        self.settle(now, io);
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some((at, conn)) = self.inner.due.first().copied().filter(|(at, _)| *at <= now) {
            self.inner.due.remove(&(at, conn));
            if let Some(end) = self.inner.ends.get_mut(&conn) {
                end.is_late();
                self.inner.news.insert(conn);
            }
        }
        self.settle(now, io);
        self.judge_stale(now, io);
        self.look_at_ends(now);
        self.settle(now, io);
        self.core.process(
            now,
            &mut Inside {
                inner: &mut self.inner,
                io,
                now,
            },
        );
        self.settle(now, io);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        let due = self.inner.due.first().map(|(at, _)| *at);
        let stale = (!self.inner.stale.is_empty()).then_some(0);
        self.core
            .next_wakeup()
            .into_iter()
            .chain(due)
            .chain(stale)
            .chain([self.inner.look_at_ends])
            .min()
    }
    fn on_file(
        &mut self,
        now: Micros,
        name: &str,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        if self.take_file(now, name, content) {
            return;
        }
        self.core.on_file(
            now,
            name,
            content,
            &mut Inside {
                inner: &mut self.inner,
                io,
                now,
            },
        );
        self.settle(now, io);
    }
    fn on_credentials_changed(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        denied: bool,
        io: &mut dyn Io,
    ) {
        self.core.on_credentials_changed(
            now,
            conn,
            denied,
            &mut Inside {
                inner: &mut self.inner,
                io,
                now,
            },
        );
        self.settle(now, io);
    }
    fn shut_down(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.shut_down(
            now,
            &mut Inside {
                inner: &mut self.inner,
                io,
                now,
            },
        );
        self.settle(now, io);
    }
    fn log_status(&mut self, now: Micros) {
        self.core.log_status(now);
    }
    fn is_done(&self) -> bool {
        self.core.is_done() && self.inner.ends.values().all(End::is_flushed)
    }
}

/// The core's own view of its driver.
struct Inside<'a> {
    inner: &'a mut Inner,
    io: &'a mut dyn Io,
    now: Micros,
}

impl Io for Inside<'_> {
    fn connect(&mut self, to: &str) -> ConnectionId {
        self.io.connect(to)
    }
    fn connect_named(&mut self, to: &str, name: &str) -> ConnectionId {
        let Some(side) = &self.inner.calls else {
            return self.io.connect_named(to, name);
        };
        let conn = self.io.connect(to);
        let end = match side.terms().call(self.now, name) {
            Ok(tls) => End::called(tls, name, self.inner.bounds.waiting),
            Err(e) => End::never(format!("{name}: {e}")),
        };
        self.inner.begin(self.now, conn, end);
        self.inner.news.insert(conn);
        conn
    }
    fn peer(&self, conn: ConnectionId) -> Option<PeerIdentity> {
        match self.inner.ends.get(&conn) {
            Some(end) => Some(end.peer()),
            None => self.io.peer(conn),
        }
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
        match self.inner.ends.get_mut(&conn) {
            Some(end) => {
                let taken = end.write(conn, bytes, self.io);
                // The socket may have taken it all already, and will then tell of no room by itself.
                if taken < bytes.len() {
                    self.inner.news.insert(conn);
                }
                taken
            }
            None => self.io.write(conn, bytes),
        }
    }
    fn close(&mut self, conn: ConnectionId) {
        match self.inner.ends.get_mut(&conn) {
            Some(end) => {
                end.close();
                self.inner.news.insert(conn);
            }
            None => self.io.close(conn),
        }
    }
    fn reset(&mut self, conn: ConnectionId) {
        self.inner.handshake_over(conn);
        self.inner.ends.remove(&conn);
        self.io.reset(conn);
    }
    fn pause(&mut self, conn: ConnectionId, paused: bool) {
        self.io.pause(conn, paused);
    }
    fn save_state(&mut self, state: &[u8]) {
        self.io.save_state(state);
    }
    fn save_state_later(&mut self, state: &[u8]) {
        self.io.save_state_later(state);
    }
    fn audit(&mut self, line: &str) {
        self.io.audit(line);
    }
}
