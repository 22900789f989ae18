use crate::{Conn, HostId, Micros};

/// Which end of a connection a core holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Connected,
    Accepted,
}

/// Sees the bytes where they cross a socket, or a virtual link, at one core's end. It changes nothing.
pub trait Tap {
    fn opened(&mut self, now: Micros, host: HostId, conn: Conn, side: Side, to: &str);
    fn came(&mut self, now: Micros, host: HostId, conn: Conn, bytes: &[u8]);
    fn went(&mut self, now: Micros, host: HostId, conn: Conn, bytes: &[u8]);
    fn ended(&mut self, now: Micros, host: HostId, conn: Conn);
}

/// Sees nothing.
pub struct NoTap;

impl Tap for NoTap {
    fn opened(&mut self, _: Micros, _: HostId, _: Conn, _: Side, _: &str) {}
    fn came(&mut self, _: Micros, _: HostId, _: Conn, _: &[u8]) {}
    fn went(&mut self, _: Micros, _: HostId, _: Conn, _: &[u8]) {}
    fn ended(&mut self, _: Micros, _: HostId, _: Conn) {}
}
