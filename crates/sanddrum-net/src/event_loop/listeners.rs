//! Listeners, and the connections that they accept.

use super::sources::{Listener, Source, SourceKey};
use super::EventLoop;
use crate::{ConnectionId, Event, HostId, ListenerId, Micros, Side};
use polling::{Event as PollEvent, PollMode};
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};

/// The maximum number of connections accepted from a listener before the other sources are served.
const MAX_ACCEPTS_PER_POLL: usize = 256;
/// No further connection is accepted from a listener, before the other sources are served, once accepting connections and
/// reading their first input has taken this long.
const ACCEPT_TIME: Micros = 1_000;
/// The maximum number of reads from a new connection before the other sources are served.
const MAX_FIRST_READS: usize = 4;
/// How long accepting pauses if no file descriptor is available, unless a connection ends earlier.
/// Also the delay before another attempt to register listeners and streams with the poller.
pub(super) const ACCEPT_RETRY_DELAY: Micros = 50_000;

impl EventLoop {
    /// Binds a listener and returns it with the bound address. Port zero selects a free port.
    ///
    /// # Errors
    /// The address is invalid, in use or not available.
    pub fn bind(address: &str) -> io::Result<(TcpListener, String)> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?.to_string();
        Ok((listener, bound))
    }
    /// Replaces the listeners of a host.
    ///
    /// # Errors
    /// A listener cannot be registered with the poller.
    pub fn set_listeners(&mut self, id: HostId, listeners: Vec<TcpListener>) -> io::Result<()> {
        let before = self
            .host_mut(id)
            .map(|host| std::mem::take(&mut host.listeners));
        for key in before.into_iter().flatten() {
            self.remove_source(key);
        }
        self.listen(id, listeners)
    }
    pub(super) fn listen(&mut self, id: HostId, listeners: Vec<TcpListener>) -> io::Result<()> {
        for (index, socket) in listeners.into_iter().enumerate() {
            let key = self.sources.insert(Source::Listener(Listener {
                host: id,
                id: ListenerId(index),
                socket,
                unread_since: None,
            }));
            if let Some(listener) = self.sources.listener(key) {
                self.poller.add_with_mode(
                    &listener.socket,
                    PollEvent::readable(key),
                    PollMode::Level,
                )?;
            }
            if let Some(host) = self.host_mut(id) {
                host.listeners.push(key);
            }
        }
        Ok(())
    }
    pub(super) fn accept(&mut self, key: SourceKey) {
        let previous_poll = self.polls.previous;
        let Some(listener) = self.sources.listener_mut(key) else {
            return;
        };
        let waited_since = *listener.unread_since.get_or_insert(previous_poll);
        let until = self.now() + ACCEPT_TIME;
        for _ in 0..MAX_ACCEPTS_PER_POLL {
            if !self.accept_one(key, waited_since) || self.now() >= until {
                return;
            }
        }
    }
    /// Accepts a connection. Returns whether another may be accepted at once.
    fn accept_one(&mut self, key: SourceKey, waited_since: Micros) -> bool {
        let Some(listener) = self.sources.listener(key) else {
            return false;
        };
        let (host, id) = (listener.host, listener.id);
        if self.host(host).is_none_or(|host| host.frozen) {
            // As for a stopped process, the kernel may still complete handshakes, but nothing is accepted.
            self.pause_accepting(key);
            return false;
        }
        let Some(listener) = self.sources.listener_mut(key) else {
            return false;
        };
        match listener.socket.accept() {
            Ok((socket, _)) => {
                self.add_accepted(host, id, socket, waited_since);
                true
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                listener.unread_since = None;
                false
            }
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                ) =>
            {
                true
            }
            Err(error) => {
                tracing::warn!(reason = "no-descriptor", %error, "cannot accept connections; accepting is paused; raise the open file limit");
                self.pause_accepting(key);
                false
            }
        }
    }
    fn add_accepted(
        &mut self,
        host: HostId,
        listener: ListenerId,
        socket: TcpStream,
        waited_since: Micros,
    ) {
        let Some(conn) = self.add_stream(host, socket, Side::Accepted) else {
            return;
        };
        self.observer
            .opened(self.now(), host, conn, Side::Accepted, "");
        self.turn_log.record_accept();
        self.call_with_event(host, Event::Accepted { conn, listener });
        self.read_accepted(host, conn, waited_since);
    }
    /// Reads from a new connection. Its input may have arrived as early as the connection itself.
    fn read_accepted(&mut self, host: HostId, conn: ConnectionId, waited_since: Micros) {
        let Some(key) = self.source_key(host, conn) else {
            return;
        };
        if let Some(stream) = self.sources.stream_mut(key) {
            stream.unread_since = Some(waited_since);
        }
        for _ in 0..MAX_FIRST_READS {
            if !self.read(key) {
                return;
            }
        }
    }
    fn pause_accepting(&mut self, key: SourceKey) {
        self.retry_accept_at = Some(self.now() + ACCEPT_RETRY_DELAY);
        if let Some(listener) = self.sources.listener(key) {
            let _ = self.poller.modify_with_mode(
                &listener.socket,
                PollEvent::none(key),
                PollMode::Level,
            );
        }
    }
    /// Registers interest in all listeners again, and tries to register the streams that are unregistered.
    pub(super) fn resume_accepting(&mut self) {
        self.retry_accept_at = None;
        let mut has_failed = false;
        let mut unregistered = Vec::new();
        for (key, source) in self.sources.iter() {
            match source {
                Source::Listener(listener) => {
                    let interest = PollEvent::readable(key);
                    has_failed |= self
                        .poller
                        .modify_with_mode(&listener.socket, interest, PollMode::Level)
                        .is_err();
                }
                Source::Stream(stream) if stream.is_unregistered => unregistered.push(key),
                _ => {}
            }
        }
        for key in unregistered {
            self.update_interest(key);
        }
        // Without another retry, a listener would stay paused forever after the poller was out of memory once.
        if has_failed {
            self.retry_accept_at = Some(self.now() + ACCEPT_RETRY_DELAY);
        }
    }
    /// Ends a pause of accepting, since a file descriptor has become available.
    pub(super) fn on_descriptor_freed(&mut self) {
        if self.retry_accept_at.is_some() {
            self.retry_accept_at = Some(self.now());
        }
    }
}
