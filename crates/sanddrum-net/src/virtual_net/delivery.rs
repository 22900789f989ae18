//! Virtual sockets, and the delivery of messages to them.

use super::{Message, VirtualNet, VirtualSocket};
use crate::{CloseCause, ConnectionId, Event, HostId, Side};
use std::collections::VecDeque;

impl VirtualNet {
    /// Opens one end of a connection.
    pub(super) fn open_socket(&mut self, host: HostId, peer: Option<ConnectionId>) -> ConnectionId {
        let conn = ConnectionId(self.next_connection);
        self.next_connection += 1;
        let socket = VirtualSocket {
            host,
            peer,
            bytes_in_flight: 0,
            write_was_short: false,
            paused: false,
            buffered: VecDeque::new(),
            last_arrival: self.now,
        };
        self.sockets.insert(conn, socket);
        self.hosts[host.0].connections.insert(conn);
        conn
    }
    /// Closes one end of a connection and sends the close to the peer.
    pub(super) fn close_socket(&mut self, conn: ConnectionId, cause: CloseCause) {
        let peer = self.sockets.get(&conn).and_then(|socket| socket.peer);
        if let Some(peer) = peer {
            self.send_on(conn, Message::Closed { conn: peer, cause });
        }
        if let Some(socket) = self.sockets.remove(&conn) {
            self.observer.closed(self.now, socket.host, conn);
            self.hosts[socket.host.0].connections.remove(&conn);
        }
    }
    /// Delivers the messages that a socket has buffered, until it is paused or its host is frozen.
    pub(super) fn deliver_buffered(&mut self, conn: ConnectionId) {
        while let Some(socket) = self.sockets.get_mut(&conn) {
            if socket.paused || self.hosts[socket.host.0].frozen {
                return;
            }
            let Some(message) = socket.buffered.pop_front() else {
                return;
            };
            self.deliver_now(conn, message);
        }
    }
    /// Delivers a message that arrives now, or buffers it if its socket is paused or its host is frozen.
    pub(super) fn deliver(&mut self, message: Message) {
        let conn = match &message {
            Message::Connect { from, to } => {
                let (from, to) = (*from, to.clone());
                return self.accept(from, &to);
            }
            Message::Connected { conn }
            | Message::Bytes { conn, .. }
            | Message::Writable { conn }
            | Message::Closed { conn, .. } => *conn,
        };
        let Some(socket) = self.sockets.get_mut(&conn) else {
            return;
        };
        let is_frozen = self.hosts[socket.host.0].frozen;
        let is_read = matches!(message, Message::Bytes { .. } | Message::Closed { .. });
        if is_frozen || (is_read && socket.paused) || !socket.buffered.is_empty() {
            socket.buffered.push_back(message);
            return;
        }
        self.deliver_now(conn, message);
    }
    /// Handles a request to open a connection that has arrived at an address.
    fn accept(&mut self, from: ConnectionId, to: &str) {
        let Some(client) = self.sockets.get(&from).map(|socket| socket.host) else {
            return;
        };
        let Some((server, listener)) = self.listeners.get(to).copied() else {
            return self.refuse(client, from);
        };
        let is_refused = self
            .faulty_links
            .get(&(client, server))
            .is_some_and(|link| link.fault.refuses_connections);
        if is_refused {
            return self.refuse(client, from);
        }
        if self.hosts[server.0].frozen {
            // A frozen host does not answer. The request is retransmitted until the host is thawed or the client
            // gives up.
            let to = to.to_string();
            let retransmission = self.now + self.links.retransmit_after;
            return self.enqueue(retransmission, Message::Connect { from, to });
        }
        let conn = self.open_socket(server, Some(from));
        if let Some(socket) = self.sockets.get_mut(&from) {
            socket.peer = Some(conn);
        }
        self.observer
            .opened(self.now, server, conn, Side::Accepted, "");
        self.send_on(conn, Message::Connected { conn: from });
        self.call_with_event(server, Event::Accepted { conn, listener });
    }
    fn refuse(&mut self, client: HostId, conn: ConnectionId) {
        let cause = CloseCause::Refused;
        self.send(client, None, 0, Message::Closed { conn, cause });
    }
    fn deliver_now(&mut self, conn: ConnectionId, message: Message) {
        let Some(host) = self.sockets.get(&conn).map(|socket| socket.host) else {
            return;
        };
        match message {
            Message::Connect { .. } => {}
            Message::Connected { conn } => self.call_with_event(host, Event::Connected { conn }),
            Message::Bytes { bytes, .. } => {
                self.open_window(conn, bytes.len());
                if !bytes.is_empty() {
                    self.observer.received(self.now, host, conn, &bytes);
                    let bytes = &bytes;
                    self.call_with_event(host, Event::Bytes { conn, bytes });
                }
            }
            Message::Writable { conn } => self.call_with_event(host, Event::Writable { conn }),
            Message::Closed { conn, cause } => {
                self.close_half_open_peer(conn, cause);
                self.sockets.remove(&conn);
                self.hosts[host.0].connections.remove(&conn);
                self.observer.closed(self.now, host, conn);
                self.call_with_event(host, Event::Closed { conn, cause });
            }
        }
    }
    /// Ends the other direction too when the peer of this socket has only ended its output: a virtual host that is told of
    /// the end of a connection does not use it any more.
    fn close_half_open_peer(&mut self, conn: ConnectionId, cause: CloseCause) {
        let peer = self.sockets.get(&conn).and_then(|socket| socket.peer);
        let Some(peer) = peer.filter(|peer| self.sockets.contains_key(peer)) else {
            return;
        };
        if cause == CloseCause::Orderly {
            self.send_on(conn, Message::Closed { conn: peer, cause });
        }
    }
    /// Frees space in the peer's send window after bytes have arrived at this end.
    fn open_window(&mut self, conn: ConnectionId, arrived: usize) {
        let peer_id = self.sockets.get(&conn).and_then(|socket| socket.peer);
        let Some(peer_id) = peer_id else {
            return;
        };
        let Some(peer) = self.sockets.get_mut(&peer_id) else {
            return;
        };
        peer.bytes_in_flight = peer.bytes_in_flight.saturating_sub(arrived);
        if peer.write_was_short && peer.bytes_in_flight * 2 <= self.links.window_bytes {
            peer.write_was_short = false;
            self.send_on(conn, Message::Writable { conn: peer_id });
        }
    }
    fn call_with_event(&mut self, host: HostId, event: Event<'_>) {
        self.call(host, |core, now, io| core.on_event(now, event, io));
    }
}
