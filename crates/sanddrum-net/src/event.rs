//! Identifiers, and the events that a driver delivers to its cores.

/// Microseconds: an instant of the driver's clock, or a duration.
pub type Micros = i64;

/// Identifies one core's end of a connection. A driver never reuses an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The index of one of a core's listeners, in the order in which they were passed to the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub usize);

/// The index of a core in its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub usize);

/// How the peer or the network ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The peer closed it. All data that the peer wrote has been delivered.
    Orderly,
    /// It was reset. Data in flight is lost.
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
    /// The connection accepts data again after a short write.
    Writable {
        /// The connection.
        conn: ConnectionId,
    },
    /// The connection has ended. No further event is delivered for it. After the core itself has called `close` or
    /// `reset`, not even this one is.
    Closed {
        /// The connection.
        conn: ConnectionId,
        /// How it ended.
        cause: CloseCause,
    },
}
