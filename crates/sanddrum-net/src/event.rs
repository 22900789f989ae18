//! Ids, and the events that a driver gives to its cores.

/// Microseconds: an instant of the driver's clock, or a duration.
pub type Micros = i64;

/// One core's end of a connection; never reused by a driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The index of one of a core's listeners, in the order in which the driver was given them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub usize);

/// The index of a core in its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub usize);

/// How the peer or the network ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The peer closed it: all that it wrote has been delivered.
    Orderly,
    /// It was reset: data in flight is lost.
    Reset,
    /// It was never established.
    Refused,
}

/// A connection event.
#[derive(Debug)]
pub enum Event<'a> {
    /// A peer has connected to a listener.
    Accepted {
        /// The new connection.
        conn: ConnectionId,
        /// The listener that accepted it.
        listener: ListenerId,
    },
    /// A connection that the core opened is established.
    Connected {
        /// The connection.
        conn: ConnectionId,
    },
    /// Data has arrived.
    Bytes {
        /// The connection.
        conn: ConnectionId,
        /// The data; never empty.
        bytes: &'a [u8],
    },
    /// After a short write the connection takes data again.
    Writable {
        /// The connection.
        conn: ConnectionId,
    },
    /// The last event of a connection. There is none after the core's own `close` or `reset`.
    Closed {
        /// The connection.
        conn: ConnectionId,
        /// How it ended.
        cause: CloseCause,
    },
}
