//! TLS 1.3 (RFC 8446) as a layer around a core. The core inside sees plain bytes and connections that are up once their
//! handshake is done; the driver outside sees ciphertext. It runs on the event loop and on the virtual network alike.
//!
//! What the layer takes from its core may reach the other side, as a driver's `write` promises. A connection whose
//! handshake fails never was: its core hears *refused*. One that ends without a close-notify was cut short, and its core
//! hears *reset*, whatever the socket said (RFC 8446, section 6.1).

mod end;
mod terms;

use end::{End, Step};
pub use terms::{Terms, TermsError};

use sanddrum_net::{Conn, Core, Door, Event, Io, Micros};
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
    /// Sessions that are remembered to be taken up again, in all.
    pub sessions: usize,
}

/// A core with TLS on its doors and on the connections that it opens by name.
pub struct Layer<C> {
    core: C,
    inner: Inner,
    files: Files,
}

/// The files that a driver may watch for a layer, by the names under which they are told: PEM texts of the trusted
/// roots, of this side's certificate chain, and of its key.
pub const ROOTS: &str = "tls-roots";
pub const CHAIN: &str = "tls-certificate";
pub const KEY: &str = "tls-key";

/// What was last read of each.
#[derive(Default)]
struct Files {
    roots: Option<Vec<u8>>,
    chain: Option<Vec<u8>>,
    key: Option<Vec<u8>>,
}

struct Inner {
    terms: Terms,
    bounds: Bounds,
    ends: BTreeMap<Conn, End>,
    due: BTreeSet<(Micros, Conn)>,
    /// Ends that may have news for the core, looked at once it is not being called.
    news: BTreeSet<Conn>,
    handshakes: usize,
    plain_doors: bool,
    callers: bool,
}

impl<C: Core> Layer<C> {
    pub fn new(core: C, terms: Terms, bounds: Bounds) -> Self {
        let (ends, due, news) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        let (handshakes, plain_doors, callers) = (0, false, false);
        let inner = Inner { terms, bounds, ends, due, news, handshakes, plain_doors, callers };
        Layer { core, inner, files: Files::default() }
    }
    /// Doors stay plain: TLS is for what the core calls by name.
    pub fn with_plain_doors(mut self) -> Self {
        self.inner.plain_doors = true;
        self
    }
    /// Terms that are made of watched files want callers to show certificates.
    pub fn with_verified_callers(mut self) -> Self {
        self.inner.callers = true;
        self
    }
    /// A watched file came. Files are replaced one after the other, so what does not go together, is torn or can't be
    /// read leaves the last good terms in force; the next file may make it whole.
    fn take_file(&mut self, name: &str, content: Result<&[u8], &str>) {
        let place = match name {
            ROOTS => &mut self.files.roots,
            CHAIN => &mut self.files.chain,
            _ => &mut self.files.key,
        };
        match content {
            Ok(bytes) => *place = Some(bytes.to_vec()),
            Err(why) => {
                return tracing::error!(reason = "tls-file", name, why, "the last good terms stay in force")
            }
        }
        let Some(roots) = &self.files.roots else { return };
        let own = self.files.chain.as_deref().zip(self.files.key.as_deref());
        // A side that shows a certificate does not go on without one.
        let shows =
            self.inner.terms.shows_certificate() || self.files.chain.is_some() || self.files.key.is_some();
        if own.is_none() && shows {
            return;
        }
        match Terms::from_pem(roots, own, self.inner.callers, self.inner.bounds.sessions) {
            Ok(terms) => {
                tracing::info!(name, "new connections are made on new terms; those that are up go on");
                self.inner.terms = terms;
            }
            Err(e) => {
                tracing::error!(reason = "tls-terms", error = %e, name, "the last good terms stay in force")
            }
        }
    }
    /// New connections are made on these terms; those that are up go on as they are.
    pub fn set_terms(&mut self, terms: Terms) {
        self.inner.terms = terms;
    }
    /// Handshakes with callers that are under way.
    pub fn handshakes(&self) -> usize {
        self.inner.handshakes
    }

    fn tell(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        self.core.event(now, event, &mut Inside { inner: &mut self.inner, io, now });
    }
    /// Carries what an end has for its core, until there is nothing more.
    fn settle(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some(conn) = self.inner.news.pop_first() {
            while let Some(step) = self.inner.ends.get_mut(&conn).and_then(|end| end.step(conn, io)) {
                match step {
                    Step::Up(door) => {
                        self.inner.handshake_over(conn);
                        match door {
                            Some(door) => self.tell(now, Event::Accepted { conn, door }, io),
                            None => self.tell(now, Event::Connected { conn }, io),
                        }
                    }
                    Step::Bytes(bytes) => self.tell(now, Event::Bytes { conn, bytes: &bytes }, io),
                    Step::Room => self.tell(now, Event::Writable { conn }, io),
                    Step::Over { how, tells, why } => {
                        self.inner.handshake_over(conn);
                        if let Some(why) = why {
                            tracing::warn!(reason = "tls", why, "a connection is ended");
                        }
                        self.inner.ends.remove(&conn);
                        if tells {
                            self.tell(now, Event::Closed { conn, how }, io);
                        }
                    }
                }
            }
        }
    }
}

