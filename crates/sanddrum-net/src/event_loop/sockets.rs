//! What a core may ask of the event loop while it is being called.

use super::{EventLoop, Source, Stream, HELD_UP, LINGERING};
use crate::{ConnectionId, HostId, Io, Micros, Side};
use std::io::{ErrorKind, Write};

pub(super) struct Sockets<'a> {
    pub driver: &'a mut EventLoop,
    pub host: HostId,
}

impl Sockets<'_> {
    fn stream(&mut self, conn: ConnectionId) -> Option<(usize, &mut Stream)> {
        let key = *self.driver.host(self.host)?.conns.get(&conn)?;
        match self.driver.sources.get_mut(key) {
            Some(Source::Stream(s)) => Some((key, s)),
            _ => None,
        }
    }
}

impl Io for Sockets<'_> {
    fn connect(&mut self, to: &str) -> ConnectionId {
        let conn = self.driver.open(self.host, to).unwrap_or_else(|| {
            let conn = ConnectionId(self.driver.next_conn);
            self.driver.next_conn += 1;
            self.driver.refused.push((self.host, conn));
            conn
        });
        let (now, host) = (self.driver.now(), self.host);
        self.driver.tap.opened(now, host, conn, Side::Connected, to);
        conn
    }
    fn wall_clock(&self, _: Micros) -> Micros {
        super::wall_clock()
    }
    fn earliest_arrival(&self, now: Micros) -> Micros {
        self.driver.arrival.unwrap_or(now)
    }
    fn is_delayed(&self) -> bool {
        self.driver.now() - self.driver.looks.last > HELD_UP
    }
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        let torn = bytes.len() > 1
            && self.driver.hosts[self.host.0]
                .as_mut()
                .is_some_and(|hosted| hosted.torn.remove(&conn));
        if torn {
            let wrote = self.write(conn, &bytes[..bytes.len() / 2]);
            let (driver, host) = (&mut *self.driver, self.host);
            driver.broken.push((host, conn));
            return wrote;
        }
        let Some((key, s)) = self.stream(conn) else {
            return 0;
        };
        if s.connecting {
            return 0;
        }
        let (mut wrote, mut broken) = (0, false);
        while wrote < bytes.len() {
            match s.socket.write(&bytes[wrote..]) {
                Ok(n) if n > 0 => wrote += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // An error shows when the stream is next read, behind what came before it.
                Err(e) if e.kind() != ErrorKind::WouldBlock && s.paused => {
                    broken = true;
                    break;
                }
                _ => break,
            }
        }
        if broken {
            // Guards against a paused connection whose other side is gone: it is not read, so that nothing would show
            // the error, and the poller would call it writable for ever.
            s.wants_write = false;
            self.driver.broken.push((self.host, conn));
        } else if wrote < bytes.len() {
            s.wants_write = true;
            self.driver.attend(key);
        }
        let (now, host) = (self.driver.now(), self.host);
        self.driver.tap.sent(now, host, conn, &bytes[..wrote]);
        wrote
    }
    fn close(&mut self, conn: ConnectionId) {
        self.driver.close(self.host, conn, LINGERING);
    }
    fn reset(&mut self, conn: ConnectionId) {
        self.driver.linger_none(self.host, conn);
        self.driver.forget(self.host, conn);
    }
    fn pause(&mut self, conn: ConnectionId, paused: bool) {
        let now = self.driver.now();
        if let Some((key, s)) = self.stream(conn) {
            s.paused = paused;
            // Nothing is known of what comes until it is read again.
            s.unread_since = s.unread_since.or(paused.then_some(now));
            self.driver.attend(key);
        }
    }
    fn save_state(&mut self, state: &[u8]) {
        let Some(file) = self
            .driver
            .host(self.host)
            .and_then(|h| h.state_file.clone())
        else {
            return;
        };
        if let Err(e) = crate::files::replace(&file, state) {
            tracing::warn!(reason = "state-file", file = %file.display(), error = %e, "state was not kept; look at the disk");
        }
    }
    fn audit(&mut self, line: &str) {
        if let Some(audit) = self.driver.hosts[self.host.0]
            .as_mut()
            .and_then(|h| h.audit.as_mut())
        {
            audit.add(line);
        }
    }
}
