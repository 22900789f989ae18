//! Faults of the links to a server, as the server plays them on its connections.

use super::Server;
use crate::soak::link_faults::{ConnectionEnd, Hold};
use sanddrum_net::{ConnectionId, Io, Micros};

impl Server {
    /// Stops reading a connection for a while.
    pub(super) fn hold(&mut self, now: Micros, conn: ConnectionId, delay: Micros, io: &mut dyn Io) {
        let arrived_since = self.control.borrow().arrived_since(now);
        let peer = self.peers.get_mut(&conn);
        if let Some(peer) = peer.filter(|peer| peer.held.is_none()) {
            let from = arrived_since.unwrap_or(now);
            let mut held = Hold::new(from, now + delay, &mut self.rng);
            held.is_of_freeze = arrived_since.is_some();
            peer.held = Some(held);
            io.pause(conn, true);
        }
    }
    /// Reads the connections whose links hold nothing back any more.
    pub(super) fn release_held(&mut self, now: Micros, io: &mut dyn Io) {
        let mut released = Vec::new();
        for (conn, peer) in &mut self.peers {
            let is_released = peer.held.as_mut().is_some_and(|held| held.release(now));
            released.extend(is_released.then_some(*conn));
            peer.held = peer.held.filter(|held| !held.is_over(now));
        }
        for conn in released {
            io.pause(conn, false);
            self.read_frames(now, conn, io);
        }
    }
    /// Ends a connection if its link does so now. Returns whether it did.
    pub(super) fn end_by_link(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) -> bool {
        let link = self.control.borrow().link;
        let Some(end) = link.end_of_connection(&mut self.rng) else {
            return false;
        };
        match end {
            ConnectionEnd::Close => io.close(conn),
            ConnectionEnd::Reset => io.reset(conn),
        }
        self.end_connection(now, conn);
        true
    }
}