impl Inner {
    fn handshake_over(&mut self, conn: Conn) {
        if let Some(end) = self.ends.get_mut(&conn).filter(|end| end.counts) {
            end.counts = false;
            self.handshakes -= 1;
        }
    }
    fn begin(&mut self, now: Micros, conn: Conn, end: End) {
        self.ends.insert(conn, end);
        self.due.insert((now + self.bounds.handshake_time_out, conn));
    }
    fn accept(&mut self, now: Micros, conn: Conn, door: Door, io: &mut dyn Io) {
        if self.handshakes >= self.bounds.handshakes {
            tracing::warn!(
                reason = "handshakes",
                "a caller is closed at once: too many handshakes are under way"
            );
            return io.reset(conn);
        }
        match self.terms.serve(now) {
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
        self.core.start(now, &mut Inside { inner: &mut self.inner, io, now });
        self.settle(now, io);
    }
    fn event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        self.inner.terms.set_time(now);
        let conn = match event {
            Event::Accepted { .. } if self.inner.plain_doors => return self.tell(now, event, io),
            Event::Accepted { conn, door } => {
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
            Event::Closed { how, .. } => end.closed(how),
        }
        self.inner.news.insert(conn);
        self.settle(now, io);
    }
    fn turn(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some((at, conn)) = self.inner.due.first().copied().filter(|(at, _)| *at <= now) {
            self.inner.due.remove(&(at, conn));
            if let Some(end) = self.inner.ends.get_mut(&conn) {
                end.is_late();
                self.inner.news.insert(conn);
            }
        }
        self.settle(now, io);
        self.core.turn(now, &mut Inside { inner: &mut self.inner, io, now });
        self.settle(now, io);
    }
    fn wake(&self) -> Option<Micros> {
        self.core.wake().into_iter().chain(self.inner.due.first().map(|(at, _)| *at)).min()
    }
    fn file(&mut self, now: Micros, name: &str, content: Result<&[u8], &str>, io: &mut dyn Io) {
        if [ROOTS, CHAIN, KEY].contains(&name) {
            return self.take_file(name, content);
        }
        self.core.file(now, name, content, &mut Inside { inner: &mut self.inner, io, now });
        self.settle(now, io);
    }
    fn stop(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.stop(now, &mut Inside { inner: &mut self.inner, io, now });
        self.settle(now, io);
    }
    fn done(&self) -> bool {
        self.core.done() && self.inner.ends.values().all(End::is_flushed)
    }
}

/// The core's own view of its driver.
struct Inside<'a> {
    inner: &'a mut Inner,
    io: &'a mut dyn Io,
    now: Micros,
}

impl Io for Inside<'_> {
    fn connect(&mut self, to: &str) -> Conn {
        self.io.connect(to)
    }
    fn connect_named(&mut self, to: &str, name: &str) -> Conn {
        let conn = self.io.connect(to);
        let end = match self.inner.terms.call(self.now, name) {
            Ok(tls) => End::called(tls, name, self.inner.bounds.waiting),
            Err(e) => End::never(format!("{name}: {e}")),
        };
        self.inner.begin(self.now, conn, end);
        self.inner.news.insert(conn);
        conn
    }
    fn write(&mut self, conn: Conn, bytes: &[u8]) -> usize {
        match self.inner.ends.get_mut(&conn) {
            Some(end) => end.write(conn, bytes, self.io),
            None => self.io.write(conn, bytes),
        }
    }
    fn close(&mut self, conn: Conn) {
        match self.inner.ends.get_mut(&conn) {
            Some(end) => {
                end.close();
                self.inner.news.insert(conn);
            }
            None => self.io.close(conn),
        }
    }
    fn reset(&mut self, conn: Conn) {
        self.inner.handshake_over(conn);
        self.inner.ends.remove(&conn);
        self.io.reset(conn);
    }
    fn pause(&mut self, conn: Conn, paused: bool) {
        self.io.pause(conn, paused);
    }
    fn save(&mut self, state: &[u8]) {
        self.io.save(state);
    }
    fn audit(&mut self, line: &str) {
        self.io.audit(line);
    }
}
