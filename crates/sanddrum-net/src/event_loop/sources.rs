//! The sources of events that the loop polls.

use super::input_schedule::VirtualTime;
use crate::{ConnectionId, HostId, ListenerId, Micros, Side};
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;

/// The key of a source in the poller; never reused.
pub(super) type SourceKey = usize;

/// A source of events that the loop polls.
pub(super) enum Source {
    Listener(Listener),
    Stream(Stream),
    /// A locally closed connection whose input is drained: closing a socket with unread input resets the connection,
    /// which can destroy the data that was written last.
    Lingering(Lingering),
    /// The pipe of the shutdown signals.
    ShutdownSignals(UnixStream),
    /// The pipe of the signal that reloads watched files.
    ReloadSignal(UnixStream),
}

/// A connection that its host has closed.
pub(super) struct Lingering {
    pub socket: TcpStream,
    pub side: Side,
}

/// A listener of a host.
pub(super) struct Listener {
    pub host: HostId,
    pub id: ListenerId,
    pub socket: TcpListener,
    /// The earliest time since which a connection may be waiting; `None` if the last accept found none waiting.
    pub unread_since: Option<Micros>,
}

/// Whether a peer's machine may hold input that this one had no space for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Backlog {
    /// It holds none: no read has found more than it takes.
    None,
    /// It may hold some: a read has found more than it takes.
    Unread,
    /// All that had arrived has been read since then. If the peer's machine held more, that follows at once.
    Emptied,
}

/// A connection of a host.
pub(super) struct Stream {
    pub host: HostId,
    pub conn: ConnectionId,
    pub socket: TcpStream,
    pub side: Side,
    /// Whether the connection is not established yet.
    pub connecting: bool,
    pub paused: bool,
    pub wants_write: bool,
    /// Whether a write has failed with an error that the system reports once, so that a later read finds an end only.
    pub has_failed: bool,
    /// The earliest time since which input may be waiting; `None` if the last read left none.
    pub unread_since: Option<Micros>,
    /// Whether the peer's machine may hold input that this one had no space for.
    pub backlog: Backlog,
    /// Its tag after it was last read.
    pub read_tag: VirtualTime,
    /// Whether the stream is not registered with the poller. Either the peer hung up while the stream was paused or
    /// its host frozen, and the poller would report this forever, or the registration failed.
    pub is_unregistered: bool,
}

/// All sources, by keys that are never reused.
///
/// With reused keys, an event of a connection that ended earlier in the same poll could be taken for an event of a
/// newer connection: one that is being opened would count as refused.
#[derive(Default)]
pub(super) struct Sources {
    by_key: BTreeMap<SourceKey, Source>,
    next_key: SourceKey,
}

impl Sources {
    pub fn insert(&mut self, source: Source) -> SourceKey {
        let key = self.next_key;
        self.next_key += 1;
        self.by_key.insert(key, source);
        key
    }
    /// Inserts a source under the key of a removed one that had the same socket.
    pub fn reinsert(&mut self, key: SourceKey, source: Source) {
        self.by_key.insert(key, source);
    }
    pub fn remove(&mut self, key: SourceKey) -> Option<Source> {
        self.by_key.remove(&key)
    }
    pub fn iter(&self) -> impl Iterator<Item = (SourceKey, &Source)> {
        self.by_key.iter().map(|(key, source)| (*key, source))
    }
    pub fn get(&self, key: SourceKey) -> Option<&Source> {
        self.by_key.get(&key)
    }
    pub fn get_mut(&mut self, key: SourceKey) -> Option<&mut Source> {
        self.by_key.get_mut(&key)
    }
    pub fn listener(&self, key: SourceKey) -> Option<&Listener> {
        match self.get(key) {
            Some(Source::Listener(listener)) => Some(listener),
            _ => None,
        }
    }
    pub fn listener_mut(&mut self, key: SourceKey) -> Option<&mut Listener> {
        match self.get_mut(key) {
            Some(Source::Listener(listener)) => Some(listener),
            _ => None,
        }
    }
    pub fn stream(&self, key: SourceKey) -> Option<&Stream> {
        match self.get(key) {
            Some(Source::Stream(stream)) => Some(stream),
            _ => None,
        }
    }
    pub fn stream_mut(&mut self, key: SourceKey) -> Option<&mut Stream> {
        match self.get_mut(key) {
            Some(Source::Stream(stream)) => Some(stream),
            _ => None,
        }
    }
}
