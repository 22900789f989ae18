//! Connections as the edge sees them, with all that it has done to them.

use sanddrum_net::{CloseCause, ConnectionId, Io, PeerIdentity};
use std::collections::BTreeMap;

/// Ids of connections that the edge begins follow on this; those of clients are smaller.
const LAST_CLIENT: u64 = 1000;

/// The transport of a test.
pub struct FakeIo {
    /// All bytes that were written to each connection.
    pub written: BTreeMap<ConnectionId, Vec<u8>>,
    /// The same in the order in which it was written.
    pub writes: Vec<(ConnectionId, Vec<u8>)>,
    /// Connections that the edge has begun, with their addresses.
    pub connects: Vec<(ConnectionId, String)>,
    /// Connections that the edge has closed.
    pub closed: Vec<(ConnectionId, Option<CloseCause>)>,
    /// Connections that were paused or resumed.
    pub paused: BTreeMap<ConnectionId, bool>,
    /// Bytes that a connection still takes; no bound where it has no entry.
    pub capacity: BTreeMap<ConnectionId, usize>,
    /// The state that was saved last.
    pub saved: Option<Vec<u8>>,
    /// All audit lines.
    pub audit_lines: Vec<String>,
    /// What the next client proves.
    pub next_peer: Option<PeerIdentity>,
    last_connection: u64,
}

impl FakeIo {
    /// No connections.
    pub fn new() -> Self {
        FakeIo {
            written: BTreeMap::new(),
            writes: Vec::new(),
            connects: Vec::new(),
            closed: Vec::new(),
            paused: BTreeMap::new(),
            capacity: BTreeMap::new(),
            saved: None,
            audit_lines: Vec::new(),
            next_peer: None,
            last_connection: LAST_CLIENT,
        }
    }

    /// Whether the edge has closed a connection.
    pub fn has_closed(&self, conn: ConnectionId) -> bool {
        self.closed.iter().any(|(closed, _)| *closed == conn)
    }

    /// Whether the edge has closed a connection in order.
    pub fn has_closed_in_order(&self, conn: ConnectionId) -> bool {
        self.closed.contains(&(conn, Some(CloseCause::Orderly)))
    }

    /// Whether the edge has reset a connection.
    pub fn has_reset(&self, conn: ConnectionId) -> bool {
        self.closed.contains(&(conn, Some(CloseCause::Reset)))
    }

    /// Whether reading from a connection is paused.
    pub fn is_paused(&self, conn: ConnectionId) -> bool {
        self.paused.get(&conn).copied().unwrap_or(false)
    }
}

impl Io for FakeIo {
    fn connect(&mut self, to: &str) -> ConnectionId {
        self.last_connection += 1;
        let conn = ConnectionId(self.last_connection);
        self.connects.push((conn, to.to_string()));
        conn
    }

    fn peer(&self, _: ConnectionId) -> Option<PeerIdentity> {
        self.next_peer.clone()
    }

    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        let capacity = self.capacity.entry(conn).or_insert(usize::MAX / 2);
        let length = bytes.len().min(*capacity);
        *capacity -= length;
        let taken = &bytes[..length];
        self.written
            .entry(conn)
            .or_default()
            .extend_from_slice(taken);
        self.writes.push((conn, taken.to_vec()));
        length
    }

    fn close(&mut self, conn: ConnectionId) {
        self.closed.push((conn, Some(CloseCause::Orderly)));
    }

    fn reset(&mut self, conn: ConnectionId) {
        self.closed.push((conn, Some(CloseCause::Reset)));
    }

    fn pause(&mut self, conn: ConnectionId, paused: bool) {
        self.paused.insert(conn, paused);
    }

    fn save_state(&mut self, state: &[u8]) {
        self.saved = Some(state.to_vec());
    }

    fn audit(&mut self, line: &str) {
        self.audit_lines.push(line.to_string());
    }
}
