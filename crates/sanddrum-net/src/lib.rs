//! A *core* is a state machine without I/O: bytes, connection events and the time go in; bytes, connects, closes
//! and the next instant to be woken come out. Two drivers run the same cores: [`EventLoop`] on real sockets and
//! [`VirtualNet`] in virtual time. A driver decides nothing.

mod event_loop;
mod files;
mod link_model;
mod outbox;
mod rng;
mod traffic_observer;
mod virtual_net;

pub use event_loop::{EventLoop, Shutdown};
pub use link_model::{Bend, Links};
pub use outbox::{Outbox, OutboxFull};
pub use rng::Chance;
pub use traffic_observer::{NoTap, Side, Tap};
pub use virtual_net::VirtualNet;

/// Whole microseconds, as an instant of the driver's clock or as a span.
pub type Micros = i64;

/// A connection, as one core knows it. Never used twice by one driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// A core's listening address, counted in the order in which it was given them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Door(pub usize);

/// A core in its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub usize);

/// How the other side, or the network, ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// An orderly end: all that the other side wrote has been delivered.
    InOrder,
    /// Broken: what was on its way is lost.
    Reset,
    /// It never came to be.
    Refused,
}

#[derive(Debug)]
pub enum Event<'a> {
    Accepted {
        conn: Conn,
        door: Door,
    },
    Connected {
        conn: Conn,
    },
    Bytes {
        conn: Conn,
        bytes: &'a [u8],
    },
    /// There is room again after a short write.
    Writable {
        conn: Conn,
    },
    /// The last event of a connection. None follows a core's own `close` or `reset`.
    Closed {
        conn: Conn,
        how: Closed,
    },
}

/// What the other side of a connection has proved about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peer {
    /// The names that it owns.
    pub names: Vec<String>,
    /// The print of its key; empty where it showed none.
    pub key: String,
    /// It was known from before, and its handshake was short.
    pub resumed: bool,
}

/// What a core may ask of its driver.
pub trait Io {
    /// Opens a connection; `Connected` or `Closed` follows.
    fn connect(&mut self, to: &str) -> Conn;
    /// Opens a connection to somebody who has to own this name, where names are verified.
    fn connect_named(&mut self, to: &str, _name: &str) -> Conn {
        self.connect(to)
    }
    /// What the other side of a connection that is up has proved, where anything is proved.
    fn peer(&self, _conn: Conn) -> Option<Peer> {
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
    fn is_held_up(&self) -> bool {
        false
    }
    /// Takes as many bytes as there is room for and says how many; after a short write `Writable` follows. What is
    /// taken may reach the other side; what is not taken never does.
    fn write(&mut self, conn: Conn, bytes: &[u8]) -> usize;
    /// Ends a connection in order: what was taken is still delivered.
    fn close(&mut self, conn: Conn);
    /// Breaks a connection: what is on its way may be lost.
    fn reset(&mut self, conn: Conn);
    /// While paused no `Bytes` come; the other side is slowed down by it.
    fn pause(&mut self, conn: Conn, paused: bool);
    /// Has this core's state kept, in place of what was kept before, whole or not at all.
    fn save(&mut self, state: &[u8]);
    /// Has a line added to this core's audit; what is kept of it is bounded.
    fn audit(&mut self, _line: &str) {}
}

pub trait Core {
    fn start(&mut self, now: Micros, io: &mut dyn Io);
    fn event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io);
    /// All that came in at this instant has been told, or the asked-for instant has come.
    fn turn(&mut self, now: Micros, io: &mut dyn Io);
    /// When to be called again at the latest.
    fn wake(&self) -> Option<Micros>;
    /// A file that the driver watches for this core is there, has changed, or can't be read.
    fn file(&mut self, _now: Micros, _name: &str, _content: Result<&[u8], &str>, _io: &mut dyn Io) {
    }
    /// A connection that is up was made on terms that are in force no more: it is to be replaced when that does no
    /// harm, and at once where the other side is not believed any more (`denied`).
    fn stale(&mut self, _now: Micros, _conn: Conn, _denied: bool, _io: &mut dyn Io) {}
    /// Asked to end: takes nothing new and gets `done` once it owes nothing.
    fn stop(&mut self, _now: Micros, _io: &mut dyn Io) {}
    /// Tells its log how it stands: asked for by SIGUSR1, and at the end.
    fn report(&mut self, _now: Micros) {}
    /// Asked to end, it is still to be told of what connects.
    fn still_listens(&self) -> bool {
        false
    }
    fn done(&self) -> bool {
        false
    }
}

impl<C: Core + ?Sized> Core for Box<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        (**self).start(now, io);
    }
    fn event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        (**self).event(now, event, io);
    }
    fn turn(&mut self, now: Micros, io: &mut dyn Io) {
        (**self).turn(now, io);
    }
    fn wake(&self) -> Option<Micros> {
        (**self).wake()
    }
    fn file(&mut self, now: Micros, name: &str, content: Result<&[u8], &str>, io: &mut dyn Io) {
        (**self).file(now, name, content, io);
    }
    fn stale(&mut self, now: Micros, conn: Conn, denied: bool, io: &mut dyn Io) {
        (**self).stale(now, conn, denied, io);
    }
    fn stop(&mut self, now: Micros, io: &mut dyn Io) {
        (**self).stop(now, io);
    }
    fn report(&mut self, now: Micros) {
        (**self).report(now);
    }
    fn still_listens(&self) -> bool {
        (**self).still_listens()
    }
    fn done(&self) -> bool {
        (**self).done()
    }
}
