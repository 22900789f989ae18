//! The event loop's implementation of [`Io`].

use super::sources::{SourceKey, Stream};
use super::{EventLoop, HostConnection, STALL_THRESHOLD};
use crate::{ConnectionId, HostId, Io, Micros, Side, UnreadInput};
use rustix::event::{PollFd, PollFlags, Timespec};
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpStream};

/// The maximum number of closed connections whose input is drained at a time, while the loop runs.
const MAX_LINGERING: usize = 16;

/// The event loop's [`Io`] for the core of one host.
pub(super) struct LoopIo<'a> {
    pub event_loop: &'a mut EventLoop,
    pub host: HostId,
}

/// The result of a write to a socket.
struct Written {
    bytes: usize,
    /// The connection has failed, and no read will report this.
    has_failed: bool,
}

impl LoopIo<'_> {
    fn stream_mut(&mut self, conn: ConnectionId) -> Option<(SourceKey, &mut Stream)> {
        let key = self.event_loop.source_key(self.host, conn)?;
        let stream = self.event_loop.sources.stream_mut(key)?;
        Some((key, stream))
    }
    fn schedule_reset(&mut self, conn: ConnectionId) {
        let host = self.host;
        self.event_loop
            .pending_resets
            .push(HostConnection { host, conn });
    }
    /// Whether `reset_on_next_write` has requested a reset at this write; clears the request.
    fn take_reset_on_write(&mut self, conn: ConnectionId) -> bool {
        self.event_loop
            .host_mut(self.host)
            .is_some_and(|host| host.reset_on_write.remove(&conn))
    }
}

impl Io for LoopIo<'_> {
    fn connect(&mut self, to: &str) -> ConnectionId {
        let host = self.host;
        let conn = self.event_loop.open(host, to).unwrap_or_else(|| {
            let conn = ConnectionId(self.event_loop.next_connection);
            self.event_loop.next_connection += 1;
            self.event_loop
                .pending_refusals
                .push(HostConnection { host, conn });
            conn
        });
        let now = self.event_loop.now();
        self.event_loop
            .observer
            .opened(now, host, conn, Side::Connected, to);
        conn
    }
    fn wall_clock(&self, _: Micros) -> Micros {
        super::wall_clock()
    }
    fn earliest_arrival(&self, now: Micros) -> Micros {
        self.event_loop.earliest_arrival.unwrap_or(now)
    }
    fn unread_input(&self, conn: ConnectionId) -> UnreadInput {
        let key = self.event_loop.source_key(self.host, conn);
        let stream = key.and_then(|key| self.event_loop.sources.stream(key));
        let Some(stream) = stream else {
            return UnreadInput::None;
        };
        match stream.unread_since {
            None => UnreadInput::None,
            Some(_) if has_peer_ended(&stream.socket) => UnreadInput::BeforeEnd,
            Some(since) => UnreadInput::Since(since),
        }
    }
    fn clock(&self, _: Micros) -> Micros {
        self.event_loop.now()
    }
    fn is_poll_overdue(&self) -> bool {
        self.event_loop.now() - self.event_loop.polls.last > STALL_THRESHOLD
    }
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        if bytes.len() > 1 && self.take_reset_on_write(conn) {
            let written = self.write(conn, &bytes[..bytes.len() / 2]);
            self.schedule_reset(conn);
            return written;
        }
        let Some((key, stream)) = self.stream_mut(conn) else {
            return 0;
        };
        if stream.connecting {
            return 0;
        }
        let written = write_to(stream, bytes);
        if written.has_failed {
            stream.wants_write = false;
            self.schedule_reset(conn);
        } else if written.bytes < bytes.len() {
            stream.wants_write = true;
            self.event_loop.update_interest(key);
        }
        let now = self.event_loop.now();
        self.event_loop
            .observer
            .sent(now, self.host, conn, &bytes[..written.bytes]);
        written.bytes
    }
    fn close(&mut self, conn: ConnectionId) {
        self.event_loop.close(self.host, conn, MAX_LINGERING);
    }
    fn finish_writing(&mut self, conn: ConnectionId) {
        if let Some((_, stream)) = self.stream_mut(conn) {
            // If this fails, the connection has ended, and the next read reports it.
            let _ = stream.socket.shutdown(Shutdown::Write);
        }
    }
    fn reset(&mut self, conn: ConnectionId) {
        self.event_loop.set_reset_on_close(self.host, conn);
        self.event_loop.remove_connection(self.host, conn);
    }
    fn pause(&mut self, conn: ConnectionId, paused: bool) {
        let now = self.event_loop.now();
        if let Some((key, stream)) = self.stream_mut(conn) {
            stream.paused = paused;
            // Input that arrives during the pause may have waited since the pause began.
            stream.unread_since = stream.unread_since.or(paused.then_some(now));
            self.event_loop.update_interest(key);
        }
    }
    fn save_state(&mut self, state: &[u8]) {
        let host = self.event_loop.host_mut(self.host);
        if let Some(writer) = host.and_then(|host| host.state_writer.as_mut()) {
            writer.save_and_wait(state);
        }
    }
    fn save_state_later(&mut self, state: &[u8]) {
        let host = self.event_loop.host_mut(self.host);
        if let Some(writer) = host.and_then(|host| host.state_writer.as_mut()) {
            writer.save(state);
        }
    }
    fn audit(&mut self, line: &str) {
        let host = self.event_loop.host_mut(self.host);
        if let Some(audit_log) = host.and_then(|host| host.audit_log.as_mut()) {
            audit_log.append(line);
        }
    }
}

/// Whether the peer has ended its output or the connection, as far as the system knows, whether or not all input before
/// the end has been read.
fn has_peer_ended(socket: &TcpStream) -> bool {
    let mut polled = [PollFd::new(socket, PollFlags::RDHUP)];
    let at_once = Timespec::default();
    if rustix::event::poll(&mut polled, Some(&at_once)).is_err() {
        return false;
    }
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    polled[0].revents().intersects(ended)
}

/// Writes as much as the socket accepts.
fn write_to(stream: &mut Stream, bytes: &[u8]) -> Written {
    let mut written = Written {
        bytes: 0,
        has_failed: false,
    };
    while written.bytes < bytes.len() {
        match stream.socket.write(&bytes[written.bytes..]) {
            Ok(count) if count > 0 => written.bytes += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            // A paused connection is not read, so no read would report that its peer is gone, and the poller would
            // report it as writable forever.
            Err(error) if error.kind() != ErrorKind::WouldBlock && stream.paused => {
                written.has_failed = true;
                break;
            }
            // After the input that precedes the failure, a later read reports it. A broken pipe is the peer's own end or a
            // failure that was recorded earlier.
            Err(error)
                if !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::BrokenPipe) =>
            {
                stream.has_failed = true;
                break;
            }
            _ => break,
        }
    }
    written
}
