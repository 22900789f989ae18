//! Decides what becomes of requests that were read from a client's connection while more of its input is unread: a
//! cancellation or the end of the connection may be among it.

use sanddrum_net::{Micros, UnreadInput};

/// An attempt may begin up to 100 ms after its client has left; the rest is for the way to the worker.
const MAX_UNREAD_AGE: Micros = 75_000;

/// What becomes of the requests that were read from a connection in the current turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadRequests {
    /// They are accepted.
    Accept,
    /// They are refused: their client may have cancelled them long ago.
    Refuse,
    /// They are cancelled: their client has left.
    Cancel,
}

/// Decides by what is known of the connection's unread input.
pub(crate) fn decide(now: Micros, unread: UnreadInput) -> ReadRequests {
    match unread {
        UnreadInput::BeforeEnd => ReadRequests::Cancel,
        UnreadInput::Since(since) if now - since > MAX_UNREAD_AGE => ReadRequests::Refuse,
        UnreadInput::None | UnreadInput::Since(_) => ReadRequests::Accept,
    }
}
