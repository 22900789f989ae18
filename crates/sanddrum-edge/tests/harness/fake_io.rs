//! A fake transport that records the edge's operations on its connections.

use sanddrum_net::{CloseCause, ConnectionId, Io, Micros, PeerIdentity, UnreadInput};
use std::collections::BTreeMap;

/// Connections opened by the edge have ids above this; those of clients are not larger.
const LAST_CLIENT: u64 = 1000;

/// A fake [`Io`].
pub struct FakeIo {
    /// All bytes written to each connection.
    pub written: BTreeMap<ConnectionId, Vec<u8>>,
    /// All writes in order.
    pub writes: Vec<(ConnectionId, Vec<u8>)>,
    /// Connections that the edge has opened, with their addresses.
    pub connects: Vec<(ConnectionId, String)>,
    /// Connections that the edge has closed or reset.
    pub closed: Vec<(ConnectionId, Option<CloseCause>)>,
    /// Connections whose output the edge has ended.
    pub finished: Vec<ConnectionId>,
    /// Whether reading is paused, for each connection that was paused or resumed.
    pub paused: BTreeMap<ConnectionId, bool>,
    /// How many more bytes a connection takes; unbounded without an entry.
    pub capacity: BTreeMap<ConnectionId, usize>,
    /// What is known of unread input, for connections that have some.
    pub unread: BTreeMap<ConnectionId, UnreadInput>,
    /// How far the clock has moved on since the edge was called.
    pub turn_duration: Micros,
    /// The state saved last.
    pub saved: Option<Vec<u8>>,
    /// All audit lines written.
    pub audit_lines: Vec<String>,
    /// The identity reported for every peer, clients and workers alike.
    pub peer_identity: Option<PeerIdentity>,
    last_connection: u64,
}

impl FakeIo {
    /// Creates a transport without connections.
    pub fn new() -> Self {
        FakeIo {
            written: BTreeMap::new(),
            writes: Vec::new(),
            connects: Vec::new(),
            closed: Vec::new(),
            finished: Vec::new(),
            paused: BTreeMap::new(),
            capacity: BTreeMap::new(),
            unread: BTreeMap::new(),
            turn_duration: 0,
            saved: None,
            audit_lines: Vec::new(),
            peer_identity: None,
            last_connection: LAST_CLIENT,
        }
    }

    /// Whether the edge has closed or reset a connection.
    pub fn has_closed(&self, conn: ConnectionId) -> bool {
        self.closed.iter().any(|(closed, _)| *closed == conn)
    }

    /// Whether the edge has closed a connection gracefully.
    pub fn has_closed_gracefully(&self, conn: ConnectionId) -> bool {
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
        self.peer_identity.clone()
    }

    fn clock(&self, now: Micros) -> Micros {
        now + self.turn_duration
    }

    fn unread_input(&self, conn: ConnectionId) -> UnreadInput {
        let unread = self.unread.get(&conn).copied();
        unread.unwrap_or(UnreadInput::None)
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

    fn finish_writing(&mut self, conn: ConnectionId) {
        self.finished.push(conn);
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
