//! The connections that an emulated service has accepted, with their frame decoders and outboxes.

use sanddrum_net::{ConnectionId, Io, Outbox};
use sanddrum_wire::{FrameDecoder, FrameError};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of bytes that may wait for a peer, and the maximum size of a received frame.
const MAX_BYTES: usize = 64 << 20;

struct Peer {
    frames: FrameDecoder,
    outbox: Outbox<()>,
}

#[derive(Default)]
pub(crate) struct Peers {
    peers: BTreeMap<ConnectionId, Peer>,
    /// Connections with data to write.
    unflushed: BTreeSet<ConnectionId>,
}

impl Peers {
    pub fn add(&mut self, connection: ConnectionId) {
        self.peers.insert(
            connection,
            Peer {
                frames: FrameDecoder::new(MAX_BYTES),
                outbox: Outbox::new(MAX_BYTES),
            },
        );
    }

    pub fn remove(&mut self, connection: ConnectionId) -> bool {
        self.unflushed.remove(&connection);
        self.peers.remove(&connection).is_some()
    }

    pub fn contains(&self, connection: ConnectionId) -> bool {
        self.peers.contains_key(&connection)
    }

    pub fn connections(&self) -> Vec<ConnectionId> {
        self.peers.keys().copied().collect()
    }

    pub fn push_bytes(&mut self, connection: ConnectionId, bytes: &[u8]) {
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.frames.push_bytes(bytes);
        }
    }

    pub fn next_message<T: for<'b> minicbor::Decode<'b, ()>>(
        &mut self,
        connection: ConnectionId,
    ) -> Result<Option<T>, FrameError> {
        self.peers
            .get_mut(&connection)
            .map_or(Ok(None), |peer| peer.frames.next_message())
    }

    pub fn send(&mut self, connection: ConnectionId, bytes: &[u8]) {
        if let Some(peer) = self.peers.get_mut(&connection) {
            if peer.outbox.push((), bytes).is_ok() {
                self.unflushed.insert(connection);
            }
        }
    }

    pub fn unblock(&mut self, connection: ConnectionId) {
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.outbox.unblock();
            self.unflushed.insert(connection);
        }
    }

    pub fn flush(&mut self, io: &mut dyn Io) {
        while let Some(connection) = self.unflushed.pop_first() {
            if let Some(peer) = self.peers.get_mut(&connection) {
                peer.outbox.flush(connection, io);
            }
        }
    }
}
