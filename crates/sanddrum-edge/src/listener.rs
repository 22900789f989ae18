//! What the listeners have in common.

use sanddrum::RequestId;
use sanddrum_net::ConnectionId;

/// A client's connection that was closed.
pub(crate) struct ClosedClient {
    /// The connection.
    pub conn: ConnectionId,
    /// The requests that were open on it; nobody waits for them any more.
    pub cancelled: Vec<RequestId>,
}

/// Which idle connections are closed first where there is no room for one more, in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionRank {
    /// It had time to send a request and has sent none.
    Silent,
    /// It has sent a request.
    Idle,
    /// It was accepted only just now and may have its first request under way.
    New,
}

impl EvictionRank {
    /// The rank of a connection without open requests.
    pub fn new(has_sent_request: bool, had_time_to_send: bool) -> Self {
        match (has_sent_request, had_time_to_send) {
            (true, _) => EvictionRank::Idle,
            (false, true) => EvictionRank::Silent,
            (false, false) => EvictionRank::New,
        }
    }
}
