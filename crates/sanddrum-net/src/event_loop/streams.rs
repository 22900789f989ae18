//! Registration of streams with the poller, and reading from them.

use super::listeners::ACCEPT_RETRY_DELAY;
use super::sources::{Source, SourceKey, Stream};
use super::{EventLoop, HostConnection, STALL_THRESHOLD};
use crate::{CloseCause, ConnectionId, Event, HostId, Micros, Side};
use polling::{Event as PollEvent, PollMode};
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};

/// The maximum number of consecutive reads from a connection whose input may have waited during a stall. They find a
/// close by the peer that follows the input.
const MAX_READS_WHEN_STALLED: usize = 16;

impl EventLoop {
    /// Opens a connection. Returns `None` if the address is invalid or the system rejects the attempt immediately.
    pub(super) fn open(&mut self, host: HostId, to: &str) -> Option<ConnectionId> {
        let address: SocketAddr = to.parse().ok()?;
        let domain = if address.is_ipv4() {
            socket2::Domain::IPV4
        } else {
            socket2::Domain::IPV6
        };
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        match socket.connect(&address.into()) {
            Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => None,
            _ => self.add_stream(host, socket.into(), Side::Connected),
        }
    }
    /// Adds a connection to a host and registers it with the poller.
    pub(super) fn add_stream(
        &mut self,
        host: HostId,
        socket: TcpStream,
        side: Side,
    ) -> Option<ConnectionId> {
        socket.set_nonblocking(true).ok()?;
        let _ = socket.set_nodelay(true);
        let conn = ConnectionId(self.next_connection);
        self.next_connection += 1;
        let is_connecting = side == Side::Connected;
        let key = self.sources.insert(Source::Stream(Stream {
            host,
            conn,
            socket,
            side,
            connecting: is_connecting,
            paused: false,
            wants_write: is_connecting,
            has_failed: false,
            unread_since: None,
            is_unregistered: false,
        }));
        if let Err(error) = self.register(key) {
            let accepted = !is_connecting;
            tracing::warn!(reason = "poller", %error, accepted, "cannot register a connection with the poller");
            if is_connecting {
                self.sources.remove(key);
                return None;
            }
            // Registration is retried, as the client's request would otherwise never be read.
            if let Some(stream) = self.sources.stream_mut(key) {
                stream.is_unregistered = true;
            }
            self.retry_accept_at = Some(self.now() + ACCEPT_RETRY_DELAY);
        }
        if let Some(host) = self.host_mut(host) {
            host.connections.insert(conn, key);
        }
        Some(conn)
    }
    fn register(&self, key: SourceKey) -> io::Result<()> {
        let Some(stream) = self.sources.stream(key) else {
            return Ok(());
        };
        let interest = if stream.connecting {
            PollEvent::writable(key)
        } else {
            PollEvent::readable(key)
        };
        self.poller
            .add_with_mode(&stream.socket, interest, PollMode::Level)
    }
    /// Updates which events the poller reports for the stream.
    pub(super) fn update_interest(&mut self, key: SourceKey) {
        let Some(host) = self.sources.stream(key).map(|stream| stream.host) else {
            return;
        };
        let is_frozen = self.is_frozen(host);
        let Some(stream) = self.sources.stream_mut(key) else {
            return;
        };
        let interest = PollEvent {
            key,
            readable: !is_frozen && !stream.paused && !stream.connecting,
            writable: !is_frozen && stream.wants_write,
        };
        if !stream.is_unregistered {
            let modified = self
                .poller
                .modify_with_mode(&stream.socket, interest, PollMode::Level);
            if let Err(error) = modified {
                // The connection would hang forever, as the poller would report no more events for it.
                tracing::warn!(reason = "poller", %error, "cannot update the poller's interest in a connection; connection reset");
                let conn = stream.conn;
                self.pending_resets.push(HostConnection { host, conn });
            }
        } else if interest.readable || interest.writable {
            stream.is_unregistered = self
                .poller
                .add_with_mode(&stream.socket, interest, PollMode::Level)
                .is_err();
        }
    }

