//! Fault injection for tests and scenarios.

use super::{FaultyLink, Message, VirtualNet, VirtualSocket};
use crate::{CloseCause, ConnectionId, HostId, LinkFault};

impl VirtualNet {
    /// Sets or removes the fault of the link from one host to another. Messages that the previous fault buffered are
    /// sent now.
    pub fn set_link_fault(&mut self, from: HostId, to: HostId, fault: Option<LinkFault>) {
        let buffered = self
            .faulty_links
            .remove(&(from, to))
            .map_or(Vec::new(), |link| link.buffered);
        if let Some(fault) = fault {
            let buffered = Vec::new();
            self.faulty_links
                .insert((from, to), FaultyLink { fault, buffered });
        }
        for message in buffered {
            self.send(from, Some(to), 0, message);
        }
    }
    /// Resets every connection between two hosts, at both ends.
    pub fn reset_between(&mut self, one: HostId, other: HostId) {
        let host_of = |conn: &ConnectionId| self.sockets.get(conn).map(|socket| socket.host);
        let is_between = |socket: &VirtualSocket| {
            socket.host == one
                && socket
                    .peer
                    .is_some_and(|peer| host_of(&peer) == Some(other))
        };
        let connections: Vec<ConnectionId> = self
            .sockets
            .iter()
            .filter(|(_, socket)| is_between(socket))
            .map(|(conn, _)| *conn)
            .collect();
        for conn in connections {
            let peer = self.sockets.get(&conn).and_then(|socket| socket.peer);
            for conn in [Some(conn), peer].into_iter().flatten() {
                let cause = CloseCause::Reset;
                self.enqueue(self.now, Message::Closed { conn, cause });
            }
        }
    }
    /// Resets each current connection of a host at its next write, after half of the data.
    pub fn reset_on_next_write(&mut self, host: HostId) {
        let connections = self.hosts.get(host.0).map(|host| &host.connections);
        self.reset_on_write
            .extend(connections.into_iter().flatten());
    }
}
