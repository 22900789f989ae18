//! A *core* is a state machine without I/O: bytes, connection events and the time go in; bytes, connects, closes
//! and the next instant to be woken come out. Two drivers run the same cores: [`EventLoop`] on real sockets and
//! [`VirtualNet`] in virtual time. A driver decides nothing.

#![allow(clippy::missing_errors_doc, missing_docs)] // unfinished: docs/ROADMAP.md

mod event_loop;
mod files;
mod link_model;
mod outbox;
mod rng;
mod traffic_observer;
mod virtual_net;

pub use event_loop::{EventLoop, Shutdown};
pub use link_model::{LinkFault, LinkModel};
pub use outbox::{Outbox, OutboxFull};
pub use rng::Rng;
pub use traffic_observer::{NullObserver, Side, TrafficObserver};
pub use virtual_net::VirtualNet;

/// Whole microseconds, as an instant of the driver's clock or as a span.
pub type Micros = i64;

/// A connection, as one core knows it. Never used twice by one driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A core's listening address, counted in the order in which it was given them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub usize);

/// A core in its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub usize);

/// How the other side, or the network, ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// An orderly end: all that the other side wrote has been delivered.
    Orderly,
    /// Broken: what was on its way is lost.
    Reset,
    /// It never came to be.
    Refused,
}

#[derive(Debug)]
pub enum Event<'a> {
    Accepted {
        conn: ConnectionId,
        listener: ListenerId,
    },
    Connected {
        conn: ConnectionId,
    },
    Bytes {
        conn: ConnectionId,
        bytes: &'a [u8],
    },
    /// There is room again after a short write.
    Writable {
        conn: ConnectionId,
    },
    /// The last event of a connection. None follows a core's own `close` or `reset`.
    Closed {
        conn: ConnectionId,
        cause: CloseCause,
    },
}

/// What the other side of a connection has proved about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The names that it owns.
    pub names: Vec<String>,
    /// The print of its key; empty where it showed none.
    pub key_fingerprint: String,
    /// It was known from before, and its handshake was short.
    pub resumed: bool,
}

/// What a core may ask of its driver.
pub trait Io {
    /// Opens a connection; `Connected` or `Closed` follows.
    fn connect(&mut self, to: &str) -> ConnectionId;
    /// Opens a connection to somebody who has to own this name, where names are verified.
    fn connect_named(&mut self, to: &str, _name: &str) -> ConnectionId {
        self.connect(to)
    }
    /// What the other side of a connection that is up has proved, where anything is proved.
    fn peer(&self, _conn: ConnectionId) -> Option<PeerIdentity> {
        None
    }
    /// What the machine's wall clock shows as the driver's clock shows `now`: microseconds since 1970. It may be stepped
    /// at any time and by any span, so that it is only of use for dates that others have set; spans and deadlines are
    /// of the driver's clock.
    fn wall_clock(&self, now: Micros) -> Micros {
        now
    }
    /// The earliest instant at which what the core is being told of may have come to this machine. It lies before `now`
    /// where the process was held up and what came meanwhile waited in the kernel's buffers.
    fn earliest_arrival(&self, now: Micros) -> Micros {
        now
    }
    /// Whether so long has passed since the driver last looked for input that what would be written now may be against
    /// what has come meanwhile. A core that is told so may put its writes off to its next turn, which comes after a look.
    fn is_delayed(&self) -> bool {
        false
    }
    /// Takes as many bytes as there is room for and says how many; after a short write `Writable` follows. What is
    /// taken may reach the other side; what is not taken never does.
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize;
    /// Ends a connection in order: what was taken is still delivered.
    fn close(&mut self, conn: ConnectionId);
    /// Breaks a connection: what is on its way may be lost.
    fn reset(&mut self, conn: ConnectionId);
    /// While paused no `Bytes` come; the other side is slowed down by it.
    fn pause(&mut self, conn: ConnectionId, paused: bool);
    /// Has this core's state kept, in place of what was kept before, whole or not at all.
    fn save_state(&mut self, state: &[u8]);
    /// Has a line added to this core's audit; what is kept of it is bounded.
    fn audit(&mut self, _line: &str) {}
}

pub trait Core {
    fn start(&mut self, now: Micros, io: &mut dyn Io);
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io);
    /// All that came in at this instant has been told, or the asked-for instant has come.
    fn process(&mut self, now: Micros, io: &mut dyn Io);
    /// When to be called again at the latest.
    fn next_wakeup(&self) -> Option<Micros>;
    /// A file that the driver watches for this core is there, has changed, or can't be read.
    fn on_file(
        &mut self,
        _now: Micros,
        _name: &str,
        _content: Result<&[u8], &str>,
        _io: &mut dyn Io,
    ) {
    }
    /// A connection that is up was made on terms that are in force no more: it is to be replaced when that does no
    /// harm, and at once where the other side is not believed any more (`denied`).
    fn on_credentials_changed(
        &mut self,
        _now: Micros,
        _conn: ConnectionId,
        _denied: bool,
        _io: &mut dyn Io,
    ) {
    }
    /// Asked to end: takes nothing new and gets `done` once it owes nothing.
    fn shut_down(&mut self, _now: Micros, _io: &mut dyn Io) {}
    /// Tells its log how it stands: asked for by SIGUSR1, and at the end.
    fn log_status(&mut self, _now: Micros) {}
    /// Asked to end, it is still to be told of what connects.
    fn accepts_while_draining(&self) -> bool {
        false
    }
    fn is_done(&self) -> bool {
        false
    }
}

impl<C: Core + ?Sized> Core for Box<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        (**self).start(now, io);
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        (**self).on_event(now, event, io);
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        (**self).process(now, io);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        (**self).next_wakeup()
    }
    fn on_file(&mut self, now: Micros, name: &str, content: Result<&[u8], &str>, io: &mut dyn Io) {
        (**self).on_file(now, name, content, io);
    }
    fn on_credentials_changed(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        denied: bool,
        io: &mut dyn Io,
    ) {
        (**self).on_credentials_changed(now, conn, denied, io);
    }
    fn shut_down(&mut self, now: Micros, io: &mut dyn Io) {
        (**self).shut_down(now, io);
    }
    fn log_status(&mut self, now: Micros) {
        (**self).log_status(now);
    }
    fn accepts_while_draining(&self) -> bool {
        (**self).accepts_while_draining()
    }
    fn is_done(&self) -> bool {
        (**self).is_done()
    }
}