    pub(super) fn on_stream_ready(&mut self, event: PollEvent) {
        let Some(stream) = self.sources.stream(event.key) else {
            return;
        };
        let (host, conn) = (stream.host, stream.conn);
        let is_frozen = self.is_frozen(host);
        let Some(stream) = self.sources.stream_mut(event.key) else {
            return;
        };
        if is_frozen || (stream.paused && event.readable && !stream.wants_write) {
            stream.is_unregistered = self.poller.delete(&stream.socket).is_ok();
            return;
        }
        if event.writable && stream.wants_write {
            if stream.connecting && !is_established(&stream.socket) {
                return self.end_connection(host, conn, CloseCause::Refused);
            }
            let was_connecting = std::mem::take(&mut stream.connecting);
            stream.wants_write = false;
            self.update_interest(event.key);
            let event = if was_connecting {
                Event::Connected { conn }
            } else {
                Event::Writable { conn }
            };
            self.call_with_event(host, event);
        }
        if event.readable {
            self.read(event.key, host, conn);
        }
    }
    /// Reads from a stream once, or repeatedly if its input may have waited longer than the stall threshold.
    ///
    /// Repeated reads find a close that follows a request in the same buffer, so that the request of a client that has
    /// already closed its connection is not dispatched.
    pub(super) fn read(&mut self, key: SourceKey, host: HostId, conn: ConnectionId) {
        let previous_poll = self.polls.previous;
        for _ in 0..MAX_READS_WHEN_STALLED {
            let Some(stream) = self.sources.stream_mut(key) else {
                return;
            };
            if stream.conn != conn || stream.paused {
                return;
            }
            let waited_since = *stream.unread_since.get_or_insert(previous_poll);
            let is_exhausted = self.read_once(key, host, conn, waited_since);
            if is_exhausted || self.now() - waited_since <= STALL_THRESHOLD {
                return;
            }
        }
    }
    /// Reads once. Returns whether there is nothing more to read.
    fn read_once(
        &mut self,
        key: SourceKey,
        host: HostId,
        conn: ConnectionId,
        waited_since: Micros,
    ) -> bool {
        let Some(stream) = self.sources.stream_mut(key) else {
            return true;
        };
        let mut buffer = std::mem::take(&mut self.read_buffer);
        let result = stream.socket.read(&mut buffer);
        let has_failed = stream.has_failed;
        let is_emptied = match &result {
            Ok(count) => *count < buffer.len(),
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        };
        if is_emptied {
            stream.unread_since = None;
        }
        let is_exhausted = match result {
            Ok(0) => {
                let cause = match has_failed {
                    true => CloseCause::Reset,
                    false => CloseCause::Orderly,
                };
                self.end_connection(host, conn, cause);
                true
            }
            Ok(count) => {
                self.deliver_bytes(host, conn, &buffer[..count], waited_since);
                false
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => true,
            Err(error) if error.kind() == ErrorKind::Interrupted => false,
            Err(_) => {
                self.end_connection(host, conn, CloseCause::Reset);
                true
            }
        };
        self.read_buffer = buffer;
        is_exhausted
    }
    fn deliver_bytes(
        &mut self,
        host: HostId,
        conn: ConnectionId,
        bytes: &[u8],
        waited_since: Micros,
    ) {
        self.observer.received(self.now(), host, conn, bytes);
        self.turn_log.record_read(conn, bytes.len());
        self.earliest_arrival = Some(waited_since);
        self.call_with_event(host, Event::Bytes { conn, bytes });
        self.earliest_arrival = None;
    }
}

fn is_established(socket: &TcpStream) -> bool {
    let error = socket.take_error().ok().flatten();
    error.is_none() && socket.peer_addr().is_ok()
}
