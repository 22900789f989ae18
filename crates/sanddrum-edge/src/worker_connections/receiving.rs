//! Receives messages from workers, and bounds the memory of incomplete ones.

use super::WorkerConnections;
use crate::worker_protocol::{WorkerMessage, WorkerProtocolError};
use sanddrum_upstream::WorkerConnectionId;

impl WorkerConnections {
    /// Buffers bytes received on a connection. What arrives on a connection that the edge has given up is discarded.
    pub fn push_bytes(&mut self, id: WorkerConnectionId, bytes: &[u8]) {
        let connection = self.connections.get_mut(&id);
        if let Some(connection) = connection.filter(|open| !open.transport.is_closing()) {
            connection.decoder.push_bytes(bytes);
        }
    }

    /// Takes the next complete message received on a connection.
    ///
    /// # Errors
    /// The worker violated the protocol.
    pub fn next_message(
        &mut self,
        id: WorkerConnectionId,
    ) -> Result<Option<WorkerMessage>, WorkerProtocolError> {
        let connection = self.connections.get_mut(&id);
        match connection.filter(|open| !open.transport.is_closing()) {
            Some(connection) => connection.decoder.next_message(&connection.keys_by_wire_id),
            None => Ok(None),
        }
    }

    /// Returns the connection to reset after bytes were received on one and all complete messages were taken: the
    /// incomplete frames of all workers take more than `max_bytes`, and its frame takes the most. `None` if they are
    /// within the limit.
    pub fn largest_incomplete_frame(
        &mut self,
        received_on: WorkerConnectionId,
        max_bytes: usize,
    ) -> Option<WorkerConnectionId> {
        self.count_incomplete_frame(received_on);
        if self.incomplete_frames.values().sum::<usize>() <= max_bytes {
            return None;
        }
        let connections = &self.connections;
        self.incomplete_frames
            .retain(|id, _| connections.contains_key(id));
        if self.incomplete_frames.values().sum::<usize>() <= max_bytes {
            return None;
        }
        let largest = self
            .incomplete_frames
            .iter()
            .max_by_key(|(id, bytes)| (**bytes, **id));
        largest.map(|(id, _)| *id)
    }

    fn count_incomplete_frame(&mut self, id: WorkerConnectionId) {
        let connection = self.connections.get(&id);
        let connection = connection.filter(|open| !open.transport.is_closing());
        match connection.map_or(0, |connection| connection.decoder.buffered_bytes()) {
            0 => self.incomplete_frames.remove(&id),
            bytes => self.incomplete_frames.insert(id, bytes),
        };
    }
}
