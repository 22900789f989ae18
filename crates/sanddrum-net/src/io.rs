//! The interface through which a core performs I/O.

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

/// What is known of the input of a connection that has not been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadInput {
    /// All input that had arrived at the last read has been read.
    None,
    /// Input may have been waiting since this instant.
    Since(Micros),
    /// Input is waiting, and the peer has already ended the connection behind it.
    BeforeEnd,
}

/// The I/O operations that a driver offers to a core for the duration of a call.
pub trait Io {
    /// Opens a connection. `Event::Connected` or `Event::Closed` follows.
    fn connect(&mut self, to: &str) -> ConnectionId;
    /// Opens a connection to a peer whose certificate must contain this name, if certificates are verified.
    fn connect_named(&mut self, to: &str, _name: &str) -> ConnectionId {
        self.connect(to)
    }
    /// Returns the authenticated peer of an established connection, or `None` for a plaintext connection.
    fn peer(&self, _conn: ConnectionId) -> Option<PeerIdentity> {
        None
    }
    /// Returns the wall-clock time at the driver's instant `now`, in microseconds since 1970. The wall clock may be
    /// stepped at any time and by any amount, so use it only to compare with dates that were set elsewhere. Durations
    /// and deadlines are measured on the driver's clock.
    fn wall_clock(&self, now: Micros) -> Micros {
        now
    }
    /// Returns the earliest instant at which the input that is being delivered may have reached this machine. It is
    /// before `now` if the process was stalled while the input waited in the kernel's buffers.
    fn earliest_arrival(&self, now: Micros) -> Micros {
        now
    }
    /// Returns what is known of the unread input of a connection. A driver that always delivers all input knows of none.
    fn unread_input(&self, _conn: ConnectionId) -> UnreadInput {
        UnreadInput::None
    }
    /// Returns the present instant of the driver's clock. It is after `now`, the instant at which the core was called, if
    /// the call has taken long or the process was stopped during it.
    fn clock(&self, now: Micros) -> Micros {
        now
    }
    /// Whether the driver last polled for input so long ago that unread input may invalidate what the core would write
    /// now. The core may postpone its writes to the next `process`, which follows a poll.
    fn is_poll_overdue(&self) -> bool {
        false
    }
    /// Writes as many bytes as the connection accepts, and returns their number. After a short write,
    /// `Event::Writable` follows. Accepted bytes may reach the peer; the others never do.
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize;
    /// Closes a connection; accepted bytes are still delivered.
    fn close(&mut self, conn: ConnectionId);
    /// Ends the output of a connection after the accepted bytes. Input is still delivered until the peer ends it as well,
    /// which `Event::Closed` reports. A driver that can't end one direction alone closes the connection; no event follows
    /// then.
    fn finish_writing(&mut self, conn: ConnectionId) {
        self.close(conn);
    }
    /// Resets a connection; bytes in flight may be lost.
    fn reset(&mut self, conn: ConnectionId);
    /// Pauses or resumes reading. While paused, no `Event::Bytes` is delivered, and flow control slows the peer down.
    fn pause(&mut self, conn: ConnectionId, paused: bool);
    /// Atomically replaces the core's saved state, and returns once the new state is saved.
    fn save_state(&mut self, state: &[u8]);
    /// Like `save_state`, but without waiting: the state is saved soon, unless the process is killed or a newer state
    /// replaces it first.
    fn save_state_later(&mut self, state: &[u8]) {
        self.save_state(state);
    }
    /// Appends a line to the core's audit log, whose size is bounded.
    fn audit(&mut self, _line: &str) {}
}
