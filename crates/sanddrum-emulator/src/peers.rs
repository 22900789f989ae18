//! The accepted connections of a stand-in: frames in, frames out.

use sanddrum_net::{ConnectionId, Io, Outbox};
use sanddrum_wire::{FrameDecoder, FrameError};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes that may wait for one peer, and the largest frame taken from one.
const MOST: usize = 64 << 20;

struct Peer {
    frames: FrameDecoder,
    out: Outbox<()>,
}

#[derive(Default)]
pub(crate) struct Peers {
    peers: BTreeMap<ConnectionId, Peer>,
    dirty: BTreeSet<ConnectionId>,
}

impl Peers {
    pub fn add(&mut self, conn: ConnectionId) {
        self.peers.insert(
            conn,
            Peer {
                frames: FrameDecoder::new(MOST),
                out: Outbox::new(MOST),
            },
        );
    }
    pub fn remove(&mut self, conn: ConnectionId) -> bool {
        self.dirty.remove(&conn);
        self.peers.remove(&conn).is_some()
    }
    pub fn has(&self, conn: ConnectionId) -> bool {
        self.peers.contains_key(&conn)
    }
    pub fn all(&self) -> Vec<ConnectionId> {
        self.peers.keys().copied().collect()
    }
    pub fn take_in(&mut self, conn: ConnectionId, bytes: &[u8]) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.frames.push_bytes(bytes);
        }
    }
    pub fn next_message<T: for<'b> minicbor::Decode<'b, ()>>(
        &mut self,
        conn: ConnectionId,
    ) -> Result<Option<T>, FrameError> {
        self.peers
            .get_mut(&conn)
            .map_or(Ok(None), |peer| peer.frames.next_message())
    }
    pub fn send(&mut self, conn: ConnectionId, bytes: &[u8]) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            if peer.out.push((), bytes).is_ok() {
                self.dirty.insert(conn);
            }
        }
    }
    pub fn unblock(&mut self, conn: ConnectionId) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.out.unblock();
            self.dirty.insert(conn);
        }
    }
    pub fn flush(&mut self, io: &mut dyn Io) {
        while let Some(conn) = self.dirty.pop_first() {
            if let Some(peer) = self.peers.get_mut(&conn) {
                peer.out.flush(conn, io);
            }
        }
    }
}
