//! Registration of streams with the poller, and reading from them.

use super::input_schedule::VirtualTime;
use super::listeners::ACCEPT_RETRY_DELAY;
use super::sources::{Backlog, Source, SourceKey, Stream};
use super::{EventLoop, HostConnection, STALL_THRESHOLD};
use crate::{CloseCause, ConnectionId, Event, HostId, Micros, Side};
use polling::{Event as PollEvent, PollMode};
use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};

/// The maximum number of consecutive reads from a connection that the host has opened.
const MAX_READS_OF_ANSWERS: usize = 4;
/// The maximum number of consecutive reads from such a connection if its input may have waited during a stall.
const MAX_READS_WHEN_STALLED: usize = 64;

/// What a read from a stream has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadResult {
    /// No input, or the end of the stream.
    Nothing,
    /// Less input than the buffer takes: no more had arrived, but the end of the stream may follow.
    Short,
    /// There may be more input.
    Full,
}

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
            backlog: Backlog::None,
            read_tag: VirtualTime::default(),
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

    /// Handles that a stream is writable or has failed to connect, and schedules the reading of its input.
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
        if event.writable {
            self.on_writable(event.key, host, conn);
        }
        if event.readable {
            self.schedule_read(event.key);
        }
    }
    fn on_writable(&mut self, key: SourceKey, host: HostId, conn: ConnectionId) {
        let Some(stream) = self.sources.stream_mut(key) else {
            return;
        };
        if !stream.wants_write {
            return;
        }
        if stream.connecting && !is_established(&stream.socket) {
            return self.end_connection(host, conn, CloseCause::Refused);
        }
        let was_connecting = std::mem::take(&mut stream.connecting);
        stream.wants_write = false;
        self.update_interest(key);
        let event = if was_connecting {
            Event::Connected { conn }
        } else {
            Event::Writable { conn }
        };
        self.call_with_event(host, event);
    }
    fn schedule_read(&mut self, key: SourceKey) {
        let previous_poll = self.polls.previous;
        let Some(stream) = self.sources.stream_mut(key) else {
            return;
        };
        let since = *stream.unread_since.get_or_insert(previous_poll);
        match stream.side {
            Side::Connected => self.read_answers(key, since),
            Side::Accepted => {
                self.input_schedule.add(key, stream.read_tag);
                self.maybe_unread.insert(key);
            }
        }
    }
    /// Reads from a stream that the host has opened. What arrives there was asked for, so that its amount is bounded by the
    /// host, and timers must not run before it is read: a process that was not scheduled for a while would consider its
    /// peers silent.
    fn read_answers(&mut self, key: SourceKey, since: Micros) {
        let may_have_waited = self.now() - since > STALL_THRESHOLD;
        let max_reads = match may_have_waited {
            true => MAX_READS_WHEN_STALLED,
            false => MAX_READS_OF_ANSWERS,
        };
        for _ in 0..max_reads {
            if !self.read(key) {
                return;
            }
        }
    }
    /// Reads from the scheduled streams until none has input left or the turn's reading time is used up. The poller reports
    /// the others again.
    pub(super) fn read_scheduled(&mut self) {
        while let Some((key, tag)) = self.input_schedule.next() {
            let began = self.now();
            let has_more = self.read(key);
            let next_tag = self.input_schedule.record_read(tag, self.now() - began);
            if let Some(stream) = self.sources.stream_mut(key) {
                stream.read_tag = next_tag;
                if has_more {
                    self.input_schedule.add(key, next_tag);
                }
            }
        }
    }
    /// Reads from a stream once. Returns whether it may have more input.
    ///
    /// Input that may have waited longer than the stall threshold counts as read only once a read has found nothing: a
    /// close by the peer may follow it, and the request of a client that has already left must not be dispatched. Where a
    /// read has found more than it takes, the input counts as read only once the poll after that finds little or nothing.
    pub(super) fn read(&mut self, key: SourceKey) -> bool {
        if self.is_paused(key) {
            return false;
        }
        let mut buffer = std::mem::take(&mut self.read_buffer);
        let waited_since = self.sources.stream(key).and_then(|s| s.unread_since);
        let waited_since = waited_since.unwrap_or(self.polls.previous);
        let may_have_waited = self.now() - waited_since > STALL_THRESHOLD;
        let mut result = self.read_into(&mut buffer, key, waited_since);
        let ends_backlog = result != ReadResult::Full && self.backlog(key) == Backlog::Emptied;
        if result == ReadResult::Short && may_have_waited && !self.is_paused(key) {
            result = self.read_into(&mut buffer, key, waited_since);
        }
        self.read_buffer = buffer;
        if ends_backlog {
            self.set_read(key);
        }
        match (result, self.backlog(key)) {
            (ReadResult::Full, _) => {
                self.set_backlog(key, Backlog::Unread);
                self.maybe_unread.insert(key);
                true
            }
            (ReadResult::Short, backlog) if may_have_waited || backlog == Backlog::Unread => {
                self.maybe_unread.insert(key);
                true
            }
            (ReadResult::Nothing, Backlog::Unread) => {
                self.set_backlog(key, Backlog::Emptied);
                self.maybe_unread.insert(key);
                false
            }
            _ => {
                self.set_read(key);
                false
            }
        }
    }
    /// Records that the streams that may have had unread input have none, unless the last poll has reported some.
    pub(super) fn end_backlogs(&mut self, events: &[PollEvent]) {
        let mut without_input = std::mem::take(&mut self.maybe_unread);
        for event in events.iter().filter(|event| event.readable) {
            without_input.remove(&event.key);
        }
        for key in without_input {
            // A paused stream is not polled for input.
            if !self.is_paused(key) {
                self.set_read(key);
            }
        }
    }
    fn backlog(&self, key: SourceKey) -> Backlog {
        let stream = self.sources.stream(key);
        stream.map_or(Backlog::None, |stream| stream.backlog)
    }
    fn set_backlog(&mut self, key: SourceKey, backlog: Backlog) {
        if let Some(stream) = self.sources.stream_mut(key) {
            stream.backlog = backlog;
        }
    }
    /// Records that a stream has no unread input.
    fn set_read(&mut self, key: SourceKey) {
        if let Some(stream) = self.sources.stream_mut(key) {
            stream.backlog = Backlog::None;
            stream.unread_since = None;
        }
    }
    fn is_paused(&self, key: SourceKey) -> bool {
        self.sources.stream(key).is_some_and(|stream| stream.paused)
    }
    fn read_into(&mut self, buffer: &mut [u8], key: SourceKey, waited_since: Micros) -> ReadResult {
        let Some(stream) = self.sources.stream_mut(key) else {
            return ReadResult::Nothing;
        };
        let (host, conn) = (stream.host, stream.conn);
        let has_failed = stream.has_failed;
        match stream.socket.read(buffer) {
            Ok(0) => {
                let cause = match has_failed {
                    true => CloseCause::Reset,
                    false => CloseCause::Orderly,
                };
                self.end_connection(host, conn, cause);
                ReadResult::Nothing
            }
            Ok(count) => {
                self.deliver_bytes(host, conn, &buffer[..count], waited_since);
                match count < buffer.len() {
                    true => ReadResult::Short,
                    false => ReadResult::Full,
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => ReadResult::Nothing,
            Err(error) if error.kind() == ErrorKind::Interrupted => ReadResult::Full,
            Err(_) => {
                self.end_connection(host, conn, CloseCause::Reset);
                ReadResult::Nothing
            }
        }
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
