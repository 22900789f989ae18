use crate::{ConnectionId, HostId, Micros};

/// Which end of a connection a core holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Connected,
    Accepted,
}

/// Sees the bytes where they cross a socket, or a virtual link, at one core's end. It changes nothing.
pub trait TrafficObserver {
    fn opened(&mut self, now: Micros, host: HostId, conn: ConnectionId, side: Side, to: &str);
    fn received(&mut self, now: Micros, host: HostId, conn: ConnectionId, bytes: &[u8]);
    fn sent(&mut self, now: Micros, host: HostId, conn: ConnectionId, bytes: &[u8]);
    fn closed(&mut self, now: Micros, host: HostId, conn: ConnectionId);
}

/// Sees nothing.
pub struct NullObserver;

impl TrafficObserver for NullObserver {
    fn opened(&mut self, _: Micros, _: HostId, _: ConnectionId, _: Side, _: &str) {}
    fn received(&mut self, _: Micros, _: HostId, _: ConnectionId, _: &[u8]) {}
    fn sent(&mut self, _: Micros, _: HostId, _: ConnectionId, _: &[u8]) {}
    fn closed(&mut self, _: Micros, _: HostId, _: ConnectionId) {}
}
