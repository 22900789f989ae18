//! Closing and resetting connections.

use super::sources::{Lingering, Source, SourceKey};
use super::EventLoop;
use crate::{CloseCause, ConnectionId, Event, HostId, Micros};
use polling::{Event as PollEvent, PollMode};
use std::io::{ErrorKind, Read};
use std::net::Shutdown as SocketShutdown;
use std::time::Duration;

/// How long the input of a locally closed connection is drained, unless the peer closes it earlier.
const LINGER_DURATION: Micros = 500_000;
/// The maximum number of bytes drained from a lingering connection per read.
const DRAIN_BUFFER_BYTES: usize = 16 * 1024;

impl EventLoop {
    /// Removes a connection that the peer or the network has ended, and notifies its core.
    pub(super) fn end_connection(&mut self, host: HostId, conn: ConnectionId, cause: CloseCause) {
        if cause == CloseCause::Reset {
            self.set_reset_on_close(host, conn);
        }
        if self.remove_connection(host, conn) {
            self.call_with_event(host, Event::Closed { conn, cause });
        }
    }
    /// Makes the system discard undelivered output when the socket is closed, so that the peer receives a reset.
    pub(super) fn set_reset_on_close(&self, host: HostId, conn: ConnectionId) {
        let stream = self
            .source_key(host, conn)
            .and_then(|key| self.sources.stream(key));
        if let Some(stream) = stream {
            let _ = socket2::SockRef::from(&stream.socket).set_linger(Some(Duration::ZERO));
        }
    }
    /// Closes the socket of a connection. Returns whether the host had this connection.
    pub(super) fn remove_connection(&mut self, host: HostId, conn: ConnectionId) -> bool {
        let key = self
            .host_mut(host)
            .and_then(|host| host.connections.remove(&conn));
        let Some(key) = key else {
            return false;
        };
        self.remove_source(key);
        self.observer.closed(self.now(), host, conn);
        self.on_descriptor_freed();
        true
    }
    /// Closes a connection for its core: nothing more is written, and input is drained until the peer closes it too,
    /// for a bounded time. At most `max_lingering` connections are drained at a time; beyond that the oldest one is
    /// dropped.
    pub(super) fn close(&mut self, host: HostId, conn: ConnectionId, max_lingering: usize) {
        let Some(key) = self.source_key(host, conn) else {
            return;
        };
        let Some(stream) = self.sources.stream(key) else {
            return;
        };
        let can_linger = !stream.connecting
            && !stream.is_unregistered
            && stream.socket.shutdown(SocketShutdown::Write).is_ok();
        if !can_linger {
            self.remove_connection(host, conn);
            return;
        }
        self.linger(key, host, conn);
        if self.lingering.len() > max_lingering {
            if let Some((_, oldest)) = self.lingering.first().copied() {
                self.remove_source(oldest);
            }
        }
    }
    fn linger(&mut self, key: SourceKey, host: HostId, conn: ConnectionId) {
        let Some(Source::Stream(stream)) = self.sources.remove(key) else {
            return;
        };
        if let Some(host) = self.host_mut(host) {
            host.connections.remove(&conn);
        }
        self.observer.closed(self.now(), host, conn);
        let interest = PollEvent::readable(key);
        let _ = self
            .poller
            .modify_with_mode(&stream.socket, interest, PollMode::Level);
        let lingering = Lingering {
            socket: stream.socket,
            side: stream.side,
        };
        self.sources.reinsert(key, Source::Lingering(lingering));
        self.lingering.insert((self.now() + LINGER_DURATION, key));
        self.drain(key);
    }
    /// Discards input of a lingering connection.
    pub(super) fn drain(&mut self, key: SourceKey) {
        let Some(Source::Lingering(lingering)) = self.sources.get_mut(key) else {
            return;
        };
        // `read_buffer` may be in use: a core may close a connection while it handles received bytes.
        match lingering.socket.read(&mut [0; DRAIN_BUFFER_BYTES]) {
            Ok(1..) => {}
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Ok(0) | Err(_) => self.remove_source(key),
        }
    }
    /// Unregisters and closes a source.
    pub(super) fn remove_source(&mut self, key: SourceKey) {
        if let Some(Source::Lingering(_)) = self.sources.get(key) {
            self.lingering.retain(|(_, other)| *other != key);
            self.on_descriptor_freed();
        }
        let Some(source) = self.sources.remove(key) else {
            return;
        };
        // Fails if the source is not registered with the poller, which does no harm.
        let _ = match &source {
            Source::Listener(listener) => self.poller.delete(&listener.socket),
            Source::Stream(stream) => self.poller.delete(&stream.socket),
            Source::Lingering(lingering) => self.poller.delete(&lingering.socket),
            Source::ShutdownSignals(pipe) | Source::ReloadSignal(pipe) => self.poller.delete(pipe),
        };
    }
}
