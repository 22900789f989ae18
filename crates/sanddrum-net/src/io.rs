//! What a core may request from its driver.

use crate::{ConnectionId, Micros};

/// The authenticated identity of a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The names in its certificate.
    pub names: Vec<String>,
    /// The fingerprint of its public key; empty without a certificate.
    pub key_fingerprint: String,
    /// Whether the handshake resumed an earlier session.
    pub resumed: bool,
}

/// What a core may request from its driver while it is being called.
pub trait Io {
    /// Opens a connection; `Connected` or `Closed` follows.
    fn connect(&mut self, to: &str) -> ConnectionId;
    /// Opens a connection to a peer whose certificate must have this name, where names are verified.
    fn connect_named(&mut self, to: &str, _name: &str) -> ConnectionId {
        self.connect(to)
    }
    /// The authenticated peer of an established connection; none on plaintext connections.
    fn peer(&self, _conn: ConnectionId) -> Option<PeerIdentity> {
        None
    }
    /// The wall clock at the driver's instant `now`, in microseconds since 1970. It may be stepped at any time and by any
    /// amount, so that it only serves to compare with dates that others have set; durations and deadlines are of the
    /// driver's clock.
    fn wall_clock(&self, now: Micros) -> Micros {
        now
    }
    /// The earliest instant at which the input that the core is being given may have reached this machine. It is before
    /// `now` where the process was stalled while the input waited in the kernel's buffers.
    fn earliest_arrival(&self, now: Micros) -> Micros {
        now
    }
    /// Whether the driver last polled for input so long ago that what the core would write now may be outdated by input
    /// that waits. The core may postpone its writes to the next `process`, which follows a poll.
    fn is_delayed(&self) -> bool {
        false
    }
    /// Writes as many bytes as the connection takes, and returns their number; after a short write `Writable` follows.
    /// Bytes taken may reach the peer; bytes not taken never do.
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize;
    /// Closes a connection; bytes taken are still delivered.
    fn close(&mut self, conn: ConnectionId);
    /// Resets a connection; bytes in flight may be lost.
    fn reset(&mut self, conn: ConnectionId);
    /// Pauses or resumes reading: no `Bytes` come while paused, and flow control slows the peer down.
    fn pause(&mut self, conn: ConnectionId, paused: bool);
    /// Saves the core's state atomically, in place of the state saved before, and returns when it is saved.
    fn save_state(&mut self, state: &[u8]);
    /// The same without waiting: the state is saved soon, unless the process is killed or a newer one takes its place.
    fn save_state_later(&mut self, state: &[u8]) {
        self.save_state(state);
    }
    /// Appends a line to the core's audit log, whose size is bounded.
    fn audit(&mut self, _line: &str) {}
}
