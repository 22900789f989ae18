//! The virtual network's implementation of [`Io`].

use super::{Message, VirtualNet};
use crate::{CloseCause, ConnectionId, HostId, Io, Side};

/// The virtual network's [`Io`] for the core of one host.
pub(super) struct VirtualIo<'a> {
    pub net: &'a mut VirtualNet,
    pub host: HostId,
}

impl VirtualIo<'_> {
    /// Writes half of the bytes and resets the connection at both ends.
    fn write_half_and_reset(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        let written = self.write(conn, &bytes[..bytes.len() / 2]);
        let net = &mut *self.net;
        let cause = CloseCause::Reset;
        let peer = net.sockets.get(&conn).and_then(|socket| socket.peer);
        if let Some(peer) = peer {
            net.send_on(conn, Message::Closed { conn: peer, cause });
        }
        net.enqueue(net.now, Message::Closed { conn, cause });
        written
    }
}

impl Io for VirtualIo<'_> {
    fn connect(&mut self, to: &str) -> ConnectionId {
        let conn = self.net.open_socket(self.host, None);
        let now = self.net.now;
        self.net
            .observer
            .opened(now, self.host, conn, Side::Connected, to);
        let server = self.net.listeners.get(to).map(|(host, _)| *host);
        let request = Message::Connect {
            from: conn,
            to: to.to_string(),
        };
        self.net.send(self.host, server, 0, request);
        conn
    }
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        if bytes.len() > 1 && self.net.reset_on_write.remove(&conn) {
            return self.write_half_and_reset(conn, bytes);
        }
        let net = &mut *self.net;
        let window = net.links.window_bytes;
        let Some(socket) = net.sockets.get_mut(&conn) else {
            return 0;
        };
        let Some(peer) = socket.peer else { return 0 };
        let accepted = bytes
            .len()
            .min(window.saturating_sub(socket.bytes_in_flight));
        socket.bytes_in_flight += accepted;
        socket.write_was_short = accepted < bytes.len();
        let bytes = &bytes[..accepted];
        net.observer.sent(net.now, self.host, conn, bytes);
        let is_split = accepted > 1 && net.rng.random_bool(net.links.split_probability);
        let split_at = if is_split {
            1 + net.rng.index(accepted - 1)
        } else {
            accepted
        };
        let (first, second) = bytes.split_at(split_at);
        for part in [first, second] {
            if !part.is_empty() {
                let bytes = part.to_vec();
                net.send_on(conn, Message::Bytes { conn: peer, bytes });
            }
        }
        accepted
    }
    fn close(&mut self, conn: ConnectionId) {
        self.net.close_socket(conn, CloseCause::Orderly);
    }
    fn finish_writing(&mut self, conn: ConnectionId) {
        let peer = self.net.sockets.get(&conn).and_then(|socket| socket.peer);
        if let Some(peer) = peer {
            let cause = CloseCause::Orderly;
            self.net
                .send_on(conn, Message::Closed { conn: peer, cause });
        }
    }
    fn reset(&mut self, conn: ConnectionId) {
        self.net.close_socket(conn, CloseCause::Reset);
    }
    fn pause(&mut self, conn: ConnectionId, paused: bool) {
        if let Some(socket) = self.net.sockets.get_mut(&conn) {
            socket.paused = paused;
            if !paused {
                self.net.resumed.insert(conn);
            }
        }
    }
    fn save_state(&mut self, state: &[u8]) {
        self.net.hosts[self.host.0].saved_state = Some(state.to_vec());
    }
    fn audit(&mut self, line: &str) {
        self.net.hosts[self.host.0].audit_log.push(line.to_string());
    }
}
