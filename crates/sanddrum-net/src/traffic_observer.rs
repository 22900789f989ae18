//! Observation of the traffic that cores send and receive.

use crate::{ConnectionId, HostId, Micros};

/// Which side opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The observed core opened it.
    Connected,
    /// The peer opened it.
    Accepted,
}

/// Observes the bytes that cores send and receive, at their sockets or their ends of virtual links. An observer must
/// not alter the traffic.
pub trait TrafficObserver {
    /// A connection was accepted, or is being opened to this address.
    fn opened(&mut self, now: Micros, host: HostId, conn: ConnectionId, side: Side, to: &str);
    /// Bytes were received.
    fn received(&mut self, now: Micros, host: HostId, conn: ConnectionId, bytes: &[u8]);
    /// The connection accepted these bytes for sending.
    fn sent(&mut self, now: Micros, host: HostId, conn: ConnectionId, bytes: &[u8]);
    /// The connection ended, whichever side ended it.
    fn closed(&mut self, now: Micros, host: HostId, conn: ConnectionId);
}

/// Ignores all traffic.
pub struct NullObserver;

impl TrafficObserver for NullObserver {
    fn opened(&mut self, _: Micros, _: HostId, _: ConnectionId, _: Side, _: &str) {}
    fn received(&mut self, _: Micros, _: HostId, _: ConnectionId, _: &[u8]) {}
    fn sent(&mut self, _: Micros, _: HostId, _: ConnectionId, _: &[u8]) {}
    fn closed(&mut self, _: Micros, _: HostId, _: ConnectionId) {}
}
