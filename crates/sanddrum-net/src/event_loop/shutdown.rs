//! The graceful end of the event loop.

use super::{EventLoop, Source, SourceKey};
use crate::{ConnectionId, HostId, Micros, Side};
use std::io::{self, ErrorKind};
use std::time::Duration;

impl EventLoop {
    /// Closes all listeners and connections. Returns once the peers of accepted connections have closed them too, or
    /// after a time limit.
    pub(super) fn close_everything(&mut self) -> io::Result<()> {
        self.log_status();
        let ends_by = self.ends_by().unwrap_or(Micros::MAX);
        self.drop_lingering_outbound();
        for id in (0..self.hosts.len()).map(HostId) {
            self.close_host(id);
        }
        while let Some((last, _)) = self
            .lingering
            .last()
            .copied()
            .map(|(at, key)| (at.min(ends_by), key))
            .filter(|(at, _)| *at > self.now())
        {
            let mut events = Vec::new();
            let timeout = Duration::from_micros((last - self.now()).max(0) as u64);
            match self.poller.wait(&mut events, Some(timeout)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => {
                    result?;
                }
            }
            for event in events {
                self.drain(event.key);
            }
        }
        Ok(())
    }
    /// Drops the connections that hosts have opened and closed. Their peers are owed nothing, and one that does not read
    /// would delay the end.
    fn drop_lingering_outbound(&mut self) {
        let is_outbound = |key: &SourceKey| {
            let source = self.sources.get(*key);
            matches!(source, Some(Source::Lingering(lingering)) if lingering.side == Side::Connected)
        };
        let keys = self.lingering.iter().map(|(_, key)| *key);
        let outbound: Vec<SourceKey> = keys.filter(is_outbound).collect();
        for key in outbound {
            self.remove_source(key);
        }
    }
    fn close_host(&mut self, id: HostId) {
        let Some(host) = self.host_mut(id) else {
            return;
        };
        let listeners = std::mem::take(&mut host.listeners);
        let connections: Vec<(ConnectionId, SourceKey)> = host
            .connections
            .iter()
            .map(|(conn, key)| (*conn, *key))
            .collect();
        for key in listeners {
            self.remove_source(key);
        }
        for (conn, key) in connections {
            let side = self.sources.stream(key).map(|stream| stream.side);
            if side == Some(Side::Accepted) {
                self.close(id, conn, usize::MAX);
            } else {
                self.remove_connection(id, conn);
            }
        }
    }
}
