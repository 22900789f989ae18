//! Observation of the traffic at the cores' ends of their connections.

use crate::{ConnectionId, HostId, Micros};

/// Which side opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The observed core did.
    Connected,
    /// The peer did.
    Accepted,
}

/// Observes the bytes where they cross a socket or a virtual link at one core's end. It must not change them.
pub trait TrafficObserver {
    /// A connection was accepted, or is being opened to this address.
    fn opened(&mut self, now: Micros, host: HostId, conn: ConnectionId, side: Side, to: &str);
    /// Bytes were received.
    fn received(&mut self, now: Micros, host: HostId, conn: ConnectionId, bytes: &[u8]);
    /// The connection took these bytes.
    fn sent(&mut self, now: Micros, host: HostId, conn: ConnectionId, bytes: &[u8]);
    /// The connection ended, at either end.
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
