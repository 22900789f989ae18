//! Types shared by the HTTP and FastCGI listeners.

use sanddrum::RequestId;
use sanddrum_net::ConnectionId;

/// A client connection that was closed.
pub(crate) struct ClosedClient {
    /// The connection.
    pub conn: ConnectionId,
    /// The requests that were open on it.
    pub cancelled: Vec<RequestId>,
}

/// The order in which idle connections are closed at the connection limit: lowest variant first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionRank {
    /// The client has sent no request within the first-request timeout.
    Silent,
    /// The client has sent a request.
    Idle,
    /// The connection was accepted recently, and its first request may still arrive, or part of a further request has
    /// been received.
    Receiving,
}

impl EvictionRank {
    /// Ranks a connection without open requests.
    pub fn new(has_sent_request: bool, had_time_to_send: bool, is_receiving: bool) -> Self {
        match (has_sent_request, had_time_to_send) {
            _ if is_receiving => EvictionRank::Receiving,
            (true, _) => EvictionRank::Idle,
            (false, true) => EvictionRank::Silent,
            (false, false) => EvictionRank::Receiving,
        }
    }
}
