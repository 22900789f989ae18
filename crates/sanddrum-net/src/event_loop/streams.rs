//! Connections on their sockets: taken in, watched for what they can make use of, read, ended.

use super::{
    EventLoop, Source, Stream, ACCEPTS_AT_ONCE, ACCEPT_PAUSE, HELD_UP, LINGER, READS_WHEN_HELD_UP,
};
use crate::{CloseCause, ConnectionId, Event, HostId, Micros, Side};
use polling::{Event as Ready, PollMode};
use std::io::{ErrorKind, Read};
use std::net::{Shutdown as Half, SocketAddr, TcpStream};
use std::time::Duration;

impl EventLoop {
    pub(super) fn accept(&mut self, key: usize) {
        let before = self.looks.before;
        let Some(Source::Listener { unread_since, .. }) = self.sources.get_mut(key) else {
            return;
        };
        let since = *unread_since.get_or_insert(before);
        for _ in 0..ACCEPTS_AT_ONCE {
            let Some(Source::Listener {
                host,
                door,
                listener,
                unread_since,
            }) = self.sources.get_mut(key)
            else {
                return;
            };
            let (host, door) = (*host, *door);
            if self
                .hosts
                .get(host.0)
                .and_then(Option::as_ref)
                .is_none_or(|h| h.frozen)
            {
                // A silent machine's kernel may still take connections; its process does not.
                return self.pause_accepting(key);
            }
            match listener.accept() {
                Ok((socket, _)) => {
                    if let Some(conn) = self.take_in(host, socket, false) {
                        self.tap.opened(self.now(), host, conn, Side::Accepted, "");
                        self.call(host, |core, now, io| {
                            core.on_event(
                                now,
                                Event::Accepted {
                                    conn,
                                    listener: door,
                                },
                                io,
                            )
                        });
                        self.read_accepted(host, conn, since);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    *unread_since = None;
                    return;
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) => {}
                Err(e) => {
                    tracing::warn!(reason = "no-descriptor", error = %e, "accepting pauses; raise the limit of open files");
                    return self.pause_accepting(key);
                }
            }
        }
    }
    fn pause_accepting(&mut self, key: usize) {
        self.accepts_again = Some(self.now() + ACCEPT_PAUSE);
        if let Some(Source::Listener { listener, .. }) = self.sources.get(key) {
            let _ = self
                .poller
                .modify_with_mode(listener, Ready::none(key), PollMode::Level);
        }
    }
    /// What a connection brings may have come as early as the connection itself.
    fn read_accepted(&mut self, host: HostId, conn: ConnectionId, since: Micros) {
        let Some(key) = self.host(host).and_then(|h| h.conns.get(&conn)).copied() else {
            return;
        };
        if let Some(Source::Stream(s)) = self.sources.get_mut(key) {
            s.unread_since = Some(since);
            self.read(key, host, conn);
        }
    }
    pub(super) fn accept_again(&mut self) {
        self.accepts_again = None;
        let mut failed = false;
        for (key, source) in &self.sources.all {
            if let Source::Listener { listener, .. } = source {
                let interest = Ready::readable(*key);
                failed |= self
                    .poller
                    .modify_with_mode(listener, interest, PollMode::Level)
                    .is_err();
            }
        }
        let asleep = |source: &Source| matches!(source, Source::Stream(s) if s.asleep);
        let unwatched: Vec<usize> = self
            .sources
            .all
            .iter()
            .filter(|(_, source)| asleep(source))
            .map(|(key, _)| *key)
            .collect();
        for key in unwatched {
            self.attend(key);
        }
        // Guards against a listener that stays shut for good because the poller once had no memory.
        if failed {
            self.accepts_again = Some(self.now() + ACCEPT_PAUSE);
        }
    }
    pub(super) fn take_in(
        &mut self,
        host: HostId,
        socket: TcpStream,
        connecting: bool,
    ) -> Option<ConnectionId> {
        socket.set_nonblocking(true).ok()?;
        let _ = socket.set_nodelay(true);
        let conn = ConnectionId(self.next_conn);
        self.next_conn += 1;
        let stream = Stream {
            host,
            conn,
            socket,
            accepted: !connecting,
            connecting,
            paused: false,
            wants_write: connecting,
            unread_since: None,
            asleep: false,
        };
        let key = self.sources.insert(Source::Stream(stream));
        let Some(Source::Stream(stream)) = self.sources.get(key) else {
            return None;
        };
        let interest = if connecting {
            Ready::writable(key)
        } else {
            Ready::readable(key)
        };
        if let Err(e) = self
            .poller
            .add_with_mode(&stream.socket, interest, PollMode::Level)
        {
            tracing::warn!(reason = "poller", error = %e, accepted = !connecting, "a connection can't be watched yet");
            if connecting {
                self.sources.all.remove(&key);
                return None;
            }
            // Guards against a request that lies unread on a connection that was accepted: it is watched a little later.
            if let Some(Source::Stream(stream)) = self.sources.get_mut(key) {
                stream.asleep = true;
            }
            self.accepts_again = Some(self.now() + ACCEPT_PAUSE);
        }
        if let Some(Some(hosted)) = self.hosts.get_mut(host.0) {
            hosted.conns.insert(conn, key);
        }
        Some(conn)
    }
    /// Asks the poller for what a stream can make use of now.
    pub(super) fn attend(&mut self, key: usize) {
        let Some(Source::Stream(s)) = self.sources.get_mut(key) else {
            return;
        };
        let frozen = self
            .hosts
            .get(s.host.0)
            .is_some_and(|h| h.as_ref().is_some_and(|h| h.frozen));
        let interest = Ready {
            key,
            readable: !frozen && !s.paused && !s.connecting,
            writable: !frozen && s.wants_write,
        };
        if !s.asleep {
            if let Err(e) = self
                .poller
                .modify_with_mode(&s.socket, interest, PollMode::Level)
            {
                // Guards against a connection that waits for ever: nothing more would be heard of it.
                tracing::warn!(reason = "poller", error = %e, "a connection can't be watched any more and is reset");
                self.broken.push((s.host, s.conn));
            }
        } else if interest.readable || interest.writable {
            s.asleep = self
                .poller
                .add_with_mode(&s.socket, interest, PollMode::Level)
                .is_err();
        }
    }

    pub(super) fn ready(&mut self, event: Ready) {
        let Some(Source::Stream(s)) = self.sources.get_mut(event.key) else {
            return;
        };
        let (host, conn) = (s.host, s.conn);
        let frozen = self
            .hosts
            .get(host.0)
            .is_some_and(|h| h.as_ref().is_some_and(|h| h.frozen));
        if frozen || (s.paused && event.readable && !s.wants_write) {
            s.asleep = self.poller.delete(&s.socket).is_ok();
            return;
        }
        if event.writable && s.wants_write {
            if s.connecting {
                if s.socket.take_error().ok().flatten().is_some() || s.socket.peer_addr().is_err() {
                    return self.end(host, conn, CloseCause::Refused);
                }
                (s.connecting, s.wants_write) = (false, false);
                self.attend(event.key);
                self.call(host, |core, now, io| {
                    core.on_event(now, Event::Connected { conn }, io)
                });
            } else {
                s.wants_write = false;
                self.attend(event.key);
                self.call(host, |core, now, io| {
                    core.on_event(now, Event::Writable { conn }, io)
                });
            }
        }
        if event.readable {
            self.read(event.key, host, conn);
        }
    }
    /// Reads what has come, and where it may have waited for long all of it, up to the other side's end. Guards against
    /// what is sent on for somebody whose end lies in the same buffer behind what was asked.
    pub(super) fn read(&mut self, key: usize, host: HostId, conn: ConnectionId) {
        let before = self.looks.before;
        for _ in 0..READS_WHEN_HELD_UP {
            let Some(Source::Stream(s)) = self.sources.get_mut(key) else {
                return;
            };
            if s.conn != conn || s.paused {
                return;
            }
            let since = *s.unread_since.get_or_insert(before);
            let is_read = self.read_once(key, host, conn, since);
            if is_read || self.now() - since <= HELD_UP {
                return;
            }
        }
    }
    /// One read; true where there is nothing more to read.
    fn read_once(&mut self, key: usize, host: HostId, conn: ConnectionId, since: Micros) -> bool {
        let Some(Source::Stream(s)) = self.sources.get_mut(key) else {
            return true;
        };
        let mut buffer = std::mem::take(&mut self.buffer);
        let read = s.socket.read(&mut buffer);
        if read
            .as_ref()
            .map_or_else(|e| e.kind() == ErrorKind::WouldBlock, |n| *n < buffer.len())
        {
            s.unread_since = None;
        }
        let ended = match read {
            Ok(0) => {
                self.end(host, conn, CloseCause::Orderly);
                true
            }
            Ok(n) => {
                let bytes = &buffer[..n];
                self.tap.received(self.now(), host, conn, bytes);
                self.arrival = Some(since);
                self.call(host, |core, now, io| {
                    core.on_event(now, Event::Bytes { conn, bytes }, io)
                });
                self.arrival = None;
                false
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => true,
            Err(e) if e.kind() == ErrorKind::Interrupted => false,
            Err(_) => {
                self.end(host, conn, CloseCause::Reset);
                true
            }
        };
        self.buffer = buffer;
        ended
    }
    /// The other side, or the network, ended it.
    pub(super) fn end(&mut self, host: HostId, conn: ConnectionId, how: CloseCause) {
        if how == CloseCause::Reset {
            self.linger_none(host, conn);
        }
        if self.forget(host, conn) {
            self.call(host, |core, now, io| {
                core.on_event(now, Event::Closed { conn, cause: how }, io)
            });
        }
    }
    /// What is not yet delivered is thrown away when the socket goes, and the other side sees a reset.
    pub(super) fn linger_none(&self, host: HostId, conn: ConnectionId) {
        let key = self.host(host).and_then(|h| h.conns.get(&conn));
        if let Some(Source::Stream(s)) = key.and_then(|key| self.sources.get(*key)) {
            let _ = socket2::SockRef::from(&s.socket).set_linger(Some(Duration::ZERO));
        }
    }
    pub(super) fn forget(&mut self, host: HostId, conn: ConnectionId) -> bool {
        let Some(Some(hosted)) = self.hosts.get_mut(host.0) else {
            return false;
        };
        let Some(key) = hosted.conns.remove(&conn) else {
            return false;
        };
        self.remove(key);
        self.tap.closed(self.now(), host, conn);
        self.descriptor_is_free();
        true
    }
    fn descriptor_is_free(&mut self) {
        if self.accepts_again.is_some() {
            self.accepts_again = Some(self.now());
        }
    }
    /// A core ends a connection in order: nothing more is written, and what still comes is read and thrown away until
    /// the other side closes too, for a bounded time and of no more than so many at once.
    pub(super) fn close(&mut self, host: HostId, conn: ConnectionId, most: usize) {
        let key = self.host(host).and_then(|h| h.conns.get(&conn)).copied();
        let Some((key, Source::Stream(s))) =
            key.and_then(|key| Some((key, self.sources.get(key)?)))
        else {
            return;
        };
        let stands = !s.connecting && !s.asleep && s.socket.shutdown(Half::Write).is_ok();
        let Some(Source::Stream(s)) = stands.then(|| self.sources.all.remove(&key)).flatten()
        else {
            self.forget(host, conn);
            return;
        };
        if let Some(Some(hosted)) = self.hosts.get_mut(host.0) {
            hosted.conns.remove(&conn);
        }
        self.tap.closed(self.now(), host, conn);
        let _ = self
            .poller
            .modify_with_mode(&s.socket, Ready::readable(key), PollMode::Level);
        self.sources.all.insert(key, Source::Lingering(s.socket));
        self.lingering.insert((self.now() + LINGER, key));
        self.read_out(key);
        if self.lingering.len() > most {
            self.lingering
                .first()
                .copied()
                .into_iter()
                .for_each(|(_, key)| self.remove(key));
        }
    }
    /// Throws away what has come on a connection that was closed here.
    pub(super) fn read_out(&mut self, key: usize) {
        let Some(Source::Lingering(socket)) = self.sources.get_mut(key) else {
            return;
        };
        // The loop's own buffer may be in use: its core may close while it is told of bytes.
        match socket.read(&mut [0; 16 * 1024]) {
            Ok(1..) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Ok(0) | Err(_) => self.remove(key),
        }
    }
    pub(super) fn remove(&mut self, key: usize) {
        if let Some(Source::Lingering(_)) = self.sources.get(key) {
            self.lingering.retain(|(_, other)| *other != key);
            self.descriptor_is_free();
        }
        match self.sources.all.remove(&key) {
            Some(Source::Listener { listener, .. }) => drop(self.poller.delete(&listener)),
            Some(Source::Stream(s)) => drop(self.poller.delete(&s.socket)),
            Some(Source::Lingering(socket)) => drop(self.poller.delete(&socket)),
            Some(Source::Signals(pipe) | Source::Reload(pipe)) => drop(self.poller.delete(&pipe)),
            None => {}
        }
    }
    pub(super) fn open(&mut self, host: HostId, to: &str) -> Option<ConnectionId> {
        let at: SocketAddr = to.parse().ok()?;
        let domain = if at.is_ipv4() {
            socket2::Domain::IPV4
        } else {
            socket2::Domain::IPV6
        };
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        match socket.connect(&at.into()) {
            Err(e) if e.raw_os_error() != Some(libc::EINPROGRESS) => return None,
            _ => {}
        }
        self.take_in(host, socket.into(), true)
    }
}
