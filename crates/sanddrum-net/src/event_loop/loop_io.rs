//! What a core may request from the event loop while it is being called.

use super::sources::{SourceKey, Stream};
use super::{EventLoop, HostConnection, STALL_THRESHOLD};
use crate::{ConnectionId, HostId, Io, Micros, Side};
use std::io::{ErrorKind, Write};

/// Closed connections whose input is drained at a time, while the loop runs.
const MAX_LINGERING: usize = 16;

/// The event loop as one host's core sees it.
pub(super) struct LoopIo<'a> {
    pub event_loop: &'a mut EventLoop,
    pub host: HostId,
}

/// How far the socket took what was written.
struct Written {
    bytes: usize,
    /// The connection has failed, and no read will show it.
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
    /// Whether a test has asked for a reset at this write.
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
    fn is_delayed(&self) -> bool {
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
    fn reset(&mut self, conn: ConnectionId) {
        self.event_loop.set_reset_on_close(self.host, conn);
        self.event_loop.remove_connection(self.host, conn);
    }
    fn pause(&mut self, conn: ConnectionId, paused: bool) {
        let now = self.event_loop.now();
        if let Some((key, stream)) = self.stream_mut(conn) {
            stream.paused = paused;
            // When input arrives is unknown until the stream is read again.
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

/// Writes what the socket takes.
fn write_to(stream: &mut Stream, bytes: &[u8]) -> Written {
    let mut written = Written {
        bytes: 0,
        has_failed: false,
    };
    while written.bytes < bytes.len() {
        match stream.socket.write(&bytes[written.bytes..]) {
            Ok(count) if count > 0 => written.bytes += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            // Guards against a paused connection whose peer is gone: it is not read, so that no read would show the
            // error, and the poller would report it as writable for ever.
            Err(error) if error.kind() != ErrorKind::WouldBlock && stream.paused => {
                written.has_failed = true;
                break;
            }
            // Any other error shows when the stream is next read, after the input before it.
            _ => break,
        }
    }
    written
}
